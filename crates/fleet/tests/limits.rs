//! Limits of teams across several instances.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::limits::LimitOptions;
use limpetsaddle_fleet::limits::Limits;
use limpetsaddle_fleet::limits::PeerCounts;
use limpetsaddle_fleet::limits::TeamLimit;
use proptest::prelude::*;

const TEAM: &str = "team";

const LIMIT: TeamLimit = TeamLimit {
    rate: 30_000,
    burst: 30_000,
};

const OPTIONS: LimitOptions = LimitOptions {
    slack: 110_000.0,
    overage: 0.1,
    window: Duration::from_secs(8),
};

/// The units that may be admitted in a window.
const MAX_PERMITTED: u64 = (30_000 * 8 + 30_000) * 11 / 10 + 110_000;

/// The delay of reports between instances, in milliseconds.
const DELAY_MS: u64 = 100;

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

fn limits(registered: usize, live: usize, now: Time) -> Limits {
    let mut limits = Limits::new(OPTIONS);
    limits.set_peer_counts(PeerCounts { registered, live }, now);
    limits.configure(&[(Name::from(TEAM), LIMIT)], now);
    limits
}

/// Returns the maximum number of units admitted in any window.
fn max_in_any_window(admitted: &[(u64, u64)]) -> u64 {
    let window = 8_000;
    let sum_from = |start: u64| {
        let inside = admitted
            .iter()
            .filter(|(t, _)| (start..start + window).contains(t));
        inside.map(|(_, cost)| cost).sum::<u64>()
    };
    admitted
        .iter()
        .map(|(t, _)| sum_from(*t))
        .max()
        .unwrap_or(0)
}

/// A team that sends at many times its rate to all instances.
struct Flood {
    instances: Vec<Limits>,
    admitted: Vec<(u64, u64)>,
    unreported: Vec<(u64, usize, u64)>,
}

impl Flood {
    fn new(count: usize) -> Self {
        Self {
            instances: (0..count).map(|_| limits(count, count, at(0))).collect(),
            admitted: Vec::new(),
            unreported: Vec::new(),
        }
    }

    fn set_peer_counts(&mut self, index: usize, peer_counts: PeerCounts, now: u64) {
        self.instances[index].set_peer_counts(peer_counts, at(now));
    }

    fn request(&mut self, now: u64, index: usize, cost: u64) {
        if self.instances[index].charge(TEAM, cost, at(now)).is_ok() {
            self.admitted.push((now, cost));
            self.unreported.push((now, index, cost));
        }
    }

    /// Delivers the due reports; `delivers` decides by sender and receiver.
    fn report(&mut self, now: u64, delivers: impl Fn(usize, usize) -> bool) {
        let (due, rest): (Vec<_>, Vec<_>) = self
            .unreported
            .drain(..)
            .partition(|(sent, _, _)| sent + DELAY_MS <= now);
        self.unreported = rest;
        for (_, from, cost) in due {
            for (index, limits) in self.instances.iter_mut().enumerate() {
                if index != from && delivers(from, index) {
                    limits.charge_remote(TEAM, i64::try_from(cost).unwrap());
                }
            }
        }
    }
}

#[test]
fn verify_a_flood_over_eight_instances_stays_within_the_permitted_excess() {
    let mut flood = Flood::new(8);
    for now in 0..30_000_u64 {
        flood.report(now, |_, _| true);
        // Twelve times the rate in requests of 3,000 units.
        if now % 8 == 0 {
            let index = usize::try_from(now / 8 % 8).unwrap();
            flood.request(now, index, 3_000);
        }
    }
    assert!(max_in_any_window(&flood.admitted) <= MAX_PERMITTED);
}

#[test]
fn verify_two_sides_of_a_partition_stay_within_the_permitted_excess() {
    let mut flood = Flood::new(8);
    let side = |index: usize| index < 5;
    for now in 0..30_000_u64 {
        let partitioned = (10_000..20_000).contains(&now);
        flood.report(now, |from, to| !partitioned || side(from) == side(to));
        // Peers time out after four heartbeats.
        if now == 10_400 || now == 20_100 {
            for index in 0..8 {
                let live = if now == 20_100 {
                    8
                } else {
                    3 + 2 * usize::from(side(index))
                };
                let registered = 8;
                flood.set_peer_counts(index, PeerCounts { registered, live }, now);
            }
        }
        if now % 8 == 0 {
            let index = usize::try_from(now / 8 % 8).unwrap();
            flood.request(now, index, 3_000);
        }
    }
    assert!(max_in_any_window(&flood.admitted) <= MAX_PERMITTED);
}

