//! Contract tests of claims, with fault cases in tables.

use std::time::Duration;

use limpetsaddle_core::claims::AttemptEnd;
use limpetsaddle_core::claims::AttemptId;
use limpetsaddle_core::claims::CallerResponse;
use limpetsaddle_core::claims::Claim;
use limpetsaddle_core::claims::ClaimName;
use limpetsaddle_core::claims::ClaimOptions;
use limpetsaddle_core::claims::ClaimRequest;
use limpetsaddle_core::claims::ClaimState;
use limpetsaddle_core::claims::ClaimStep;
use limpetsaddle_core::claims::ClaimWriteResult;
use limpetsaddle_core::claims::PendingClaim;
use limpetsaddle_core::claims::SendOutcome;
use limpetsaddle_core::claims::SettleStep;
use limpetsaddle_core::claims::StoredBody;
use limpetsaddle_core::claims::StoredResponse;
use limpetsaddle_core::claims::VersionedClaim;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::refusal::Execution;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use yare::parameterized;

const OWN: u64 = 1;
const OTHER: u64 = 2;
const UNKNOWN: ClaimWriteResult = ClaimWriteResult::Unknown;
const REJECTED: ClaimWriteResult = ClaimWriteResult::Rejected { retry_after: None };

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        incarnation: Incarnation(number),
        number,
    }
}

fn request() -> ClaimRequest {
    ClaimRequest {
        name: ClaimName::new(&"yard".parse().unwrap(), "order-17"),
        digest: Digest::of(b"one sack of birch"),
        attempt: attempt(OWN),
    }
}

fn outcome(body: &[u8]) -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: StoredBody::of(body),
    }
}

fn conflict(number: u64, body: &[u8], state: ClaimState) -> ClaimWriteResult {
    ClaimWriteResult::Conflict(Some(VersionedClaim {
        revision: Revision(9),
        claim: Claim {
            attempt: attempt(number),
            request: Digest::of(body),
            state,
        },
    }))
}

fn same(number: u64, state: ClaimState) -> ClaimWriteResult {
    conflict(number, b"one sack of birch", state)
}

/// What an attempt came to after its writes were answered in turn.
fn run(answers: Vec<ClaimWriteResult>) -> ClaimStep {
    let (claiming, write) = PendingClaim::start(request(), ClaimOptions::default(), Time::ZERO);
    let mut step = ClaimStep::Write(claiming, write);
    for answer in answers {
        let ClaimStep::Write(claiming, _) = step else {
            panic!("no write is awaited in {step:?}");
        };
        step = claiming.on_write(answer, Time::ZERO);
    }
    step
}

fn refused(finish: &AttemptEnd) -> (Reason, Execution) {
    let CallerResponse::Refuse(refusal) = &finish.response else {
        panic!("no refusal: {finish:?}");
    };
    (refusal.reason, refusal.ran)
}

#[parameterized(
    created = { vec![ClaimWriteResult::Written(Revision(1))] },
    lost_answer_that_took_effect = { vec![UNKNOWN, same(OWN, ClaimState::InFlight)] },
    lost_answer_without_effect = { vec![UNKNOWN, ClaimWriteResult::Written(Revision(2))] },
    takes_over_not_run = { vec![same(OTHER, ClaimState::NotRun), ClaimWriteResult::Written(Revision(10))] },
    takes_over_expired = {
        vec![same(OTHER, ClaimState::NotRun), ClaimWriteResult::Conflict(None), ClaimWriteResult::Written(Revision(10))]
    },
    lost_takeover = {
        vec![same(OTHER, ClaimState::NotRun), UNKNOWN, same(OWN, ClaimState::InFlight)]
    },
)]
fn verify_claim_is_held(answers: Vec<ClaimWriteResult>) {
    assert!(matches!(run(answers), ClaimStep::Send(_)));
}

#[parameterized(
    running_elsewhere = { vec![same(OTHER, ClaimState::InFlight)], Reason::IdempotencyConflict, Execution::Unknown, false },
    lost_to_another = { vec![UNKNOWN, same(OTHER, ClaimState::InFlight)], Reason::IdempotencyConflict, Execution::Unknown, false },
    other_request = { vec![conflict(OTHER, b"two", ClaimState::InFlight)], Reason::IdempotencyMismatch, Execution::NotRun, false },
    other_request_not_run = { vec![conflict(OTHER, b"two", ClaimState::NotRun)], Reason::IdempotencyMismatch, Execution::NotRun, false },
    platform_down = { vec![REJECTED], Reason::ClaimUnavailable, Execution::NotRun, false },
    down_after_lost_answer = { vec![UNKNOWN, REJECTED], Reason::ClaimUnavailable, Execution::NotRun, true },
    answers_always_lost = { vec![UNKNOWN; 4], Reason::ClaimUnavailable, Execution::NotRun, true },
    settled_by_operator = { vec![UNKNOWN, same(OWN, ClaimState::NotRun)], Reason::ClaimUnavailable, Execution::NotRun, true },
    answer_too_large_to_replay = {
        vec![same(OTHER, ClaimState::Done(outcome(&[0xff])))], Reason::IdempotencyConflict, Execution::Unknown, false
    },
)]
fn verify_claim_is_refused(
    answers: Vec<ClaimWriteResult>,
    reason: Reason,
    ran: Execution,
    settles: bool,
) {
    let ClaimStep::Finish(finish) = run(answers) else {
        panic!("the attempt goes on");
    };
    assert_eq!(refused(&finish), (reason, ran));
    assert_eq!(finish.settlement.is_some(), settles);
}

