//! Limits of teams whose demand rises suddenly, over many instances with rare reports.

use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::admission::spread_retry_after;
use limpetsaddle_fleet::limits::Demand;
use limpetsaddle_fleet::limits::LimitOptions;
use limpetsaddle_fleet::limits::Limits;
use limpetsaddle_fleet::limits::PeerCounts;
use limpetsaddle_fleet::limits::TeamLimit;
use yare::parameterized;

const TEAM: &str = "team";

const LIMIT: TeamLimit = TeamLimit {
    rate: 600_000,
    burst: 1_200_000,
};

const OPTIONS: LimitOptions = LimitOptions {
    slack: 72_000.0,
    overage: 0.1,
    window: Duration::from_secs(8),
};

/// The units that may be admitted in a window.
const MAX_PERMITTED: u64 = (600_000 * 8 + 1_200_000) * 11 / 10 + 72_000;

/// The step of the simulation in milliseconds.
const STEP_MS: u64 = 10;

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

/// How the team's requests are spread over the instances.
#[derive(Clone, Copy, Debug)]
enum Spread {
    Even,
    /// The first instances get most.
    Skewed,
    /// Five instances get all.
    Few,
    /// Others than before get the requests once the demand rises.
    Moved,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    instances: usize,
    interval_ms: u64,
    spread: Spread,
    /// The usual demand in units per second.
    usual: u64,
    /// The factor by which it rises, from `rises_ms` on.
    factor: u64,
    rises_ms: u64,
    /// The heartbeats of a hundred that are lost.
    lost_percent: u64,
    end_ms: u64,
    seed: u64,
}

const LOAD: Load = Load {
    instances: 65,
    interval_ms: 1_200,
    spread: Spread::Even,
    usual: 240_000,
    factor: 8,
    rises_ms: 30_000,
    lost_percent: 0,
    end_ms: 60_000,
    seed: 1,
};

/// The costs of a short and urgent, and of a long and less urgent request.
const KINDS: [(u8, u64); 2] = [(0, 850), (2, 9_009)];

#[derive(Clone, Copy, Debug)]
struct Event {
    at: u64,
    priority: u8,
    cost: u64,
    admitted: bool,
    retry_after: Duration,
}

struct Draws(u64);

impl Draws {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0) % limit
    }
}

fn target(load: &Load, risen: bool, draws: &mut Draws) -> usize {
    let count = load.instances as u64;
    let index = match load.spread {
        Spread::Even => draws.below(count),
        Spread::Skewed => draws.below(count) * draws.below(count) / count,
        Spread::Few => draws.below(5),
        Spread::Moved if risen => count / 2 + draws.below(count - count / 2),
        Spread::Moved => draws.below(count / 2),
    };
    usize::try_from(index).unwrap()
}

/// Plays a load, half of whose units are urgent, and returns all requests. `delivers` decides
/// on reports by time, sender and receiver.
fn play(load: &Load, delivers: impl Fn(u64, usize, usize) -> bool) -> Vec<Event> {
    let count = load.instances;
    let new_limits = || {
        let mut limits = Limits::with_contention(OPTIONS);
        let counts = PeerCounts {
            registered: count,
            live: count,
        };
        limits.set_peer_counts(counts, at(0));
        limits.configure(&[(Name::from(TEAM), LIMIT)], at(0));
        limits.set_report_interval(Duration::from_millis(load.interval_ms));
        limits
    };
    let mut instances: Vec<_> = (0..count).map(|_| new_limits()).collect();
    let mut heard = vec![vec![0_u64; count]; count];
    let mut heard_at = vec![vec![0_u64; count]; count];
    let mut draws = Draws(load.seed << 32);
    let mut events = Vec::new();
    // The units by kind that are still to be requested, times a thousand.
    let mut due = [0_u64; 2];
    for now in (0..load.end_ms).step_by(usize::try_from(STEP_MS).unwrap()) {
        for sender in 0..count {
            let phase = load.interval_ms * sender as u64 / count as u64;
            if (now + phase) % load.interval_ms >= STEP_MS {
                continue;
            }
            let total = instances[sender].admitted_units().map(|(_, u)| u).sum();
            for receiver in (0..count).filter(|receiver| *receiver != sender) {
                let lost = draws.below(100) < load.lost_percent;
                if lost || !delivers(now, sender, receiver) {
                    continue;
                }
                let used = total - heard[receiver][sender];
                heard[receiver][sender] = total;
                heard_at[receiver][sender] = now;
                let used = i64::try_from(used).unwrap();
                if used != 0 {
                    instances[receiver].charge_report(sender as u64, TEAM, used, at(now));
                }
                instances[receiver].record_heard(sender as u64, at(now));
            }
        }
        for (index, limits) in instances.iter_mut().enumerate() {
            let others = heard_at[index].iter().enumerate();
            let live =
                others.filter(|(peer, last)| *peer != index && now < **last + load.interval_ms * 4);
            let counts = PeerCounts {
                registered: count,
                live: live.count() + 1,
            };
            limits.set_peer_counts(counts, at(now));
        }
        let risen = now >= load.rises_ms;
        let factor = if risen { load.factor } else { 1 };
        for ((priority, cost), due) in KINDS.into_iter().zip(&mut due) {
            // Requests come at random times, with the mean of the demand.
            *due = load.usual * factor / 2 * STEP_MS;
            let mean = *due * 1_000 / (cost * 1_000);
            let mut arrivals = mean / 1_000;
            arrivals += u64::from(draws.below(1_000) < mean % 1_000);
            let bursts = if arrivals > 0 {
                draws.below(2 * arrivals + 1)
            } else {
                0
            };
            for _ in 0..bursts {
                let index = target(load, risen, &mut draws);
                let demand = Demand { cost, priority };
                let charged = instances[index].charge_demand(TEAM, demand, at(now));
                events.push(Event {
                    at: now,
                    priority,
                    cost,
                    admitted: charged.is_ok(),
                    retry_after: charged.err().unwrap_or_default(),
                });
            }
        }
    }
    events
}

