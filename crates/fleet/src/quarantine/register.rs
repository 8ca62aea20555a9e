//! What is withheld or was released, as all instances agree on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

use super::answers::AnswerSample;
use super::options::RequestOptions;
use super::subject::Subject;
use crate::part_key::PartKey;
use crate::request_key::RequestKey;

/// The largest number of parts that are remembered, and of requests.
pub const MAX_ENTRIES: usize = 64;

/// The time between two reports that an entry is still needed.
const TOUCH_INTERVAL: Duration = Duration::from_mins(5);

/// Whether requests are sent to upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// They are refused.
    Withheld,
    /// They were refused, and are sent again.
    Released,
}

/// What the fleet has decided about a part or a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The part or the request.
    #[serde(flatten)]
    pub subject: Subject,
    /// The number of times that it was withheld.
    pub generation: u32,
    /// The state.
    pub state: State,
    /// The crashes at which it was present when it was withheld.
    pub crashes: u32,
    /// When it was withheld, in milliseconds since the Unix epoch, by the clock of the instance
    /// that decided.
    pub since_ms: u64,
    /// The number of times that a withheld request was sent nevertheless, to see whether it is
    /// answered by now.
    #[serde(default)]
    pub trials: u32,
}

impl Entry {
    /// Returns whether this entry replaces `other`: something may be released, and after that
    /// withheld once more.
    fn replaces(&self, other: &Self) -> bool {
        let order = |entry: &Self| (entry.generation, entry.state, entry.trials);
        order(self) > order(other)
    }
}

/// The content of the record at the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// The entries of parts, in their order.
    pub parts: Vec<Entry>,
    /// The entries of requests, in their order.
    #[serde(default)]
    pub requests: Vec<Entry>,
    /// Answers by which a restarted instance judges crashes until it has got enough itself.
    #[serde(default)]
    pub answers: AnswerSample,
}

impl QuarantineRecord {
    /// Returns all entries, no more of each kind than are remembered.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        let parts = self.parts.iter().take(MAX_ENTRIES);
        parts.chain(self.requests.iter().take(MAX_ENTRIES))
    }
}

#[derive(Clone, Debug)]
struct Held {
    entry: Entry,
    /// When the subject was last refused, or the entry last changed.
    needed: Time,
    /// When others were last told that it is needed.
    told: Time,
    /// When it was last withheld or tried.
    since: Time,
}

/// The entries of all parts and requests.
#[derive(Clone, Debug, Default)]
pub struct Register {
    entries: BTreeMap<Subject, Held>,
    withheld_parts: BTreeSet<PartKey>,
    withheld_requests: BTreeSet<RequestKey>,
    /// The withheld subjects that were removed to make room.
    displaced: Vec<Subject>,
}

impl Register {
    /// Returns the withheld parts.
    pub const fn withheld_parts(&self) -> &BTreeSet<PartKey> {
        &self.withheld_parts
    }

    /// Returns the withheld requests.
    pub const fn withheld_requests(&self) -> &BTreeSet<RequestKey> {
        &self.withheld_requests
    }

    /// Returns whether nothing was ever withheld, as far as is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an entry.
    pub fn get(&self, subject: Subject) -> Option<&Entry> {
        self.entries.get(&subject).map(|held| &held.entry)
    }

    /// Returns when a subject was last withheld or tried.
    pub fn since(&self, subject: Subject) -> Option<Time> {
        self.entries.get(&subject).map(|held| held.since)
    }

