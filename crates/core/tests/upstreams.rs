//! Tests of the table of upstreams.

use std::time::Duration;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::UpstreamSpec;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;
use limpetsaddle_core::upstreams::Arrival;
use limpetsaddle_core::upstreams::AttemptOutcome;
use limpetsaddle_core::upstreams::Health;
use limpetsaddle_core::upstreams::Identity;
use limpetsaddle_core::upstreams::LoadReport;
use limpetsaddle_core::upstreams::UpstreamId;
use limpetsaddle_core::upstreams::UpstreamOptions;
use limpetsaddle_core::upstreams::UpstreamTable;
use yare::parameterized;

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

fn spec(phase: Phase) -> UpstreamSpec {
    UpstreamSpec {
        pool: "lm-pool".parse().unwrap(),
        domain: "bergen-a".parse().unwrap(),
        address: ([127, 0, 0, 1], 9_000).into(),
        phase,
    }
}

fn insert(table: &mut UpstreamTable, phase: Phase, arrival: Arrival) -> UpstreamId {
    table.insert("engine".parse().unwrap(), spec(phase), arrival, at(0))
}

fn one() -> (UpstreamTable, UpstreamId) {
    let mut table = UpstreamTable::new(UpstreamOptions::default());
    let id = insert(&mut table, Phase::Live, Arrival::InService);
    (table, id)
}

fn seen(incarnation: u64, weights: u64) -> Identity {
    Identity {
        incarnation: Incarnation(incarnation),
        weights: WeightsVersion(weights),
    }
}

#[parameterized(
    responded = { &[AttemptOutcome::Responded], true, false },
    cancelled = { &[AttemptOutcome::Cancelled], true, false },
    timed_out = { &[AttemptOutcome::TimedOut], true, true },
    timed_out_often = { &[AttemptOutcome::TimedOut; 9], true, true },
    recovers = { &[AttemptOutcome::TimedOut, AttemptOutcome::Responded], true, false },
    unreachable = { &[AttemptOutcome::Unreachable], false, false },
    late_response = { &[AttemptOutcome::Unreachable, AttemptOutcome::Responded], false, false },
    late_timeout = { &[AttemptOutcome::Unreachable, AttemptOutcome::TimedOut], false, false },
)]
fn verify_health_after_attempts(ends: &[AttemptOutcome], accepts_requests: bool, suspect: bool) {
    let (mut table, id) = one();
    let tickets: Vec<_> = ends
        .iter()
        .map(|_| table.start(id, Tokens(1), Tokens(1)).unwrap())
        .collect();
    for (ticket, end) in tickets.into_iter().zip(ends) {
        table.finish(ticket, *end, at(10), 7);
    }
    let row = table.get(id).unwrap();
    assert_eq!(row.accepts_requests(), accepts_requests);
    assert_eq!(row.health == Health::Suspect, suspect);
    assert_eq!(table.load(id, at(10)).requests, 0);
}

#[test]
fn verify_probes_are_jittered_and_postponed_after_failure() {
    let base = UpstreamOptions::default().probe_delay;
    let mut delays = Vec::new();
    for random in 0..64 {
        let (mut table, id) = one();
        let ticket = table.start(id, Tokens(1), Tokens(1)).unwrap();
        table.finish(ticket, AttemptOutcome::Unreachable, at(0), random);
        let Health::Down { probe_at } = table.get(id).unwrap().health else {
            panic!("the upstream is not down");
        };
        assert!(probe_at.since(at(0)) >= base / 2 && probe_at.since(at(0)) <= base);
        assert!(table.due_probes(at(0)).is_empty());
        assert_eq!(table.due_probes(probe_at), [id]);
        table.record_probe_failure(id, probe_at, random);
        assert!(table.due_probes(probe_at + base / 2).is_empty());
        delays.push(probe_at);
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 32, "instances probe at the same time");
}

#[parameterized(
    requested_before = { 5, false },
    requested_after = { 11, true },
)]
fn verify_report_after_failure_starts_warm_up(sent: u64, recovers: bool) {
    let (mut table, id) = one();
    let ticket = table.start(id, Tokens(1), Tokens(1)).unwrap();
    table.finish(ticket, AttemptOutcome::Unreachable, at(10), 0);
    table.record_report(
        id,
        LoadReport::default(),
        Some(seen(2, 1)),
        at(sent),
        at(20),
    );
    let health = table.get(id).unwrap().health;
    assert_eq!(health == Health::Warming { since: at(20) }, recovers);
}

