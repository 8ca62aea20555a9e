//! Limits that upstreams set for all instances together, in fleets of any size and in any cut.

mod support;

use limpetsaddle_core::hash::mix;
use support::permit_sim::PermitSim;
use yare::parameterized;

/// The time for which a fleet runs before its engines set limits.
const WARM_UP_MS: u64 = 4_500;

/// The time after which a limit binds the instances that have learned it.
const STABLE_MS: u64 = 700;

/// Returns the requests that a limit permits in 4 s.
#[expect(clippy::cast_possible_truncation, reason = "limits of tests are small")]
#[expect(clippy::cast_sign_loss, reason = "limits are not negative")]
fn permitted(limit: f64) -> usize {
    (1.5 * limit * 4.0 + 5.0) as usize
}

/// Returns a fleet whose engines have all set a limit.
fn limited(instances: usize, engines: u8, limit: f64, per_second: f64, seed: u64) -> PermitSim {
    let mut sim = PermitSim::new(instances, engines, seed);
    sim.run(WARM_UP_MS);
    sim.limit_all(Some(limit));
    sim.spread(per_second, &(0..instances).collect::<Vec<_>>());
    sim
}

fn check(sim: &PermitSim, limit: f64, from_ms: u64) {
    for engine in 0..u8::try_from(sim.limits.len()).unwrap() {
        let most = sim.most_in_a_window(engine, from_ms);
        assert!(most <= permitted(limit), "engine {engine}: {most}");
    }
}

fn used(sim: &PermitSim, limit: f64, from_ms: u64) -> f64 {
    let engines = u8::try_from(sim.limits.len()).unwrap();
    let arrived: usize = (0..engines).map(|e| sim.arrived_since(e, from_ms)).sum();
    let span = PermitSim::seconds(sim.now_ms - from_ms);
    f64::from(u32::try_from(arrived).unwrap()) / (limit * f64::from(engines) * span)
}

#[parameterized(
    one_instance = { 1, 3, 0.4, 40.0 },
    nine_instances_below_one = { 9, 3, 0.4, 40.0 },
    nine_instances = { 9, 9, 1.9, 60.0 },
    nine_instances_some_dozens = { 9, 3, 40.0, 300.0 },
    many_instances = { 295, 4, 1.0, 300.0 },
    many_instances_some_dozens = { 295, 2, 24.0, 400.0 },
)]
fn verify_a_limit_holds_and_is_used_in_a_fleet_of_any_size(
    instances: usize,
    engines: u8,
    limit: f64,
    per_second: f64,
) {
    let mut sim = limited(instances, engines, limit, per_second, 7);
    sim.run(20_000);
    check(&sim, limit, WARM_UP_MS + STABLE_MS);
    let used = used(&sim, limit, WARM_UP_MS + 4_000);
    assert!(used > 0.8, "{used} of the limit is used");
}

#[test]
fn verify_a_limit_holds_while_the_traffic_moves_between_instances() {
    let mut sim = limited(9, 4, 3.0, 60.0, 3);
    for round in 0..12 {
        sim.spread(60.0, &[round % 9]);
        sim.run(1_500);
    }
    check(&sim, 3.0, WARM_UP_MS + STABLE_MS);
    let used = used(&sim, 3.0, WARM_UP_MS + 4_000);
    assert!(used > 0.7, "{used} of the limit is used");
}

#[test]
fn verify_a_burst_after_an_idle_time_stays_within_the_limit() {
    let mut sim = limited(9, 4, 1.9, 60.0, 5);
    for _ in 0..3 {
        sim.spread(60.0, &(0..9).collect::<Vec<_>>());
        sim.run(3_000);
        sim.spread(0.0, &[0]);
        sim.run(6_000);
    }
    check(&sim, 1.9, WARM_UP_MS + STABLE_MS);
}

