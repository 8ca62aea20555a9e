//! Polls of an unavailable store.

mod support;

use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::store_polls::PollRole;
use proptest::prelude::*;
use support::at;

const PEERS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn last_of_six() -> Peers {
    let mut peers = Peers::new("f".into(), PeerOptions::default(), at(0));
    let all = PEERS.iter().zip(1..).map(|(name, port)| Registration {
        name: (*name).into(),
        address: ([10, 0, 0, 1], port).into(),
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