/// Returns the units that were admitted from `start` until `end`.
fn admitted(events: &[Event], start: u64, end: u64) -> u64 {
    let inside = events.iter().filter(|e| (start..end).contains(&e.at));
    inside.filter(|e| e.admitted).map(|e| e.cost).sum()
}

fn offered(events: &[Event], start: u64, end: u64) -> u64 {
    let inside = events.iter().filter(|e| (start..end).contains(&e.at));
    inside.map(|e| e.cost).sum()
}

/// Returns the maximum number of units admitted in any window.
fn max_in_any_window(events: &[Event], end_ms: u64) -> u64 {
    let starts = (0..end_ms).step_by(100);
    let sums = starts.map(|start| admitted(events, start, start + 8_000));
    sums.max().unwrap_or(0)
}

#[expect(clippy::cast_precision_loss, reason = "fractions need no exact counts")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn of_priority(events: &[Event], priority: u8) -> Vec<Event> {
    let chosen = events.iter().filter(|e| e.priority == priority);
    chosen.copied().collect()
}

/// Returns the fraction of the offered units that was admitted from `start` until `end`.
fn served(events: &[Event], start: u64, end: u64) -> f64 {
    ratio(admitted(events, start, end), offered(events, start, end))
}

/// The limit is exceeded if each instance admits at its own view of the bucket until the
/// reports of the others arrive.
#[parameterized(
    even = { Spread::Even },
    skewed = { Spread::Skewed },
    at_few_instances = { Spread::Few },
    at_others_than_before = { Spread::Moved },
)]
fn verify_a_sudden_rise_at_65_instances_stays_within_the_permitted_excess(spread: Spread) {
    for (usual, factor) in [
        (240_000, 2),
        (240_000, 4),
        (240_000, 8),
        (500_000, 4),
        (500_000, 8),
    ] {
        for (lost_percent, seed) in [(0, 1), (10, 2)] {
            let load = Load {
                spread,
                usual,
                factor,
                lost_percent,
                seed,
                ..LOAD
            };
            let events = play(&load, |_, _, _| true);
            let most = max_in_any_window(&events, load.end_ms);
            assert!(
                most <= MAX_PERMITTED,
                "{load:?}: {:.3}",
                ratio(most, MAX_PERMITTED)
            );
        }
    }
}

/// Shares that instances can't use are lost if they don't follow the demand.
#[parameterized(
    even = { Spread::Even },
    skewed = { Spread::Skewed },
    at_few_instances = { Spread::Few },
)]
fn verify_a_team_with_demand_uses_its_limit(spread: Spread) {
    for (usual, factor) in [(240_000, 4), (240_000, 8), (500_000, 4)] {
        let load = Load {
            spread,
            usual,
            factor,
            ..LOAD
        };
        let events = play(&load, |_, _, _| true);
        let inside_limit = LIMIT.burst + LIMIT.rate * 30;
        let used = ratio(admitted(&events, 30_000, 60_000), inside_limit);
        assert!(used >= 0.98, "{load:?}: {used:.3}");
    }
}

