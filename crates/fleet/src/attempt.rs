//! What follows a failed try of a request at an upstream.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::configuration::RouteKind;
use crate::health::RequestOutcome;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// A `Failure` is how one try at an upstream went wrong.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// No connection could be established, so that nothing was sent.
    ConnectFailed,
    /// The upstream said that it did not run the request.
    Rejected,
    /// The address belongs to another upstream or other weights now.
    Misdirected,
    /// The connection broke before a whole answer.
    ConnectionLost,
    /// What came was not an answer to this request.
    InvalidResponse,
    /// The upstream reported a failure of its own.
    UpstreamError,
    /// Nothing came in time.
    TimedOut,
}

impl Failure {
    /// Every failure.
    pub const ALL: [Self; 7] = [
        Self::ConnectFailed,
        Self::Rejected,
        Self::Misdirected,
        Self::ConnectionLost,
        Self::InvalidResponse,
        Self::UpstreamError,
        Self::TimedOut,
    ];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "unreachable",
            Self::Rejected => "turned_away",
            Self::Misdirected => "misdirected",
            Self::ConnectionLost => "broke",
            Self::InvalidResponse => "bad_answer",
            Self::UpstreamError => "errored",
            Self::TimedOut => "silent",
        }
    }

    /// Returns whether the upstream may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::ConnectFailed | Self::Rejected | Self::Misdirected => false,
            Self::ConnectionLost | Self::InvalidResponse | Self::UpstreamError | Self::TimedOut => {
                true
            }
        }
    }

    /// Returns what the failure says of the upstream's health.
    #[must_use]
    pub const fn outcome(self) -> Option<RequestOutcome> {
        match self {
            Self::ConnectFailed => Some(RequestOutcome::ConnectFailed),
            Self::Rejected | Self::Misdirected => None,
            Self::ConnectionLost | Self::InvalidResponse => Some(RequestOutcome::ConnectionLost),
            Self::UpstreamError => Some(RequestOutcome::UpstreamError),
            Self::TimedOut => Some(RequestOutcome::TimedOut),
        }
    }
}

/// A `NextStep` is what follows a failed try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// The request goes to another upstream.
    Retry,
    /// The caller gets this answer.
    GiveUp(Refusal),
}

/// The number of upstreams that may turn one request away before it is refused.
const MAX_REJECTIONS: u32 = 3;

/// The time after which a request that was turned away may find room.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The shortest time that makes another try worthwhile.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// The `Attempts` of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    kind: RouteKind,
    max_runs: u32,
    deadline: Time,
    runs: u32,
    rejections: u32,
}

impl Attempts {
    /// Returns the attempts of a request of which none was made.
    #[must_use]
    pub const fn new(kind: RouteKind, max_runs: u32, deadline: Time) -> Self {
        Self {
            kind,
            max_runs,
            deadline,
            runs: 0,
            rejections: 0,
        }
    }

    /// Returns whether an upstream may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Decides what follows a failed try; `budget` takes one retry from the
    /// instance's budget and is asked only when all else permits the retry.
    ///
    /// A request that may have run is sent again only where it may repeat, and
    /// to no more upstreams than the route permits.
    pub fn record_failure(
        &mut self,
        failure: Failure,
        now: Time,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        if failure.may_have_run() {
            self.runs += 1;
        } else {
            self.rejections += 1;
        }
        let repeatable = self.runs == 0 || self.kind.may_repeat();
        let left = self.runs < self.max_runs && self.rejections < MAX_REJECTIONS;
        let in_time = now + MIN_TIME_LEFT < self.deadline;
        if repeatable && left && in_time && (failure == Failure::ConnectFailed || budget()) {
            return NextStep::Retry;
        }
        NextStep::GiveUp(self.refusal(failure))
    }

    /// Returns the final answer when there is no upstream to try.
    #[must_use]
    pub const fn give_up(&self, reason: Reason, after: Duration) -> Refusal {
        if self.may_have_run() {
            return Refusal::new(Reason::UpstreamFailed);
        }
        Refusal::new(reason).retry_after(after)
    }

    const fn refusal(&self, failure: Failure) -> Refusal {
        if !self.may_have_run() {
            return Refusal::new(Reason::Rejected).retry_after(REJECTED_RETRY_AFTER);
        }
        match failure {
            Failure::TimedOut => Refusal::new(Reason::UpstreamTimeout),
            _ => Refusal::new(Reason::UpstreamFailed),
        }
    }
}
