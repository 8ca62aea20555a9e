//! Sums over live peers, which are kept up to date with each heartbeat.

mod support;

use std::collections::HashMap;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::directory::CacheUpdate;
use limpetsaddle_fleet::directory::PrefixDirectory;
use limpetsaddle_fleet::directory::chain;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::UpstreamLoad;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::prompt::CacheSalt;
use proptest::prelude::*;
use support::MODEL;
use support::at;
use support::prompt;

/// One change of the peers, and the time that passes before it.
#[derive(Clone, Debug)]
enum Step {
    Heartbeat { peer: u8, loads: Vec<(u64, u32)> },
    Register { peers: Vec<u8> },
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    let loads = prop::collection::vec((0..6_u64, 1..9_u32), 0..4);
    prop_oneof![
        6 => (0..6_u8, loads).prop_map(|(peer, loads)| Step::Heartbeat { peer, loads }),
        1 => prop::collection::btree_set(0..6_u8, 0..6)
            .prop_map(|peers| Step::Register { peers: peers.into_iter().collect() }),
        2 => Just(Step::Expire),
    ]
}

fn name(peer: u8) -> String {
    format!("i{peer}")
}

fn register(peers: &mut Peers, names: &[u8], now: Time) {
    let registration = |peer: &u8| Registration {
        name: name(*peer).as_str().into(),
        address: ([10, 0, 0, *peer], 9_000).into(),
        secret: None,
    };
    peers.set_registrations(names.iter().map(registration).collect(), now);
}

fn heartbeat(peer: u8, sequence: u64, loads: &[(u64, u32)]) -> Heartbeat {
    let mut heartbeat = Heartbeat::new(&name(peer), 1, sequence);
    let load = |(upstream, requests): &(u64, u32)| UpstreamLoad {
        upstream: *upstream,
        requests: *requests,
        waiting_tokens: requests * 100,
        ..UpstreamLoad::default()
    };
    heartbeat.loads = loads.iter().map(load).collect();
    heartbeat
}

proptest! {
    /// Compares the sums with those over the last heartbeats of all peers that are live.
    #[test]
    fn verify_sums_over_live_peers_equal_a_recount(
        steps in prop::collection::vec((0..300_u64, step()), 1..60),
    ) {
        let mut peers = Peers::new("own".into(), PeerOptions::default(), at(0));
        register(&mut peers, &[0, 1, 2, 3, 4, 5], at(0));
        let mut registered: Vec<u8> = (0..6).collect();
        let mut last: HashMap<u8, (u64, Vec<(u64, u32)>)> = HashMap::new();
        let mut now_ms = 0;
        for (sequence, (wait_ms, step)) in (1..).zip(steps) {
            now_ms += wait_ms;
            match step {
                Step::Heartbeat { peer, loads } => {
                    peers.record_heartbeat(&heartbeat(peer, sequence, &loads), at(now_ms));
                    if registered.contains(&peer) {
                        last.insert(peer, (now_ms, loads));
                    }
                }
                Step::Register { peers: names } => {
                    register(&mut peers, &names, at(now_ms));
                    // Live peers are kept, as the store may have lost their registrations.
                    last.retain(|peer, (at_ms, _)| names.contains(peer) || now_ms - *at_ms < 400);
                    registered = names.into_iter().chain(last.keys().copied()).collect();
                }
                Step::Expire => peers.expire(at(now_ms)),
            }
            let live = last.values().filter(|(at_ms, _)| now_ms - at_ms < 400);
            let live: Vec<_> = live.collect();
            prop_assert_eq!(peers.peer_counts(at(now_ms)).live, live.len() + 1);
            for upstream in 0..6 {
                let all = live.iter().flat_map(|(_, loads)| loads);
                let requests: u32 = all.filter(|(u, _)| *u == upstream).map(|(_, n)| n).sum();
                let load = peers.remote_load(upstream, at(now_ms));
                prop_assert_eq!((load.requests, load.waiting_tokens), (requests, requests * 100));
            }
        }
    }
}

#[test]
fn verify_the_directory_stays_within_twice_the_keys_in_use() {
    let salt = CacheSalt::new(MODEL, 1, None);
    let mut directory = PrefixDirectory::default();
    // 500 sessions a second, each with a prefix of its own.
    for index in 0..100_000_u64 {
        let session = format!("s{index}");
        let prompt = prompt(&[(&session, 100), ("own", 10)]);
        let keys = chain(&prompt, &salt).iter().map(|part| part.key).collect();
        let update = CacheUpdate {
            holder: index % 160,
            keys,
            new_tokens: 100,
        };
        directory.apply_update(&update, at(index * 2));
        let in_use = 15_000;
        assert!(directory.len() <= in_use * 2 + 1, "{}", directory.len());
    }
}

/// Instances with little processor time send heartbeats late, and what others have admitted
/// meanwhile is underestimated if the intended interval is taken for the real one.
#[test]
fn verify_the_report_interval_follows_late_heartbeats() {
    let mut peers = Peers::new("self".into(), PeerOptions::default(), at(0));
    let registration = |peer: u8| Registration {
        name: name(peer).into(),
        address: ([127, 0, 0, 1], 9_000 + u16::from(peer)).into(),
        secret: None,
    };
    peers.set_registrations((1..3).map(registration).collect(), at(0));
    let intended = peers.report_interval();
    assert_eq!(intended, peers.heartbeat_interval());
    for round in 1..200_u64 {
        for peer in 1..3 {
            let heartbeat = Heartbeat::new(&name(peer), 1, round);
            peers.record_heartbeat(&heartbeat, at(round * 1_200));
        }
    }
    assert!(peers.report_interval().as_millis() >= 1_100);
    // One of them misses two heartbeats.
    let heartbeat = Heartbeat::new(&name(1), 1, 200);
    peers.record_heartbeat(&heartbeat, at(199 * 1_200 + 2_000));
    assert_eq!(peers.reporting_counts(at(199 * 1_200 + 2_000)).live, 3);
    assert_eq!(peers.reporting_counts(at(199 * 1_200 + 2_800)).live, 2);
}
