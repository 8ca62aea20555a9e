//! The state of health of an upstream and how it changes.

use std::time::Duration;

use crate::hash::mix;
use crate::units::Time;

/// The largest number of doublings of the delay before a probe.
const MAX_DOUBLINGS: u32 = 5;

/// A `Health` is the state of health of an upstream as this instance sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The upstream answers.
    Healthy,
    /// The upstream has not answered in time: it is used at a penalty.
    Suspect,
    /// The upstream refuses connections: it gets no work until a probe succeeds.
    Down {
        /// The earliest time of the next probe.
        probe_at: Time,
    },
    /// The upstream is new or has come back: its work is raised step by step.
    Warming {
        /// The time at which the upstream was first seen to answer.
        since: Time,
    },
}

/// An `AttemptOutcome` is how an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream answered.
    Responded,
    /// The attempt was given up for a cause that says nothing of the upstream.
    Cancelled,
    /// The upstream did not answer in time.
    TimedOut,
    /// The connection was refused or reset.
    Unreachable,
}

/// Returns the delay before the next probe: doubled per failure and jittered
/// between half and whole, so that instances do not probe at the same time.
pub(super) fn probe_delay(base: Duration, failures: u32, random: u64) -> Duration {
    let whole = base * (1 << failures.saturating_sub(1).min(MAX_DOUBLINGS));
    let part = u32::try_from(mix(random) % 512).unwrap_or(0);
    whole / 2 + whole * part / 1024
}
