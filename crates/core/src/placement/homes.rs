//! Homes of prefixes: the upstreams that rank first by rendezvous hash.
//!
//! Every instance ranks alike without messages, so that requests which share a
//! prefix meet at its home even when each instance sees but a few of them.

use crate::hash::mix;
use crate::upstreams::Member;
use crate::upstreams::UpstreamId;

/// The homes of a prefix at most.
pub(super) const MAX_HOMES: usize = 4;

/// The whole of a share in thousandths.
const WHOLE: u64 = 1_000;

/// The smallest share that is assumed, so that a level is tried again.
const MIN_SHARE: u64 = 20;

/// The divisor of the weight that one answer has in the learned share.
const SHARE_WEIGHT: u64 = 16;

/// A `Level` is a depth of the prompt at which its home is looked up.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// The deepest block that this instance has seen before.
    Shared,
    /// The last full block of the prompt.
    Whole,
    /// The first block of the prompt.
    Root,
}

/// A `HomeShares` holds, for each level, the share of the prefix that homes
/// were found to hold, in thousandths.
#[derive(Debug)]
pub(super) struct HomeShares {
    shared: u64,
    whole: u64,
    root: u64,
}

impl Default for HomeShares {
    fn default() -> Self {
        Self {
            shared: WHOLE / 2,
            whole: WHOLE / 2,
            root: WHOLE / 2,
        }
    }
}

impl HomeShares {
    /// Returns the tokens that a home is expected to hold of `tokens`.
    pub(super) fn expected(&self, level: Level, tokens: u64) -> u64 {
        let share = match level {
            Level::Shared => self.shared,
            Level::Whole => self.whole,
            Level::Root => self.root,
        };
        tokens * share.max(MIN_SHARE) / WHOLE
    }

    /// Learns that a home held `cached` of `tokens`.
    pub(super) fn learn(&mut self, level: Level, cached: u64, tokens: u64) {
        let found = cached.min(tokens) * WHOLE / tokens.max(1);
        let share = match level {
            Level::Shared => &mut self.shared,
            Level::Whole => &mut self.whole,
            Level::Root => &mut self.root,
        };
        *share = (*share * (SHARE_WEIGHT - 1) + found) / SHARE_WEIGHT;
    }
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