    /// Returns the entries with the time since each was last needed, and since it was last
    /// withheld or tried.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (&Entry, Duration, Duration)> {
        let all = self.entries.values();
        all.map(move |held| (&held.entry, now.since(held.needed), now.since(held.since)))
    }

    /// Returns the record with all entries, in their order.
    pub fn to_record(&self, answers: AnswerSample) -> QuarantineRecord {
        let entries = self.entries.values().map(|held| held.entry.clone());
        let is_part = |entry: &Entry| matches!(entry.subject, Subject::Part(_));
        let (parts, requests) = entries.partition(is_part);
        QuarantineRecord {
            parts,
            requests,
            answers,
        }
    }

    /// Returns whether a record lacks what this register knows.
    pub fn exceeds(&self, record: &QuarantineRecord) -> bool {
        self.entries.values().any(|held| {
            let mut stored = record.entries();
            let stored = stored.find(|entry| entry.subject == held.entry.subject);
            stored.is_none_or(|stored| held.entry.replaces(stored))
        })
    }

    /// Takes over an entry that was last needed at `needed`, and withheld or tried at `since`.
    /// Returns whether it has replaced the known one.
    pub fn merge(&mut self, entry: Entry, needed: Time, since: Time) -> bool {
        let subject = entry.subject;
        if let Some(known) = self.entries.get_mut(&subject) {
            known.needed = known.needed.max(needed);
            if !entry.replaces(&known.entry) {
                return false;
            }
        }
        self.unmark(subject);
        match (entry.state, subject) {
            (State::Withheld, Subject::Part(key)) => _ = self.withheld_parts.insert(key),
            (State::Withheld, Subject::Request(key)) => _ = self.withheld_requests.insert(key),
            (State::Released, _) => (),
        }
        self.entries.insert(
            subject,
            Held {
                entry,
                needed,
                told: needed,
                since,
            },
        );
        self.bound();
        true
    }

    fn unmark(&mut self, subject: Subject) {
        match subject {
            Subject::Part(key) => self.withheld_parts.remove(&key),
            Subject::Request(key) => self.withheld_requests.remove(&key),
        };
    }

    /// Withholds a subject, and returns its entry.
    pub fn withhold(&mut self, subject: Subject, crashes: u32, since_ms: u64, now: Time) -> Entry {
        let known = self.get(subject);
        let entry = Entry {
            subject,
            generation: known.map_or(1, |entry| entry.generation + 1),
            state: State::Withheld,
            crashes,
            since_ms,
            trials: 0,
        };
        self.merge(entry.clone(), now, now);
        entry
    }

    /// Releases a subject, and returns its entry if it was withheld.
    pub fn release(&mut self, subject: Subject, now: Time) -> Option<Entry> {
        let known = self.get(subject)?;
        let entry = Entry {
            state: State::Released,
            ..known.clone()
        };
        self.merge(entry.clone(), now, now).then_some(entry)
    }

    /// Records that a withheld request is sent once, if it is time to try it at this instance,
    /// and returns its entry. `place` is the instance's among all `instances`.
    pub fn begin_trial(
        &mut self,
        key: RequestKey,
        place: usize,
        options: &RequestOptions,
        now: Time,
    ) -> Option<Entry> {
        let held = self.entries.get(&Subject::Request(key))?;
        let trials = usize::try_from(held.entry.trials).unwrap_or(usize::MAX);
        let is_withheld = held.entry.state == State::Withheld;
        let due_after = options.trial_times.get(trials).filter(|_| is_withheld)?;
        let due_for = now.since(held.since).checked_sub(*due_after)?;
        let intervals = due_for.as_millis() / options.trial_interval.as_millis().max(1);
        // The instances that get such requests are few at first, so that only one tries it.
        let instances = u32::try_from(intervals).ok();
        let instances = instances.and_then(|doublings| 1_usize.checked_shl(doublings));
        if place >= instances.unwrap_or(usize::MAX) {
            return None;
        }
        let entry = Entry {
            trials: held.entry.trials + 1,
            ..held.entry.clone()
        };
        self.merge(entry.clone(), now, now).then_some(entry)
    }

    /// Records that something withheld was refused, and returns whether others are to be told.
    pub fn touch(&mut self, subject: Subject, now: Time) -> bool {
        let Some(held) = self.entries.get_mut(&subject) else {
            return false;
        };
        held.needed = held.needed.max(now);
        let is_due = now.since(held.told) >= TOUCH_INTERVAL;
        if is_due {
            held.told = now;
        }
        is_due
    }

    /// Returns what is withheld and was not asked for in a time of `span`.
    pub fn unneeded(&self, span: Duration, now: Time) -> Vec<Subject> {
        let all = self.iter(now);
        let all = all.filter(|(entry, idle, _)| entry.state == State::Withheld && *idle >= span);
        all.map(|(entry, ..)| entry.subject).collect()
    }

    /// Removes released entries that are older than `span`.
    pub fn forget_released(&mut self, span: Duration, now: Time) {
        self.entries
            .retain(|_, held| held.entry.state == State::Withheld || now.since(held.needed) < span);
    }

    /// Takes the subjects that were removed to make room.
    pub fn take_displaced(&mut self) -> Vec<Subject> {
        std::mem::take(&mut self.displaced)
    }

    /// Keeps the number of entries of each kind bounded: of the released ones, then of all,
    /// those that were not needed for longest are removed.
    fn bound(&mut self) {
        for kind in ["part", "request"] {
            let is_kind = |held: &&Held| held.entry.subject.kind() == kind;
            while self.entries.values().filter(is_kind).count() > MAX_ENTRIES {
                let order = |held: &&Held| (held.entry.state == State::Withheld, held.needed);
                let all = self.entries.values().filter(is_kind);
                let Some(subject) = all.min_by_key(order).map(|held| held.entry.subject) else {
                    break;
                };
                self.entries.remove(&subject);
                self.unmark(subject);
                self.displaced.push(subject);
            }
        }
    }
}