#[test]
fn verify_a_restart_of_all_instances_grants_no_second_burst() {
    let mut flood = Flood::new(8);
    // The team is idle until its bucket is full, and empties it shortly before.
    for now in 0..20_000_u64 {
        flood.report(now, |_, _| true);
        if now == 9_000 {
            flood.instances = (0..8).map(|_| limits(8, 8, at(now))).collect();
            flood.unreported.clear();
        }
        if now % 8 == 0 && now >= 5_000 {
            let index = usize::try_from(now / 8 % 8).unwrap();
            flood.request(now, index, 3_000);
        }
    }
    assert!(max_in_any_window(&flood.admitted) <= MAX_PERMITTED);
}

#[test]
fn verify_a_team_within_its_rate_is_never_refused() {
    let mut limits = limits(8, 8, at(0));
    for second in 5..60_u64 {
        let now = at(second * 1_000);
        assert!(limits.charge(TEAM, 29_000, now).is_ok(), "second {second}");
    }
}

/// Operators permit an excess in every window, so callers of a team that is slightly over its
/// rate all the time are served.
#[test]
fn verify_a_team_slightly_over_its_rate_is_never_refused() {
    let mut flood = Flood::new(8);
    for now in 0..60_000_u64 {
        flood.report(now, |_, _| true);
        // 12% over the rate, from the time at which a bucket is full.
        if now >= 10_000 && now % 250 == 0 {
            let index = usize::try_from(now / 250 % 8).unwrap();
            flood.request(now, index, 8_400);
        }
    }
    assert_eq!(flood.admitted.len(), 200);
    assert!(max_in_any_window(&flood.admitted) <= MAX_PERMITTED);
}

#[test]
fn verify_a_request_larger_than_the_burst_is_admitted_when_the_bucket_is_full() {
    let mut limits = limits(1, 1, at(0));
    assert!(limits.charge(TEAM, 45_000, at(30_000)).is_ok());
}

#[test]
fn verify_a_refused_request_is_admitted_after_the_returned_wait() {
    let mut limits = limits(1, 1, at(0));
    while limits.charge(TEAM, 10_000, at(30_000)).is_ok() {}
    let wait = limits.charge(TEAM, 10_000, at(30_000)).unwrap_err();
    assert!(!wait.is_zero());
    assert!(limits.charge(TEAM, 10_000, at(30_000) + wait).is_ok());
}

#[test]
fn verify_a_refund_admits_another_request() {
    let mut limits = limits(1, 1, at(0));
    while limits.charge(TEAM, 10_000, at(30_000)).is_ok() {}
    limits.refund(TEAM, 10_000);
    assert!(limits.charge(TEAM, 10_000, at(30_000)).is_ok());
}

proptest! {
    #[test]
    fn verify_random_requests_and_timeouts_stay_within_the_permitted_excess(
        requests in prop::collection::vec((0..20_000_u64, 0..6_usize, 500..20_000_u64), 1..600),
        timeouts in prop::collection::vec((0..20_000_u64, 0..6_usize, 1..6_usize), 0..6),
    ) {
        let mut flood = Flood::new(6);
        let mut requests = requests;
        requests.sort_unstable();
        for (now, index, cost) in requests {
            flood.report(now, |_, _| true);
            for (when, instance, live) in &timeouts {
                if *when <= now {
                    // An instance that counts too few peers as live admits less,
                    // never more.
                    let peer_counts = PeerCounts { registered: 6, live: *live };
                    flood.set_peer_counts(*instance, peer_counts, now);
                }
            }
            flood.request(now, index, cost);
        }
        prop_assert!(max_in_any_window(&flood.admitted) <= MAX_PERMITTED);
    }
}
