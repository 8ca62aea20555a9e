//! The end of an upstream's process, and the requests that may have been the cause.

use std::collections::BTreeSet;

use limpetsaddle_core::units::Time;

use super::options::QuarantineOptions;
use crate::part_key::PartKey;
use crate::request_key::RequestKey;
use crate::runs::CrashedRun;

/// The largest number of suspects of one crash that are remembered.
const MAX_RUNS: usize = 48;

/// The number of suspects of one crash that are remembered however many parts they have: as many
/// as one instance reports.
const MIN_RUNS: usize = 8;

/// The largest number of parts of the further ones.
const MAX_PARTS: usize = 8 * 1_024;

/// The end of an upstream's process.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Distinguishes the crash from the others in its log.
    pub number: u64,
    pub process: u64,
    pub at: Time,
    /// Whether the process has ended, rather than being suspected to.
    pub is_confirmed: bool,
    /// The requests that may have been the cause.
    pub runs: Vec<CrashedRun>,
}

/// When a part is taken to end its engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Onset {
    /// Once the engine has begun to answer: the prompts that it had begun are suspects, if there
    /// are any.
    Answer,
    /// At any time after the arrival of the prompt: all prompts are suspects, also those of which
    /// no byte of an answer has arrived.
    Arrival,
}

impl Onset {
    /// All onsets.
    pub const ALL: [Self; 2] = [Self::Answer, Self::Arrival];

    /// Returns the time for which a prompt had been at the engine, or been answered, when the
    /// engine ended, in milliseconds.
    pub const fn elapsed_ms(self, run: &CrashedRun) -> Option<u16> {
        match self {
            Self::Answer => run.begun_ms,
            Self::Arrival => Some(run.age_ms),
        }
    }
}

impl Crash {
    /// Returns the prompts that may be the cause.
    pub fn suspects(&self, onset: Onset) -> impl Iterator<Item = &CrashedRun> {
        let any_begun = self.runs.iter().any(|run| run.begun_ms.is_some());
        let begun_only = onset == Onset::Answer && any_begun;
        let runs = self.runs.iter();
        runs.filter(move |run| run.begun_ms.is_some() || !begun_only)
    }

    /// Returns whether the process has ended as far as is known at `now`: one that is suspected
    /// to, once it has been silent for longer than a sound one.
    pub fn is_certain(&self, options: &QuarantineOptions, now: Time) -> bool {
        self.is_confirmed || now.since(self.at) >= options.max_silence
    }

    /// Returns whether the crash says something of a part beside `earlier` ones. A withheld
    /// request explains it, and counts once for its own parts.
    pub fn adds_to(
        &self,
        part: PartKey,
        withheld: &BTreeSet<RequestKey>,
        earlier: &[&Self],
    ) -> bool {
        let was_seen = |key: RequestKey| {
            let mut runs = earlier.iter().flat_map(|crash| &crash.runs);
            runs.any(|run| run.key == key)
        };
        let runs = self.runs.iter();
        let mut causes = runs.filter(|run| run.is_cause(withheld)).peekable();
        causes.peek().is_none() || causes.any(|run| run.parts.contains(part) && !was_seen(run.key))
    }

    /// Returns whether any prompt was present that shares parts with others.
    pub fn involves_parts(&self) -> bool {
        self.runs.iter().any(|run| !run.parts.is_empty())
    }

    /// Returns whether a request was present that was not answered.
    pub fn involves_request(&self, keys: &BTreeSet<RequestKey>) -> bool {
        self.runs.iter().any(|run| run.is_cause(keys))
    }

    pub fn involves(&self, part: PartKey, onset: Onset) -> bool {
        let mut suspects = self.suspects(onset);
        suspects.any(|run| run.parts.contains(part))
    }

    /// Returns whether any of these parts was present.
    pub fn involves_any(&self, parts: &BTreeSet<PartKey>) -> bool {
        self.is_explained_by(parts, Onset::Arrival)
    }

    pub fn is_explained_by(&self, parts: &BTreeSet<PartKey>, onset: Onset) -> bool {
        !parts.is_empty()
            && self
                .suspects(onset)
                .any(|run| run.parts.contains_any(parts))
    }

    /// Adds the suspects that another instance has seen, but those that it has sent after the
    /// end. Returns whether any is new, or has more parts, or the end was earlier than known.
    pub fn merge(&mut self, at: Time, runs: Vec<CrashedRun>) -> bool {
        let later = at.since(self.at);
        let earlier = self.at.since(at);
        let mut has_changed = !earlier.is_zero();
        self.at = self.at.min(at);
        self.runs.retain_mut(|run| run.move_end(earlier));
        for mut run in runs {
            if !run.move_end(later) {
                continue;
            }
            let known = self.runs.iter_mut().find(|r| r.request == run.request);
            if let Some(known) = known {
                known.begun_ms = known.begun_ms.or(run.begun_ms);
                // Reports of a long list of parts come in pieces.
                let parts = known.parts.union(&run.parts);
                has_changed |= parts.len() > known.parts.len();
                known.parts = parts;
            } else {
                has_changed = true;
                self.runs.push(run);
            }
        }
        self.runs.sort_by_key(CrashedRun::since_progress_ms);
        let mut parts = 0;
        let mut numbered = self.runs.iter().enumerate();
        let excess = numbered.find_map(|(index, run)| {
            parts += run.parts.len();
            (index >= MIN_RUNS && parts > MAX_PARTS).then_some(index)
        });
        self.runs.truncate(excess.unwrap_or(MAX_RUNS).min(MAX_RUNS));
        has_changed
    }
}
