//! What follows a failed try of a request at an upstream.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::configuration::RouteKind;
use crate::health::Verdict;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// A `Failure` is how one try at an upstream went wrong.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// No connection could be established, so that nothing was sent.
    Unreachable,
    /// The upstream said that it did not run the request.
    TurnedAway,
    /// The address belongs to another upstream or other weights now.
    Misdirected,
    /// The connection broke before a whole answer.
    Broke,
    /// What came was not an answer to this request.
    BadAnswer,
    /// The upstream reported a failure of its own.
    Errored,
    /// Nothing came in time.
    Silent,
}

impl Failure {
    /// Every failure.
    pub const ALL: [Self; 7] = [
        Self::Unreachable,
        Self::TurnedAway,
        Self::Misdirected,
        Self::Broke,
        Self::BadAnswer,
        Self::Errored,
        Self::Silent,
    ];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::TurnedAway => "turned_away",
            Self::Misdirected => "misdirected",
            Self::Broke => "broke",
            Self::BadAnswer => "bad_answer",
            Self::Errored => "errored",
            Self::Silent => "silent",
        }
    }

    /// Returns whether the upstream may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::Unreachable | Self::TurnedAway | Self::Misdirected => false,
            Self::Broke | Self::BadAnswer | Self::Errored | Self::Silent => true,
        }
    }

    /// Returns what the failure says of the upstream's health.
    #[must_use]
    pub const fn verdict(self) -> Option<Verdict> {
        match self {
            Self::Unreachable => Some(Verdict::Unreachable),
            Self::TurnedAway | Self::Misdirected => None,
            Self::Broke | Self::BadAnswer => Some(Verdict::Broke),
            Self::Errored => Some(Verdict::Errored),
            Self::Silent => Some(Verdict::Silent),
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
const MAX_TURNED_AWAY: u32 = 3;

/// The time after which a request that was turned away may find room.
const TURNED_AWAY_WAIT: Duration = Duration::from_millis(200);

/// The shortest time that makes another try worthwhile.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// The `Attempts` of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    kind: RouteKind,
    max_runs: u32,
    deadline: Time,
    runs: u32,
    turned_away: u32,
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
            turned_away: 0,
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
    pub fn failed(
        &mut self,
        failure: Failure,
        now: Time,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        if failure.may_have_run() {
            self.runs += 1;
        } else {
            self.turned_away += 1;
        }
        let repeatable = self.runs == 0 || self.kind.may_repeat();
        let left = self.runs < self.max_runs && self.turned_away < MAX_TURNED_AWAY;
        let in_time = now + LEAST_TIME < self.deadline;
        if repeatable && left && in_time && (failure == Failure::Unreachable || budget()) {
            return NextStep::Retry;
        }
        NextStep::GiveUp(self.refusal(failure))
    }

    /// Returns the final answer when there is no upstream to try.
    #[must_use]
    pub const fn nowhere(&self, reason: Reason, after: Duration) -> Refusal {
        if self.may_have_run() {
            return Refusal::new(Reason::UpstreamFailed);
        }
        Refusal::new(reason).retry_after(after)
    }

    const fn refusal(&self, failure: Failure) -> Refusal {
        if !self.may_have_run() {
            return Refusal::new(Reason::TurnedAway).retry_after(TURNED_AWAY_WAIT);
        }
        match failure {
            Failure::Silent => Refusal::new(Reason::UpstreamTimeout),
            _ => Refusal::new(Reason::UpstreamFailed),
        }
    }
}
