//! The datagram by which instances tell each other of crashes and of what is withheld.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::encoding;
use super::register::Entry;
use super::register::State;
use super::standing::Standing;
use super::subject::Subject;
use crate::runs::CrashedRun;

/// The largest number of crashes in a report.
pub const MAX_CRASHES: usize = 8;

/// The largest number of prompts among the suspects of one crash in a report.
pub const MAX_RUNS: usize = 8;

/// The largest number of suspects of one crash in a report that are no prompts.
pub const MAX_PLAIN_RUNS: usize = 16;

/// The largest number of survivals in a report.
pub const MAX_SURVIVALS: usize = 1_024;

/// The end of an upstream's process, as one instance has seen or suspects it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The hash of the process; see [`process_hash`](crate::heartbeat::process_hash).
    pub process: u64,
    /// How certain the end is.
    pub standing: Standing,
    /// The time since then in milliseconds, or since the sign of life that shows that the process
    /// has not ended.
    pub age_ms: u32,
    /// The requests that may have been the cause. One with very many parts comes in pieces, in
    /// several reports.
    pub runs: Vec<CrashedRun>,
}

/// The last time at which an answer on a part was well under way, or a request was answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SurvivalReport {
    /// The part or the request.
    pub subject: Subject,
    /// The time since then in milliseconds.
    pub age_ms: u32,
}

/// An entry of the quarantine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryReport {
    subject: Subject,
    generation: u32,
    state: State,
    crashes: u32,
    since_ms: u64,
    trials: u32,
    /// The time since the subject was last refused, in milliseconds.
    pub idle_ms: u32,
    /// The time since it was last withheld or tried, in milliseconds.
    pub held_ms: u32,
}

impl EntryReport {
    /// Returns the report of an entry that was last needed, and last withheld or tried, such
    /// times ago.
    #[must_use]
    pub fn new(entry: &Entry, idle: Duration, held: Duration) -> Self {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        Self {
            subject: entry.subject,
            generation: entry.generation,
            state: entry.state,
            crashes: entry.crashes,
            since_ms: entry.since_ms,
            trials: entry.trials,
            idle_ms: millis(idle),
            held_ms: millis(held),
        }
    }

    /// Returns what the entry is of.
    #[must_use]
    pub const fn subject(&self) -> Subject {
        self.subject
    }

    /// Returns the entry.
    #[must_use]
    pub const fn entry(&self) -> Entry {
        Entry {
            subject: self.subject,
            generation: self.generation,
            state: self.state,
            crashes: self.crashes,
            since_ms: self.since_ms,
            trials: self.trials,
        }
    }
}

/// What an instance reports to all others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineReport {
    /// The sender's name.
    pub sender: String,
    /// The crashes that the sender has seen lately.
    pub crashes: Vec<CrashReport>,
    /// What the sender's answers say for what other instances suspect.
    pub survivals: Vec<SurvivalReport>,
    /// What is withheld or was released.
    pub entries: Vec<EntryReport>,
}

/// The reason for which a report cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The encoding is invalid.
    #[error("the report of crashes is malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// The report has more items than instances send.
    #[error("the report of crashes has {items} {kind}, more than an instance sends")]
    Oversized {
        /// The number of items.
        items: usize,
        /// What they are.
        kind: &'static str,
    },
    /// A list of parts refers to more parts of the one before than that has.
    #[error("a list of parts begins with {shared} parts of a list of {length}")]
    InvalidList {
        /// The number of parts.
        shared: usize,
        /// The number of parts of the list before.
        length: usize,
    },
}

impl QuarantineReport {
    /// Returns a report without items.
    #[must_use]
    pub fn new(sender: &str) -> Self {
        Self {
            sender: sender.to_owned(),
            ..Self::default()
        }
    }

    /// Returns whether a datagram has the layout of a report.
    #[must_use]
    pub fn is_report(datagram: &[u8]) -> bool {
        encoding::is_report(datagram)
    }

    /// Returns whether there is nothing to report.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty() && self.entries.is_empty()
    }

    /// Encodes the report as a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError::Malformed`] if the report cannot be encoded.
    ///
    /// ```
    /// use limpetsaddle_fleet::quarantine::QuarantineReport;
    ///
    /// let report = QuarantineReport::new("a-1");
    /// let datagram = report.encode()?;
    /// assert!(QuarantineReport::is_report(&datagram));
    /// assert_eq!(QuarantineReport::decode(&datagram)?, report);
    /// # Ok::<(), limpetsaddle_fleet::quarantine::ReportError>(())
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, ReportError> {
        encoding::encode(self)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError`] if the bytes are not a report that an instance sends.
    pub fn decode(datagram: &[u8]) -> Result<Self, ReportError> {
        encoding::decode(datagram)
    }
}

/// Returns the time since `at` as reports carry it.
pub fn age_ms(at: Time, now: Time) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time at which something happened that a report received at `now` tells of.
pub fn time_of(age_ms: u32, now: Time) -> Time {
    let age = Duration::from_millis(u64::from(age_ms));
    Time::from_origin(now.since_origin().saturating_sub(age))
}
