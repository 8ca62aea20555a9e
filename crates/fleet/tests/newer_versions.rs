//! Newer versions of the configuration that peers have applied.

mod support;

use std::time::Duration;

use limpetsaddle_fleet::newer_versions::NewerVersions;
use limpetsaddle_fleet::newer_versions::Reliance;
use support::at;

const BOUND: Duration = Duration::from_secs(2);

fn reliance(newer: &NewerVersions, age_ms: u64, now_ms: u64) -> Reliance {
    let age = Some(Duration::from_millis(age_ms));
    Reliance::on(newer, age, BOUND, at(now_ms))
}

#[test]
fn verify_what_is_missing_is_final_only_in_a_confirmed_configuration() {
    let newer = NewerVersions::default();
    assert_eq!(reliance(&newer, 1_999, 0), Reliance::Full);
    assert_eq!(reliance(&newer, 2_000, 0), Reliance::Partial);
    assert_eq!(Reliance::on(&newer, None, BOUND, at(0)), Reliance::Partial);
}

#[test]
fn verify_a_version_that_was_applied_in_time_is_no_reason_for_refusals() {
    let mut newer = NewerVersions::default();
    // Versions follow each other faster than this instance applies them.
    for round in 0..100_u64 {
        assert!(newer.record(round + 2, round + 1, at(round * 300)));
        assert_ne!(reliance(&newer, 0, round * 300 + 299), Reliance::Outdated);
        newer.record_applied(round + 1);
    }
}

#[test]
fn verify_an_instance_knows_for_how_long_it_has_been_behind() {
    let mut newer = NewerVersions::default();
    newer.record(5, 4, at(0));
    newer.record(6, 4, at(900));
    assert_eq!(reliance(&newer, 0, 1_000), Reliance::Outdated);
    newer.record_applied(5);
    assert_eq!(reliance(&newer, 0, 1_000), Reliance::Partial);
    assert_eq!(newer.newest(), Some(6));
    newer.record_applied(6);
    assert_eq!(reliance(&newer, 0, 1_000), Reliance::Full);
}

#[test]
fn verify_versions_without_end_take_bounded_memory_and_keep_the_first_report() {
    let mut newer = NewerVersions::default();
    for version in 2..10_000 {
        newer.record(version, 1, at(version));
    }
    assert_eq!(newer.newest(), Some(9_999));
    assert_eq!(newer.known_for(at(10_002)), Some(Duration::from_secs(10)));
}
