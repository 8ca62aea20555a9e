//! The treatment of an engine's running requests when it loads weights.

use std::time::Duration;

/// What happens to an engine's running requests when it loads weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchMode {
    /// The engine loads once its requests have ended.
    AfterRuns,
    /// The engine aborts its requests; streams are resumed at other engines.
    CutRuns,
    /// The engine continues its requests with the new weights. Their further output is of
    /// little use, but the engine accepts new requests at once.
    KeepRuns,
}

/// Decides what happens to the running requests of an engine that is to load weights.
///
/// Returns `None` while the engine should drain a little longer. `requests` run there, of
/// which `fragile` cannot be continued elsewhere; `waited` is the time for which the
/// engine has got no new requests. Requests are aborted only if all of them can be
/// continued elsewhere and the retry budget covers that. When it is urgent, the engine
/// doesn't wait for its requests, as its capacity is needed more than their output.
#[must_use]
pub fn switch_mode(
    requests: u32,
    fragile: u32,
    retries_left: f64,
    waited: Duration,
    urgent: bool,
) -> Option<SwitchMode> {
    if fragile == 0 && f64::from(requests) <= retries_left {
        return Some(SwitchMode::CutRuns);
    }
    if urgent {
        return Some(SwitchMode::KeepRuns);
    }
    let keeps_draining = fragile > 0 && waited < MAX_DRAIN_TIME;
    (!keeps_draining).then_some(SwitchMode::AfterRuns)
}

/// The longest time for which an engine drains requests that cannot be continued
/// elsewhere.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(900);
