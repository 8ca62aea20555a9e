//! Simulated fleets before upstreams that end under one request.

mod support;

use std::time::Duration;

use support::request_sim::SCENARIO;
use support::request_sim::Scenario;
use support::request_sim::run;
use yare::parameterized;

/// The late arrivals that are permitted.
const MAX_LATE: usize = 3;

#[parameterized(
    nine_instances = { SCENARIO, 40 },
    one_instance = { Scenario { instances: 1, ..SCENARIO }, 40 },
    one_replica = { Scenario { replicas: 1, ..SCENARIO }, 40 },
    nine_replicas = { Scenario { replicas: 9, ..SCENARIO }, 40 },
    seldom = { Scenario { interval: Some(Duration::from_secs(2)), ..SCENARIO }, 40 },
    often = { Scenario { interval: Some(Duration::from_millis(50)), ..SCENARIO }, 40 },
    lossy = { Scenario { loss: 0.3, ..SCENARIO }, 40 },
    two_sides_of_a_cut = { Scenario { is_cut: true, ..SCENARIO }, 40 },
    beside_ordinary_crashes = { Scenario { has_ordinary_crashes: true, replicas: 6, ..SCENARIO }, 40 },
    many_instances = { Scenario { instances: 295, replicas: 20, ..SCENARIO }, 3 },
    many_instances_seldom = {
        Scenario { instances: 295, interval: Some(Duration::from_secs(2)), ..SCENARIO }, 3
    },
    many_instances_in_a_cut = { Scenario { instances: 295, replicas: 20, is_cut: true, ..SCENARIO }, 3 },
)]
fn verify_a_harmful_request_is_withheld_and_no_other(scenario: Scenario, seeds: u64) {
    for seed in 0..seeds {
        let outcome = run(Scenario { seed, ..scenario });
        assert!(outcome.crashes >= 3, "seed {seed}: {outcome:?}");
        assert!(outcome.late <= MAX_LATE, "seed {seed}: {outcome:?}");
        assert!(
            outcome.sound_withheld.is_empty(),
            "seed {seed}: {outcome:?}"
        );
        let (sent, served) = outcome.sound;
        let is_calm = !scenario.has_ordinary_crashes;
        assert!(
            !is_calm || served * 100 >= sent * 97,
            "seed {seed}: {outcome:?}"
        );
    }
}

#[parameterized(
    six_replicas = { Scenario { replicas: 6, ..SCENARIO }, 40 },
    two_replicas = { Scenario { replicas: 2, ..SCENARIO }, 40 },
    many_instances = { Scenario { instances: 295, replicas: 6, ..SCENARIO }, 3 },
)]
fn verify_ordinary_crashes_withhold_no_request(scenario: Scenario, seeds: u64) {
    for seed in 0..seeds {
        let outcome = run(Scenario {
            seed,
            interval: None,
            has_ordinary_crashes: true,
            ..scenario
        });
        assert!(outcome.crashes >= 10, "seed {seed}: {outcome:?}");
        assert!(
            outcome.sound_withheld.is_empty(),
            "seed {seed}: {outcome:?}"
        );
    }
}