#[parameterized(
    lost_in_time = { UNKNOWN, 2_999, true },
    lost_late = { UNKNOWN, 3_000, false },
    not_run_found_late = { same(OTHER, ClaimState::NotRun), 3_000, false },
)]
fn verify_claim_window(answer: ClaimWriteResult, elapsed: u64, repeats: bool) {
    let (claiming, _) = PendingClaim::start(request(), ClaimOptions::default(), Time::ZERO);
    let step = claiming.on_write(answer, Time::ZERO + Duration::from_millis(elapsed));
    assert_eq!(matches!(step, ClaimStep::Write(..)), repeats);
}

#[test]
fn verify_stored_answer_is_replayed() {
    let stored = outcome(b"confirmed");
    let ClaimStep::Finish(finish) = run(vec![same(OTHER, ClaimState::Done(stored.clone()))]) else {
        panic!("the attempt goes on");
    };
    assert_eq!(finish.response, CallerResponse::Replay(stored));
    assert!(finish.settlement.is_none());
}

#[parameterized(
    answered = { SendOutcome::Responded(outcome(b"ok")), None, Some(ClaimState::Done(outcome(b"ok"))) },
    unreachable = {
        SendOutcome::NotRun(Reason::UpstreamUnreachable),
        Some((Reason::UpstreamUnreachable, Execution::NotRun)),
        Some(ClaimState::NotRun)
    },
    reset_after_a_byte = {
        SendOutcome::Unknown(Reason::UpstreamFailed), Some((Reason::UpstreamFailed, Execution::Unknown)), None
    },
)]
fn verify_outcome(
    sent: SendOutcome,
    refusal: Option<(Reason, Execution)>,
    recorded: Option<ClaimState>,
) {
    let ClaimStep::Send(held) = run(vec![ClaimWriteResult::Written(Revision(1))]) else {
        panic!("the claim is not held");
    };
    let finish = held.begin(Time::ZERO).unwrap().finish(sent, Time::ZERO);
    match refusal {
        Some(expected) => assert_eq!(refused(&finish), expected),
        None => assert_eq!(finish.response, CallerResponse::Forward),
    }
    let written = finish.settlement.map(|s| s.write().claim.state);
    assert_eq!(written, recorded);
}

#[parameterized(
    in_time = { Duration::from_millis(9_999), true },
    paused_beyond_the_window = { Duration::from_secs(10), false },
)]
fn verify_send_window(pause: Duration, sends: bool) {
    let ClaimStep::Send(held) = run(vec![ClaimWriteResult::Written(Revision(1))]) else {
        panic!("the claim is not held");
    };
    match held.begin(Time::ZERO + pause) {
        Ok(_) => assert!(sends),
        Err(finish) => {
            assert!(!sends);
            assert_eq!(
                refused(&finish),
                (Reason::ClaimUnavailable, Execution::NotRun)
            );
            let write = finish.settlement.unwrap().write();
            assert_eq!(write.claim.state, ClaimState::NotRun);
        }
    }
}

#[parameterized(
    recorded = { vec![ClaimWriteResult::Written(Revision(3))], true },
    lost_write_of_own_arrived = { vec![same(OWN, ClaimState::InFlight), ClaimWriteResult::Written(Revision(10))], true },
    lost_answer = { vec![UNKNOWN, same(OWN, ClaimState::NotRun)], true },
    taken_over = { vec![same(OTHER, ClaimState::InFlight)], true },
    outage = { vec![REJECTED, REJECTED], false },
)]
fn verify_settlement(answers: Vec<ClaimWriteResult>, settled: bool) {
    let ClaimStep::Finish(finish) = run(vec![UNKNOWN, REJECTED]) else {
        panic!("the attempt goes on");
    };
    let mut step = SettleStep::Retry(finish.settlement.unwrap(), Duration::ZERO);
    for answer in answers {
        let SettleStep::Retry(settlement, _) = step else {
            panic!("no write is awaited in {step:?}");
        };
        step = settlement.on_write(answer, Time::ZERO);
    }
    assert_eq!(matches!(step, SettleStep::Settled), settled);
}

#[test]
fn verify_settlement_gives_up_after_its_window() {
    let ClaimStep::Finish(finish) = run(vec![UNKNOWN, REJECTED]) else {
        panic!("the attempt goes on");
    };
    let late = Time::ZERO + ClaimOptions::default().settle_window;
    let step = finish.settlement.unwrap().on_write(UNKNOWN, late);
    assert!(matches!(step, SettleStep::GaveUp));
}

#[test]
fn verify_record_round_trip() {
    let claim = Claim {
        attempt: attempt(OWN),
        request: Digest::of(b"x"),
        state: ClaimState::Done(outcome(b"ok")),
    };
    let text = serde_json::to_string(&claim).unwrap();
    assert_eq!(serde_json::from_str::<Claim>(&text).unwrap(), claim);
}
