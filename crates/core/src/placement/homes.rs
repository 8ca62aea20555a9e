//! Homes of prefixes: the upstreams that rank first by rendezvous hash.
//!
//! Every instance ranks alike without messages, so that requests which share a
//! prefix meet at its home even when each instance sees but a few of them.

use std::mem;

use crate::hash::mix;
use crate::units::Time;
use crate::upstreams::Member;
use crate::upstreams::UpstreamId;

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
        let window = now.since_origin().as_secs() / WINDOW_S;
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

/// Returns the number of blocks by which the home of a prompt is looked up, from
/// `depth` on, given the recent requests for each of its blocks and in total.
///
/// A prefix that brings one of `members` too much of the load is looked up by a
/// deeper block, as long as others share that one.
pub(super) fn home_depth(rates: &[u32], total: u32, members: usize, depth: usize) -> usize {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let bound = total.saturating_mul(MAX_HOME_LOAD);
    let mut depth = depth.min(rates.len());
    while depth > 0 {
        let hot = rates[depth - 1].saturating_mul(members) > bound;
        let shared = rates.get(depth).is_some_and(|rate| *rate > 1);
        if !hot || !shared {
            break;
        }
        depth += 1;
    }
    depth
}

/// Returns the two members that rank first for `block`, the home before its
/// replacement.
pub(super) fn homes(block: u64, members: &[Member]) -> [Option<UpstreamId>; 2] {
    let mut first: Option<(u64, UpstreamId)> = None;
    let mut second = None;
    for member in members {
        let ranked = Some((mix(block ^ member.seed), member.id));
        if ranked > first {
            second = first;
            first = ranked;
        } else if ranked > second {
            second = ranked;
        }
    }
    [first.map(|(_, id)| id), second.map(|(_, id)| id)]
}
