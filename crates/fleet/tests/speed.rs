//! The observed speed of upstreams, and placement by it.

mod support;

use std::time::Duration;

use limpetsaddle_fleet::speed::Evidence;
use limpetsaddle_fleet::speed::SpeedUpdate;
use limpetsaddle_fleet::speed::Work;
use limpetsaddle_fleet::speed::WorkKind;
use limpetsaddle_fleet::upstreams::RequestLoad;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use support::Fleet;
use support::at;
use support::engine;
use support::pace_sim::PaceSim;
use support::plain;
use yare::parameterized;

/// Upstreams of 0.55 to 1.2 of the ordinary speed.
fn uneven(count: u8, entry: fn(u8) -> UpstreamEntry) -> Vec<(UpstreamEntry, f64)> {
    let step = 0.65 / f64::from(count - 1);
    let speed = |i: u8| 0.55 + step * f64::from(i);
    (0..count).map(|i| (entry(i), speed(i))).collect()
}

fn model_engine(index: u8) -> UpstreamEntry {
    engine(index, 1)
}

/// Returns the mean latency in milliseconds at the slowest and at the fastest third of the
/// upstreams, and the 95th percentile of all.
fn latencies(sim: &PaceSim, count: u8, from_ms: u64) -> (f64, f64, f64) {
    let number = |name: &str| name[1..].parse::<u8>().unwrap();
    let mean = |is_member: &dyn Fn(u8) -> bool| {
        let placed = sim.placed_within(from_ms, u64::MAX);
        let placed = placed.filter(|p| is_member(number(&p.upstream)));
        let all: Vec<f64> = placed.map(|p| p.latency_ms).collect();
        all.iter().sum::<f64>() / f64::from(u32::try_from(all.len().max(1)).unwrap())
    };
    let placed = sim.placed_within(from_ms, u64::MAX);
    let mut all: Vec<f64> = placed.map(|p| p.latency_ms).collect();
    all.sort_by(f64::total_cmp);
    let high = all[all.len() * 95 / 100];
    let third = count / 3;
    (mean(&|i| i < third), mean(&|i| i >= count - third), high)
}

fn play(instances: u16, count: u8, kind: WorkKind, learns: bool) -> (f64, f64, f64) {
    let entry = match kind {
        WorkKind::Prefill => model_engine,
        WorkKind::Plain => plain,
    };
    let mut sim = PaceSim::new(instances, uneven(count, entry), kind);
    sim.learns = learns;
    sim.rate = sim.rate_for(0.85);
    sim.run(24_000);
    latencies(&sim, count, 12_000)
}

/// Guards against queues at slow engines while fast ones are idle. Without observed speeds,
/// prompts at the slowest third took 1.5 times as long as at the fastest with 9 instances and
/// 1.75 times with 80.
#[parameterized(
    small = { 9, 12 },
    large = { 80, 60 },
)]
fn verify_uneven_engines_are_evenly_late(instances: u16, count: u8) {
    let (_, _, old_high) = play(instances, count, WorkKind::Prefill, false);
    let (slow, fast, high) = play(instances, count, WorkKind::Prefill, true);
    assert!(
        slow <= fast * 1.45,
        "{slow} ms at slow, {fast} ms at fast ones"
    );
    assert!(high <= old_high, "{high} ms instead of {old_high} ms");
}

/// Guards against equal numbers of requests at plain upstreams of different speed.
#[parameterized(
    small = { 9, 12 },
    large = { 80, 60 },
)]
fn verify_uneven_plain_upstreams_get_requests_by_their_speed(instances: u16, count: u8) {
    let (_, _, old_high) = play(instances, count, WorkKind::Plain, false);
    let (_, _, high) = play(instances, count, WorkKind::Plain, true);
    assert!(
        high <= old_high * 0.85,
        "{high} ms instead of {old_high} ms"
    );
}

/// Guards against other decisions than before in a fleet whose upstreams are equal: the
/// decisions with and without evidence are the same, request by request.
#[parameterized(
    prefill_small = { 9, 12, WorkKind::Prefill },
    plain_small = { 9, 12, WorkKind::Plain },
    prefill_large = { 80, 60, WorkKind::Prefill },
    plain_large = { 80, 60, WorkKind::Plain },
)]
fn verify_equal_upstreams_get_the_same_requests_as_before(
    instances: u16,
    count: u8,
    kind: WorkKind,
) {
    let entry = match kind {
        WorkKind::Prefill => model_engine,
        WorkKind::Plain => plain,
    };
    let play = |learns: bool| {
        let entries = (0..count).map(|i| (entry(i), 1.0)).collect();
        let mut sim = PaceSim::new(instances, entries, kind);
        sim.learns = learns;
        sim.rate = sim.rate_for(0.5);
        sim.run(10_000);
        let placed = sim.placed.into_iter();
        placed.map(|p| p.upstream).collect::<Vec<_>>()
    };
    assert_eq!(play(true), play(false));
}

