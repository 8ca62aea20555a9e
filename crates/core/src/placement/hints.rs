//! Hints about which engines cache which blocks.
//!
//! Two generations of entries bound the memory: when the current generation is
//! full or exceeds the lifetime of hints, it replaces the previous one, whose
//! unused entries are dropped.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;
use std::mem;
use std::time::Duration;

use crate::units::Time;
use crate::upstreams::CacheEpoch;
use crate::upstreams::UpstreamId;

/// The maximum number of engines in a hint.
const MAX_HOLDERS: usize = 4;

/// The length of the window over which requests are counted, in milliseconds.
const WINDOW_MS: u32 = 30_000;

/// A `Holder` is an engine with the time at which it last used a block.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) upstream: UpstreamId,
    pub(super) epoch: CacheEpoch,
    last_used: u32,
}

const NO_HOLDER: Holder = Holder {
    upstream: UpstreamId(u32::MAX),
    epoch: CacheEpoch(0),
    last_used: 0,
};

/// A `RequestCount` counts requests over a sliding window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestCount {
    window: u32,
    count: u16,
    previous: u16,
}

impl RequestCount {
    pub(super) fn add(&mut self, now: Time) {
        let window = millis(now) / WINDOW_MS;
        if window != self.window {
            let adjacent = window == self.window + 1;
            self.previous = if adjacent { self.count } else { 0 };
            self.count = 0;
            self.window = window;
        }
        self.count = self.count.saturating_add(1);
    }

    /// Returns the estimated number of requests within one window length before
    /// `now`.
    pub(super) fn recent(self, now: Time) -> u32 {
        let now = millis(now);
        let elapsed = now % WINDOW_MS;
        let (previous, count) = match (now / WINDOW_MS).saturating_sub(self.window) {
            0 => (self.previous, self.count),
            1 => (self.count, 0),
            _ => (0, 0),
        };
        u32::from(previous) * (WINDOW_MS - elapsed) / WINDOW_MS + u32::from(count)
    }
}

/// A `Hint` contains the recent users and the request count of one block.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hint {
    holders: [Holder; MAX_HOLDERS],
    requests: RequestCount,
}

impl Hint {
    const EMPTY: Self = Self {
        holders: [NO_HOLDER; MAX_HOLDERS],
        requests: RequestCount {
            window: 0,
            count: 0,
            previous: 0,
        },
    };

    /// Returns the engines that used the block within `ttl`, each with the time
    /// since its last use.
    pub(super) fn holders(
        &self,
        now: Time,
        ttl: Duration,
    ) -> impl Iterator<Item = (Holder, Duration)> {
        let now = millis(now);
        let known = self
            .holders
            .iter()
            .filter(|h| h.upstream != NO_HOLDER.upstream);
        known
            .map(move |h| (*h, age(now, h.last_used)))
            .filter(move |(_, age)| *age <= ttl)
    }

    /// Returns the number of recent requests for the block.
    pub(super) fn requests(&self, now: Time) -> u32 {
        self.requests.recent(now)
    }

    /// Records a use, replacing the engine's previous entry or else the oldest one.
    fn record_use(&mut self, upstream: UpstreamId, epoch: CacheEpoch, now: Time) {
        let last_used = millis(now);
        let rank = |h: &&mut Holder| {
            (
                h.upstream != upstream,
                h.upstream != NO_HOLDER.upstream,
                h.last_used,
            )
        };
        if let Some(entry) = self.holders.iter_mut().min_by_key(rank) {
            *entry = Holder {
                upstream,
                epoch,
                last_used,
            };
        }
    }
}

/// Returns the time in milliseconds. The value wraps around after seven weeks,
/// long after the table has dropped entries from before.
fn millis(t: Time) -> u32 {
    let wrapped = t.since_origin().as_millis() & u128::from(u32::MAX);
    u32::try_from(wrapped).unwrap_or(0)
}

fn age(now: u32, last_used: u32) -> Duration {
    Duration::from_millis(u64::from(now.wrapping_sub(last_used)))
}

/// A `BlockHasher` uses block hashes unchanged, as they are already well mixed.
#[derive(Debug, Default)]
struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

type Hints = HashMap<u64, Hint, BuildHasherDefault<BlockHasher>>;

/// A `HintTable` maps the hash of a block to its hint.
#[derive(Debug)]
pub(super) struct HintTable {
    current: Hints,
    previous: Hints,
    generation_capacity: usize,
    rotated_at: Time,
    ttl: Duration,
}

impl HintTable {
    /// The size of one hint with its key in bytes.
    pub(super) const HINT_BYTES: usize = size_of::<(u64, Hint)>();

    pub(super) fn new(capacity: usize, ttl: Duration) -> Self {
        Self {
            current: Hints::default(),
            previous: Hints::default(),
            generation_capacity: (capacity / 2).max(1),
            rotated_at: Time::ZERO,
            ttl: ttl.max(Duration::from_millis(u64::from(WINDOW_MS))),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    pub(super) fn get(&self, block: u64) -> Option<&Hint> {
        self.current
            .get(&block)
            .or_else(|| self.previous.get(&block))
    }

    /// Records that an engine has computed or reused a block.
    pub(super) fn record_use(
        &mut self,
        block: u64,
        upstream: UpstreamId,
        epoch: CacheEpoch,
        now: Time,
    ) {
        self.entry(block, now).record_use(upstream, epoch, now);
    }

    /// Counts a request for a block.
    pub(super) fn count_request(&mut self, block: u64, now: Time) {
        self.entry(block, now).requests.add(now);
    }

    fn entry(&mut self, block: u64, now: Time) -> &mut Hint {
        let full =
            self.current.len() >= self.generation_capacity && !self.current.contains_key(&block);
        if full || now.since(self.rotated_at) > self.ttl {
            self.previous = mem::take(&mut self.current);
            self.rotated_at = now;
        }
        let moved = self.previous.remove(&block);
        self.current
            .entry(block)
            .or_insert_with(|| moved.unwrap_or(Hint::EMPTY))
    }
}
