//! Preferred upstreams of prefixes, chosen by rendezvous hashing.
//!
//! All instances compute the same ranking without communication, so that requests
//! with a common prefix go to the same upstream even if each instance receives
//! only a few of them.

use std::mem;

use crate::hash::mix;
use crate::units::Time;
use crate::upstreams::Member;
use crate::upstreams::UpstreamId;

/// The maximum depth at which distinct prefixes are counted, in blocks.
const MAX_DEPTH: usize = 32;

/// The number of 64-bit words in the bitmap for the prefixes of one depth.
const WORDS: usize = 4;

/// The number of bits in that bitmap.
const BITS: u32 = 256;

/// The length of the window over which distinct prefixes are counted, in seconds.
const WINDOW_S: u64 = 60;

/// The maximum requests for one prefix, as a multiple of an engine's average share.
const MAX_PREFERRED_LOAD: u32 = 2;

type Bitmap = [u64; WORDS];

/// A `PrefixCounts` estimates the number of distinct prefixes in use at each depth.
///
/// This number shows how prompts are nested. It varies far less than the request
/// rate of a single prefix, so that instances arrive at the same depth.
#[derive(Debug, Default)]
pub(super) struct PrefixCounts {
    window: u64,
    current: Vec<Bitmap>,
    previous: Vec<Bitmap>,
}

impl PrefixCounts {
    /// Counts all prefixes of a prompt.
    pub(super) fn add(&mut self, blocks: &[u64], now: Time) {
        let window = now.since_origin().as_secs() / WINDOW_S;
        if window != self.window {
            self.previous = mem::take(&mut self.current);
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

    /// Returns the smallest depth at which at least `count` distinct prefixes are in
    /// use.
    pub(super) fn depth_with(&self, count: usize) -> Option<usize> {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        // Linear counting: the expected number of unset bits after n prefixes.
        let max_unset = f64::from(BITS) * (-f64::from(count) / f64::from(BITS)).exp();
        let depths = self.current.len().max(self.previous.len());
        let depth = (0..depths).find(|depth| f64::from(self.unset_bits(*depth)) <= max_unset)?;
        Some(depth + 1)
    }

    fn unset_bits(&self, depth: usize) -> u32 {
        let word = |bitmaps: &[Bitmap], i: usize| bitmaps.get(depth).map_or(0, |b| b[i]);
        let words = (0..WORDS).map(|i| word(&self.current, i) | word(&self.previous, i));
        words.map(u64::count_zeros).sum()
    }
}

/// Returns the number of blocks that determine the preferred upstream of a prompt.
///
/// The search starts at `depth`, given the recent requests for each block and in
/// total. While a prefix brings more load than one of `members` should receive, the
/// next deeper block is used, provided that other requests share it.
pub(super) fn preferred_depth(rates: &[u32], total: u32, members: usize, depth: usize) -> usize {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let limit = total.saturating_mul(MAX_PREFERRED_LOAD);
    let mut depth = depth.min(rates.len());
    while depth > 0 {
        let overloaded = rates[depth - 1].saturating_mul(members) > limit;
        let shared = rates.get(depth).is_some_and(|rate| *rate > 1);
        if !overloaded || !shared {
            break;
        }
        depth += 1;
    }
    depth
}

/// Returns the two members that rank highest for `block`, in the order of
/// preference.
pub(super) fn preferred(block: u64, members: &[Member]) -> [Option<UpstreamId>; 2] {
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
