//! A team's rate and burst over all instances together, under faults.

mod limits;

use std::time::Duration;

use limpetsaddle_core::limits::LimitsOptions;
use limpetsaddle_core::limits::Round;
use proptest::prelude::*;
use yare::parameterized;

use crate::limits::Event;
use crate::limits::Fault;
use crate::limits::Job;
use crate::limits::NODES;
use crate::limits::World;
use crate::limits::at;
use crate::limits::first_excess;
use crate::limits::team_spec;

const RATE: u64 = 2_000;
const BURST: u64 = 6_000;
const LENGTH_MS: u64 = 60_000;
const WAVE_MS: u64 = 8_000;
const REQUESTS: u64 = 4_000;

/// How the requests of a run, several times the rate, lie in time.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// Evenly, with short requests.
    Even,
    /// In waves, between which the whole burst is minted again.
    Waves,
}

impl Load {
    fn add(self, world: &mut World, seed: u64) {
        for _ in 0..REQUESTS {
            let amount = 20 + world.random(200);
            let used = if seed.is_multiple_of(2) {
                amount
            } else {
                1 + world.random(amount)
            };
            let (when, longest) = match self {
                Self::Even => (world.random(LENGTH_MS), 1_000),
                Self::Waves => {
                    let waves = LENGTH_MS / WAVE_MS;
                    (WAVE_MS * world.random(waves) + world.random(3_000), 9_000)
                }
            };
            let hold = 50 + world.random(longest);
            let skewed = world.random(10) < 4;
            let node = if skewed {
                4
            } else {
                world.random(NODES as u64)
            };
            let job = Job { amount, used, hold };
            let node = usize::try_from(node).unwrap();
            let event = Event::Attempt(job, Round::Local);
            world.post(Duration::from_millis(when), node, event);
        }
    }

    fn run(self, seed: u64, options: LimitsOptions, faults: &[(u64, Fault)]) -> World {
        let mut world = World::new(seed, options, team_spec(RATE, BURST, 2));
        world.run_until(at(1_000));
        self.add(&mut world, seed);
        let mut faults = faults.to_vec();
        faults.sort_by_key(|(when, _)| *when);
        for (when, fault) in faults {
            world.run_until(at(when));
            world.bring_about(fault);
        }
        world.run_until(at(LENGTH_MS));
        world
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..NODES).prop_map(Fault::Crash),
        Just(Fault::CrashAll),
        (0..NODES).prop_map(Fault::Stop),
        (0..NODES, 500_u64..20_000).prop_map(|(n, ms)| Fault::Freeze(n, ms)),
        (0..3_usize, 500_u64..20_000).prop_map(|(d, ms)| Fault::Cut(d, ms)),
        (500_u64..30_000).prop_map(Fault::PlatformDown),
        (500_u64..30_000).prop_map(Fault::LoseAnswers),
        (500_u64..20_000).prop_map(Fault::BadNetwork),
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
    fn verify_bound_under_faults(
        seed in any::<u64>(),
        faults in prop::collection::vec((5_000..LENGTH_MS, any_fault()), 0..8),
    ) {
        let world = Load::Waves.run(seed, LimitsOptions::default(), &faults);
        prop_assert!(world.history.iter().any(|a| a.used > 0));
        prop_assert!(first_excess(&world.history).is_none());
        prop_assert!(world.overlap.is_none(), "{:?}", world.overlap);
    }
}

#[test]
fn verify_rate_is_used() {
    let world = Load::Even.run(7, LimitsOptions::default(), &[]);
    let from = at(20_000);
    let late = world.history.iter().filter(|a| a.at >= from);
    let used: u64 = late.map(|a| a.used).sum();
    let minted = RATE * (LENGTH_MS - 20_000) / 1_000;
    assert!(used * 10 >= minted * 9, "{used} of {minted}");
}

fn without_fence() -> LimitsOptions {
    LimitsOptions {
        fence: Duration::from_hours(1),
        ..LimitsOptions::default()
    }
}

fn without_grant_ttl() -> LimitsOptions {
    LimitsOptions {
        spend_ttl: Duration::from_secs(30),
        idle_return: Duration::from_secs(30),
        chunk: Duration::from_secs(5),
        ..LimitsOptions::default()
    }
}

/// The checker must see the excess that a missing fence allows: owners are
/// frozen past their takeover and thaw in a later wave.
#[parameterized(
    sound = { LimitsOptions::default(), false },
    broken = { without_fence(), true },
)]
fn verify_fence(options: LimitsOptions, is_seen: bool) {
    let faults = [1, 3, 7, 8].map(|node| (17_000, Fault::Freeze(node, 25_000)));
    let is_excess = |seed: u64| {
        let world = Load::Waves.run(2 * seed, options, &faults);
        first_excess(&world.history).is_some()
    };
    assert_eq!((0..8).any(is_excess), is_seen);
}

/// The checker must see the excess that grants without an end allow: instances
/// are frozen before they spend theirs, and thaw when the owners are full again.
#[parameterized(
    sound = { LimitsOptions::default(), false },
    broken = { without_grant_ttl(), true },
)]
fn verify_grant_ttl(options: LimitsOptions, is_seen: bool) {
    let mut world = World::new(1, options, team_spec(RATE, BURST, 2));
    let job = |amount| {
        let (used, hold) = (amount, 9_000);
        Event::Attempt(Job { amount, used, hold }, Round::Local)
    };
    world.run_until(at(20_000));
    for node in [0, 2, 4, 5, 6] {
        world.post(Duration::ZERO, node, job(900));
    }
    world.run_until(at(20_005));
    for node in [0, 2, 4, 5, 6] {
        world.bring_about(Fault::Freeze(node, 8_000));
    }
    world.run_until(at(28_000));
    for _ in 0..20 {
        for node in [1, 3, 7, 8] {
            world.post(Duration::ZERO, node, job(100));
        }
    }
    world.run_until(at(30_000));
    assert!(world.history.iter().any(|a| a.used > 0));
    assert_eq!(first_excess(&world.history).is_some(), is_seen);
}
