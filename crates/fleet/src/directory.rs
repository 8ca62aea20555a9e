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
    const fn kept_part(self) -> f64 {
        match self {
            Self::Likely => 1.0,
            Self::Sure => 0.5,
        }
    }
}

/// The time after which a part that was not used is not looked for any more.
const LONGEST_KEPT: Duration = Duration::from_secs(30);

/// The number of keys from which old ones are removed.
const PRUNE_FROM: usize = 8_192;

/// A `ChainKey` stands for a part of a prompt together with all parts before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ChainKey(u64);

/// A `Link` is one shared part of a prompt in its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Link {
    /// The part and all before it.
    pub key: ChainKey,
    /// The tokens of this part alone.
    pub tokens: u64,
}

/// Returns the shared parts of a prompt under a salt.
#[must_use]
pub fn chain(prompt: &Prompt, salt: &CacheSalt) -> Vec<Link> {
    let mut before = stable_hash(&[salt.as_str().as_bytes()]);
    let link = |part: &crate::prompt::Part| {
        before = stable_hash(&[&before.to_le_bytes(), part.id.as_bytes()]);
        Link {
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
struct Mark {
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
    marks: HashMap<ChainKey, Vec<Mark>>,
    positions: HashMap<u64, u64>,
    news: Vec<CacheUpdate>,
}

impl PrefixDirectory {
    /// Records that an engine has read a prompt for this instance.
    pub fn record_read(&mut self, news: CacheUpdate, now: Time) {
        self.apply_update(&news, now);
        self.news.push(news);
    }

    /// Takes what another instance tells.
    pub fn apply_update(&mut self, news: &CacheUpdate, now: Time) {
        let position = self.positions.entry(news.holder).or_default();
        *position += u64::from(news.new_tokens);
        let mark = Mark {
            holder: news.holder,
            position: *position,
            used: now,
        };
        for key in &news.keys {
            let marks = self.marks.entry(*key).or_default();
            marks.retain(|m| m.holder != news.holder);
            marks.push(mark);
        }
        if self.marks.len() > PRUNE_FROM {
            self.prune(now);
        }
    }

    /// Returns how many leading parts of a chain an engine with `memory` tokens
    /// holds.
    #[must_use]
    pub fn depth(
        &self,
        holder: u64,
        chain: &[Link],
        memory: u64,
        certainty: Certainty,
        now: Time,
    ) -> usize {
        let kept = kept_tokens(memory, certainty);
        let held = |link: &&Link| self.holds(holder, link.key, kept, now);
        chain.iter().take_while(held).count()
    }

    /// Returns what each engine with `memory` tokens holds of a chain.
    ///
    /// One walk over the chain answers for all engines, as a choice compares each
    /// engine with every other one that it may fetch from.
    #[must_use]
    pub fn depths(&self, chain: &[Link], memory: u64, now: Time) -> HashMap<u64, Depths> {
        let likely = kept_tokens(memory, Certainty::Likely);
        let sure = kept_tokens(memory, Certainty::Sure);
        let mut depths: HashMap<u64, Depths> = HashMap::new();
        for (before, link) in chain.iter().enumerate() {
            let marks = self.marks.get(&link.key);
            for mark in marks.into_iter().flatten() {
                let depth = depths.entry(mark.holder).or_default();
                let gone_deeper = |depth| if depth == before { depth + 1 } else { depth };
                if self.is_kept(mark, likely, now) {
                    depth.likely = gone_deeper(depth.likely);
                }
                if self.is_kept(mark, sure, now) {
                    depth.sure = gone_deeper(depth.sure);
                }
            }
        }
        depths
    }

    /// Forgets everything about an engine that lost its memory.
    pub fn remove_holder(&mut self, holder: u64) {
        for marks in self.marks.values_mut() {
            marks.retain(|m| m.holder != holder);
        }
        self.positions.remove(&holder);
    }

    /// Returns what other instances have not been told yet.
    pub fn take_updates(&mut self) -> Vec<CacheUpdate> {
        std::mem::take(&mut self.news)
    }

    fn holds(&self, holder: u64, key: ChainKey, kept: u64, now: Time) -> bool {
        let marks = self.marks.get(&key);
        let mark = marks.and_then(|marks| marks.iter().find(|m| m.holder == holder));
        mark.is_some_and(|mark| self.is_kept(mark, kept, now))
    }

    /// Returns whether fewer than `kept` tokens came after a part.
    fn is_kept(&self, mark: &Mark, kept: u64, now: Time) -> bool {
        let position = self.positions.get(&mark.holder).copied();
        let since = position.unwrap_or_default().saturating_sub(mark.position);
        now.since(mark.used) < LONGEST_KEPT && since < kept
    }

    fn prune(&mut self, now: Time) {
        let recent = |mark: &Mark| now.since(mark.used) < LONGEST_KEPT;
        for marks in self.marks.values_mut() {
            marks.retain(recent);
        }
        self.marks.retain(|_, marks| !marks.is_empty());
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a part of a memory's size needs no exactness"
)]
fn kept_tokens(memory_tokens: u64, certainty: Certainty) -> u64 {
    (memory_tokens as f64 * certainty.kept_part()) as u64
}
