//! Polls of an unavailable store.

mod support;

use std::time::Duration;

use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::store_polls::PollRole;
use limpetsaddle_fleet::store_polls::StorePolls;
use proptest::prelude::*;
use support::at;
use yare::parameterized;

const PEERS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn last_of_six() -> Peers {
    let mut peers = Peers::new("f".into(), PeerOptions::default(), at(0));
    let all = PEERS.iter().zip(1..).map(|(name, port)| Registration {
        name: (*name).into(),
        address: ([10, 0, 0, 1], port).into(),
        secret: None,
    });
    peers.set_registrations(all.collect(), at(0));
    for name in PEERS {
        peers.record_heartbeat(&Heartbeat::new(name, 1, 1), at(0));
    }
    peers
}

/// Returns the polls of an instance in eight seconds without the store.
fn polls(arrivals: &mut [Vec<u64>], randoms: &[u64]) -> u32 {
    let mut peers = last_of_six();
    let (mut polls, mut polled_ms, mut sequence) = (1, 0, 1);
    for now_ms in (0..8_000).step_by(10) {
        for (name, arrivals) in PEERS.iter().zip(&mut *arrivals) {
            while arrivals.first().is_some_and(|arrival| *arrival <= now_ms) {
                arrivals.remove(0);
                sequence += 1;
                peers.record_heartbeat(&Heartbeat::new(name, 1, sequence), at(now_ms));
            }
        }
        let random = randoms[polls as usize % randoms.len()];
        let backoff = peers.poll_role(at(now_ms)).backoff(polls, random);
        if at(now_ms).since(at(polled_ms)) >= backoff {
            polls += 1;
            polled_ms = now_ms;
        }
    }
    polls
}

proptest! {
    #[test]
    fn verify_late_heartbeats_cause_no_more_polls_of_an_unavailable_store(
        gaps in prop::collection::vec(prop::collection::vec(50..1_350_u64, 170), PEERS.len()),
        randoms in prop::collection::vec(any::<u64>(), 1..30),
    ) {
        let arrivals = gaps.iter().map(|gaps| {
            let sums = gaps.iter().scan(0, |sum, gap| {
                *sum += gap;
                Some(*sum)
            });
            sums.collect()
        });
        let mut arrivals: Vec<Vec<u64>> = arrivals.collect();
        // The first one, then backoffs of at least 0.4, 0.8 and 1.5 s.
        prop_assert!(polls(&mut arrivals, &randoms) <= 7);
    }
}

#[test]
fn verify_another_instance_polls_for_all_when_the_pollers_fail() {
    let mut peers = last_of_six();
    assert_eq!(peers.poll_role(at(100)), PollRole::Follower);
    for name in &PEERS[3..] {
        peers.record_heartbeat(&Heartbeat::new(name, 1, 2), at(1_000));
    }
    assert_eq!(peers.poll_role(at(1_500)), PollRole::Poller);
}

#[test]
fn verify_a_read_of_a_peer_during_a_lost_poll_ends_the_pause() {
    let mut polls = StorePolls::default();
    for round in 0..4 {
        polls.record_failure(at(round * 3_000), at(round * 3_000 + 1_200), 511);
    }
    // The store returns while the last poll, sent at 9.0 s, is under way.
    polls.record_peer_read(at(9_100));
    polls.record_failure(at(9_000), at(10_200), 511);
    assert!(polls.wait(PollRole::Follower, at(10_200)) <= Duration::from_millis(200));
}

#[test]
fn verify_an_older_read_of_a_peer_ends_no_pause() {
    let mut polls = StorePolls::default();
    polls.record_peer_read(at(900));
    polls.record_failure(at(1_000), at(2_200), 0);
    assert!(!polls.answers_peers());
    assert!(polls.wait(PollRole::Follower, at(2_200)) >= Duration::from_millis(400));
}

