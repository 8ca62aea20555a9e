//! The health of upstreams and the outcomes of attempts that change it.

use std::time::Duration;

use crate::hash::mix;
use crate::units::Time;

/// The maximum number of doublings of the delay before a probe.
const MAX_DOUBLINGS: u32 = 5;

/// A `Health` is the health of an upstream as observed by this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The upstream responds.
    Healthy,
    /// The upstream has timed out and is used with a penalty.
    Suspect,
    /// The upstream is unreachable and receives no requests until a probe succeeds.
    Down {
        /// The earliest time of the next probe.
        probe_at: Time,
    },
    /// The upstream is new or has recovered, and its request limit rises gradually.
    Warming {
        /// The time at which the warm-up started.
        since: Time,
    },
}

/// An `AttemptOutcome` is the outcome of an attempt at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream responded.
    Responded,
    /// The attempt was cancelled for a reason unrelated to the upstream's health.
    Cancelled,
    /// The upstream did not respond in time.
    TimedOut,
    /// The connection was refused or reset.
    Unreachable,
}

/// Returns the delay before the next probe: doubled with each failure, with a jitter
/// between half and the full delay, so that instances don't probe at the same time.
pub(super) fn probe_delay(base: Duration, failures: u32, random: u64) -> Duration {
    let max_delay = base * (1 << failures.saturating_sub(1).min(MAX_DOUBLINGS));
    let jitter = u32::try_from(mix(random) % 512).unwrap_or(0);
    max_delay / 2 + max_delay * jitter / 1024
}
