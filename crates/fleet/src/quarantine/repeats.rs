//! Requests that come again with the same content, and end each upstream that runs them.
//!
//! A request that was never answered is withheld after few crashes: a sound one is answered by
//! the next upstream, and rarely caught in several crashes before. One that was answered shortly
//! before may be busy enough to be present at many ordinary crashes, so that these must come one
//! after the other, and for longer.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use super::crash::Crash;
use super::evidence::CrashLog;
use super::evidence::Explained;
use super::options::QuarantineOptions;
use super::subject::Subject;
use crate::request_key::RequestKey;
use crate::runs::CrashedRun;

/// What the crashes say of a request since it was last answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestEvidence {
    /// The content.
    pub key: RequestKey,
    /// The first of the crashes.
    pub first: Time,
    /// The last of them.
    pub last: Time,
    /// The processes that have ended beside the request.
    pub crashes: usize,
    /// Those that have certainly ended.
    certain: usize,
    /// The most of them that came one after the other: each began to run the request after the
    /// end before.
    pub in_turn: usize,
    /// Whether the request was answered shortly before the first crash.
    pub was_answered: bool,
    /// How much the times differ from the sending of the request to the end.
    spread_ms: u16,
}

impl RequestEvidence {
    /// Returns whether the crashes suffice to withhold the request.
    fn suffices(&self, options: &QuarantineOptions, now: Time) -> bool {
        let requests = &options.requests;
        let is_cause = !self.was_answered
            || self.in_turn >= requests.min_crashes_of_answered
                && self.last.since(self.first) >= requests.min_span_of_answered;
        is_cause
            && self.certain >= requests.min_crashes
            && now.since(self.first) >= options.settle_time
    }

    /// Orders evidence by its strength. Of two requests that were present at the same crashes,
    /// the one that each upstream ran for the same time has the stronger.
    const fn strength(&self) -> (bool, usize, Reverse<u16>, RequestKey) {
        (
            !self.was_answered,
            self.crashes,
            Reverse(self.spread_ms),
            self.key,
        )
    }
}

impl CrashLog {
    /// Returns what the crashes say of a request, apart from those that are `explained`, or
    /// `None` if there are none.
    pub fn request_evidence(
        &self,
        key: RequestKey,
        explained: Explained<'_>,
        options: &QuarantineOptions,
        now: Time,
    ) -> Option<RequestEvidence> {
        let open: Vec<&Crash> = self.unexplained(explained).collect();
        self.evidence_within(key, &open, options, now)
    }

    fn unexplained<'a>(&'a self, explained: Explained<'a>) -> impl Iterator<Item = &'a Crash> {
        self.crashes.iter().filter(move |crash| {
            !crash.involves_any(explained.parts) && !crash.involves_request(explained.requests)
        })
    }

    /// Returns what some of the crashes say of a request.
    fn evidence_within(
        &self,
        key: RequestKey,
        crashes: &[&Crash],
        options: &QuarantineOptions,
        now: Time,
    ) -> Option<RequestEvidence> {
        let survival = self.suspects.get(&Subject::Request(key))?.last_survival;
        let counted = crashes.iter().filter(|crash| Some(crash.at) > survival);
        let counted = counted.filter_map(|crash| Some((*crash, run_of(crash, key)?)));
        let mut counted: Vec<(&Crash, &CrashedRun)> = counted.collect();
        // An instance that was suspended may notice an end much later than others.
        counted.sort_by_key(|(crash, _)| (crash.process, crash.at));
        counted.dedup_by_key(|(crash, _)| crash.process);
        counted.sort_by_key(|(crash, _)| crash.at);
        let (first, last) = (counted.first()?.0.at, counted.last()?.0.at);
        let ages = || counted.iter().map(|(_, run)| run.age_ms);
        let was_answered =
            survival.is_some_and(|at| first.since(at) < options.requests.answered_time);
        Some(RequestEvidence {
            key,
            first,
            last,
            crashes: counted.len(),
            certain: counted
                .iter()
                .filter(|(crash, _)| crash.is_certain(options, now))
                .count(),
            in_turn: in_turn(&counted),
            was_answered,
            spread_ms: ages().max()?.saturating_sub(ages().min()?),
        })
    }

    /// Returns the request that explains the crashes best, if one suffices to be withheld.
    pub fn best_request(
        &self,
        explained: Explained<'_>,
        options: &QuarantineOptions,
        now: Time,
    ) -> Option<RequestEvidence> {
        let open: Vec<&Crash> = self.unexplained(explained).collect();
        let mut crashes: HashMap<RequestKey, usize> = HashMap::new();
        for run in open.iter().flat_map(|crash| &crash.runs) {
            *crashes.entry(run.key).or_default() += 1;
        }
        crashes.retain(|_, crashes| *crashes >= options.requests.min_crashes);
        let all = crashes.into_keys();
        let all = all.filter_map(|key| self.evidence_within(key, &open, options, now));
        all.filter(|evidence| evidence.suffices(options, now))
            .max_by_key(RequestEvidence::strength)
    }

    /// Returns the number of remembered crashes at which a request was present.
    pub fn crashes_of_request(&self, key: RequestKey) -> usize {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| run_of(crash, key).is_some()).count()
    }
}

/// Returns the run of a request that was not answered when a process ended, the latest one if
/// there are several.
fn run_of(crash: &Crash, key: RequestKey) -> Option<&CrashedRun> {
    let runs = crash.runs.iter();
    let runs = runs.filter(|run| run.key == key && !run.is_answered);
    runs.min_by_key(|run| run.age_ms)
}

/// Returns the number of crashes, in the order of their times, each of whose runs was sent after
/// the one before.
fn in_turn(crashes: &[(&Crash, &CrashedRun)]) -> usize {
    let mut last: Option<Time> = None;
    let mut number = 0;
    for (crash, run) in crashes {
        let age = Duration::from_millis(u64::from(run.age_ms));
        let sent = Time::from_origin(crash.at.since_origin().saturating_sub(age));
        if last.is_none_or(|last| sent >= last) {
            last = Some(crash.at);
            number += 1;
        }
    }
    number
}
