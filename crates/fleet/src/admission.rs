//! Refusal of requests that no upstream can answer in time.
//!
//! Answers the load of days on which more prompts arrive than the engines can
//! read: a request whose first event is expected after its deadline is refused
//! at once, with the time after which the backlog has shrunk enough.

use std::time::Duration;

use crate::refusal::Reason;
use crate::refusal::Refusal;

/// The shortest time that a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The part of the time left within which the first event has to be expected.
const USABLE_FRACTION: f64 = 0.8;

/// Decides whether a request goes to the upstream that was chosen for it.
///
/// # Errors
///
/// Returns the refusal when the first event is expected too late.
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

/// The requests for each slot of a plain upstream beyond which it turns more
/// away: its queue holds about four times its slots.
const MAX_REQUESTS_PER_SLOT: u32 = 4;

/// Decides whether a request to a plain service finds room at the least loaded
/// upstream, which has `requests` for its `slots`.
///
/// # Errors
///
/// Returns the refusal when the upstream would turn the request away.
pub fn admit_plain(requests: u32, slots: u32) -> Result<(), Refusal> {
    if requests < slots.max(1).saturating_mul(MAX_REQUESTS_PER_SLOT) {
        return Ok(());
    }
    Err(Refusal::new(Reason::Overloaded).retry_after(MIN_RETRY_AFTER))
}