/// Long and less urgent requests otherwise empty the bucket before urgent ones arrive.
#[parameterized(
    nine_instances = { 9, 100 },
    many_instances = { 65, 1_200 },
)]
fn verify_urgent_requests_are_admitted_first_and_none_starve(instances: usize, interval_ms: u64) {
    // The urgent requests alone are within the limit.
    let load = Load {
        instances,
        interval_ms,
        factor: 4,
        ..LOAD
    };
    let events = play(&load, |_, _, _| true);
    let urgent = served(&of_priority(&events, 0), 30_000, 60_000);
    assert!(urgent >= 0.9, "urgent: {urgent:.3}");

    // They alone exceed it.
    let load = Load { factor: 8, ..load };
    let events = play(&load, |_, _, _| true);
    let all = served(&events, 30_000, 60_000);
    let long = served(&of_priority(&events, 2), 30_000, 60_000);
    assert!(long >= all / 4.0, "long: {long:.3} of {all:.3}");
}

/// A rule for scarcity that also applies on calm days refuses what could be served.
#[parameterized(
    even = { Spread::Even },
    skewed = { Spread::Skewed },
    at_few_instances = { Spread::Few },
    at_others_than_before = { Spread::Moved },
)]
fn verify_a_team_inside_its_limit_is_not_refused(spread: Spread) {
    let load = Load {
        spread,
        usual: 300_000,
        factor: 1,
        lost_percent: 5,
        ..LOAD
    };
    let events = play(&load, |_, _, _| true);
    // The bucket is nearly empty at the start of all instances.
    let refused = events.iter().filter(|e| e.at >= 8_000 && !e.admitted);
    assert_eq!(refused.count(), 0);
}

/// All instances otherwise admit a burst before they hear of each other.
#[test]
fn verify_a_start_of_all_instances_under_load_stays_within_the_permitted_excess() {
    let load = Load {
        usual: 1_920_000,
        factor: 1,
        end_ms: 30_000,
        ..LOAD
    };
    let events = play(&load, |_, _, _| true);
    assert!(max_in_any_window(&events, load.end_ms) <= MAX_PERMITTED);
}

/// Returns the largest use in any window around a partition, as a fraction of the permitted one.
fn most_in_a_partition(rises_ms: u64) -> f64 {
    let load = Load {
        rises_ms,
        end_ms: 50_000,
        ..LOAD
    };
    let side = |index: usize| index < 30;
    let events = play(&load, |now, from, to| {
        !(20_000..35_000).contains(&now) || side(from) == side(to)
    });
    ratio(max_in_any_window(&events, load.end_ms), MAX_PERMITTED)
}

/// Both sides of a partition otherwise use the whole limit until peers have timed out.
#[test]
fn verify_a_partition_under_load_stays_within_the_permitted_excess() {
    let most = most_in_a_partition(10_000);
    assert!(most <= 1.0, "{most:.3}");
}

/// The sides of a partition see half of a rise that begins before peers have timed out.
#[test]
fn verify_a_rise_just_after_a_cut_stays_within_the_permitted_excess() {
    let most = most_in_a_partition(21_000);
    assert!(most <= 1.0, "{most:.3}");
}

/// Callers that are all told the same time return at one moment.
#[test]
fn verify_refused_callers_are_told_different_times_that_follow_from_the_backlog() {
    let load = Load { factor: 8, ..LOAD };
    let events = play(&load, |_, _, _| true);
    let late = events.iter().filter(|e| e.at >= 40_000 && !e.admitted);
    let waits: Vec<_> = late.map(|e| e.retry_after).collect();
    let count = waits.len();
    let short = waits.iter().filter(|w| **w < Duration::from_millis(300));
    assert!(short.count() * 10 < count, "{count} refused");
    let mut distinct: Vec<_> = waits.iter().map(Duration::as_millis).collect();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 200, "{} times", distinct.len());
}

/// A caller honours a time only up to a third of what it has left; one that is told more
/// returns with all others at the end of that third.
#[test]
fn verify_retry_after_is_spread_within_what_callers_honour() {
    for (wait_ms, left_ms) in [(200, 15_000), (1_500, 5_000), (9_000, 5_000), (9_000, 300)] {
        let wait = Duration::from_millis(wait_ms);
        let honoured = Duration::from_millis(left_ms) / 3;
        let left = Duration::from_millis(left_ms);
        let spread = (0..200).map(|draw| spread_retry_after(wait, left, draw));
        let spread: Vec<_> = spread.collect();
        let least = spread.iter().min().copied().unwrap_or_default();
        let most = spread.iter().max().copied().unwrap_or_default();
        assert!(most <= honoured, "{most:?} of {left:?}");
        assert!(
            least >= wait.min(honoured.mul_f64(0.7)),
            "{least:?} for {wait:?}"
        );
        assert!(
            most.saturating_sub(least) >= honoured.min(wait).mul_f64(0.25),
            "{least:?} to {most:?}"
        );
    }
}
