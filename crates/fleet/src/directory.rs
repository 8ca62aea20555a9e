//! Which engines hold which shared parts of prompts.
//!
//! Answers the load of long shared prompts: what one engine has read, others
//! fetch instead of reading it again. Instances learn of parts from their own
//! placements and from heartbeats. Engines drop the parts that were used least
//! recently; that is followed by counting the tokens that came after.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::hash::stable_hash;
use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::prompt::CacheSalt;
use crate::prompt::Prompt;

/// How certainly an engine is to hold a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Certainty {
    /// The part has probably not been dropped yet.
    Likely,
    /// So little came after the part that it has hardly been dropped.
    Sure,
}

impl Certainty {
    /// Returns the part of an engine's memory that may have been taken by what
    /// came after a part that is still held. Running requests take memory too,
    /// and parts that are used again stay without taking more.
    const fn memory_fraction(self) -> f64 {
        match self {
            Self::Likely => 1.0,
            Self::Sure => 0.5,
        }
    }
}

/// The time after which a part that was not used is not looked for any more.
const MAX_UNUSED_TIME: Duration = Duration::from_secs(30);

/// The number of keys from which old ones are removed.
const PRUNE_THRESHOLD: usize = 8_192;

/// A `ChainKey` stands for a part of a prompt together with all parts before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ChainKey(u64);

/// A `ChainedPart` is one shared part of a prompt in its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChainedPart {
    /// The part and all before it.
    pub key: ChainKey,
    /// The tokens of this part alone.
    pub tokens: u64,
}

/// Returns the shared parts of a prompt under a salt.
#[must_use]
pub fn chain(prompt: &Prompt, salt: &CacheSalt) -> Vec<ChainedPart> {
    let mut before = stable_hash(&[salt.as_str().as_bytes()]);
    let link = |part: &crate::prompt::Part| {
        before = stable_hash(&[&before.to_le_bytes(), part.id.as_bytes()]);
        ChainedPart {
            key: ChainKey(before),
            tokens: part.tokens,
        }
    };
    prompt.shared().iter().map(link).collect()
}

/// A `CacheUpdate` tells that an engine has read a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheUpdate {
    /// The hash of the engine's id.
    pub holder: u64,
    /// The shared parts.
    pub keys: Vec<ChainKey>,
    /// The tokens that the engine took into memory.
    pub new_tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct HolderEntry {
    holder: u64,
    position: u64,
    used: Time,
}

/// The `Depths` are how many leading parts of a chain an engine holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Depths {
    /// The parts that the engine has probably not dropped yet.
    pub likely: usize,
    /// The parts that the engine has hardly dropped.
    pub sure: usize,
}

/// A `PrefixDirectory` knows which engines hold which parts.
#[derive(Debug, Default)]
pub struct PrefixDirectory {
    entries: HashMap<ChainKey, Vec<HolderEntry>>,
    positions: HashMap<u64, u64>,
    update: Vec<CacheUpdate>,
}

impl PrefixDirectory {
    /// Records that an engine has read a prompt for this instance.
    pub fn record_read(&mut self, update: CacheUpdate, now: Time) {
        self.apply_update(&update, now);
        self.update.push(update);
    }

    /// Takes what another instance tells.
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
            entries.retain(|m| m.holder != update.holder);
            entries.push(entry);
        }
        if self.entries.len() > PRUNE_THRESHOLD {
            self.remove_unused(now);
        }
    }

    /// Returns how many leading parts of a chain an engine with `memory` tokens
    /// holds.
    #[must_use]
    pub fn depth(
        &self,
        holder: u64,
        chain: &[ChainedPart],
        memory: u64,
        certainty: Certainty,
        now: Time,
    ) -> usize {
        let kept = kept_tokens(memory, certainty);
        let held = |link: &&ChainedPart| self.holds(holder, link.key, kept, now);
        chain.iter().take_while(held).count()
    }

    /// Returns what each engine with `memory` tokens holds of a chain.
    ///
    /// One walk over the chain answers for all engines, as a choice compares each
    /// engine with every other one that it may fetch from.
    #[must_use]
    pub fn depths(&self, chain: &[ChainedPart], memory: u64, now: Time) -> HashMap<u64, Depths> {
        let likely = kept_tokens(memory, Certainty::Likely);
        let sure = kept_tokens(memory, Certainty::Sure);
        let mut depths: HashMap<u64, Depths> = HashMap::new();
        for (before, link) in chain.iter().enumerate() {
            let entries = self.entries.get(&link.key);
            for entry in entries.into_iter().flatten() {
                let depth = depths.entry(entry.holder).or_default();
                let extended = |depth| if depth == before { depth + 1 } else { depth };
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

    /// Forgets everything about an engine that lost its memory.
    pub fn remove_holder(&mut self, holder: u64) {
        for entries in self.entries.values_mut() {
            entries.retain(|m| m.holder != holder);
        }
        self.positions.remove(&holder);
    }

    /// Returns what other instances have not been told yet.
    pub fn take_updates(&mut self) -> Vec<CacheUpdate> {
        std::mem::take(&mut self.update)
    }

    fn holds(&self, holder: u64, key: ChainKey, kept: u64, now: Time) -> bool {
        let entries = self.entries.get(&key);
        let entry = entries.and_then(|entries| entries.iter().find(|m| m.holder == holder));
        entry.is_some_and(|entry| self.is_kept(entry, kept, now))
    }

    /// Returns whether fewer than `kept` tokens came after a part.
    fn is_kept(&self, entry: &HolderEntry, kept: u64, now: Time) -> bool {
        let position = self.positions.get(&entry.holder).copied();
        let since = position.unwrap_or_default().saturating_sub(entry.position);
        now.since(entry.used) < MAX_UNUSED_TIME && since < kept
    }

    fn remove_unused(&mut self, now: Time) {
        let recent = |entry: &HolderEntry| now.since(entry.used) < MAX_UNUSED_TIME;
        for entries in self.entries.values_mut() {
            entries.retain(recent);
        }
        self.entries.retain(|_, entries| !entries.is_empty());
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a part of a memory's size needs no exactness"
)]
fn kept_tokens(memory_tokens: u64, certainty: Certainty) -> u64 {
    (memory_tokens as f64 * certainty.memory_fraction()) as u64
}
