//! Availability of upstreams for new calls.
//!
//! An upstream that leaves, or that asks for rest, says so in its answers. What it says is
//! bound to the incarnation that a call was sent to: a later entry at the platform, from
//! an older copy or with a higher number, doesn't make that incarnation available again,
//! and its successor at the same address or under the same id starts clean.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;
use crate::heartbeat::process_hash;
use crate::upstream_limit::LimitNotice;
use crate::upstream_limit::LimitRecord;
use crate::upstream_limit::RequestRate;

/// One run of an upstream's process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Incarnation {
    /// The upstream's id.
    pub upstream: Name,
    /// The start of the process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

impl Incarnation {
    /// Returns the hash in heartbeats; see [`process_hash`].
    #[must_use]
    pub fn process(&self) -> u64 {
        process_hash(&self.upstream, self.born_ms)
    }
}

/// Whether an incarnation may be called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It accepts calls.
    Serving,
    /// It wants no call from this instance for some time.
    Resting {
        /// The end of that time.
        until: Time,
    },
    /// It limits all instances together, and this one has no permit.
    Limited {
        /// The earliest time at which there may be a permit.
        until: Time,
    },
    /// It is shutting down and accepts no new calls.
    Leaving,
    /// It is not registered, or another process has taken its place.
    Gone,
}

impl Availability {
    /// Returns whether the upstream takes calls, if only with a permit.
    #[must_use]
    pub const fn is_serving(self) -> bool {
        matches!(self, Self::Serving | Self::Limited { .. })
    }

    /// Returns whether calls of any kind may be sent.
    ///
    /// ```
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::availability::Availability;
    ///
    /// assert!(Availability::Serving.accepts_calls());
    /// assert!(!Availability::Resting { until: Time::ZERO }.accepts_calls());
    /// ```
    #[must_use]
    pub const fn accepts_calls(self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Returns the code in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Resting { .. } => "resting",
            Self::Limited { .. } => "limited",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// What an upstream says about its availability in the head of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notices {
    /// Whether it leaves.
    pub leaving: bool,
    /// The time for which it wants no call from this instance.
    pub rest: Option<Duration>,
    /// The limit that it sets for all instances together.
    pub limit: LimitNotice,
}

/// How an instance learned that an upstream is not available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// By the upstream's answer.
    Answer,
    /// By another instance's heartbeat.
    Peer,
    /// By the upstream's entry at the platform.
    Entry,
}

impl Source {
    /// Returns the code in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer",
            Self::Entry => "entry",
        }
    }
}

/// A change of an incarnation's availability.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// It leaves.
    Leaving(Source),
    /// It rests, or rests for longer than before.
    Resting {
        /// The end of the rest.
        until: Time,
    },
    /// It has set a limit, or another one than before.
    Limited {
        /// The rate for all instances together.
        rate: RequestRate,
        /// How this instance learned of it.
        source: Source,
    },
    /// It has lifted its limit.
    Unlimited(Source),
    /// Another process has taken its place.
    Replaced,
    /// It may be called again: its rest has ended, or it has registered again.
    Freed,
    /// It is gone, and what it asked for no longer matters.
    Gone,
}

/// A change of availability, for logs and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AvailabilityChange {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The change.
    pub kind: ChangeKind,
}

/// Why an incarnation is not registered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Absence {
    /// Its entry was removed; it may register again.
    Removed,
    /// Its successor has registered.
    Succeeded,
}

/// What an instance knows of one incarnation's availability.
#[derive(Clone, Copy, Debug, Default)]
pub struct AvailabilityRecord {
    is_leaving: bool,
    resting_until: Option<Time>,
    absence: Option<Absence>,
    /// What it has said of its limit.
    pub limit: LimitRecord,
}

impl AvailabilityRecord {
    /// Returns the state at a time.
    #[must_use]
    pub fn state(&self, now: Time) -> Availability {
        if self.absence.is_some() {
            return Availability::Gone;
        }
        if self.is_leaving {
            return Availability::Leaving;
        }
        match self.resting_until {
            Some(until) if now < until => Availability::Resting { until },
            _ => Availability::Serving,
        }
    }

    /// Returns whether the incarnation stays, though it may rest for now.
    #[must_use]
    pub const fn stays(&self) -> bool {
        !self.is_leaving && self.absence.is_none()
    }

    /// Records that the incarnation leaves, and returns whether that is new.
    pub const fn leave(&mut self) -> bool {
        let is_new = !self.is_leaving;
        self.is_leaving = true;
        is_new
    }

    /// Records that the incarnation wants no call for `rest`, and returns the end if that
    /// prolongs its rest.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::availability::AvailabilityRecord;
    ///
    /// let mut record = AvailabilityRecord::default();
    /// assert!(record.rest(Duration::from_secs(4), Time::ZERO).is_some());
    /// assert!(record.rest(Duration::from_secs(1), Time::ZERO).is_none());
    /// assert!(record.rest(Duration::MAX, Time::ZERO).is_some());
    /// ```
    pub fn rest(&mut self, rest: Duration, now: Time) -> Option<Time> {
        let until = Time::from_origin(now.since_origin().saturating_add(rest));
        let is_longer = self.resting_until.is_none_or(|end| end < until);
        if !is_longer || rest.is_zero() {
            return None;
        }
        self.resting_until = Some(until);
        Some(until)
    }

    /// Records that the entry was removed, or that another process answers at its address.
    pub fn remove(&mut self) {
        self.absence.get_or_insert(Absence::Removed);
    }

    /// Records that a successor has registered.
    pub const fn succeed(&mut self) {
        self.absence = Some(Absence::Succeeded);
    }

    /// Returns whether a successor has registered.
    #[must_use]
    pub fn is_succeeded(&self) -> bool {
        self.absence == Some(Absence::Succeeded)
    }

    /// Records a newer entry. It undoes neither a rest nor a leaving.
    pub fn register(&mut self) {
        if self.absence == Some(Absence::Removed) {
            self.absence = None;
        }
    }

    /// Returns whether the record says nothing at a time.
    #[must_use]
    pub fn is_empty(&self, now: Time) -> bool {
        !self.is_leaving
            && self.absence.is_none()
            && self.limit.named().is_none()
            && self.resting_until.is_none_or(|u| u <= now)
    }
}
