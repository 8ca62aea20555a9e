//! Newer versions of the configuration that peers have applied.
//!
//! An instance may learn from a peer that its configuration is outdated before it can read
//! the newer one. What it finds missing then may exist.

use std::time::Duration;

use limpetsaddle_core::units::Time;

/// The number of versions that are kept with the time at which they were learned.
const MAX_VERSIONS: usize = 16;

/// The versions that peers have reported and this instance has not applied, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct NewerVersions {
    learned: Vec<(u64, Time)>,
}

impl NewerVersions {
    /// Records that a peer has applied `version`, and returns whether it is newer than
    /// `applied`, the version in force here.
    pub fn record(&mut self, version: u64, applied: u64, now: Time) -> bool {
        if version <= applied {
            return false;
        }
        if self.newest().is_none_or(|newest| version > newest) {
            if self.learned.len() >= MAX_VERSIONS {
                self.learned.remove(1);
            }
            self.learned.push((version, now));
        }
        true
    }

    /// Records that `version` is in force here.
    pub fn record_applied(&mut self, version: u64) {
        self.learned.retain(|(learned, _)| *learned > version);
    }

    /// Returns the newest version that was reported, if it is not in force here.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.learned.last().map(|(version, _)| *version)
    }

    /// Returns the time since which a newer version is known.
    #[must_use]
    pub fn known_for(&self, now: Time) -> Option<Duration> {
        self.learned.first().map(|(_, at)| now.since(*at))
    }
}

/// How far an instance may rely on its configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reliance {
    /// It is in force.
    Full,
    /// A newer one may be in force: what is missing in this one may exist, and what it holds
    /// may be used.
    Partial,
    /// A newer one has been in force for longer than this one may be used.
    Outdated,
}

impl Reliance {
    /// Returns how far a configuration may be relied on whose last confirmation has the age
    /// `age`. `bound` is the time within which a new version must be in force everywhere.
    ///
    /// Peers report a version with a delay, so only half of the bound remains after the first
    /// report.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::newer_versions::NewerVersions;
    /// use limpetsaddle_fleet::newer_versions::Reliance;
    ///
    /// let bound = Duration::from_secs(2);
    /// let age = Some(Duration::from_millis(400));
    /// let mut newer = NewerVersions::default();
    /// assert_eq!(Reliance::on(&newer, age, bound, Time::ZERO), Reliance::Full);
    /// newer.record(8, 7, Time::ZERO);
    /// assert_eq!(Reliance::on(&newer, age, bound, Time::ZERO), Reliance::Partial);
    /// let later = Time::ZERO + bound;
    /// assert_eq!(Reliance::on(&newer, age, bound, later), Reliance::Outdated);
    /// ```
    #[must_use]
    pub fn on(newer: &NewerVersions, age: Option<Duration>, bound: Duration, now: Time) -> Self {
        match newer.known_for(now) {
            Some(known) if known >= bound / 2 => Self::Outdated,
            Some(_) => Self::Partial,
            None if age.is_none_or(|age| age >= bound) => Self::Partial,
            None => Self::Full,
        }
    }
}
