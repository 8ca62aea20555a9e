//! Log lines and counters of responses that end before they are complete, and of
//! connections that are closed between requests.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_http::Error as HttpError;
use log::info;

use super::exchange::AcceptedRequest;
use super::instance::FleetInstance;
use crate::clock::millis;

/// The reason why a caller did not get a complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutOffCause {
    /// The caller closed the connection.
    CallerClosed,
    /// The caller read nothing for the write timeout.
    CallerStalled,
    /// The request's deadline passed.
    DeadlineExceeded,
    /// The upstream failed, and the response is not continued elsewhere.
    Upstream(Failure),
}

impl CutOffCause {
    /// Returns the code in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller_closed",
            Self::CallerStalled => "caller_stalled",
            Self::DeadlineExceeded => "out_of_time",
            Self::Upstream(failure) => failure.code(),
        }
    }

    /// Returns the cause of a failed write to the caller.
    pub const fn of_write(error: &HttpError) -> Self {
        match error {
            HttpError::Timeout { .. } => Self::CallerStalled,
            _ => Self::CallerClosed,
        }
    }
}

/// Logs and counts a response that ended before it was complete. `upstream_byte_at` is
/// the time of the upstream's last byte.
pub fn record_cut_off(
    instance: &FleetInstance,
    accepted: &AcceptedRequest,
    placement: &Placement,
    cause: CutOffCause,
    upstream_byte_at: Time,
) {
    let now = instance.now();
    instance.metrics.record_cut_off(cause);
    info!(
        id = accepted.fields.id.as_deref().unwrap_or_default(),
        cause = cause.code(),
        route:display = accepted.route.name,
        upstream:display = placement.upstream,
        upstream_silent_ms = millis(now.since(upstream_byte_at)),
        since_request_ms = millis(now.since(accepted.arrived)),
        since_configuration_ms = since_ms(instance.configured_at.get(), now),
        since_stop_ms = since_ms(instance.stop_began(), now);
        "response cut off"
    );
}

/// The reason why the instance closes a connection between two requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdleCloseCause {
    /// The connection was idle for longer than the limit.
    IdleLimit,
    /// The instance stops.
    Stop,
}

impl IdleCloseCause {
    /// Returns the code in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::IdleLimit => "idle_limit",
            Self::Stop => "stop",
        }
    }
}

/// Logs and counts the closing of a connection that was idle since `since`.
pub fn record_idle_close(
    instance: &FleetInstance,
    cause: IdleCloseCause,
    since: Time,
    limit: Duration,
) {
    let now = instance.now();
    instance.metrics.record_idle_close(cause);
    info!(
        cause = cause.code(),
        idle_ms = millis(now.since(since)),
        limit_ms = millis(limit),
        since_configuration_ms = since_ms(instance.configured_at.get(), now),
        since_stop_ms = since_ms(instance.stop_began(), now);
        "idle connection closed"
    );
}

/// Returns the milliseconds since an event, or -1 if it has not happened.
fn since_ms(at: Option<Time>, now: Time) -> i64 {
    at.map_or(-1, |at| {
        i64::try_from(millis(now.since(at))).unwrap_or(i64::MAX)
    })
}
