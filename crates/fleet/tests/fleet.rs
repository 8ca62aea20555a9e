//! Peers, retries, freshness, health, updates of upstreams, KV stores and events.

mod support;

use std::time::Duration;

use limpetsaddle_fleet::configuration::CallerLimits;
use limpetsaddle_fleet::configuration::Configuration;
use limpetsaddle_fleet::configuration::KvStore;
use limpetsaddle_fleet::configuration::Service;
use limpetsaddle_fleet::events::EventSplitter;
use limpetsaddle_fleet::freshness::Freshness;
use limpetsaddle_fleet::freshness::FreshnessOptions;
use limpetsaddle_fleet::health::Health;
use limpetsaddle_fleet::health::HealthOptions;
use limpetsaddle_fleet::health::RequestOutcome;
use limpetsaddle_fleet::heartbeat::Datagram;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::HeartbeatError;
use limpetsaddle_fleet::heartbeat::SectionKind;
use limpetsaddle_fleet::heartbeat::ServiceUsage;
use limpetsaddle_fleet::heartbeat::TeamUsage;
use limpetsaddle_fleet::heartbeat::WeightsNotice;
use limpetsaddle_fleet::heartbeat::WeightsUpdate;
use limpetsaddle_fleet::heartbeat::process_hash;
use limpetsaddle_fleet::kv_store_monitor::KvStoreMonitor;
use limpetsaddle_fleet::kv_store_monitor::KvStoreStatus;
use limpetsaddle_fleet::limits::PeerCounts;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::retry_budget::RequestCounts;
use limpetsaddle_fleet::retry_budget::RetryBudget;
use limpetsaddle_fleet::retry_budget::RetryBudgetOptions;
use limpetsaddle_fleet::service_reach::Reach;
use limpetsaddle_fleet::upstreams::Phase;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use proptest::prelude::*;
use support::Fleet;
use support::MODEL;
use support::at;
use support::engine;
use yare::parameterized;

fn peers(names: &[&str]) -> Peers {
    let mut peers = Peers::new("own".into(), PeerOptions::default(), at(0));
    let all = names.iter().zip(1..).map(|(name, port)| Registration {
        name: (*name).into(),
        address: ([10, 0, 0, 1], port).into(),
        secret: None,
    });
    peers.set_registrations(all.collect(), at(0));
    peers
}

fn heartbeat(sequence: u64, spent: u64) -> Heartbeat {
    let mut heartbeat = Heartbeat::new("a", 1, sequence);
    heartbeat.teams = vec![TeamUsage { team: 5, spent }];
    heartbeat
}

#[test]
fn verify_usage_is_counted_once_despite_lost_and_repeated_heartbeats() {
    let mut peers = peers(&["own", "a"]);
    assert!(
        peers
            .record_heartbeat(&heartbeat(1, 100), at(0))
            .teams
            .is_empty()
    );
    let used = |deltas: &[limpetsaddle_fleet::peers::TeamUsageDelta]| {
        deltas.iter().map(|delta| delta.used).sum::<i64>()
    };
    // The third heartbeat is lost; the second one arrives twice and once more late.
    assert_eq!(
        used(&peers.record_heartbeat(&heartbeat(2, 150), at(100)).teams),
        50
    );
    assert_eq!(
        used(&peers.record_heartbeat(&heartbeat(2, 150), at(110)).teams),
        0
    );
    assert_eq!(
        used(&peers.record_heartbeat(&heartbeat(4, 300), at(300)).teams),
        150
    );
    assert_eq!(
        used(&peers.record_heartbeat(&heartbeat(2, 150), at(310)).teams),
        0
    );
}

#[test]
fn verify_a_restarted_peer_counts_from_zero() {
    let mut peers = peers(&["own", "a"]);
    peers.record_heartbeat(&heartbeat(9, 5_000), at(0));
    let mut restarted = heartbeat(1, 70);
    restarted.incarnation = 2;
    let delta = peers.record_heartbeat(&restarted, at(100));
    assert_eq!(delta.teams[0].used, 70);
}

