//! Retries of failed requests.
//!
//! Decides whether another attempt follows a failed one and limits the retries
//! of an instance by a budget. A request that is not idempotent is sent again
//! only if no upstream can have run it.

use std::time::Duration;

use crate::config::Policy;
use crate::hash::mix;
use crate::refusal::Execution;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::units::Time;

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST: u64 = 100;

/// The largest number of retries that a budget holds.
const MAX_BUDGET_RETRIES: u64 = 10;

/// The base of the exponential delay before a retry.
const BASE_DELAY: Duration = Duration::from_millis(5);

/// The largest delay before a retry.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// The failure of an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// The connection could not be established or failed before a byte was sent.
    ConnectFailed,
    /// The upstream reported that it has not run the request.
    Rejected,
    /// The connection was reset after a byte was sent and before a response.
    ResetBeforeResponse,
    /// No response, or no further part of it, arrived in time after a byte was sent.
    TimedOut,
    /// The connection was lost during the response.
    StreamBroken,
    /// The response was malformed or belonged to another request.
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
    pub const fn execution(self) -> Execution {
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

/// The cause of a retry, for metrics.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The connection could not be established.
    ConnectFailed,
    /// The upstream reported that it has not run the request.
    Rejected,
    /// The connection was reset before a response.
    Reset,
    /// No response, or no further part of it, arrived in time.
    Timeout,
    /// The response was interrupted and is resumed at its next token.
    Resume,
    /// The response was malformed or belonged to another request.
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

    /// Returns the stable code used in metrics.
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

/// A `RetryBudget` limits the retries of an instance to a fraction of its requests.
///
/// The number of retries never exceeds the configured percentage of the
/// requests plus the ten retries that the budget starts with.
///
/// ```
/// use limpetsaddle_core::retry::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let retries = (0..1_000).filter(|_| budget.try_withdraw()).count();
/// assert_eq!(retries, 10);
/// budget.record_request(10);
/// assert!(!budget.try_withdraw());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    /// The saved retries, in hundredths of a retry.
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BUDGET_RETRIES * RETRY_COST,
        }
    }
}

impl RetryBudget {
    /// Records a request, which adds `percent` hundredths of a retry to the budget.
    pub fn record_request(&mut self, percent: u32) {
        let balance = self.balance + u64::from(percent);
        self.balance = balance.min(MAX_BUDGET_RETRIES * RETRY_COST);
    }

    /// Withdraws one retry and returns whether the budget allowed it.
    #[must_use]
    pub const fn try_withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request again, to another upstream.
    Retry {
        /// The delay before the next attempt.
        after: Duration,
        /// The cause of the retry, for metrics.
        reason: RetryReason,
    },
    /// Send the refusal to the caller.
    GiveUp(Refusal),
}

/// An `Attempts` tracks the failed attempts of one request.
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
///     panic!("a request that may have run must not be sent again");
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
    /// Creates the state of a request that has not been sent yet. All of its
    /// attempts must start before `deadline`.
    #[must_use]
    pub const fn new(idempotent: bool, deadline: Time) -> Self {
        Self {
            idempotent,
            deadline,
            failures: 0,
            ran: Execution::NotRun,
        }
    }

    /// Returns whether any attempt so far may have run the request.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        self.ran
    }

    /// Records a failed attempt and decides whether to retry.
    ///
    /// The `random` number determines the jitter of the delay.
    pub fn record_failure(
        &mut self,
        failure: Failure,
        budget: &mut RetryBudget,
        policy: &Policy,
        now: Time,
        random: u64,
    ) -> RetryDecision {
        self.failures += 1;
        if failure.execution() == Execution::Unknown {
            self.ran = Execution::Unknown;
        }
        let is_safe = self.idempotent || self.ran == Execution::NotRun;
        let after = delay(self.failures, random);
        let in_time = now + after < self.deadline;
        let attempts_left = self.failures < policy.max_attempts;
        if is_safe && in_time && attempts_left && budget.try_withdraw() {
            return RetryDecision::Retry {
                after,
                reason: failure.retry_reason(),
            };
        }
        RetryDecision::GiveUp(self.refusal(failure))
    }

    /// Returns the refusal after the last attempt. It reports "not run" only if
    /// that holds for every attempt, not just for the last one.
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

/// Returns the delay before a retry: an exponential backoff with full jitter,
/// so that the retries of many requests are spread over time.
fn delay(failures: u32, random: u64) -> Duration {
    let backoff = BASE_DELAY * (1 << failures.min(8));
    let max = backoff.min(MAX_DELAY);
    let jitter = u32::try_from(mix(random) % 1_024).unwrap_or(0);
    max * jitter / 1_024
}
