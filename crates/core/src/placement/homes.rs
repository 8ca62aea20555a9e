//! Homes of prefixes: the upstreams that rank first by rendezvous hash.
//!
//! Every instance ranks alike without messages, so that requests which share a
//! prefix meet at its home even when each instance sees but a few of them.

use crate::hash::mix;
use crate::upstreams::Member;
use crate::upstreams::UpstreamId;

/// The homes of a prefix at most.
const MAX_HOMES: usize = 8;

/// The requests that must have been counted before rates are relied on.
const MIN_COUNTED: u32 = 16;

/// A `Level` is the depth of the prompt at which its home is looked up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Level {
    /// The number of blocks that the home is looked up by.
    pub(super) depth: usize,
    /// The number of homes.
    pub(super) homes: usize,
}

/// Returns the level of a prompt, given the recent requests for each of its
/// blocks and in total, for engines among which `members` share the load.
///
/// It is the shallowest level that does not bring one engine more than its part
/// of all requests: a deeper one would store the blocks above it on more
/// engines than needed. A prefix that is too hot at every shared level gets as
/// many homes as its requests fill.
pub(super) fn level(rates: impl Iterator<Item = u32>, total: u32, members: usize) -> Level {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let mut level = Level { depth: 0, homes: 1 };
    for (i, rate) in rates.enumerate() {
        let load = rate.saturating_mul(members);
        // A block that hardly anyone shares would scatter a hot prefix.
        if i > 0 && rate < 2 {
            break;
        }
        let homes = load.div_ceil(total.max(1)).max(1);
        level = Level {
            depth: i + 1,
            homes: usize::try_from(homes).unwrap_or(MAX_HOMES).min(MAX_HOMES),
        };
        if load <= total {
            break;
        }
    }
    level
}

/// Returns whether enough requests were counted to tell the level.
pub(super) const fn is_counted(total: u32) -> bool {
    total >= MIN_COUNTED
}

/// Returns the first `count` homes of `block` among `members`, in rank order.
pub(super) fn homes(block: u64, members: &[Member], count: usize) -> Vec<UpstreamId> {
    let mut best: Vec<(u64, UpstreamId)> = Vec::with_capacity(count + 1);
    for member in members {
        let score = mix(block ^ member.seed);
        let worse = best.last().is_some_and(|(least, _)| score <= *least);
        if best.len() == count && worse {
            continue;
        }
        let place = best.partition_point(|(held, _)| *held >= score);
        best.insert(place, (score, member.id));
        best.truncate(count);
    }
    best.into_iter().map(|(_, id)| id).collect()
}
