//! A directory of the shared parts of prompts that engines cache.
//!
//! Engines fetch parts that another engine has prefilled instead of prefilling them
//! again. Instances fill their directories from their own placements and from
//! heartbeats. Engines evict the least recently used parts; the directory estimates that
//! from the tokens that were added since.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::hash::stable_hash;
use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat::shorten;
use crate::prompt::CacheSalt;
use crate::prompt::Prompt;

/// The certainty with which an engine still caches a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Certainty {
    /// The part has probably not been evicted yet.
    Likely,
    /// So few tokens were added since that the part has almost certainly not been evicted.
    Sure,
}

impl Certainty {
    /// Returns the fraction of an engine's memory that tokens added since may take while a
    /// part still counts as cached. Running requests take memory as well, and reused parts
    /// take no additional memory.
    const fn memory_fraction(self) -> f64 {
        match self {
            Self::Likely => 1.0,
            Self::Sure => 0.5,
        }
    }
}

/// The time after which an unused part no longer counts as cached.
const MAX_UNUSED_TIME: Duration = Duration::from_secs(30);

/// The least number of keys above which unused ones are removed.
const MIN_PRUNE_THRESHOLD: usize = 8_192;

/// The largest number of keys. Half of them, the least recently used ones, are removed beyond it.
const MAX_KEYS: usize = 256 * 1_024;

/// The largest number of keys that wait for a heartbeat. The oldest updates beyond it are only
/// known to this instance.
const MAX_WAITING_KEYS: usize = 64 * 1_024;

/// The hash of a part of a prompt together with all parts before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ChainKey(u64);

/// A shared part of a prompt with the key of its prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChainedPart {
    /// The key of the prefix that ends with this part.
    pub key: ChainKey,
    /// The tokens of this part alone.
    pub tokens: u64,
}

/// Returns the shared parts of a prompt, keyed under `salt`.
#[must_use]
pub fn chain(prompt: &Prompt, salt: &CacheSalt) -> Vec<ChainedPart> {
    let mut preceding = stable_hash(&[salt.as_str().as_bytes()]);
    let part = |part: &crate::prompt::Part| {
        preceding = stable_hash(&[&preceding.to_le_bytes(), part.id.as_bytes()]);
        ChainedPart {
            key: ChainKey(shorten(preceding)),
            tokens: part.tokens,
        }
    };
    prompt.shared().iter().map(part).collect()
}

/// The report that an engine or KV store has cached a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheUpdate {
    /// The hash of the engine's id or of the store's address.
    pub holder: u64,
    /// The keys of the shared parts.
    pub keys: Vec<ChainKey>,
    /// The tokens that the holder added to its memory.
    pub new_tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct HolderEntry {
    holder: u64,
    position: u64,
    used: Time,
}

/// The numbers of leading parts of a chain that an engine caches.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Depths {
    /// The parts that have probably not been evicted yet.
    pub likely: usize,
    /// The parts that have almost certainly not been evicted.
    pub sure: usize,
}

/// The known holders of cached parts.
#[derive(Debug)]
pub struct PrefixDirectory {
    entries: HashMap<ChainKey, Vec<HolderEntry>>,
    positions: HashMap<u64, u64>,
    /// The updates that no heartbeat has carried yet.
    updates: VecDeque<CacheUpdate>,
    /// The number of their keys.
    waiting_keys: usize,
    /// The number of keys above which unused ones are removed; it grows with the number of
    /// used ones, so that the cost of an update doesn't.
    prune_threshold: usize,
}

impl Default for PrefixDirectory {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            positions: HashMap::new(),
            updates: VecDeque::new(),
            waiting_keys: 0,
            prune_threshold: MIN_PRUNE_THRESHOLD,
        }
    }
}

impl PrefixDirectory {
    /// Records a prompt of this instance as cached, and queues it for the next heartbeat.
    pub fn record_read(&mut self, update: CacheUpdate, now: Time) {
        self.apply_update(&update, now);
        self.waiting_keys += update.keys.len();
        self.updates.push_back(update);
        while self.waiting_keys > MAX_WAITING_KEYS && self.updates.len() > 1 {
            self.pop_update();
        }
    }

    fn pop_update(&mut self) -> Option<CacheUpdate> {
        let update = self.updates.pop_front()?;
        self.waiting_keys -= update.keys.len();
        Some(update)
    }

    /// Applies the report of another instance.
    pub fn apply_update(&mut self, update: &CacheUpdate, now: Time) {
        let position = self.positions.entry(update.holder).or_default();
        *position += u64::from(update.new_tokens);
        let entry = HolderEntry {
            holder: update.holder,
            position: *position,
            used: now,
        };
        for key in &update.keys {
            let entries = self.entries.entry(*key).or_default();
            match entries.iter_mut().find(|m| m.holder == update.holder) {
                Some(known) => *known = entry,
                None => entries.push(entry),
            }
        }
        if self.entries.len() > self.prune_threshold {
            self.remove_unused(now);
            if self.entries.len() > MAX_KEYS / 2 {
                self.remove_least_recent(MAX_KEYS / 2);
            }
            let threshold = (self.entries.len() * 2).max(MIN_PRUNE_THRESHOLD);
            self.prune_threshold = threshold.min(MAX_KEYS);
        }
    }

