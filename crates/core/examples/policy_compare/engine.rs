//! A simulated model engine. It prefills one prompt at a time, decodes requests
//! in batch slots and caches blocks in limited memory.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::upstreams::LoadReport;

/// The prefill rate of an engine in tokens per second.
pub const PREFILL_RATE: u64 = 20_000;

/// The number of requests that an engine decodes concurrently.
pub const DECODE_SLOTS: usize = 32;

/// The capacity of an engine's cache in blocks.
pub const CACHE_BLOCKS: usize = 160;

#[derive(Debug, Default)]
pub struct Engine {
    pub incarnation: u64,
    pub up: bool,
    pub prefilling: Option<usize>,
    pub decoding: Vec<usize>,
    /// The requests and their tokens, by priority and arrival.
    waiting: BTreeMap<(u8, u64), (usize, u64)>,
    /// The cached blocks and the time of their last use.
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

    /// Queues a request. Smaller priority numbers are served first.
    pub fn enqueue(&mut self, request: usize, priority: u8, tokens: Tokens) {
        self.clock += 1;
        self.waiting
            .insert((priority, self.clock), (request, tokens.0));
    }

    /// Starts to prefill the next request if the engine has capacity.
    pub fn start_next(&mut self) -> Option<usize> {
        if !self.up || self.prefilling.is_some() || self.decoding.len() >= DECODE_SLOTS {
            return None;
        }
        let (_, (request, _)) = self.waiting.pop_first()?;
        self.prefilling = Some(request);
        Some(request)
    }

    /// Returns the number of cached tokens of a prompt.
    pub fn cached(&self, chain: &PrefixChain) -> Tokens {
        let is_cached = |block: &&u64| self.blocks.contains_key(block);
        chain.tokens_in_blocks(chain.blocks().iter().take_while(is_cached).count())
    }

    /// Caches the blocks of a prompt and evicts the least recently used ones.
    pub fn store(&mut self, chain: &PrefixChain) {
        // The first blocks are touched last, so that prefixes outlive their tails.
        for block in chain.blocks().iter().rev() {
            self.clock += 1;
            self.blocks.insert(*block, self.clock);
        }
        while self.blocks.len() > CACHE_BLOCKS {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some(oldest) = oldest.map(|(block, _)| *block) else {
                return;
            };
            self.blocks.remove(&oldest);
        }
    }

    pub fn report(&self) -> LoadReport {
        let requests =
            self.waiting.len() + self.decoding.len() + usize::from(self.prefilling.is_some());
        LoadReport {
            requests: u32::try_from(requests).unwrap_or(u32::MAX),
            queued_tokens: Tokens(self.waiting.values().map(|(_, tokens)| tokens).sum()),
        }
    }

    /// Returns all requests of the engine.
    pub fn requests(&self) -> Vec<usize> {
        let waiting = self.waiting.values().map(|(request, _)| *request);
        let all = waiting
            .chain(self.prefilling)
            .chain(self.decoding.iter().copied());
        all.collect()
    }
}

/// Returns the time to prefill `tokens`.
pub fn prefill_time(tokens: Tokens) -> Duration {
    Duration::from_micros(tokens.0 * 1_000_000 / PREFILL_RATE)
}
