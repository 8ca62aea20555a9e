//! Evidence of whether a process lives on after a connection to it was lost.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::loss::AnswerEnd;
use limpetsaddle_fleet::loss::Completeness;
use limpetsaddle_fleet::loss::LifeSign;
use limpetsaddle_fleet::loss::Loss;
use limpetsaddle_fleet::loss::LossChange;
use limpetsaddle_fleet::loss::LossOptions;
use yare::parameterized;

const LOST: Time = Time::from_origin(Duration::from_secs(10));

fn after(millis: u64) -> Time {
    LOST + Duration::from_millis(millis)
}

/// Returns the times of all checks of a process that shows the same sign in each, which takes
/// `took`.
fn checks(sign: LifeSign, took: Duration) -> Vec<Duration> {
    let mut loss = Loss::new(LossOptions::default(), LOST);
    let mut checks = vec![Duration::ZERO];
    loss.record(sign);
    while let Some(next) = loss.next_check(LOST + checks[checks.len() - 1] + took) {
        checks.push(next.since(LOST));
        assert!(checks.len() < 20, "the checks end");
        loss.record(sign);
    }
    checks
}

/// Guards against a process that counts as alive as its host accepts a connection.
#[test]
fn verify_a_process_without_a_sign_of_life_is_suspected() {
    let mut loss = Loss::new(LossOptions::default(), LOST);
    assert_eq!(loss.record(LifeSign::Missing), Some(LossChange::Suspected));
    assert_eq!(loss.record(LifeSign::Missing), None);
    assert_eq!(loss.record(LifeSign::Ended), Some(LossChange::Confirmed));
    assert_eq!(loss.next_check(after(100)), None);
}

#[test]
fn verify_a_sign_of_life_withdraws_the_suspicion() {
    for sign in [LifeSign::Answered, LifeSign::Continued] {
        let mut loss = Loss::new(LossOptions::default(), LOST);
        assert_eq!(loss.record(sign), None);
        let mut loss = Loss::new(LossOptions::default(), LOST);
        loss.record(LifeSign::Missing);
        assert_eq!(loss.record(sign), Some(LossChange::Withdrawn));
    }
}

/// Guards against a process that closes its connections, answers for a while, and ends.
#[parameterized(
    answers = { LifeSign::Answered, Duration::from_millis(2) },
    is_silent = { LifeSign::Missing, Duration::from_millis(1_225) },
)]
fn verify_a_process_is_checked_for_some_seconds(sign: LifeSign, took: Duration) {
    let checks = checks(sign, took);
    let last = checks[checks.len() - 1];
    assert!(last >= Duration::from_secs(2), "{checks:?}");
    assert!(last <= Duration::from_secs(4), "{checks:?}");
    assert!(checks.len() <= 8, "{checks:?}");
}

/// Guards against bytes from before an end that outweigh the end.
#[test]
fn verify_an_end_outweighs_what_is_read_from_earlier_connections() {
    for goes_on in [false, true] {
        assert_eq!(LifeSign::Ended.beside(goes_on), LifeSign::Ended);
    }
    let mut loss = Loss::new(LossOptions::default(), LOST);
    loss.record(LifeSign::Missing);
    let change = loss.record(LifeSign::Missing.beside(true));
    assert_eq!(change, Some(LossChange::Withdrawn));
    assert!(loss.next_check(LOST).is_some(), "it may have ended still");
    assert_eq!(loss.record(LifeSign::Ended), Some(LossChange::Confirmed));
}

#[test]
fn verify_a_connection_that_goes_on_ends_the_checks() {
    let checks = checks(LifeSign::Continued, Duration::from_millis(2));
    assert_eq!(checks, [Duration::ZERO]);
}

#[test]
fn verify_any_sign_of_life_ends_the_checks_of_a_silent_process() {
    for sign in [LifeSign::Answered, LifeSign::Continued] {
        let mut loss = Loss::of_silence(LossOptions::default(), LOST);
        assert_eq!(loss.record(LifeSign::Missing), Some(LossChange::Suspected));
        assert!(loss.next_check(LOST).is_some());
        assert_eq!(loss.record(sign), Some(LossChange::Withdrawn));
        assert_eq!(loss.next_check(LOST), None);
    }
}

const END: AnswerEnd = AnswerEnd {
    age: Duration::from_millis(25),
    left: Duration::from_secs(5),
    is_leaving: false,
    open: 0,
    ended: 0,
};

/// Guards against an answer that was broken off by the end of its process and counts as complete.
#[parameterized(
    ended = { END, LifeSign::Ended, Some(Completeness::BrokenOff) },
    silent = { END, LifeSign::Missing, Some(Completeness::BrokenOff) },
    silent_beside_others = { AnswerEnd { open: 3, ..END }, LifeSign::Missing, Some(Completeness::BrokenOff) },
    answers = { END, LifeSign::Answered, Some(Completeness::Complete) },
    leaves_and_keeps_others_open = { AnswerEnd { is_leaving: true, open: 1, ..END }, LifeSign::Answered, Some(Completeness::Complete) },
    leaves_and_has_closed_all = { AnswerEnd { is_leaving: true, ..END }, LifeSign::Answered, None },
    has_closed_several = { AnswerEnd { ended: 1, ..END }, LifeSign::Answered, None },
    another_goes_on = { AnswerEnd { ended: 1, is_leaving: true, ..END }, LifeSign::Continued, Some(Completeness::Complete) },
    has_little_time_left = { AnswerEnd { age: Duration::from_millis(500), left: Duration::from_secs(1), is_leaving: true, ..END }, LifeSign::Answered, Some(Completeness::Complete) },
    has_little_time_left_and_has_closed_several = { AnswerEnd { age: Duration::from_millis(900), left: Duration::from_secs(1), is_leaving: true, ended: 1, ..END }, LifeSign::Answered, None },
    lives_on_for_long = { AnswerEnd { age: Duration::from_secs(2), is_leaving: true, ..END }, LifeSign::Answered, Some(Completeness::Complete) },
)]
fn verify_an_answer_is_complete_only_if_its_process_lives_on(
    end: AnswerEnd,
    sign: LifeSign,
    expected: Option<Completeness>,
) {
    let judged = end.judge(sign);
    match expected {
        Some(expected) => assert_eq!(judged, expected),
        None => assert!(matches!(judged, Completeness::AskAgain(pause) if !pause.is_zero())),
    }
}