#[parameterized(
    two_sides = { 9, |i| u8::from(i < 4), 5_000 },
    three_sides = { 9, |i| u8::try_from(i % 3).unwrap(), 5_000 },
    one_alone = { 9, |i| u8::from(i == 2), 5_000 },
    a_large_fleet = { 295, |i| u8::from(i % 3 == 0), 9_000 },
)]
fn verify_a_limit_holds_on_the_sides_of_a_partition_together(
    instances: usize,
    side: fn(usize) -> u8,
    adaptation_ms: u64,
) {
    let limit = 4.0;
    let mut sim = limited(instances, 3, limit, 200.0, 11);
    sim.run(6_000);
    sim.sides = (0..instances).map(side).collect();
    sim.run(adaptation_ms);
    let adapted = sim.now_ms;
    sim.run(6_000);
    let used = used(&sim, limit, adapted);
    assert!(used > 0.7, "{used} of the limit is used in the cut");
    sim.sides.fill(0);
    sim.run(8_000);
    check(&sim, limit, WARM_UP_MS + STABLE_MS);
}

#[parameterized(
    nine_instances = { 9 },
    many_instances = { 120 },
)]
fn verify_a_limit_holds_while_its_issuer_is_killed_suspended_and_restarted(instances: usize) {
    let limit = 2.0;
    let mut sim = limited(instances, 2, limit, 100.0, 13);
    sim.run(6_000);
    for round in 0..4 {
        let issuer = sim.issuer_of(0, 0);
        if round % 2 == 0 {
            sim.suspend(issuer, 2_500);
            sim.run(5_000);
        } else {
            sim.kill(issuer);
            sim.run(3_000);
            sim.restart(issuer);
            sim.run(3_000);
        }
    }
    check(&sim, limit, WARM_UP_MS + STABLE_MS);
}

#[test]
fn verify_a_limit_holds_after_all_instances_have_restarted() {
    let limit = 2.0;
    let mut sim = limited(9, 3, limit, 60.0, 17);
    sim.run(6_000);
    for instance in 0..9 {
        sim.restart(instance);
    }
    let restarted = sim.now_ms;
    sim.run(12_000);
    check(&sim, limit, restarted + STABLE_MS);
}

#[parameterized(
    rising = { 1.0, Some(6.0) },
    falling = { 6.0, Some(1.0) },
    ending = { 1.5, None },
)]
fn verify_a_changed_limit_is_followed(first: f64, second: Option<f64>) {
    let mut sim = limited(9, 2, first, 60.0, 19);
    sim.run(8_000);
    sim.limit_all(second);
    let changed = sim.now_ms;
    sim.run(4_000);
    match second {
        Some(limit) => {
            sim.run(6_000);
            check(&sim, limit.max(first), WARM_UP_MS + STABLE_MS);
            check(&sim, limit, changed + 1_500);
            let used = used(&sim, limit, changed + 2_000);
            assert!(used > 0.8, "{used} of the limit is used");
        }
        None => {
            for instance in 0..9 {
                assert!(sim.is_unlimited(instance, 0), "at a-{instance}");
            }
        }
    }
}

#[test]
fn verify_a_limit_holds_in_disruptions_of_any_kind() {
    for seed in 0..60 {
        let limit = [0.5, 1.9, 4.0, 12.0][usize::try_from(seed % 4).unwrap()];
        let mut sim = limited(9, 2, limit, 120.0, seed);
        sim.loss = [0, 0, 20, 5][usize::try_from(seed / 4 % 4).unwrap()];
        let mut random = mix(seed);
        for _ in 0..12 {
            random = mix(random);
            let instance = usize::try_from(random >> 8).unwrap() % 9;
            match random % 6 {
                0 => sim.suspend(instance, 500 + random % 3_000),
                1 => sim.kill(instance),
                2 => sim.restart(instance),
                3 => sim.sides[instance] = u8::try_from(random >> 60).unwrap() % 3,
                4 => sim.sides.fill(0),
                _ => sim.spread(120.0, &[instance, (instance + 4) % 9]),
            }
            sim.run(500 + (random >> 20) % 1_500);
        }
        for engine in 0..2 {
            let most = sim.most_in_a_window(engine, WARM_UP_MS + STABLE_MS);
            assert!(most <= permitted(limit), "seed {seed}: {most} at {limit}");
        }
    }
}
