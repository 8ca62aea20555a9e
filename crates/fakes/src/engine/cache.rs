//! An LRU cache of prompt blocks.

use std::collections::BTreeMap;
use std::time::Instant;

/// Blocks that one operation stored and evicted.
#[derive(Clone, Debug)]
pub struct CacheEvent {
    pub seq: u64,
    pub at: Instant,
    pub stored: Vec<u64>,
    pub removed: Vec<u64>,
}

/// The maximum number of retained cache events.
const MAX_EVENTS: usize = 10_000;

/// The cached blocks with the order of their last use.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    uses: u64,
    last_uses: BTreeMap<u64, u64>,
    blocks_by_last_use: BTreeMap<u64, u64>,
    next_event: u64,
    events: Vec<CacheEvent>,
}

impl BlockCache {
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            last_uses: BTreeMap::new(),
            blocks_by_last_use: BTreeMap::new(),
            next_event: 1,
            events: Vec::new(),
        }
    }

    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Returns the length of the cached prefix of `blocks` and marks it used.
    pub fn use_prefix(&mut self, blocks: &[u64]) -> usize {
        let cached = |block: &&u64| self.last_uses.contains_key(*block);
        let prefix_len = blocks.iter().take_while(cached).count();
        for block in &blocks[..prefix_len] {
            self.touch(*block);
        }
        prefix_len
    }

    /// Stores `blocks` and evicts the least recently used ones beyond the capacity.
    pub fn store(&mut self, blocks: &[u64]) {
        let mut stored = Vec::new();
        for block in blocks {
            if self.touch(*block) {
                stored.push(*block);
            }
        }
        let mut removed = Vec::new();
        while self.last_uses.len() > self.capacity
            && let Some((_, block)) = self.blocks_by_last_use.pop_first()
        {
            self.last_uses.remove(&block);
            removed.push(block);
        }
        if !stored.is_empty() || !removed.is_empty() {
            self.push_event(stored, removed);
        }
    }

    pub fn events_after(&self, seq: u64) -> impl Iterator<Item = &CacheEvent> {
        self.events.iter().filter(move |event| event.seq > seq)
    }

    /// Marks `block` used and returns whether it was absent.
    fn touch(&mut self, block: u64) -> bool {
        self.uses += 1;
        let previous_use = self.last_uses.insert(block, self.uses);
        self.blocks_by_last_use.insert(self.uses, block);
        if let Some(previous_use) = previous_use {
            self.blocks_by_last_use.remove(&previous_use);
        }
        previous_use.is_none()
    }

    fn push_event(&mut self, stored: Vec<u64>, removed: Vec<u64>) {
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
