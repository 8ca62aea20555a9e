//! A simple model engine: prompts are computed one at a time, decoding holds a
//! batch slot, and cached blocks live in limited memory.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::upstreams::LoadReport;

/// The tokens of a prompt that an engine computes per second.
pub const PREFILL_RATE: u64 = 20_000;

/// The requests that an engine decodes at once.
pub const SLOTS: usize = 32;

/// The blocks that an engine caches.
pub const MEMORY_BLOCKS: usize = 160;

#[derive(Debug, Default)]
pub struct Engine {
    pub incarnation: u64,
    pub up: bool,
    pub running: Option<usize>,
    pub decoding: Vec<usize>,
    waiting: BTreeMap<(u8, u64), (usize, u64)>,
    blocks: HashMap<u64, u64>,
    clock: u64,
}

impl Engine {
    pub fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Self {
            incarnation,
            up: true,
            ..Self::default()
        };
    }

    /// Takes a request in; a smaller priority number is served first.
    pub fn enqueue(&mut self, request: usize, priority: u8, tokens: Tokens) {
        self.clock += 1;
        self.waiting
            .insert((priority, self.clock), (request, tokens.0));
    }

    /// Takes the next request to compute, when the engine is free for it.
    pub fn next(&mut self) -> Option<usize> {
        if !self.up || self.running.is_some() || self.decoding.len() >= SLOTS {
            return None;
        }
        let (_, (request, _)) = self.waiting.pop_first()?;
        self.running = Some(request);
        Some(request)
    }

    /// Returns the tokens that are found in the cache.
    pub fn cached(&self, chain: &PrefixChain) -> Tokens {
        let held = |block: &&u64| self.blocks.contains_key(block);
        chain.tokens_in_blocks(chain.blocks().iter().take_while(held).count())
    }

    /// Stores the blocks of a prompt in place of those least recently used.
    pub fn store(&mut self, chain: &PrefixChain) {
        // The first blocks are used last, so that prefixes outlive their tails.
        for block in chain.blocks().iter().rev() {
            self.clock += 1;
            self.blocks.insert(*block, self.clock);
        }
        while self.blocks.len() > MEMORY_BLOCKS {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some(oldest) = oldest.map(|(block, _)| *block) else {
                return;
            };
            self.blocks.remove(&oldest);
        }
    }

    pub fn report(&self) -> LoadReport {
        let requests =
            self.waiting.len() + self.decoding.len() + usize::from(self.running.is_some());
        LoadReport {
            requests: u32::try_from(requests).unwrap_or(u32::MAX),
            queued_tokens: Tokens(self.waiting.values().map(|(_, tokens)| tokens).sum()),
        }
    }

    /// Returns every request that the engine holds.
    pub fn requests(&self) -> Vec<usize> {
        let waiting = self.waiting.values().map(|(request, _)| *request);
        let held = waiting
            .chain(self.running)
            .chain(self.decoding.iter().copied());
        held.collect()
    }
}

/// Returns the time that an engine takes to compute `tokens`.
pub fn prefill_time(tokens: Tokens) -> Duration {
    Duration::from_micros(tokens.0 * 1_000_000 / PREFILL_RATE)
}
