//! The datagram by which instances tell each other of crashes and withheld parts.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::register::Entry;
use crate::part_key::PartKey;
use crate::runs::CrashedRun;

/// The version of the datagram's layout. It differs from those of heartbeats and notices,
/// which arrive at the same port.
const LAYOUT: u8 = 131;

/// The largest number of crashes in a report.
pub const MAX_CRASHES: usize = 8;

/// The largest number of suspects of one crash in a report.
pub const MAX_RUNS: usize = 8;

/// The largest number of survivals in a report.
pub const MAX_SURVIVALS: usize = 64;

/// The end of an engine's process, as one instance has seen it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The hash of the process; see [`process_hash`](crate::heartbeat::process_hash).
    pub process: u64,
    /// The time since then in milliseconds.
    pub age_ms: u32,
    /// The prompts that may have been the cause.
    pub runs: Vec<CrashedRun>,
}

/// The last time at which an answer on a part was well under way.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SurvivalReport {
    /// The part.
    pub part: PartKey,
    /// The time since then in milliseconds.
    pub age_ms: u32,
}

/// An entry of the quarantine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryReport {
    /// The entry.
    pub entry: Entry,
    /// The time since a prompt with the part was last refused, in milliseconds.
    pub idle_ms: u32,
}

/// What an instance reports to all others.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineReport {
    layout: u8,
    /// The sender's name.
    pub sender: String,
    /// The crashes that the sender has seen lately.
    pub crashes: Vec<CrashReport>,
    /// What the sender's prompts say for the parts that other instances suspect.
    pub survivals: Vec<SurvivalReport>,
    /// The parts that are withheld or were released.
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
}

impl QuarantineReport {
    /// Returns a report without items.
    #[must_use]
    pub fn new(sender: &str) -> Self {
        Self {
            layout: LAYOUT,
            sender: sender.to_owned(),
            ..Self::default()
        }
    }

    /// Returns whether a datagram has the layout of a report.
    #[must_use]
    pub fn is_report(datagram: &[u8]) -> bool {
        datagram.first() == Some(&LAYOUT)
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
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError`] if the bytes are not a report that an instance sends.
    pub fn decode(datagram: &[u8]) -> Result<Self, ReportError> {
        let report: Self = postcard::from_bytes(datagram)?;
        let runs = report.crashes.iter().map(|crash| crash.runs.len()).max();
        let bounds = [
            (report.crashes.len(), MAX_CRASHES, "crashes"),
            (runs.unwrap_or_default(), MAX_RUNS, "suspects of a crash"),
            (report.survivals.len(), MAX_SURVIVALS, "survivals"),
            (report.entries.len(), super::MAX_ENTRIES, "entries"),
        ];
        match bounds.iter().find(|(items, max, _)| items > max) {
            Some(&(items, _, kind)) => Err(ReportError::Oversized { items, kind }),
            None => Ok(report),
        }
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
