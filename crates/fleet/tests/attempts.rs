//! What follows a failed try.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::attempt::Attempts;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::attempt::NextStep;
use limpetsaddle_fleet::configuration::RouteKind;
use limpetsaddle_fleet::refusal::Reason;
use yare::parameterized;

const NON_IDEMPOTENT: RouteKind = RouteKind::NonIdempotent;
const IDEMPOTENT: RouteKind = RouteKind::Idempotent;
const FRAGILE_STREAM: RouteKind = RouteKind::Stream { resumable: false };
const RESUMABLE_STREAM: RouteKind = RouteKind::Stream { resumable: true };

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

#[parameterized(
    nothing_was_sent = { NON_IDEMPOTENT, Failure::ConnectFailed, true },
    upstream_says_not_run = { NON_IDEMPOTENT, Failure::Rejected, true },
    other_upstream_at_the_address = { NON_IDEMPOTENT, Failure::Misdirected, true },
    connection_broke = { NON_IDEMPOTENT, Failure::ConnectionLost, false },
    no_answer = { NON_IDEMPOTENT, Failure::TimedOut, false },
    not_an_answer = { NON_IDEMPOTENT, Failure::InvalidResponse, false },
    stream_broke = { FRAGILE_STREAM, Failure::ConnectionLost, false },
    resumable_stream_broke = { RESUMABLE_STREAM, Failure::ConnectionLost, true },
    idempotent_broke = { IDEMPOTENT, Failure::ConnectionLost, true },
    idempotent_errored = { IDEMPOTENT, Failure::UpstreamError, true },
)]
fn verify_only_what_may_run_again_is_sent_again(kind: RouteKind, failure: Failure, again: bool) {
    let mut attempts = Attempts::new(kind, 2, at(5_000));
    let step = attempts.record_failure(failure, at(0), || true);
    assert_eq!(step == NextStep::Retry, again);
}

#[test]
fn verify_a_promise_that_nothing_ran_is_given_only_where_it_holds() {
    for kind in [NON_IDEMPOTENT, IDEMPOTENT, FRAGILE_STREAM, RESUMABLE_STREAM] {
        for first in Failure::ALL {
            for second in Failure::ALL {
                let mut attempts = Attempts::new(kind, 2, at(5_000));
                let mut ran = first.may_have_run();
                let mut step = attempts.record_failure(first, at(0), || true);
                if step == NextStep::Retry {
                    ran |= second.may_have_run();
                    step = attempts.record_failure(second, at(1), || false);
                }
                let NextStep::GiveUp(refusal) = step else {
                    assert_eq!(second, Failure::ConnectFailed);
                    continue;
                };
                let promises = matches!(refusal.reason.status(), 408 | 421 | 429 | 503);
                assert!(!(promises && ran), "{kind:?} {first:?} {second:?}");
                assert_eq!(attempts.may_have_run(), ran);
            }
        }
    }
}

#[test]
fn verify_a_request_runs_at_no_more_upstreams_than_its_route_permits() {
    let mut attempts = Attempts::new(IDEMPOTENT, 2, at(5_000));
    assert_eq!(
        attempts.record_failure(Failure::ConnectionLost, at(0), || true),
        NextStep::Retry
    );
    let step = attempts.record_failure(Failure::ConnectionLost, at(1), || true);
    assert!(matches!(step, NextStep::GiveUp(r) if r.reason == Reason::UpstreamFailed));
}

#[test]
fn verify_a_refusal_after_the_deadline_is_not_followed_by_a_try() {
    let mut attempts = Attempts::new(IDEMPOTENT, 2, at(100));
    let step = attempts.record_failure(Failure::ConnectionLost, at(90), || true);
    assert!(matches!(step, NextStep::GiveUp(_)));
}

#[test]
fn verify_no_retry_beyond_the_budget() {
    let mut attempts = Attempts::new(IDEMPOTENT, 2, at(5_000));
    let step = attempts.record_failure(Failure::Rejected, at(0), || false);
    assert!(matches!(step, NextStep::GiveUp(r) if r.reason.status() == 503));
}
