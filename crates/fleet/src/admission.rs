//! Refusal of requests that no upstream can serve in time.
//!
//! When more prompts arrive than the engines can prefill, a request whose first event is
//! expected too late for its deadline is refused at once, with the time after which the
//! backlog is short enough.

use std::time::Duration;

use limpetsaddle_core::hash::mix;

use crate::refusal::Reason;
use crate::refusal::Refusal;

/// The shortest `Retry-After` time of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The fraction of the remaining time within which the first event must be expected.
const USABLE_FRACTION: f64 = 0.8;

/// Admits a request if its first event is expected early enough.
///
/// `expected` is the time to the first event at the selected upstream, and `left` the time
/// to the deadline.
///
/// # Errors
///
/// Returns the refusal if the first event is expected too late.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_fleet::admission::admit;
///
/// assert!(admit(Duration::from_millis(300), Duration::from_secs(4)).is_ok());
/// let refusal = admit(Duration::from_secs(9), Duration::from_secs(4)).unwrap_err();
/// assert!(refusal.retry_after >= Some(Duration::from_secs(5)));
/// ```
pub fn admit(expected: Duration, left: Duration) -> Result<(), Refusal> {
    let usable = left.mul_f64(USABLE_FRACTION);
    if expected <= usable {
        return Ok(());
    }
    let excess = expected.saturating_sub(usable).max(MIN_RETRY_AFTER);
    Err(Refusal::new(Reason::Overloaded).retry_after(excess))
}

/// The fraction of a caller's remaining time up to which it waits before it retries.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// The fraction of a wait by which it is spread.
const SPREAD_FRACTION: f64 = 0.5;

/// The part of the time that a caller waits at most from which on callers are spread.
const LATEST_FRACTION: f64 = 0.7;

/// Returns the time after which a refused caller best returns, where `wait` is the time until
/// there is room, `left` the time to the caller's deadline, and `random` spreads callers.
///
/// A caller waits for at most a third of the time it has left, and returns once. Where room
/// comes later, the end of that third is the best time.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_fleet::admission::spread_retry_after;
///
/// let after = spread_retry_after(Duration::from_secs(1), Duration::from_secs(9), 7);
/// assert!(after >= Duration::from_secs(1) && after <= Duration::from_millis(1_500));
/// let after = spread_retry_after(Duration::from_secs(9), Duration::from_secs(3), 7);
/// assert!(after >= Duration::from_millis(700) && after <= Duration::from_secs(1));
/// ```
#[must_use]
pub fn spread_retry_after(wait: Duration, left: Duration, random: u64) -> Duration {
    let honoured = left.mul_f64(HONOURED_FRACTION);
    let least = wait
        .max(MIN_RETRY_AFTER)
        .min(honoured.mul_f64(LATEST_FRACTION));
    let most = wait.max(MIN_RETRY_AFTER).mul_f64(1.0 + SPREAD_FRACTION);
    let span = most.min(honoured).saturating_sub(least);
    let draw = u32::try_from(mix(random) >> 40).unwrap_or(0);
    least + span.mul_f64(f64::from(draw) / f64::from(1_u32 << 24))
}

/// The requests per slot from which a plain upstream rejects more: its queue holds about
/// four times its slots.
const MAX_REQUESTS_PER_SLOT: u32 = 4;

/// Admits a request to a plain service if the least loaded upstream, with `requests` for
/// its `slots`, has room.
///
/// # Errors
///
/// Returns the refusal if the upstream would reject the request.
pub fn admit_plain(requests: u32, slots: u32) -> Result<(), Refusal> {
    if requests < slots.max(1).saturating_mul(MAX_REQUESTS_PER_SLOT) {
        return Ok(());
    }
    Err(Refusal::new(Reason::Overloaded).retry_after(MIN_RETRY_AFTER))
}
