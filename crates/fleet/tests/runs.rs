//! Runs of prompts as evidence of what ends an engine.

mod support;

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::part_key::PartKey;
use limpetsaddle_fleet::runs::RunEnd;
use limpetsaddle_fleet::runs::RunId;
use limpetsaddle_fleet::runs::RunLog;
use limpetsaddle_fleet::runs::RunOptions;
use support::run_of;

const ENGINE: u64 = 7;

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

fn part(id: &str) -> PartKey {
    PartKey::of(id)
}

/// Starts a run with one part, whose first event comes after `first_event` milliseconds.
fn start(runs: &mut RunLog, id: &str, now: u64, first_event: Option<u64>) -> RunId {
    let request = u32::try_from(now).unwrap();
    let run = runs.start(ENGINE, &run_of(request, Some(&[part(id)])), at(now));
    if let Some(after) = first_event {
        runs.record_first_event(run, at(now + after));
    }
    run
}

fn survivors(runs: &RunLog, now: u64) -> Vec<PartKey> {
    let mut parts: Vec<PartKey> = {
        let survived = runs.survivals(at(now));
        survived
            .flat_map(|(parts, times)| times.into_iter().flat_map(move |_| parts.to_vec()))
            .collect()
    };
    parts.sort();
    parts
}

fn crash_suspects(runs: &mut RunLog, now: u64) -> Vec<(PartKey, bool)> {
    let (crashed, _) = runs.record_crash(ENGINE, at(now));
    let mut suspects: Vec<_> = crashed
        .iter()
        .map(|r| (r.parts[0], r.begun_ms.is_some()))
        .collect();
    suspects.sort();
    suspects
}

#[test]
fn verify_prompts_that_were_answered_for_long_are_no_suspects() {
    let mut runs = RunLog::default();
    let old = start(&mut runs, "01", 0, Some(100));
    let young = start(&mut runs, "02", 700, Some(100));
    let waiting = start(&mut runs, "03", 800, None);
    runs.record_bytes(old, at(890));
    for run in [old, young, waiting] {
        runs.end(run, RunEnd::Broken, at(900));
    }
    let expected = vec![(part("02"), true), (part("03"), false)];
    assert_eq!(crash_suspects(&mut runs, 905), expected);
    assert_eq!(survivors(&runs, 2_000), [part("01")]);
}

#[test]
fn verify_an_answer_that_ended_right_before_is_a_suspect() {
    let mut runs = RunLog::default();
    let short = start(&mut runs, "01", 0, Some(10));
    runs.end(short, RunEnd::Complete, at(50));
    let broken = start(&mut runs, "02", 20, None);
    runs.end(broken, RunEnd::Broken, at(90));
    let expected = vec![(part("01"), true), (part("02"), false)];
    assert_eq!(crash_suspects(&mut runs, 92), expected);
    assert!(survivors(&runs, 2_000).is_empty());
}

#[test]
fn verify_runs_whose_end_was_not_read_yet_are_suspects() {
    let mut runs = RunLog::default();
    start(&mut runs, "01", 0, Some(10));
    let other = runs.start(ENGINE + 1, &run_of(1, Some(&[part("02")])), at(0));
    runs.record_head(other, at(0));
    assert_eq!(crash_suspects(&mut runs, 50), [(part("01"), true)]);
}

#[test]
fn verify_a_complete_answer_survives_once_its_engine_has_lived_on() {
    let mut runs = RunLog::default();
    let run = start(&mut runs, "01", 0, Some(10));
    runs.end(run, RunEnd::Complete, at(60));
    assert!(survivors(&runs, 500).is_empty());
    assert_eq!(survivors(&runs, 510), [part("01")]);
}

/// Guards against a part that counts as survived as its engine, which is silent, has not been
/// noticed to have ended.
#[test]
fn verify_an_answer_of_which_nothing_more_is_read_proves_nothing() {
    let mut runs = RunLog::default();
    let silent = start(&mut runs, "01", 0, Some(10));
    let other = start(&mut runs, "02", 0, Some(10));
    runs.record_bytes(silent, at(500));
    runs.record_bytes(other, at(510));
    assert_eq!(survivors(&runs, 2_000), [part("02")]);
    let keys: Vec<_> = runs.under_way(at(2_000)).collect();
    assert_eq!(keys.len(), 1);
    runs.end(silent, RunEnd::Broken, at(3_000));
    assert_eq!(survivors(&runs, 4_000), [part("02")]);
    assert_eq!(crash_suspects(&mut runs, 3_005), [(part("01"), true)]);
}

#[test]
fn verify_answers_given_up_early_prove_nothing() {
    let mut runs = RunLog::default();
    let run = start(&mut runs, "01", 0, Some(10));
    runs.end(run, RunEnd::Other, at(300));
    assert!(survivors(&runs, 5_000).is_empty());
    let (crashed, _) = runs.record_crash(ENGINE, at(400));
    assert!(crashed.is_empty());
}

#[test]
fn verify_a_later_process_with_the_same_hash_has_survivors() {
    let mut runs = RunLog::default();
    runs.record_crash(ENGINE, at(0));
    let run = start(&mut runs, "01", 1_000, Some(10));
    runs.record_bytes(run, at(1_520));
    assert_eq!(survivors(&runs, 1_600), [part("01")]);
}

#[test]
fn verify_memory_is_bounded() {
    let options = RunOptions {
        max_ended: 10,
        ..RunOptions::default()
    };
    let mut runs = RunLog::new(options);
    for number in 0..1_000 {
        let run = start(&mut runs, "01", number, Some(0));
        runs.end(run, RunEnd::Complete, at(number));
    }
    assert!(survivors(&runs, 2_000).len() <= 10);
}

/// Guards against parts that are never suspected as they are deep in a prompt, and against
/// memory that grows with the length of prompts.
#[test]
fn verify_runs_are_remembered_with_all_parts_or_not_at_all() {
    const PARTS: u64 = 1_000;
    let options = RunOptions {
        max_ended_parts: 10_000,
        ..RunOptions::default()
    };
    let mut runs = RunLog::new(options);
    for number in 0..100 {
        // No two prompts share a part.
        let parts = (0..PARTS).map(|n| part(&format!("{:x}", PARTS * number + n)));
        let parts: Vec<PartKey> = parts.collect();
        let run = runs.start(ENGINE, &run_of(0, Some(&parts)), at(number));
        runs.record_first_event(run, at(number));
        runs.end(run, RunEnd::Complete, at(number + 500));
    }
    assert_eq!(runs.ended_count(), 10);
    let lists: Vec<_> = runs.survivals(at(2_000)).collect();
    assert_eq!(lists.len(), 10);
    assert!(lists.iter().all(|(parts, _)| parts.len() == 1_000));
    let many: Vec<PartKey> = (0..100_000).map(|n| part(&format!("{n:x}"))).collect();
    runs.start(ENGINE, &run_of(0, Some(&many)), at(3_000));
    let (crashed, _) = runs.record_crash(ENGINE, at(3_000));
    assert!(crashed.iter().any(|run| *run.parts == *many));
}
