//! The ways of instances to a service, and the peers through which requests reach it.

mod support;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::StoreReadReport;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::relays::choose;
use limpetsaddle_fleet::service_reach::Reach;
use limpetsaddle_fleet::service_reach::ReachReport;
use limpetsaddle_fleet::service_reach::ServiceReach;
use limpetsaddle_fleet::store_era::StoreEra;
use limpetsaddle_fleet::store_reads::StoreRead;
use support::at;
use yare::parameterized;

const UPSTREAMS: usize = 9;

const SERVICE: u64 = 7;

fn fail(way: &mut ServiceReach, upstream: u64, ms: u64) -> bool {
    way.record_failure(upstream, UPSTREAMS, at(ms), at(ms))
}

#[test]
fn verify_one_upstream_that_fails_is_no_cut() {
    let mut way = ServiceReach::default();
    for ms in 0..100 {
        assert!(!fail(&mut way, 1, ms));
    }
    assert_eq!(way.reach(at(100)), Reach::Unknown);
}

#[test]
fn verify_upstreams_that_fail_one_at_a_time_are_no_cut() {
    let mut way = ServiceReach::default();
    for round in 0..100 {
        assert!(!fail(&mut way, round, round * 10));
        way.record_answer(at(round * 10 + 5), at(round * 10 + 6));
    }
    assert_eq!(way.reach(at(1_000)), Reach::Reached);
}

#[test]
fn verify_the_only_upstream_that_fails_may_be_a_cut() {
    let mut way = ServiceReach::default();
    assert!(way.record_failure(1, 1, at(0), at(0)));
}

#[test]
fn verify_a_late_answer_ends_no_cut() {
    let mut way = ServiceReach::default();
    assert!(!fail(&mut way, 1, 100));
    assert!(!fail(&mut way, 2, 105));
    assert!(fail(&mut way, 3, 110));
    assert!(!way.record_answer(at(90), at(120)));
    assert_eq!(way.reach(at(120)), Reach::Failing);
    assert!(way.record_answer(at(115), at(121)));
    assert_eq!(way.reach(at(121)), Reach::Reached);
}

#[test]
fn verify_an_answer_after_a_silent_call_was_sent_makes_it_no_failure() {
    let mut way = ServiceReach::default();
    way.record_answer(at(500), at(600));
    assert!(!way.record_silence(1, UPSTREAMS, at(0), at(1_200)));
    assert!(!way.record_silence(2, UPSTREAMS, at(100), at(1_300)));
    assert_eq!(way.reach(at(1_300)), Reach::Reached);
}

/// Engines with long queues answer late, while earlier streams go on.
#[test]
fn verify_overloaded_upstreams_are_no_cut() {
    let mut way = ServiceReach::default();
    for round in 20..1_000_u64 {
        way.record_bytes(at(round * 100));
        let sent = at(round * 100 - 1_200);
        assert!(!way.record_silence(round, UPSTREAMS, sent, at(round * 100 + 10)));
    }
    assert!(!way.record_silence(1, UPSTREAMS, at(100_000), at(101_200)));
    assert!(!way.record_silence(2, UPSTREAMS, at(100_000), at(101_200)));
    assert!(way.record_silence(3, UPSTREAMS, at(100_010), at(101_210)));
}

#[test]
fn verify_one_trial_at_a_time_finds_the_way_back() {
    let mut way = ServiceReach::default();
    for upstream in 1..=3 {
        fail(&mut way, upstream, 0);
    }
    assert!(
        !way.begin_trial(true, at(10)),
        "nothing accepts connections"
    );
    assert!(!way.is_look_due(at(200)));
    assert!(way.is_look_due(at(250)));
    way.record_look(true, at(260));
    assert!(!way.begin_trial(false, at(270)));
    assert!(way.begin_trial(true, at(270)));
    assert!(!way.begin_trial(true, at(280)));
    assert!(!fail(&mut way, 4, 300));
    assert!(!way.begin_trial(true, at(310)), "the trial has failed");
    way.record_look(true, at(600));
    assert!(
        way.begin_trial(false, at(1_700)),
        "no repeatable request came"
    );
    assert!(way.record_answer(at(1_700), at(1_750)));
}

/// Direct requests that a link which flaps costs.
#[test]
fn verify_a_link_that_flaps_costs_few_requests() {
    let mut way = ServiceReach::default();
    let (mut lost, mut changes) = (0, 0);
    for ms in (0..60_000_u64).step_by(20) {
        let is_up = ms / 500 % 2 == 1;
        if way.is_look_due(at(ms)) {
            way.record_look(is_up, at(ms));
        }
        if way.reach(at(ms)) == Reach::Failing && !way.begin_trial(true, at(ms)) {
            continue;
        }
        if is_up {
            way.record_answer(at(ms), at(ms));
        } else {
            lost += 1;
            changes += u32::from(fail(&mut way, ms / 20, ms));
        }
    }
    // Three requests notice each of at most sixty times that the link goes down.
    assert!(
        changes <= 60 && lost <= 3 * 60 + 60,
        "{changes} changes, {lost} lost"
    );
}

#[test]
fn verify_reports_are_bounded() {
    let mut report = ReachReport::default();
    for service in 0..1_000 {
        report.add(service, Reach::Reached);
        report.add(service, Reach::Failing);
        report.add(service, Reach::Unknown);
    }
    let mut heartbeat = Heartbeat::new("a", 1, 1);
    heartbeat.reach = report;
    assert!(heartbeat.reach.reached.len() + heartbeat.reach.failing.len() <= 128);
}

