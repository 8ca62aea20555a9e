//! Retry decisions after failed attempts of a request.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::configuration::RouteKind;
use crate::health::RequestOutcome;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// The way in which one attempt at an upstream failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// No connection could be established, so nothing was sent.
    ConnectFailed,
    /// The upstream reported that it has not run the request.
    Rejected,
    /// The upstream became unavailable, or the request obsolete, before anything was sent.
    Withheld,
    /// The address now belongs to another upstream, or the upstream has other weights.
    Misdirected,
    /// The connection broke before the response was complete.
    ConnectionLost,
    /// The upstream sent no valid response to this request.
    InvalidResponse,
    /// The upstream responded with an error of its own.
    UpstreamError,
    /// No response arrived in time.
    TimedOut,
    /// The upstream had not begun the request when its weights had become too old.
    OutdatedWeights,
    /// The upstream had not begun the request when a part of its prompt was withheld.
    WithheldPart,
    /// The upstream had not begun the request when requests with its content were withheld.
    WithheldRequest,
    /// The stream leaves an upstream whose version of the software is replaced.
    Moved,
}

impl Failure {
    /// Every failure.
    pub const ALL: [Self; 12] = [
        Self::ConnectFailed,
        Self::Rejected,
        Self::Withheld,
        Self::Misdirected,
        Self::ConnectionLost,
        Self::InvalidResponse,
        Self::UpstreamError,
        Self::TimedOut,
        Self::OutdatedWeights,
        Self::WithheldPart,
        Self::WithheldRequest,
        Self::Moved,
    ];

    /// Returns the code in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "unreachable",
            Self::Rejected => "turned_away",
            Self::Withheld => "withheld",
            Self::Misdirected => "misdirected",
            Self::ConnectionLost => "broke",
            Self::InvalidResponse => "bad_answer",
            Self::UpstreamError => "errored",
            Self::TimedOut => "silent",
            Self::OutdatedWeights => "outdated",
            Self::WithheldPart => "withheld_part",
            Self::WithheldRequest => "withheld_request",
            Self::Moved => "moved",
        }
    }

    /// Returns whether the upstream has received anything.
    #[must_use]
    pub const fn was_sent(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::Withheld)
    }

    /// Returns whether the upstream may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::ConnectFailed | Self::Rejected | Self::Withheld | Self::Misdirected => false,
            // The engine may begin the request while the withdrawal is on its way.
            Self::ConnectionLost
            | Self::InvalidResponse
            | Self::UpstreamError
            | Self::TimedOut
            | Self::OutdatedWeights
            | Self::WithheldPart
            | Self::WithheldRequest
            | Self::Moved => true,
        }
    }

    /// Returns the outcome that the upstream's health records, if the failure counts there.
    #[must_use]
    pub const fn outcome(self) -> Option<RequestOutcome> {
        match self {
            Self::ConnectFailed => Some(RequestOutcome::ConnectFailed),
            Self::Rejected
            | Self::Withheld
            | Self::Misdirected
            | Self::OutdatedWeights
            | Self::WithheldPart
            | Self::WithheldRequest
            | Self::Moved => None,
            Self::ConnectionLost | Self::InvalidResponse => Some(RequestOutcome::ConnectionLost),
            Self::UpstreamError => Some(RequestOutcome::UpstreamError),
            Self::TimedOut => Some(RequestOutcome::TimedOut),
        }
    }
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// The request is sent to another upstream.
    Retry,
    /// It is sent to another upstream once the budget of retries permits: the caller has a part of
    /// the answer.
    RetryLater,
    /// The caller gets the refusal, or the upstream's error response.
    GiveUp(Refusal),
}

/// The number of upstreams that may reject a request before the caller is refused, or waits if it
/// has a part of the answer.
const MAX_REJECTIONS: u32 = 3;

/// The `Retry-After` time of a request that every attempted upstream rejected.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The shortest time before the deadline in which another attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Counts the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    kind: RouteKind,
    max_runs: u32,
    deadline: Time,
    runs: u32,
    rejections: u32,
    /// Whether the caller has a part of the answer.
    has_begun: bool,
}

impl Attempts {
    /// Returns the state of a request that was not sent yet.
    #[must_use]
    pub const fn new(kind: RouteKind, max_runs: u32, deadline: Time) -> Self {
        Self {
            kind,
            max_runs,
            deadline,
            runs: 0,
            rejections: 0,
            has_begun: false,
        }
    }

    /// Records that the caller has a part of the answer: the request can't be refused any more.
    pub const fn record_begin(&mut self) {
        self.has_begun = true;
        self.rejections = 0;
    }

    /// Returns whether the caller has a part of the answer.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Returns whether so many upstreams have rejected the request that the next attempt must
    /// wait.
    #[must_use]
    pub const fn must_wait(&self) -> bool {
        self.rejections >= MAX_REJECTIONS
    }

    /// Returns whether an upstream may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether a stream may be moved to another upstream while its own still runs it.
    #[must_use]
    pub fn may_move(&self, now: Time) -> bool {
        let left = self.runs + 1 < self.max_runs;
        left && self.kind.may_repeat() && now + MIN_TIME_LEFT < self.deadline
    }

    /// Records a failed attempt and decides whether to retry.
    ///
    /// `budget` withdraws one retry from the instance's budget; it is called only
    /// when everything else permits the retry. A request that may have run is sent
    /// again only if its route permits repetition, and runs at no more upstreams
    /// than the route permits.
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
        let left = self.runs < self.max_runs && (self.has_begun || !self.must_wait());
        let in_time = now + MIN_TIME_LEFT < self.deadline;
        if !(repeatable && left && in_time) {
            return NextStep::GiveUp(self.refusal(failure));
        }
        if !failure.was_sent() || budget() {
            return NextStep::Retry;
        }
        if self.has_begun {
            return NextStep::RetryLater;
        }
        NextStep::GiveUp(self.refusal(failure))
    }

    /// Records that an upstream is silent, and returns whether another one may run the
    /// request beside it.
    ///
    /// `budget` withdraws one retry from the instance's budget; it is called only when
    /// everything else permits the other run.
    pub fn record_silence(&mut self, now: Time, budget: impl FnOnce() -> bool) -> bool {
        let left = self.runs + 1 < self.max_runs && !self.must_wait();
        let in_time = now + MIN_TIME_LEFT < self.deadline;
        let permitted = self.kind.may_repeat() && left && in_time && budget();
        if permitted {
            self.runs += 1;
        }
        permitted
    }

    /// Records that the request has waited, so that upstreams that have rejected it may be
    /// attempted again.
    pub const fn record_wait(&mut self) {
        self.rejections = 0;
    }

    /// Returns the refusal of a request for which no upstream is left; it carries `reason`
    /// and `after` only if the request has not run.
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
            Failure::TimedOut | Failure::OutdatedWeights => Refusal::new(Reason::UpstreamTimeout),
            _ => Refusal::new(Reason::UpstreamFailed),
        }
    }
}
