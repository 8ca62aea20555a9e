//! Homes of prefixes: the upstreams that rank first by rendezvous hash.
//!
//! Every instance ranks alike without messages, so that requests which share a
//! prefix meet at its home even when each instance sees but a few of them.

use std::mem;

use crate::hash::mix;
use crate::units::Time;
use crate::upstreams::Member;
use crate::upstreams::UpstreamId;

/// The homes of a prefix at most.
const MAX_HOMES: usize = 8;

/// The depth up to which the prefixes in use are counted, in blocks.
const MAX_DEPTH: usize = 32;

/// The words of the bitmap in which the prefixes of one depth are counted.
const WORDS: usize = 4;

/// The bits of that bitmap.
const BITS: u32 = 256;

/// The span over which prefixes in use are counted, in seconds.
const WINDOW_S: u64 = 60;

/// The part of the requests, against that of an average engine, that one home
/// may get.
const MAX_HOME_LOAD: u32 = 2;

/// A `Level` is the depth of the prompt at which its home is looked up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Level {
    /// The number of blocks that the home is looked up by.
    pub(super) depth: usize,
    /// The number of homes.
    pub(super) homes: usize,
}

type Bitmap = [u64; WORDS];

/// A `PrefixCounts` counts, for each depth, the different prefixes in use.
///
/// Their number says how the prompts are nested. It is far steadier than the
/// requests for one prefix, so that instances settle on the same depth.
#[derive(Debug, Default)]
pub(super) struct PrefixCounts {
    window: u64,
    current: Vec<Bitmap>,
    last: Vec<Bitmap>,
}

impl PrefixCounts {
    /// Counts the prefixes of a prompt.
    pub(super) fn add(&mut self, blocks: &[u64], now: Time) {
        let window = now.from_start().as_secs() / WINDOW_S;
        if window != self.window {
            self.last = mem::take(&mut self.current);
            self.window = window;
        }
        let depth = blocks.len().min(MAX_DEPTH);
        if self.current.len() < depth {
            self.current.resize(depth, Bitmap::default());
        }
        for (bitmap, block) in self.current.iter_mut().zip(blocks) {
            let bit = block % u64::from(BITS);
            if let Some(word) = usize::try_from(bit / 64)
                .ok()
                .and_then(|i| bitmap.get_mut(i))
            {
                *word |= 1 << (bit % 64);
            }
        }
    }

    /// Returns the smallest depth at which at least `count` prefixes are in use.
    pub(super) fn depth_of(&self, count: usize) -> Option<usize> {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        // Linear counting: n prefixes leave this part of the bits unset.
        let unset = f64::from(BITS) * (-f64::from(count) / f64::from(BITS)).exp();
        let depths = self.current.len().max(self.last.len());
        let depth = (0..depths).find(|depth| f64::from(self.unset(*depth)) <= unset)?;
        Some(depth + 1)
    }

    fn unset(&self, depth: usize) -> u32 {
        let word = |bitmaps: &[Bitmap], i: usize| bitmaps.get(depth).map_or(0, |b| b[i]);
        let words = (0..WORDS).map(|i| word(&self.current, i) | word(&self.last, i));
        words.map(u64::count_zeros).sum()
    }
}

/// Returns the level of a prompt, from `depth` on, given the recent requests
/// for each of its blocks and in total.
///
/// A prefix that brings one of `members` too much of the load is looked up by a
/// deeper level; one that is too hot at every shared level gets as many homes as
/// its requests fill.
pub(super) fn level(rates: &[u32], total: u32, members: usize, depth: usize) -> Level {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let mut level = Level {
        depth: depth.min(rates.len()),
        homes: 1,
    };
    let from = level.depth.saturating_sub(1);
    for (i, rate) in rates.iter().enumerate().skip(from) {
        // A block that hardly anyone shares would scatter a hot prefix.
        if i > from && *rate < 2 {
            break;
        }
        let load = rate.saturating_mul(members);
        let homes = load.div_ceil(total.max(1)).max(1);
        level.depth = i + 1;
        if load <= total.saturating_mul(MAX_HOME_LOAD) {
            level.homes = 1;
            break;
        }
        level.homes = usize::try_from(homes).unwrap_or(MAX_HOMES).min(MAX_HOMES);
    }
    level
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