/// Only a few instances read the store.
#[test]
fn verify_an_instance_that_reads_no_store_reports_its_ways() {
    for has_read in [false, true] {
        let mut heartbeat = Heartbeat::new("a", 1, 1);
        if has_read {
            let read = StoreRead {
                era: StoreEra(1),
                revision: 9,
                sent: at(0),
            };
            heartbeat.read = Some(StoreReadReport::new(&read, at(10)));
        }
        heartbeat.reach.add(SERVICE, Reach::Reached);
        heartbeat.reach.add(SERVICE + 1, Reach::Failing);
        let datagram = heartbeat.encode().unwrap().for_recipient(Some(5)).unwrap();
        let (decoded, echo_ms) = Heartbeat::decode(&datagram).unwrap();
        assert_eq!((decoded, echo_ms), (heartbeat, Some(5)));
    }
}

/// An instance of a simulated fleet.
struct Instance {
    peers: Peers,
    way: ServiceReach,
    is_cut: bool,
    attempts: u64,
}

fn name(number: usize) -> String {
    format!("i-{number:03}")
}

fn start_fleet(count: usize, cut: usize) -> Vec<Instance> {
    let all: Vec<Registration> = (0..count)
        .map(|number| Registration {
            name: name(number).as_str().into(),
            address: ([10, 0, 0, 1], u16::try_from(number + 1).unwrap()).into(),
            secret: Some("secret".into()),
        })
        .collect();
    (0..count)
        .map(|number| {
            let own = name(number).as_str().into();
            let mut peers = Peers::new(own, PeerOptions::default(), at(0));
            peers.set_registrations(all.clone(), at(0));
            Instance {
                peers,
                way: ServiceReach::default(),
                is_cut: number < cut,
                attempts: 0,
            }
        })
        .collect()
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Served {
    Here,
    ByPeer,
    No,
}

/// Sends one request to an instance at a moment when its links are cut or not.
fn send(fleet: &mut [Instance], number: usize, has_cuts: bool, now: Time, random: u64) -> Served {
    let instance = &mut fleet[number];
    let leads_elsewhere = instance.way.reach(now) == Reach::Failing
        && instance.peers.reach_service(SERVICE, now)
        && !instance.way.begin_trial(true, now);
    if !leads_elsewhere {
        for attempt in 0..3 {
            instance.attempts += 1;
            if !(instance.is_cut && has_cuts) {
                instance.way.record_answer(now, now);
                return Served::Here;
            }
            let upstream = mix(random ^ attempt) % 9;
            instance.way.record_failure(upstream, UPSTREAMS, now, now);
        }
    }
    if instance.way.reach(now) != Reach::Failing {
        return Served::No;
    }
    let relays = instance.peers.relays(SERVICE, now);
    let Some(relay) = choose(relays, random) else {
        return Served::No;
    };
    let peer = usize::from(relay.address.port()) - 1;
    // A peer passes nothing on.
    if fleet[peer].is_cut && has_cuts {
        return Served::No;
    }
    fleet[peer].way.record_answer(now, now);
    Served::ByPeer
}

fn exchange_heartbeats(fleet: &mut [Instance], sequence: u64, now: Time) {
    let heartbeats: Vec<Heartbeat> = (0..)
        .zip(&*fleet)
        .map(|(number, instance)| {
            let mut heartbeat = Heartbeat::new(&name(number), 1, sequence);
            heartbeat.reach.add(SERVICE, instance.way.reach(now));
            heartbeat
        })
        .collect();
    for instance in fleet {
        for heartbeat in &heartbeats {
            instance.peers.record_heartbeat(heartbeat, now);
        }
    }
}

#[parameterized(
    one_of_nine = { 9, 1 },
    a_domain_of_nine = { 9, 3 },
    all_but_one_of_nine = { 9, 8 },
    all_of_nine = { 9, 9 },
    a_domain_of_two_hundred_ninety_five = { 295, 59 },
    all_but_one_of_two_hundred_ninety_five = { 295, 294 },
    all_of_two_hundred_ninety_five = { 295, 295 },
)]
fn verify_a_cut_is_noticed_in_time_and_ends_in_time(count: usize, cut: usize) {
    const CUT_MS: std::ops::Range<u64> = 5_000..15_000;
    const WINDOW_MS: u64 = 3_000;
    let mut fleet = start_fleet(count, cut);
    let interval = u64::try_from(fleet[0].peers.heartbeat_interval().as_millis()).unwrap();
    for ms in (0..25_000).step_by(100) {
        let now = at(ms);
        let has_cuts = CUT_MS.contains(&ms);
        if ms.is_multiple_of(interval) {
            exchange_heartbeats(&mut fleet, ms / interval + 1, now);
        }
        for (number, salt) in (0..count).zip(0_u64..) {
            if fleet[number].way.is_look_due(now) {
                let accepts = !(fleet[number].is_cut && has_cuts);
                fleet[number].way.record_look(accepts, now);
            }
            // Two requests a second at each instance.
            if !(ms / 100 + salt).is_multiple_of(5) {
                continue;
            }
            let random = mix(ms ^ (salt << 32));
            let before = fleet[number].attempts;
            let served = send(&mut fleet, number, has_cuts, now, random);
            if has_cuts && cut < count && ms >= CUT_MS.start + WINDOW_MS {
                assert_ne!(served, Served::No, "instance {number} at {ms} ms");
            }
            if !has_cuts && ms >= CUT_MS.end + WINDOW_MS {
                assert_eq!(served, Served::Here, "instance {number} at {ms} ms");
            }
            let attempts = fleet[number].attempts - before;
            assert!(attempts <= 3);
        }
    }
}