#[test]
fn verify_reports_clear_failures_of_a_suspect() {
    let (mut table, id) = one();
    for _ in 0..2 {
        let ticket = table.start(id, Tokens(1), Tokens(1)).unwrap();
        table.finish(ticket, AttemptOutcome::TimedOut, at(10), 0);
    }
    table.record_report(id, LoadReport::default(), None, at(20), at(20));
    assert_eq!(table.get(id).unwrap().health, Health::Suspect);
    table.record_report(id, LoadReport::default(), None, at(30), at(30));
    assert_eq!(table.get(id).unwrap().health, Health::Healthy);
}

#[parameterized(
    same = { seen(1, 1), 0, false },
    restarted = { seen(2, 1), 1, true },
    other_weights = { seen(1, 2), 1, false },
)]
fn verify_identity_change_starts_a_new_epoch(second: Identity, changes: u32, warming: bool) {
    let (mut table, id) = one();
    let mut early = table.start(id, Tokens(1), Tokens(1)).unwrap();
    table.record_identity(&early, seen(1, 1), at(1));
    let before = table.get(id).unwrap().epoch;
    let ticket = table.start(id, Tokens(1), Tokens(1)).unwrap();
    table.record_identity(&ticket, second, at(2));
    let row = table.get(id).unwrap();
    assert_eq!(u32::from(row.epoch != before), changes);
    assert_eq!(matches!(row.health, Health::Warming { .. }), warming);
    let (epoch, health) = (row.epoch, row.health);
    table.record_identity(&early, seen(1, 1), at(3));
    table.record_first_token(&mut early);
    table.finish(early, AttemptOutcome::Unreachable, at(4), 0);
    let row = table.get(id).unwrap();
    assert_eq!(
        row.epoch, epoch,
        "a late response changed the identity back"
    );
    assert_eq!(
        row.health == health,
        changes == 1,
        "a late failure changed the health of the new engine"
    );
    table.finish(ticket, AttemptOutcome::Cancelled, at(5), 0);
}

#[test]
fn verify_request_limit_rises_during_warm_up() {
    let mut table = UpstreamTable::new(UpstreamOptions::default());
    let id = insert(&mut table, Phase::Live, Arrival::New);
    let limits: Vec<u32> = (0..=30)
        .map(|i| table.request_limit(id, 64, at(i * 100)))
        .collect();
    assert_eq!(limits[0], 1);
    assert_eq!(limits[30], 64);
    assert!(limits.is_sorted());
    assert!(limits[10] <= 64 / 2);
}

#[test]
fn verify_load_estimate() {
    let max_age = UpstreamOptions::default().report_max_age;
    let (mut table, id) = one();
    let mut own = table.start(id, Tokens(3_000), Tokens(1_000)).unwrap();
    let report = LoadReport {
        requests: 5,
        queued_tokens: Tokens(9_000),
    };
    table.record_report(id, report, None, at(100), at(120));
    let load = |table: &UpstreamTable, now| {
        let load = table.load(id, now);
        (load.requests, load.queued_tokens.0, load.reported_tokens.0)
    };
    assert_eq!(load(&table, at(100)), (5, 1_000, 6_000));
    let added = table.start(id, Tokens(800), Tokens(500)).unwrap();
    assert_eq!(load(&table, at(100)), (6, 1_500, 6_000));
    assert_eq!(load(&table, at(100) + max_age / 2), (4, 1_500, 3_000));
    table.record_report(id, LoadReport::default(), None, at(50), at(130));
    assert_eq!(
        load(&table, at(100)).0,
        6,
        "an older report replaced a newer one"
    );
    table.record_first_token(&mut own);
    assert_eq!(load(&table, at(100) + max_age), (2, 500, 0));
    table.finish(own, AttemptOutcome::Responded, at(200), 0);
    table.finish(added, AttemptOutcome::Responded, at(200), 0);
    assert_eq!(load(&table, at(100) + max_age), (0, 0, 0));
}

#[test]
fn verify_id_of_a_removed_upstream_is_not_reused() {
    let (mut table, id) = one();
    let old = table.start(id, Tokens(1), Tokens(1)).unwrap();
    table.remove(&"engine".parse().unwrap());
    assert!(table.start(id, Tokens(1), Tokens(1)).is_none());
    let new = insert(&mut table, Phase::Live, Arrival::New);
    assert_ne!(new, id);
    table.finish(old, AttemptOutcome::Unreachable, at(5), 0);
    assert!(table.get(new).unwrap().accepts_requests());
    assert_eq!(insert(&mut table, Phase::Leaving, Arrival::New), new);
    assert!(!table.get(new).unwrap().accepts_requests());
}
