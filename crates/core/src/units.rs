//! Units and numeric identifiers.
//!
//! Provides newtypes for tokens, rates, points in time, revisions, incarnations,
//! fencing numbers and weights versions, so that they cannot be confused.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A number of model tokens.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Returns the difference, or zero if `other` is larger.
    ///
    /// ```
    /// use limpetsaddle_core::units::Tokens;
    ///
    /// assert_eq!(Tokens(3).saturating_sub(Tokens(5)), Tokens::ZERO);
    /// ```
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        self.0 += other.0;
    }
}

impl Sub for Tokens {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A rate in tokens per second.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct TokenRate(pub u64);

/// A point in time on the monotonic clock of an instance.
///
/// Only differences between values of the same process are meaningful.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(Duration);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Returns the time `elapsed` after the origin of the clock.
    ///
    /// ```
    /// use limpetsaddle_core::units::Time;
    /// use std::time::Duration;
    ///
    /// let t = Time::from_origin(Duration::from_secs(2));
    /// assert_eq!(t.since(Time::ZERO), Duration::from_secs(2));
    /// ```
    #[must_use]
    pub const fn from_origin(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time elapsed since the origin of the clock.
    #[must_use]
    pub const fn since_origin(self) -> Duration {
        self.0
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0 + span)
    }
}

/// The number that the platform assigns to a write, increasing over all objects.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision that stands for an absent object.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A random number generated at each start of a process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// An increasing number that orders the successive holders of a lease.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

/// The version of a model's weights.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct WeightsVersion(pub u64);
