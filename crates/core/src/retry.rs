//! Retries of requests whose attempt failed.
//!
//! Provides the decision whether a failed attempt is followed by another one,
//! and the budget that bounds the retries of an instance. A request that is
//! not idempotent is sent again only where no upstream can have run it.

use std::time::Duration;

use crate::config::Policy;
use crate::hash::mix;
use crate::refusal::Execution;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::units::Time;

/// The cost of one retry in the units of the budget.
const RETRY_COST: u64 = 100;

/// The retries that a budget holds at most.
const MAX_SAVED_RETRIES: u64 = 10;

/// The delay before the first retry, which doubles with each further one.
const BASE_DELAY: Duration = Duration::from_millis(5);

/// The largest delay before a retry.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// A `Failure` is how an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// No connection was made, or it failed before a byte was sent.
    ConnectFailed,
    /// The upstream said that it has not run the request.
    Rejected,
    /// The connection was reset after a byte was sent and before an answer.
    ResetBeforeResponse,
    /// No answer came in time after a byte was sent.
    TimedOut,
    /// The answer broke off.
    StreamBroken,
    /// The answer was not a valid one or belonged to another request.
    InvalidResponse,
}

impl Failure {
    /// Every failure, in the order of declaration.
    pub const ALL: [Self; 6] = [
        Self::ConnectFailed,
        Self::Rejected,
        Self::ResetBeforeResponse,
        Self::TimedOut,
        Self::StreamBroken,
        Self::InvalidResponse,
    ];

    /// Returns whether the upstream may have run the request.
    #[must_use]
    pub const fn ran(self) -> Execution {
        match self {
            Self::ConnectFailed | Self::Rejected => Execution::NotRun,
            Self::ResetBeforeResponse
            | Self::TimedOut
            | Self::StreamBroken
            | Self::InvalidResponse => Execution::Unknown,
        }
    }

    const fn retry_reason(self) -> RetryReason {
        match self {
            Self::ConnectFailed => RetryReason::ConnectFailed,
            Self::Rejected => RetryReason::Rejected,
            Self::ResetBeforeResponse => RetryReason::Reset,
            Self::TimedOut => RetryReason::Timeout,
            Self::StreamBroken => RetryReason::Resume,
            Self::InvalidResponse => RetryReason::InvalidResponse,
        }
    }

    const fn reason(self) -> Reason {
        match self {
            Self::ConnectFailed => Reason::UpstreamUnreachable,
            Self::Rejected => Reason::NoUpstream,
            Self::TimedOut => Reason::UpstreamTimeout,
            Self::ResetBeforeResponse | Self::StreamBroken | Self::InvalidResponse => {
                Reason::UpstreamFailed
            }
        }
    }
}

/// A `RetryReason` is the cause of a retry, for counters.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// No connection was made.
    ConnectFailed,
    /// The upstream said that it has not run the request.
    Rejected,
    /// The connection was reset before an answer.
    Reset,
    /// No answer came in time.
    Timeout,
    /// The answer broke off and is resumed at its next token.
    Resume,
    /// The answer was not valid.
    InvalidResponse,
}

impl RetryReason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 6] = [
        Self::ConnectFailed,
        Self::Rejected,
        Self::Reset,
        Self::Timeout,
        Self::Resume,
        Self::InvalidResponse,
    ];

    /// Returns the stable code that counters show.
    ///
    /// ```
    /// use limpetsaddle_core::retry::RetryReason;
    ///
    /// assert_eq!(RetryReason::Resume.code(), "resume");
    /// ```
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::Rejected => "refused_not_run",
            Self::Reset => "reset",
            Self::Timeout => "timeout",
            Self::Resume => "resume",
            Self::InvalidResponse => "bad_answer",
        }
    }
}

/// A `RetryBudget` bounds the retries of an instance to a part of its requests.
///
/// Over any history the retries are at most the configured percentage of the
/// requests plus the ten that the budget starts with.
///
/// ```
/// use limpetsaddle_core::retry::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let retries = (0..1_000).filter(|_| budget.withdraw()).count();
/// assert_eq!(retries, 10);
/// budget.deposit(10);
/// assert!(!budget.withdraw());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    level: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            level: MAX_SAVED_RETRIES * RETRY_COST,
        }
    }
}

