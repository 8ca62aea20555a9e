//! Limits that upstreams set for all instances together.
//!
//! An upstream in need says in its answers how many requests a second it takes from the
//! fleet; the limit lasts until an answer omits it.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::availability::Source;

/// A number of requests per second, in thousandths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// The lowest rate that is used: a lower one would hide the end of the limit.
    const MIN: Self = Self(100);

    /// Returns a rate, which is capped at the ends of the range that is used.
    ///
    /// ```
    /// use limpetsaddle_fleet::upstream_limit::RequestRate;
    ///
    /// let rate = RequestRate::per_second(1.9);
    /// assert!((rate.as_per_second() - 1.9).abs() < 1e-9);
    /// assert!(RequestRate::per_second(0.0).as_per_second() > 0.0);
    /// assert!(RequestRate::per_second(1e300) > rate);
    /// ```
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "the value is in range")]
    #[expect(clippy::cast_sign_loss, reason = "the value is in range")]
    pub fn per_second(rate: f64) -> Self {
        let thousandths = (rate * 1_000.0).clamp(f64::from(Self::MIN.0), f64::from(u32::MAX));
        Self(thousandths as u32)
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn as_per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// What an answer says of its upstream's limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitNotice {
    /// Nothing can be told from it.
    #[default]
    Unknown,
    /// The upstream takes no more than this rate.
    Limited {
        /// The rate.
        rate: RequestRate,
        /// Whether the answer has the upstream's signature.
        is_signed: bool,
    },
    /// The upstream has no limit, as far as answers of this kind name one.
    Unlimited {
        /// The time at which the answered call was sent.
        sent: Time,
        /// Whether the answer has the upstream's signature.
        is_signed: bool,
    },
}

/// The limit that an upstream has set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NamedLimit {
    /// The rate.
    pub rate: RequestRate,
    /// The latest time at which the upstream may have said so.
    pub heard: Time,
    /// The time from which it has had a limit.
    pub since: Time,
    /// How this instance learned of it first.
    pub source: Source,
}

/// The limit of an incarnation, as far as it is known.
///
/// An answer without a limit ends it only if the answered call was sent after the limit was
/// last named: answers may overtake each other.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_fleet::availability::Source;
/// use limpetsaddle_fleet::upstream_limit::LimitRecord;
/// use limpetsaddle_fleet::upstream_limit::RequestRate;
///
/// let at = |ms| Time::from_origin(Duration::from_millis(ms));
/// let mut record = LimitRecord::default();
/// record.limit(RequestRate::per_second(2.0), at(100), Source::Answer);
/// assert!(!record.lift(at(90)));
/// assert!(record.named().is_some());
/// assert!(record.lift(at(110)));
/// assert!(record.named().is_none());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitRecord {
    named: Option<NamedLimit>,
    /// The latest time at which the upstream is known to have had no limit.
    lifted: Option<Time>,
    /// Whether an answer without a signature has named a limit, so that others would too.
    is_named_unsigned: bool,
}

impl LimitRecord {
    /// Returns the limit in force.
    #[must_use]
    pub const fn named(&self) -> Option<NamedLimit> {
        self.named
    }

    /// Records that the upstream may have set a limit as late as `heard`, and returns whether
    /// that changes the limit.
    pub fn limit(&mut self, rate: RequestRate, heard: Time, source: Source) -> bool {
        if self.lifted.is_some_and(|lifted| heard < lifted) {
            return false;
        }
        let Some(named) = &mut self.named else {
            self.named = Some(NamedLimit {
                rate,
                heard,
                since: heard,
                source,
            });
            return true;
        };
        named.since = named.since.min(heard);
        if heard < named.heard {
            return false;
        }
        let is_new = named.rate != rate;
        named.rate = rate;
        named.heard = heard;
        is_new
    }

    /// Records that an answer without a signature has named a limit.
    pub const fn record_unsigned(&mut self) {
        self.is_named_unsigned = true;
    }

    /// Returns whether an answer without a limit tells that there is none.
    #[must_use]
    pub const fn is_told_by(&self, is_signed: bool) -> bool {
        is_signed || self.is_named_unsigned
    }

    /// Records that the upstream has had no limit at `at` or later, and returns whether that
    /// ends one.
    pub fn lift(&mut self, at: Time) -> bool {
        self.lifted = self.lifted.max(Some(at));
        let is_ended = self.named.is_some_and(|named| named.heard < at);
        if is_ended {
            self.named = None;
        }
        is_ended
    }

    /// Records that the limit in force, if there is one, was set at `since` or earlier.
    pub fn date_back(&mut self, since: Time) {
        if let Some(named) = &mut self.named {
            named.since = named.since.min(since);
        }
    }

    /// Returns the time since the upstream was last known to have no limit.
    #[must_use]
    pub fn lifted_for(&self, now: Time) -> Option<Duration> {
        self.lifted.map(|at| now.since(at))
    }
}
