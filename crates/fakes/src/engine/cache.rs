//! A cache of prompt blocks that drops the least recently used one.

use std::collections::BTreeMap;
use std::time::Instant;

/// A `CacheEvent` tells which blocks came and went together.
#[derive(Clone, Debug)]
pub struct CacheEvent {
    pub seq: u64,
    pub at: Instant,
    pub stored: Vec<u64>,
    pub removed: Vec<u64>,
}

/// The number of cache events that are kept.
const MAX_EVENTS: usize = 10_000;

/// A `BlockCache` knows which blocks are in memory, and when each was last used.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    uses: u64,
    used_at: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    next_event: u64,
    events: Vec<CacheEvent>,
}

impl BlockCache {
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            used_at: BTreeMap::new(),
            by_use: BTreeMap::new(),
            next_event: 1,
            events: Vec::new(),
        }
    }

    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Returns how many of `blocks` are cached, from the first on, and marks them used.
    pub fn hit(&mut self, blocks: &[u64]) -> usize {
        let cached = |block: &&u64| self.used_at.contains_key(*block);
        let hits = blocks.iter().take_while(cached).count();
        for block in &blocks[..hits] {
            self.touch(*block);
        }
        hits
    }

    /// Stores `blocks` and drops others if there is no more room.
    pub fn store(&mut self, blocks: &[u64]) {
        let mut stored = Vec::new();
        for block in blocks {
            if self.touch(*block) {
                stored.push(*block);
            }
        }
        let mut removed = Vec::new();
        while self.used_at.len() > self.capacity
            && let Some((_, block)) = self.by_use.pop_first()
        {
            self.used_at.remove(&block);
            removed.push(block);
        }
        if !stored.is_empty() || !removed.is_empty() {
            self.report(stored, removed);
        }
    }

    pub fn events_after(&self, seq: u64) -> impl Iterator<Item = &CacheEvent> {
        self.events.iter().filter(move |event| event.seq > seq)
    }

    /// Marks `block` used and returns whether it is new.
    fn touch(&mut self, block: u64) -> bool {
        self.uses += 1;
        let before = self.used_at.insert(block, self.uses);
        self.by_use.insert(self.uses, block);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        before.is_none()
    }

    fn report(&mut self, stored: Vec<u64>, removed: Vec<u64>) {
        if self.events.len() >= MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        self.events.push(CacheEvent {
            seq: self.next_event,
            at: Instant::now(),
            stored,
            removed,
        });
        self.next_event += 1;
    }
}