impl RetryBudget {
    /// Counts a request, for which `percent` of a retry is saved.
    pub fn deposit(&mut self, percent: u32) {
        let level = self.level + u64::from(percent);
        self.level = level.min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    /// Takes one retry and returns whether there was one.
    #[must_use]
    pub const fn withdraw(&mut self) -> bool {
        if self.level < RETRY_COST {
            return false;
        }
        self.level -= RETRY_COST;
        true
    }
}

/// A `RetryDecision` is what follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The request is sent again, to another upstream.
    Retry {
        /// The delay before the next attempt.
        after: Duration,
        /// The cause, for counters.
        reason: RetryReason,
    },
    /// The request gets its final answer at once.
    GiveUp(Refusal),
}

/// An `Attempts` is the history of one request's attempts.
///
/// ```
/// use limpetsaddle_core::config::Policy;
/// use limpetsaddle_core::refusal::Execution;
/// use limpetsaddle_core::retry::Attempts;
/// use limpetsaddle_core::retry::Failure;
/// use limpetsaddle_core::retry::RetryBudget;
/// use limpetsaddle_core::retry::RetryDecision;
/// use limpetsaddle_core::units::Time;
/// use std::time::Duration;
///
/// let policy = Policy::default();
/// let mut budget = RetryBudget::default();
/// let deadline = Time::from_origin(Duration::from_secs(30));
/// let mut attempts = Attempts::new(false, deadline);
/// let decision = attempts.record_failure(Failure::ResetBeforeResponse, &mut budget, &policy, Time::ZERO, 0);
/// let RetryDecision::GiveUp(refusal) = decision else {
///     panic!("an order may have run and is not sent again");
/// };
/// assert_eq!(refusal.ran, Execution::Unknown);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempts {
    idempotent: bool,
    deadline: Time,
    failures: u32,
    ran: Execution,
}

impl Attempts {
    /// Returns the history of a request that has not been sent yet and whose
    /// attempts must all start before `deadline`.
    #[must_use]
    pub const fn new(idempotent: bool, deadline: Time) -> Self {
        Self {
            idempotent,
            deadline,
            failures: 0,
            ran: Execution::NotRun,
        }
    }

    /// Returns whether any attempt up to now may have run the request.
    #[must_use]
    pub const fn ran(&self) -> Execution {
        self.ran
    }

    /// Records a failed attempt and decides what follows it.
    pub fn record_failure(
        &mut self,
        failure: Failure,
        budget: &mut RetryBudget,
        policy: &Policy,
        now: Time,
        random: u64,
    ) -> RetryDecision {
        self.failures += 1;
        if failure.ran() == Execution::Unknown {
            self.ran = Execution::Unknown;
        }
        let permitted = self.idempotent || self.ran == Execution::NotRun;
        let after = delay(self.failures, random);
        let in_time = now + after < self.deadline;
        let left = self.failures < policy.max_attempts;
        if permitted && in_time && left && budget.withdraw() {
            return RetryDecision::Retry {
                after,
                reason: failure.retry_reason(),
            };
        }
        RetryDecision::GiveUp(self.refusal(failure))
    }

    /// Returns the final answer. It says "not run" only where that holds for
    /// every attempt, not just for the last one.
    const fn refusal(&self, failure: Failure) -> Refusal {
        let refusal = match self.ran {
            Execution::NotRun => Refusal::not_run(failure.reason()),
            Execution::Unknown => Refusal::unknown(failure.reason()),
        };
        if self.idempotent || matches!(self.ran, Execution::NotRun) {
            return refusal.retry_after(MAX_DELAY);
        }
        refusal
    }
}

/// Returns the delay before a retry: doubled with each failure and jittered
/// between nothing and the whole, so that retries of many requests spread.
fn delay(failed: u32, random: u64) -> Duration {
    let doubled = BASE_DELAY * (1 << failed.min(8));
    let whole = doubled.min(MAX_DELAY);
    let part = u32::try_from(mix(random) % 1_024).unwrap_or(0);
    whole * part / 1_024
}