#[test]
fn verify_peers_time_out_and_expire() {
    let mut peers = peers(&["own", "a", "b"]);
    peers.record_heartbeat(&heartbeat(1, 0), at(0));
    assert_eq!(peers.peer_counts(at(100)).live, 2);
    assert_eq!(peers.peer_counts(at(100)).registered, 3);
    assert_eq!(peers.peer_counts(at(1_000)).live, 1);
    assert_eq!(peers.expired(at(31_000)).count(), 2);
}

/// All instances of a fleet that starts believe to be the first one until they know others.
#[test]
fn verify_only_settled_instances_work_for_the_fleet() {
    let mut starting = peers(&["own", "a"]);
    assert!(!starting.is_confirmer(at(1_000)));
    starting.record_heartbeat(&heartbeat(1, 0), at(1_100));
    assert!(starting.is_confirmer(at(1_100)));
    // One that stays alone does its own work.
    let alone = peers(&["own"]);
    assert!(alone.is_confirmer(at(4_000)));
}

/// Heartbeats of a large fleet are rare, so confirmations that arrive with them are older.
#[parameterized(
    small = { 8, 2_000 },
    grown = { 88, 2_400 },
    large = { 295, 3_800 },
)]
fn verify_confirmations_by_peers_are_relied_on_for_some_heartbeats(instances: u16, age_ms: u64) {
    let names: Vec<String> = (0..instances).map(|i| format!("i{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let peers = peers(&names);
    assert_eq!(peers.max_confirmation_age(), Duration::from_millis(age_ms));
    // The bound on withdrawn keys leaves time for reads of the own.
    let freshness = Freshness::new(FreshnessOptions::for_withdrawal(Duration::from_secs(5)));
    let relied_on = freshness.max_peer_age(peers.max_confirmation_age());
    assert!(relied_on <= Duration::from_millis(3_200), "{relied_on:?}");
}

#[test]
fn verify_a_notice_keeps_requests_away_from_an_engine() {
    let mut holder = Fleet::new(vec![engine(1, 1), engine(2, 1)]).upstreams;
    let mut other = Fleet::new(vec![engine(1, 1), engine(2, 1)]).upstreams;
    holder.pause_requests("e1", Duration::from_millis(400), at(100));
    let updates = holder.weights_updates_within(Duration::from_millis(240), at(150));
    let datagram = WeightsNotice::new("a", updates).encode().unwrap();
    let Datagram::Notice(notice) = Datagram::decode(&datagram).unwrap() else {
        panic!("decoded as a heartbeat");
    };
    for update in &notice.weights {
        other.apply_weights(update, at(160));
    }
    assert!(other.get("e1").unwrap().is_paused(at(500)));
    assert!(!other.get("e1").unwrap().is_paused(at(520)));
    assert!(!other.get("e2").unwrap().is_paused(at(200)));
}

/// Guards against sections that change what instances without them read, and against reports
/// that swell heartbeats.
#[test]
fn verify_sections_follow_what_other_instances_read() {
    let mut plain = Heartbeat::new("a-1", 7, 1);
    plain.reach.add(9, Reach::Reached);
    let mut extended = plain.clone();
    extended
        .sections
        .add(SectionKind::Speed, &vec![1_u8])
        .unwrap();
    let plain = plain.encode().unwrap().for_recipient(None).unwrap();
    let bytes = extended.encode().unwrap().for_recipient(None).unwrap();
    assert!(bytes.starts_with(&plain) && bytes.len() > plain.len());
    assert_eq!(Heartbeat::decode(&bytes).unwrap().0, extended);
    let oversized = extended.sections.add(SectionKind::Room, &vec![0_u8; 5_000]);
    assert!(matches!(
        oversized,
        Err(HeartbeatError::OversizedSection { kind: 2, .. })
    ));
}

#[test]
fn verify_a_heartbeat_round_trips_and_other_datagrams_are_rejected() {
    let sent = heartbeat(3, 9);
    let encoded = sent.encode().unwrap();
    for echo_ms in [None, Some(0), Some(1_786_016_594_000)] {
        let datagram = encoded.for_recipient(echo_ms).unwrap();
        assert_eq!(
            Heartbeat::decode(&datagram).unwrap(),
            (sent.clone(), echo_ms)
        );
    }
    assert!(Heartbeat::decode(b"\x09anything").is_err());
    assert!(Heartbeat::decode(b"").is_err());
}

fn budget() -> RetryBudget {
    RetryBudget::new(RetryBudgetOptions {
        ratio: 0.2,
        slack: 56.0,
        window: Duration::from_secs(10),
    })
}

fn peer_counts(live: usize) -> PeerCounts {
    PeerCounts {
        registered: 8,
        live,
    }
}

#[test]
fn verify_retries_of_all_instances_stay_within_the_budget() {
    let mut fleet: Vec<RetryBudget> = (0..8).map(|_| budget()).collect();
    let mut times: Vec<u64> = Vec::new();
    let mut pending: Vec<(u64, usize)> = Vec::new();
    for now in 0..20_000_u64 {
        pending.retain(|(sent, from)| {
            let due = sent + 100 <= now;
            if due {
                let count = RequestCounts {
                    requests: 0,
                    retries: 1,
                };
                for (index, budget) in fleet.iter_mut().enumerate() {
                    if index != *from {
                        budget.record(count, at(now));
                    }
                }
            }
            !due
        });
        // Every instance attempts a retry every 40 ms, and no requests are recorded.
        if now % 5 == 0 {
            let index = usize::try_from(now / 5 % 8).unwrap();
            if fleet[index].try_withdraw(peer_counts(8), at(now)) {
                times.push(now);
                pending.push((now, index));
            }
        }
    }
    let window = |start: u64| {
        times
            .iter()
            .filter(|t| (start..start + 10_000).contains(*t))
            .count()
    };
    let busiest = times.iter().map(|t| window(*t)).max().unwrap();
    assert!(busiest <= 56, "{busiest} retries in a window");
}

#[test]
fn verify_an_isolated_instance_uses_only_its_fraction_of_the_budget() {
    let mut isolated = budget();
    let mut withdrawn = 0;
    while isolated.try_withdraw(peer_counts(1), at(0)) {
        withdrawn += 1;
    }
    assert!(withdrawn <= 7, "{withdrawn}");
}

#[test]
fn verify_service_usage_is_the_difference_of_totals() {
    let mut peers = peers(&["own", "a"]);
    let with_totals = |sequence, requests, retries| {
        let mut heartbeat = Heartbeat::new("a", 1, sequence);
        heartbeat.services = vec![ServiceUsage {
            service: 4,
            requests,
            retries,
        }];
        heartbeat
    };
    peers.record_heartbeat(&with_totals(1, 10, 1), at(0));
    let delta = peers.record_heartbeat(&with_totals(2, 25, 4), at(100));
    assert_eq!(
        delta.services[0].count,
        RequestCounts {
            requests: 15,
            retries: 3
        }
    );
}

#[test]
fn verify_keys_are_trusted_until_shortly_before_the_withdrawal_bound() {
    let bound = Duration::from_secs(5);
    let mut freshness = Freshness::new(FreshnessOptions::for_withdrawal(bound));
    assert!(!freshness.trusts_keys(at(0)));
    freshness.confirm(at(1_000));
    assert!(freshness.trusts_keys(at(5_600)));
    // The bound ends at 6,000; the margin covers clock drift and rounded ages.
    assert!(!freshness.trusts_keys(at(5_750)));
    // An older confirmation has no effect.
    freshness.confirm(at(500));
    assert!(freshness.trusts_keys(at(5_600)));
    assert!(!freshness.trusts_keys(at(5_750)));
}

#[test]
fn verify_an_upstream_is_avoided_after_many_failures_but_not_after_scattered_ones() {
    let options = HealthOptions::default();
    let mut health = Health::default();
    for second in 0..20 {
        for _ in 0..20 {
            health.record(RequestOutcome::Responded, &options, at(second * 1_000));
        }
        health.record(RequestOutcome::ConnectionLost, &options, at(second * 1_000));
        assert!(!health.is_avoided(at(second * 1_000)));
    }
    health.record(RequestOutcome::ConnectionLost, &options, at(20_000));
    health.record(RequestOutcome::ConnectionLost, &options, at(20_001));
    assert!(health.is_avoided(at(20_002)));
    assert!(!health.is_avoided(at(25_000)));
}

#[test]
fn verify_received_pauses_are_applied_and_not_passed_on() {
    let mut fleet = Fleet::new(vec![engine(1, 1)]);
    let update = |away_ms, version, born_ms| WeightsUpdate {
        process: process_hash("e1", born_ms),
        version,
        away_ms,
    };
    fleet.upstreams.apply_weights(&update(300, 1, 1), at(0));
    assert!(fleet.upstreams.get("e1").unwrap().is_paused(at(200)));
    // Received updates are not passed on.
    assert!(fleet.upstreams.weights_updates(at(10)).is_empty());
    fleet.upstreams.apply_weights(&update(0, 2, 1), at(250));
    let row = fleet.upstreams.get("e1").unwrap();
    assert!(!row.is_paused(at(260)));
    assert_eq!(row.weights(MODEL), Some(2));
    // Updates for a process that has ended don't apply to its successor.
    fleet.upstreams.apply_weights(&update(300, 9, 77), at(300));
    assert_eq!(fleet.upstreams.get("e1").unwrap().weights(MODEL), Some(2));
}

#[test]
fn verify_a_leaving_upstream_gets_no_requests_at_instances_that_receive_the_update() {
    let mut first = Fleet::new(vec![engine(1, 1), engine(2, 1)]);
    let mut second = Fleet::new(vec![engine(1, 1), engine(2, 1)]);
    first.upstreams.remove("e1", at(100));
    let updates = first.upstreams.leaving_updates(at(200));
    assert_eq!(updates.len(), 1);
    assert_eq!(
        second
            .upstreams
            .apply_leaving(&updates[0], at(250))
            .as_deref(),
        Some("e1")
    );
    assert_eq!(
        second
            .upstreams
            .of_service(support::SERVICE, at(260))
            .count(),
        1
    );
    // Updates for a process that has ended don't apply to its successor.
    let mut restarted = engine(1, 1);
    restarted.born_ms = 2;
    second.upstreams.upsert(restarted, at(300));
    assert_eq!(second.upstreams.apply_leaving(&updates[0], at(350)), None);
    assert_eq!(
        second
            .upstreams
            .of_service(support::SERVICE, at(360))
            .count(),
        2
    );
    assert!(first.upstreams.leaving_updates(at(9_000)).is_empty());
}

#[test]
fn verify_all_instances_select_the_same_store_for_a_hash() {
    let store = |host: u8| {
        let store = KvStore {
            address: ([10, 0, 0, host], 80).into(),
            memory_tokens: 1,
            link_mbps: 1.0,
        };
        Service {
            name: format!("s{host}").into(),
            engine: None,
            kv_store: Some(store),
        }
    };
    let configuration = |hosts: &[u8]| {
        let services = hosts.iter().map(|host| store(*host)).collect();
        Configuration::new(1, CallerLimits::default(), vec![], services, vec![])
    };
    let (one, other) = (configuration(&[1, 2, 3]), configuration(&[3, 1, 2]));
    let mut used = std::collections::BTreeSet::new();
    for hash in 0..64 {
        let chosen = one.kv_store_for(hash).unwrap().address;
        assert_eq!(chosen, other.kv_store_for(hash).unwrap().address);
        used.insert(chosen);
    }
    assert_eq!(used.len(), 3);
}

#[test]
fn verify_a_restarted_store_is_detected_and_a_timed_out_one_not_used() {
    let mut monitor = KvStoreMonitor::default();
    let status = |store, boot| KvStoreStatus { store, boot };
    assert!(!monitor.record_status(status(1, 7), at(0)));
    assert!(!monitor.record_status(status(2, 8), at(0)));
    assert!(!monitor.record_status(status(1, 7), at(1_000)));
    assert!(monitor.record_status(status(2, 9), at(1_000)));
    assert!(monitor.is_up(1, at(2_000)));
    assert!(!monitor.is_up(1, at(2_600)));
    assert!(!monitor.is_up(3, at(1_000)));
}

#[test]
fn verify_entries_that_expired_in_an_outage_may_reappear() {
    let mut fleet = Fleet::new(vec![engine(1, 1), engine(2, 1)]);
    fleet.upstreams.mark_missing("e1", at(0));
    // Both are missing after the outage, and one of them registers again.
    fleet.upstreams.retain(&[], true, at(0));
    fleet.upstreams.upsert(engine(2, 1), at(10));
    assert!(fleet.upstreams.remove_missing(at(1_900)).is_empty());
    let removed = fleet.upstreams.remove_missing(at(2_300));
    assert_eq!(removed.len(), 1);
    assert!(fleet.upstreams.get("e1").is_none());
    assert!(fleet.upstreams.get("e2").is_some());
}

proptest! {
    /// Events are complete and in order, however the stream is divided into chunks.
    #[test]
    fn verify_events_do_not_depend_on_chunk_boundaries(
        sizes in prop::collection::vec(1..40_usize, 1..200),
        count in 1..30_usize,
    ) {
        let events: Vec<String> = (0..count).map(|i| format!("id: {i}\ndata: {}\n\n", i * 7)).collect();
        let stream = events.concat();
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut rest = stream.as_bytes();
        let mut sizes = sizes.iter().cycle();
        while !rest.is_empty() {
            let (chunk, rest_after) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
            rest = rest_after;
            splitter.push(chunk);
            for event in splitter.by_ref() {
                prop_assert!(event.bytes.ends_with(b"\n\n"));
                ids.push(event.id.unwrap().parse::<usize>().unwrap());
            }
        }
        prop_assert!(!splitter.has_partial_event());
        prop_assert_eq!(ids, (0..count).collect::<Vec<_>>());
    }
}

#[test]
fn verify_only_instances_that_observe_a_leaving_upstream_report_it() {
    let mut observer = Fleet::new(vec![engine(1, 1)]).upstreams;
    let mut receiver = Fleet::new(vec![engine(1, 1)]).upstreams;
    let draining = UpstreamEntry {
        phase: Phase::Draining,
        ..engine(1, 1)
    };
    observer.upsert(draining.clone(), at(100));
    let updates = observer.leaving_updates(at(200));
    assert_eq!(updates.len(), 1);
    assert!(receiver.apply_leaving(&updates[0], at(300)).is_some());
    receiver.upsert(draining, at(400));
    receiver.remove("e1", at(500));
    assert!(receiver.leaving_updates(at(600)).is_empty());
}

/// Guards against heartbeats that saturate a link of 10 Mbit/s while 140 engines load
/// weights within two seconds and the holder of the lease reports each to 84 peers.
#[test]
fn verify_heartbeats_of_a_large_rollout_use_at_most_half_of_a_narrow_link() {
    let started = |index| UpstreamEntry {
        born_ms: 1_786_016_594_000,
        ..engine(index, 1)
    };
    let mut fleet = Fleet::new((0..140).map(started).collect());
    let mut max_bytes = 0;
    for index in 0..140_u64 {
        let now = at(index * 14);
        // 28 engines drain while as many load.
        for ahead in index..index + 56 {
            let id = format!("e{ahead}");
            fleet
                .upstreams
                .pause_requests(&id, Duration::from_millis(400), now);
        }
        let id = format!("e{index}");
        fleet.upstreams.observe_weights(&id, MODEL, 2);
        let mut heartbeat = Heartbeat::new("front-cutting-floor-11", 1, 1);
        heartbeat.weights = fleet.upstreams.weights_updates(now);
        let datagram = heartbeat.encode().unwrap().for_recipient(Some(1)).unwrap();
        max_bytes = max_bytes.max(datagram.len());
    }
    let bytes_per_second = max_bytes * 84 * 10 / 3;
    assert!(bytes_per_second <= 10_000_000 / 8 / 2, "{bytes_per_second}");
}
