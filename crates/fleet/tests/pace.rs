//! The window of an upstream that has just started or recovered.

mod support;

use limpetsaddle_fleet::health::RequestOutcome;
use limpetsaddle_fleet::speed::WorkKind;
use limpetsaddle_fleet::upstreams::RequestLoad;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use support::Fleet;
use support::at;
use support::engine;
use support::pace_sim::PaceSim;
use support::plain;
use yare::parameterized;

/// Returns the requests at an upstream in a time, relative to the mean of all others.
fn relative_load(sim: &PaceSim, id: &str, count: u8, from_ms: u64, to_ms: u64) -> f64 {
    let all = sim.placed_within(from_ms, to_ms).count();
    let own = sim.placed_within(from_ms, to_ms);
    let own = own.filter(|p| &*p.upstream == id).count();
    let float = |n: usize| f64::from(u32::try_from(n).unwrap());
    float(own) / (float(all - own) / f64::from(count - 1))
}

/// Guards against all instances selecting an upstream that has just started, and against one
/// that stays idle: it gets at most twice the mean load in its first second, and its share 5 s
/// later.
#[parameterized(
    engines_small = { 9, 12, WorkKind::Prefill, 1.0 },
    plain_small = { 9, 12, WorkKind::Plain, 1.0 },
    engines_large = { 80, 60, WorkKind::Prefill, 1.0 },
    plain_large = { 80, 60, WorkKind::Plain, 1.0 },
    half_as_fast = { 9, 12, WorkKind::Plain, 0.5 },
)]
fn verify_an_upstream_that_has_started_gets_its_share_step_by_step(
    instances: u16,
    count: u8,
    kind: WorkKind,
    speed: f64,
) {
    let entry = |i: u8| match kind {
        WorkKind::Prefill => engine(i, 1),
        WorkKind::Plain => plain(i),
    };
    let entries = (0..count).map(|i| (entry(i), 1.0)).collect();
    let mut sim = PaceSim::new(instances, entries, kind);
    sim.rate = sim.rate_for(0.6);
    sim.run(5_000);
    let restarted = UpstreamEntry {
        born_ms: 2,
        ..entry(0)
    };
    sim.start(&restarted, speed);
    sim.run(8_000);
    let load = |from: u64, to: u64| relative_load(&sim, "e0", count, 5_000 + from, 5_000 + to);
    let (first, later) = (load(0, 1_000), load(5_000, 8_000));
    assert!(
        first <= 2.0,
        "{first} times the mean load in the first second"
    );
    assert!(later >= 0.8 * speed, "{later} of the mean load after 5 s");
}

/// Guards against a flapping upstream that gets its full load after each recovery.
#[test]
fn verify_each_failure_in_a_minute_narrows_the_first_window() {
    let mut fleet = Fleet::new((0..4).map(plain).collect());
    let mut shares = Vec::new();
    for round in 0..4 {
        let now = at(10_000 + round * 10_000);
        let load = RequestLoad::default();
        let ticket = fleet.upstreams.start("e0", load, now).unwrap();
        let failed = Some(RequestOutcome::ConnectFailed);
        fleet.upstreams.finish(&ticket, failed, now);
        let row = fleet.upstreams.get("e0").unwrap();
        shares.push(row.window().unwrap().share());
    }
    assert_eq!(shares, [0.5, 0.25, 0.125, 0.0625]);
}

/// Guards against windows for all upstreams at the start of an instance, to which all are new.
#[test]
fn verify_the_first_list_of_upstreams_has_no_windows() {
    let fleet = Fleet::new((0..4).map(plain).collect());
    assert!(fleet.upstreams.iter().all(|row| row.window().is_none()));
}

/// Guards against all instances selecting a slow upstream that has just started, as it is the
/// only idle one: without a window it got 4 to 11 times the mean load in the first 0.3 s, and
/// up to 3.9 s of queue.
#[parameterized(
    many_plain = { 80, 60, WorkKind::Plain },
    many_engines = { 80, 60, WorkKind::Prefill },
    few_plain = { 80, 20, WorkKind::Plain },
    few_engines = { 80, 20, WorkKind::Prefill },
)]
fn verify_a_slow_upstream_is_not_overloaded_after_its_start_under_load(
    instances: u16,
    count: u8,
    kind: WorkKind,
) {
    let entry = |i: u8| match kind {
        WorkKind::Prefill => engine(i, 1),
        WorkKind::Plain => plain(i),
    };
    let entries = (0..count).map(|i| (entry(i), 1.0)).collect();
    let mut sim = PaceSim::new(instances, entries, kind);
    sim.rate = sim.rate_for(0.95);
    sim.run(5_000);
    sim.start(&entry(count), 0.5);
    sim.run(1_000);
    let id = format!("e{count}");
    for (from, to) in [(0, 300), (0, 1_000)] {
        let load = relative_load(&sim, &id, count + 1, 5_000 + from, 5_000 + to);
        assert!(load <= 2.0, "{load} times the mean load in {to} ms");
    }
    let placed = sim.placed_within(5_000, 6_000);
    let placed = placed.filter(|p| *p.upstream == *id);
    let longest = placed.map(|p| p.latency_ms).fold(0.0, f64::max);
    assert!(longest <= 1_000.0, "{longest} ms");
}
