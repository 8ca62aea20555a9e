//! Tests of retry decisions and of the refusals after the last attempt.

use std::time::Duration;

use limpetsaddle_core::config::Policy;
use limpetsaddle_core::refusal::Execution;
use limpetsaddle_core::retry::Attempts;
use limpetsaddle_core::retry::Failure;
use limpetsaddle_core::retry::RetryBudget;
use limpetsaddle_core::retry::RetryDecision;
use limpetsaddle_core::retry::RetryReason;
use limpetsaddle_core::units::Time;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use yare::parameterized;

const DEADLINE: Time = Time::from_origin(Duration::from_secs(10));

#[parameterized(
    connect = { Failure::ConnectFailed, true, Execution::NotRun },
    rejected = { Failure::Rejected, true, Execution::NotRun },
    reset = { Failure::ResetBeforeResponse, false, Execution::Unknown },
    timeout = { Failure::TimedOut, false, Execution::Unknown },
    stream_broken = { Failure::StreamBroken, false, Execution::Unknown },
    invalid_response = { Failure::InvalidResponse, false, Execution::Unknown },
)]
fn verify_non_idempotent_is_retried_only_if_not_run(
    failure: Failure,
    retried: bool,
    ran: Execution,
) {
    let policy = Policy::default();
    let mut attempts = Attempts::new(false, DEADLINE);
    let mut budget = RetryBudget::default();
    let decision = attempts.record_failure(failure, &mut budget, &policy, Time::ZERO, 1);
    assert_eq!(matches!(decision, RetryDecision::Retry { .. }), retried);
    let last = attempts.record_failure(failure, &mut budget, &policy, DEADLINE, 1);
    let RetryDecision::GiveUp(refusal) = last else {
        panic!("a retry was permitted after the deadline");
    };
    assert_eq!(refusal.ran, ran);
}

#[parameterized(
    connect = { Failure::ConnectFailed, RetryReason::ConnectFailed },
    rejected = { Failure::Rejected, RetryReason::Rejected },
    reset = { Failure::ResetBeforeResponse, RetryReason::Reset },
    timeout = { Failure::TimedOut, RetryReason::Timeout },
    stream_broken = { Failure::StreamBroken, RetryReason::Resume },
    invalid_response = { Failure::InvalidResponse, RetryReason::InvalidResponse },
)]
fn verify_retry_reason_of_each_failure(failure: Failure, expected: RetryReason) {
    let mut attempts = Attempts::new(true, DEADLINE);
    let mut budget = RetryBudget::default();
    let decision = attempts.record_failure(failure, &mut budget, &Policy::default(), Time::ZERO, 1);
    let RetryDecision::Retry { reason, .. } = decision else {
        panic!("an idempotent request must be retried: {decision:?}");
    };
    assert_eq!(reason, expected);
}

#[test]
fn verify_retry_codes_are_unique() {
    let mut codes: Vec<_> = RetryReason::ALL.iter().map(|r| r.code()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), RetryReason::ALL.len());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// A refusal reports "not run" exactly when no attempt can have run the
    /// request. No retry follows an attempt that may have run a request that is
    /// not idempotent, and the limits on attempts and time hold.
    #[test]
    fn verify_retries_are_safe_and_bounded(
        failures in proptest::collection::vec((0..6_usize, 0..60_u64, any::<u64>()), 1..12),
        idempotent: bool,
        max_attempts in 1..6_u32,
    ) {
        let policy = Policy { max_attempts, ..Policy::default() };
        let mut budget = RetryBudget::default();
        let deadline = Time::from_origin(Duration::from_millis(150));
        let mut attempts = Attempts::new(idempotent, deadline);
        let mut now = Time::ZERO;
        let mut may_have_run = false;
        for (attempts_made, (failure, elapsed, random)) in (1..).zip(failures) {
            let failure = Failure::ALL[failure];
            now = now + Duration::from_millis(elapsed);
            may_have_run |= failure.execution() == Execution::Unknown;
            match attempts.record_failure(failure, &mut budget, &policy, now, random) {
                RetryDecision::Retry { after, .. } => {
                    prop_assert!(idempotent || !may_have_run);
                    prop_assert!(attempts_made < max_attempts);
                    prop_assert!(now + after < deadline);
                }
                RetryDecision::GiveUp(refusal) => {
                    prop_assert_eq!(refusal.ran == Execution::NotRun, !may_have_run);
                }
            }
        }
    }

    /// The number of retries never exceeds the percentage of the requests plus ten.
    #[test]
    fn verify_budget_bounds_retries(steps in proptest::collection::vec(any::<bool>(), 1..2_000), percent in 0..=100_u32) {
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (0, 0);
        for is_request in steps {
            if is_request {
                budget.record_request(percent);
                requests += 1;
            } else if budget.try_withdraw() {
                retries += 1;
            }
            prop_assert!(retries * 100 <= requests * u64::from(percent) + 1_000);
        }
    }
}