#[test]
fn verify_an_instance_that_alone_is_cut_off_polls_at_a_bounded_rate() {
    let mut polls = StorePolls::default();
    let (mut now_ms, mut count) = (0, 0);
    while now_ms < 60_000 {
        let sent = now_ms;
        now_ms += 1_200;
        polls.record_peer_read(at(now_ms));
        polls.record_failure(at(sent), at(now_ms), 0);
        count += 1;
        let wait = polls.wait(PollRole::Follower, at(now_ms));
        now_ms += u64::try_from(wait.as_millis()).expect("the wait is short");
    }
    // A lost call, and at least half of the longest pause.
    assert!(count <= 4 + 60_000 / (1_200 + 750), "{count} polls");
}

/// The time after which a store that has returned counts as stable, in milliseconds.
const STABLE_MS: u64 = 3_000;

/// The time in which a call that gets no answer fails, in milliseconds.
const LOST_CALL_MS: u64 = 1_200;

/// The time that an instance takes to look at new evidence, in milliseconds.
const RECHECK_MS: u64 = 250;

/// An instance of a fleet that polls a store which has returned.
struct Polling {
    role: PollRole,
    polls: StorePolls,
    sent: Option<u64>,
    next_look: u64,
    reached: Option<u64>,
}

/// Returns the time from the store's return after which the last of `count` instances reaches
/// it. Their polls are in any state at that moment.
fn recovery_ms(count: u64, pollers: u64, seed: u64) -> u64 {
    let random = |salt: u64| limpetsaddle_core::hash::mix(seed.wrapping_mul(977) ^ salt);
    let heartbeat_ms = 100 * count.div_ceil(30).clamp(1, 10);
    let returned = 9_000 + random(1) % 3_000;
    let mut fleet: Vec<Polling> = (0..count)
        .map(|number| Polling {
            role: if number < pollers {
                PollRole::Poller
            } else {
                PollRole::Follower
            },
            polls: StorePolls::default(),
            sent: None,
            next_look: random(number + 7) % 2_500,
            reached: None,
        })
        .collect();
    for now in (0..returned + 10_000).step_by(10) {
        for (number, instance) in (0..).zip(&mut fleet) {
            step(instance, now, returned, random(now ^ (number << 20)));
        }
        // Heartbeats of instance `number` are sent to all others at its own phase.
        let heard = (0..).zip(&fleet).filter_map(|(number, instance)| {
            let phase = random(number) % heartbeat_ms / 10 * 10;
            let is_due = (now + phase).is_multiple_of(heartbeat_ms);
            instance.reached.filter(|_| is_due)
        });
        if let Some(read) = heard.max() {
            for instance in &mut fleet {
                instance.polls.record_peer_read(at(read));
            }
        }
        if fleet.iter().all(|instance| instance.reached.is_some()) {
            return now - returned;
        }
    }
    u64::MAX
}

fn step(instance: &mut Polling, now: u64, returned: u64, random: u64) {
    if instance.reached.is_some() || now < instance.next_look {
        return;
    }
    match instance.sent {
        Some(sent) if sent >= returned => instance.reached = Some(sent),
        Some(sent) if now < sent + LOST_CALL_MS => instance.next_look = sent + LOST_CALL_MS,
        Some(sent) => {
            instance.polls.record_failure(at(sent), at(now), random);
            instance.sent = None;
        }
        None => {
            let wait = instance.polls.wait(instance.role, at(now));
            if wait.is_zero() {
                instance.sent = Some(now);
            }
            let wait = u64::try_from(wait.as_millis()).expect("the wait is short");
            instance.next_look = now + wait.clamp(10, RECHECK_MS);
        }
    }
}

#[parameterized(
    one = { 1, 1 },
    nine = { 9, 3 },
    two_hundred_ninety_five = { 295, 3 },
)]
fn verify_all_instances_reach_a_store_that_has_returned_in_time(count: u64, pollers: u64) {
    for seed in 0..if count > 100 { 6 } else { 200 } {
        let took = recovery_ms(count, pollers, seed);
        assert!(took <= STABLE_MS, "seed {seed}: {took} ms");
    }
}
