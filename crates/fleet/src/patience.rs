//! The time for which a silent upstream is waited for before another one is tried beside it.
//!
//! Silence ends no attempt: the silent upstream keeps its request until the other one
//! responds, or until the overlap that the kind of request permits is over.

use std::time::Duration;

use crate::configuration::Route;
use crate::configuration::RouteKind;

/// Options for the patience with silent upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PatienceOptions {
    /// The divisor of the remaining time that gives the patience with a plain service.
    pub remaining_divisor: u32,
    /// The shortest patience with a plain service.
    pub min_response: Duration,
    /// The time beyond twice the expected latency in which an engine may send the first
    /// event.
    pub first_event_slack: Duration,
    /// The longest time in which two engines may run the same request.
    pub overlap: Duration,
}

impl Default for PatienceOptions {
    fn default() -> Self {
        Self {
            remaining_divisor: 2,
            min_response: Duration::from_millis(150),
            first_event_slack: Duration::from_secs(2),
            overlap: Duration::from_millis(250),
        }
    }
}

impl PatienceOptions {
    /// Returns the time after which an upstream that has not responded counts as silent, or
    /// `None` if no other upstream may run the request.
    ///
    /// `expected` is the expected latency, and `remaining` the time until the deadline.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_fleet::configuration::RouteKind;
    /// use limpetsaddle_fleet::patience::PatienceOptions;
    ///
    /// let patience = PatienceOptions::default();
    /// let remaining = Duration::from_secs(4);
    /// let wait = |kind| patience.until_response(kind, Duration::ZERO, remaining);
    /// assert_eq!(wait(RouteKind::Idempotent), Some(Duration::from_secs(2)));
    /// assert_eq!(wait(RouteKind::NonIdempotent), None);
    /// ```
    #[must_use]
    pub fn until_response(
        &self,
        kind: RouteKind,
        expected: Duration,
        remaining: Duration,
    ) -> Option<Duration> {
        let patience = match kind {
            RouteKind::NonIdempotent | RouteKind::Stream { resumable: false } => return None,
            RouteKind::Idempotent => (remaining / self.remaining_divisor).max(self.min_response),
            RouteKind::Stream { resumable: true } => expected * 2 + self.first_event_slack,
        };
        (patience < remaining).then_some(patience)
    }

    /// Returns the pause between two events after which an engine counts as silent, or
    /// `None` if no other engine may continue the stream.
    ///
    /// Leaves the rest of the callers' own patience to the other engine.
    #[must_use]
    pub fn until_event(&self, route: &Route) -> Option<Duration> {
        match route.kind {
            RouteKind::Stream { resumable: true } => Some(route.caller_patience * 3 / 5),
            _ => None,
        }
    }

    /// Returns the longest time in which the silent upstream and another one may both run a
    /// request, or `None` if it is not limited.
    #[must_use]
    pub const fn overlap(&self, kind: RouteKind) -> Option<Duration> {
        match kind {
            RouteKind::Stream { .. } => Some(self.overlap),
            RouteKind::Idempotent | RouteKind::NonIdempotent => None,
        }
    }
}
