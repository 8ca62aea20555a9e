//! Tests of a team's rate and burst across all instances, under faults.

mod limits;

use std::time::Duration;

use limpetsaddle_core::limits::LimitsOptions;
use limpetsaddle_core::limits::Round;
use proptest::prelude::*;
use yare::parameterized;

use crate::limits::CallerRequest;
use crate::limits::Event;
use crate::limits::Fault;
use crate::limits::NODES;
use crate::limits::Simulation;
use crate::limits::at;
use crate::limits::first_excess;
use crate::limits::team_spec;

const RATE: u64 = 2_000;
const BURST: u64 = 6_000;
const DURATION_MS: u64 = 60_000;
const SPIKE_INTERVAL_MS: u64 = 8_000;
const REQUESTS: u64 = 4_000;

/// The distribution over time of a run's requests, which need several times the rate.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// Evenly, with short requests.
    Even,
    /// In spikes, between which the accounts refill to the team's burst.
    Spikes,
}

impl Load {
    fn add(self, sim: &mut Simulation, seed: u64) {
        for _ in 0..REQUESTS {
            let amount = 20 + sim.random(200);
            let used = if seed.is_multiple_of(2) {
                amount
            } else {
                1 + sim.random(amount)
            };
            let (when, longest) = match self {
                Self::Even => (sim.random(DURATION_MS), 1_000),
                Self::Spikes => {
                    let spikes = DURATION_MS / SPIKE_INTERVAL_MS;
                    (
                        SPIKE_INTERVAL_MS * sim.random(spikes) + sim.random(3_000),
                        9_000,
                    )
                }
            };
            let duration_ms = 50 + sim.random(longest);
            let skewed = sim.random(10) < 4;
            let node = if skewed { 4 } else { sim.random(NODES as u64) };
            let req = CallerRequest {
                amount,
                used,
                duration_ms,
            };
            let node = usize::try_from(node).unwrap();
            let event = Event::Reserve(req, Round::Local);
            sim.schedule(Duration::from_millis(when), node, event);
        }
    }

    fn run(self, seed: u64, options: LimitsOptions, faults: &[(u64, Fault)]) -> Simulation {
        let mut sim = Simulation::new(seed, options, team_spec(RATE, BURST, 2));
        sim.run_until(at(1_000));
        self.add(&mut sim, seed);
        let mut faults = faults.to_vec();
        faults.sort_by_key(|(when, _)| *when);
        for (when, fault) in faults {
            sim.run_until(at(when));
            sim.inject(fault);
        }
        sim.run_until(at(DURATION_MS));
        sim
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..NODES).prop_map(Fault::Crash),
        Just(Fault::RestartAll),
        (0..NODES).prop_map(Fault::Leave),
        (0..NODES, 500_u64..20_000).prop_map(|(n, ms)| Fault::Pause(n, ms)),
        (0..3_usize, 500_u64..20_000).prop_map(|(d, ms)| Fault::Partition(d, ms)),
        (500_u64..30_000).prop_map(Fault::PlatformDown),
        (500_u64..30_000).prop_map(Fault::LoseResponses),
        (500_u64..20_000).prop_map(Fault::UnreliableNetwork),
        (500_u64..4_000, 4_000_u64..20_000, 1_u16..4)
            .prop_map(|(r, b, s)| Fault::SetLimits(r, b, s)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_limits_hold_under_faults(
        seed in any::<u64>(),
        faults in prop::collection::vec((5_000..DURATION_MS, any_fault()), 0..8),
    ) {
        let sim = Load::Spikes.run(seed, LimitsOptions::default(), &faults);
        prop_assert!(sim.history.iter().any(|a| a.used > 0));
        prop_assert!(first_excess(&sim.history).is_none());
        prop_assert!(sim.overlap.is_none(), "{:?}", sim.overlap);
    }
}

#[test]
fn verify_full_rate_is_used() {
    let sim = Load::Even.run(7, LimitsOptions::default(), &[]);
    let from = at(20_000);
    let late = sim.history.iter().filter(|a| a.at >= from);
    let used: u64 = late.map(|a| a.used).sum();
    let refill = RATE * (DURATION_MS - 20_000) / 1_000;
    assert!(used * 10 >= refill * 9, "{used} of {refill}");
}

fn without_fence() -> LimitsOptions {
    LimitsOptions {
        fence_timeout: Duration::from_hours(1),
        ..LimitsOptions::default()
    }
}

fn without_grant_ttl() -> LimitsOptions {
    LimitsOptions {
        spend_ttl: Duration::from_secs(30),
        idle_return_after: Duration::from_secs(30),
        prefetch_duration: Duration::from_secs(5),
        ..LimitsOptions::default()
    }
}

/// The check must detect the excess that a missing fence allows: owners are
/// paused until after their slots are taken over, and resume in a later spike.
#[parameterized(
    default_options = { LimitsOptions::default(), false },
    broken = { without_fence(), true },
)]
fn verify_fence_prevents_excess(options: LimitsOptions, is_detected: bool) {
    let faults = [1, 3, 7, 8].map(|node| (17_000, Fault::Pause(node, 25_000)));
    let is_excess = |seed: u64| {
        let sim = Load::Spikes.run(2 * seed, options, &faults);
        first_excess(&sim.history).is_some()
    };
    assert_eq!((0..8).any(is_excess), is_detected);
}

/// The check must detect the excess that grants without expiry allow: instances
/// are paused before they spend theirs, and resume once the owners are full again.
#[parameterized(
    default_options = { LimitsOptions::default(), false },
    broken = { without_grant_ttl(), true },
)]
fn verify_grant_ttl_prevents_excess(options: LimitsOptions, is_detected: bool) {
    let mut sim = Simulation::new(1, options, team_spec(RATE, BURST, 2));
    let req = |amount| {
        let (used, duration_ms) = (amount, 9_000);
        Event::Reserve(
            CallerRequest {
                amount,
                used,
                duration_ms,
            },
            Round::Local,
        )
    };
    sim.run_until(at(20_000));
    for node in [0, 2, 4, 5, 6] {
        sim.schedule(Duration::ZERO, node, req(900));
    }
    sim.run_until(at(20_005));
    for node in [0, 2, 4, 5, 6] {
        sim.inject(Fault::Pause(node, 8_000));
    }
    sim.run_until(at(28_000));
    for _ in 0..20 {
        for node in [1, 3, 7, 8] {
            sim.schedule(Duration::ZERO, node, req(100));
        }
    }
    sim.run_until(at(30_000));
    assert!(sim.history.iter().any(|a| a.used > 0));
    assert_eq!(first_excess(&sim.history).is_some(), is_detected);
}