    /// Returns the number of leading parts of a chain that a holder with `memory` tokens
    /// caches.
    #[must_use]
    pub fn depth(
        &self,
        holder: u64,
        chain: &[ChainedPart],
        memory: u64,
        certainty: Certainty,
        now: Time,
    ) -> usize {
        let max_tokens_since = kept_tokens(memory, certainty);
        let held = |part: &&ChainedPart| self.holds(holder, part.key, max_tokens_since, now);
        chain.iter().take_while(held).count()
    }

    /// Returns the numbers of leading parts that each holder with `memory` tokens caches.
    ///
    /// One pass over the chain serves all engines, as placement compares each engine with
    /// every other one that it may fetch from.
    #[must_use]
    pub fn depths(&self, chain: &[ChainedPart], memory: u64, now: Time) -> HashMap<u64, Depths> {
        let likely = kept_tokens(memory, Certainty::Likely);
        let sure = kept_tokens(memory, Certainty::Sure);
        let mut depths: HashMap<u64, Depths> = HashMap::new();
        for (position, part) in chain.iter().enumerate() {
            let entries = self.entries.get(&part.key);
            for entry in entries.into_iter().flatten() {
                let depth = depths.entry(entry.holder).or_default();
                let extended = |depth| if depth == position { depth + 1 } else { depth };
                if self.is_kept(entry, likely, now) {
                    depth.likely = extended(depth.likely);
                }
                if self.is_kept(entry, sure, now) {
                    depth.sure = extended(depth.sure);
                }
            }
        }
        depths
    }

    /// Removes everything about a holder that lost its memory.
    pub fn remove_holder(&mut self, holder: u64) {
        for entries in self.entries.values_mut() {
            entries.retain(|m| m.holder != holder);
        }
        self.positions.remove(&holder);
    }

    /// Returns the number of keys with known holders.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no cached part is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes the oldest updates that no heartbeat has carried yet, with up to `max_keys` keys in
    /// all. Of a prompt with more parts than that, the first ones are reported.
    pub fn take_updates(&mut self, max_keys: usize) -> Vec<CacheUpdate> {
        let mut taken = Vec::new();
        let mut left = max_keys;
        while let Some(next) = self.updates.front() {
            if next.keys.len() > left && !taken.is_empty() {
                break;
            }
            if let Some(mut update) = self.pop_update() {
                update.keys.truncate(max_keys);
                left = left.saturating_sub(update.keys.len());
                taken.push(update);
            }
        }
        taken
    }

    fn holds(&self, holder: u64, key: ChainKey, max_tokens_since: u64, now: Time) -> bool {
        let entries = self.entries.get(&key);
        let entry = entries.and_then(|entries| entries.iter().find(|m| m.holder == holder));
        entry.is_some_and(|entry| self.is_kept(entry, max_tokens_since, now))
    }

    /// Returns whether a part is recent and fewer tokens than given were added since.
    fn is_kept(&self, entry: &HolderEntry, max_tokens_since: u64, now: Time) -> bool {
        let position = self.positions.get(&entry.holder).copied();
        let tokens_since = position.unwrap_or_default().saturating_sub(entry.position);
        now.since(entry.used) < MAX_UNUSED_TIME && tokens_since < max_tokens_since
    }

    /// Removes the least recently used keys beyond a number of them.
    fn remove_least_recent(&mut self, max_keys: usize) {
        let last_used = |entries: &Vec<HolderEntry>| entries.iter().map(|entry| entry.used).max();
        let mut times: Vec<_> = self.entries.values().map(last_used).collect();
        let excess = times.len().saturating_sub(max_keys);
        let (_, oldest, _) = times.select_nth_unstable(excess);
        let oldest = *oldest;
        // Keys that were last used at the same time are removed together.
        self.entries
            .retain(|_, entries| last_used(entries) > oldest);
    }

    fn remove_unused(&mut self, now: Time) {
        let is_recent = |entry: &HolderEntry| now.since(entry.used) < MAX_UNUSED_TIME;
        for entries in self.entries.values_mut() {
            entries.retain(is_recent);
        }
        self.entries.retain(|_, entries| !entries.is_empty());
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a fraction of the memory needs no exactness"
)]
fn kept_tokens(memory_tokens: u64, certainty: Certainty) -> u64 {
    (memory_tokens as f64 * certainty.memory_fraction()) as u64
}