/// Samples of 75 ms, or as much as `factor` says, for a prompt of 3,300 tokens.
fn sample(factor: f64) -> Evidence {
    let work = Work {
        kind: WorkKind::Prefill,
        own: 3_300.0,
        found: 0.0,
        overhead: Duration::ZERO,
        confidence: 1.0,
    };
    work.sample(Duration::from_secs_f64(0.075 * factor))
        .unwrap()
}

fn process(fleet: &Fleet, id: &str) -> u64 {
    let row = fleet.upstreams.get(id).unwrap();
    row.entry.incarnation().process()
}

/// Guards against a peer whose reports make an upstream infinitely fast or slow.
#[test]
fn verify_reports_of_a_peer_are_bounded() {
    let mut fleet = Fleet::new((0..4).map(model_engine).collect());
    for id in ["e0", "e1", "e2"] {
        let updates = [SpeedUpdate::new(
            process(&fleet, id),
            WorkKind::Prefill,
            &sample(1.0),
        )];
        for step in 0..40 {
            fleet.upstreams.apply_speeds(&updates, at(step));
        }
    }
    for (mean, deviation) in [(i16::MIN, 0), (i16::MAX, 0), (i16::MAX, u16::MAX)] {
        let update = SpeedUpdate {
            process: process(&fleet, "e3"),
            is_plain: false,
            weight: u16::MAX,
            mean,
            deviation,
        };
        for step in 1..40 {
            fleet.upstreams.apply_speeds(&[update; 100], at(step * 600));
        }
        let ratio = |id: &str| {
            let row = fleet.upstreams.get(id).unwrap();
            row.speed(WorkKind::Prefill)
                .map_or(1.0, |speed| speed.relative)
        };
        assert!((0.25..=8.0).contains(&ratio("e3")), "{}", ratio("e3"));
        assert!((0.25..=8.0).contains(&ratio("e0")), "{}", ratio("e0"));
    }
}

/// Guards against heartbeats that grow with the number of upstreams, and against the loss of
/// what did not fit into one.
#[test]
fn verify_a_heartbeat_reports_at_most_32_upstreams() {
    let mut fleet = Fleet::new((0..80).map(model_engine).collect());
    for index in 0..80 {
        let id = format!("e{index}");
        let load = RequestLoad::default();
        let mut ticket = fleet.upstreams.start(&id, load, at(0)).unwrap();
        ticket.attribute(Some(Work {
            kind: WorkKind::Prefill,
            own: 3_300.0,
            found: 0.0,
            overhead: Duration::ZERO,
            confidence: 1.0,
        }));
        fleet.upstreams.record_first_event(&mut ticket, at(75));
    }
    let sizes: Vec<usize> = (0..4)
        .map(|_| fleet.upstreams.take_speed_updates().len())
        .collect();
    assert_eq!(sizes, [32, 32, 16, 0]);
}

/// Guards against a new upstream that is taken for one of ordinary speed, though all others of
/// its service are known to be different from that.
#[test]
fn verify_an_upstream_without_samples_is_taken_for_the_mean_of_the_others() {
    let mut fleet = Fleet::new((0..4).map(model_engine).collect());
    for step in 0..40 {
        for (id, factor) in [("e0", 2.0), ("e1", 2.0), ("e2", 4.0), ("e3", 4.0)] {
            let process = process(&fleet, id);
            let update = SpeedUpdate::new(process, WorkKind::Prefill, &sample(factor));
            fleet.upstreams.apply_speeds(&[update], at(step * 100));
        }
    }
    fleet.upstreams.upsert(model_engine(9), at(5_000));
    let unit_ms = |id: &str| {
        let row = fleet.upstreams.get(id).unwrap();
        row.speed(WorkKind::Prefill).unwrap().unit_ms
    };
    assert!(unit_ms("e0") < unit_ms("e9") && unit_ms("e9") < unit_ms("e3"));
}
