//! Hints of which engines hold which blocks.
//!
//! The memory is bounded by two maps: entries that were not used since the
//! younger map was last full are dropped with the older one.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;
use std::mem;
use std::time::Duration;

use crate::units::Time;
use crate::upstreams::CacheEpoch;
use crate::upstreams::UpstreamId;

/// The engines that a hint names at most.
const MAX_HOLDERS: usize = 4;

/// The span over which requests are counted, in milliseconds.
const WINDOW_MS: u32 = 30_000;

/// A `Holder` is an engine that used a block at a certain time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) upstream: UpstreamId,
    pub(super) epoch: CacheEpoch,
    seen: u32,
}

const NO_HOLDER: Holder = Holder {
    upstream: UpstreamId(u32::MAX),
    epoch: CacheEpoch(0),
    seen: 0,
};

/// A `RequestCount` counts requests over a window that slides.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestCount {
    window: u32,
    count: u16,
    last: u16,
}

impl RequestCount {
    pub(super) fn add(&mut self, now: Time) {
        let window = millis(now) / WINDOW_MS;
        if window != self.window {
            let adjacent = window == self.window + 1;
            self.last = if adjacent { self.count } else { 0 };
            self.count = 0;
            self.window = window;
        }
        self.count = self.count.saturating_add(1);
    }

    /// Returns the requests within the length of the window before `now`.
    pub(super) fn recent(self, now: Time) -> u32 {
        let now = millis(now);
        let elapsed = now % WINDOW_MS;
        let (last, count) = match (now / WINDOW_MS).saturating_sub(self.window) {
            0 => (self.last, self.count),
            1 => (self.count, 0),
            _ => (0, 0),
        };
        u32::from(last) * (WINDOW_MS - elapsed) / WINDOW_MS + u32::from(count)
    }
}

/// A `Hint` is what is known of one block.
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
            last: 0,
        },
    };

    /// Returns the engines that used the block within `life`, with the age.
    pub(super) fn holders(
        &self,
        now: Time,
        life: Duration,
    ) -> impl Iterator<Item = (Holder, Duration)> {
        let now = millis(now);
        let known = self
            .holders
            .iter()
            .filter(|h| h.upstream != NO_HOLDER.upstream);
        known
            .map(move |h| (*h, age(now, h.seen)))
            .filter(move |(_, age)| *age <= life)
    }

    /// Returns the requests for the block within the last seconds.
    pub(super) fn requests(&self, now: Time) -> u32 {
        self.requests.recent(now)
    }

    /// Records a use, in place of the engine's earlier one or the oldest.
    fn hold(&mut self, upstream: UpstreamId, epoch: CacheEpoch, now: Time) {
        let seen = millis(now);
        let rank = |h: &&mut Holder| {
            (
                h.upstream != upstream,
                h.upstream != NO_HOLDER.upstream,
                h.seen,
            )
        };
        if let Some(place) = self.holders.iter_mut().min_by_key(rank) {
            *place = Holder {
                upstream,
                epoch,
                seen,
            };
        }
    }
}

/// Returns the time in milliseconds, which wraps around after seven weeks: long
/// after the table has dropped an entry of the time before.
fn millis(t: Time) -> u32 {
    let wrapped = t.since_origin().as_millis() & u128::from(u32::MAX);
    u32::try_from(wrapped).unwrap_or(0)
}

fn age(now: u32, seen: u32) -> Duration {
    Duration::from_millis(u64::from(now.wrapping_sub(seen)))
}

/// A `BlockHasher` takes the hash of a block as it is: it is well mixed.
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
    young: Hints,
    old: Hints,
    half: usize,
    rotated: Time,
    life: Duration,
}

impl HintTable {
    /// The bytes of one hint with its key.
    pub(super) const HINT_BYTES: usize = size_of::<(u64, Hint)>();

    pub(super) fn new(capacity: usize, life: Duration) -> Self {
        Self {
            young: Hints::default(),
            old: Hints::default(),
            half: (capacity / 2).max(1),
            rotated: Time::ZERO,
            life: life.max(Duration::from_millis(u64::from(WINDOW_MS))),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    pub(super) fn get(&self, block: u64) -> Option<&Hint> {
        self.young.get(&block).or_else(|| self.old.get(&block))
    }

    /// Records that an engine computed or reused a block.
    pub(super) fn hold(&mut self, block: u64, upstream: UpstreamId, epoch: CacheEpoch, now: Time) {
        self.entry(block, now).hold(upstream, epoch, now);
    }

    /// Counts a request for a block.
    pub(super) fn count_request(&mut self, block: u64, now: Time) {
        self.entry(block, now).requests.add(now);
    }

    fn entry(&mut self, block: u64, now: Time) -> &mut Hint {
        let full = self.young.len() >= self.half && !self.young.contains_key(&block);
        if full || now.since(self.rotated) > self.life {
            self.old = mem::take(&mut self.young);
            self.rotated = now;
        }
        let moved = self.old.remove(&block);
        self.young
            .entry(block)
            .or_insert_with(|| moved.unwrap_or(Hint::EMPTY))
    }
}
