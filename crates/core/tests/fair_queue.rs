//! Tests of the fair queue and of engine priorities.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::config::Policy;
use limpetsaddle_core::fair_queue::FairQueue;
use limpetsaddle_core::fair_queue::PushOutcome;
use limpetsaddle_core::fair_queue::engine_priority;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::refusal::Execution;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use yare::parameterized;

fn team(i: usize) -> TeamName {
    format!("team-{i}").parse().unwrap()
}

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

fn policy_with_limit(max_queued: u32) -> Policy {
    Policy {
        max_queued,
        ..Policy::default()
    }
}

#[test]
fn verify_small_team_evicts_newest_entry_of_largest_team() {
    let policy = policy_with_limit(3);
    let mut queue = FairQueue::new();
    for i in 0..3 {
        queue
            .push(&team(0), 1, Tokens(10), i, &policy, at(0))
            .unwrap();
    }
    let pushed = queue.push(&team(1), 1, Tokens(10), 9, &policy, at(0));
    let Ok(PushOutcome::Evicted(evicted)) = pushed else {
        panic!("no entry of the large team was evicted: {pushed:?}");
    };
    assert_eq!(evicted.item, 2);
    assert_eq!(evicted.refusal.reason, Reason::Overloaded);
    assert_eq!(evicted.refusal.ran, Execution::NotRun);
    assert!(evicted.refusal.retry_after.is_some());
    let refused = queue.push(&team(0), 1, Tokens(10), 3, &policy, at(0));
    assert_eq!(refused.unwrap_err().item, 3);
    assert_eq!(queue.len(), 3);
}

#[test]
fn verify_unplaceable_head_blocks_its_own_team_only() {
    let policy = Policy::default();
    let mut queue = FairQueue::new();
    for (i, item) in [(0, "large 1"), (0, "large 2"), (1, "small 1")] {
        queue
            .push(&team(i), 1, Tokens(10), item, &policy, at(0))
            .unwrap();
    }
    let admits = |item: &&str| *item != "large 1";
    assert_eq!(queue.pop_if(at(1), admits), Some("small 1"));
    assert_eq!(queue.pop_if(at(1), admits), None);
    assert_eq!(queue.pop(at(1)), Some("large 1"));
}

#[test]
fn verify_wait_is_bounded() {
    let policy = Policy::default();
    let wait = u64::try_from(policy.max_wait.as_millis()).unwrap();
    let mut queue = FairQueue::new();
    queue
        .push(&team(0), 1, Tokens(1), "first", &policy, at(0))
        .unwrap();
    queue
        .push(&team(0), 1, Tokens(1), "second", &policy, at(1))
        .unwrap();
    assert_eq!(queue.next_deadline(), Some(at(wait)));
    assert_eq!(queue.pop(at(wait + 1)), None);
    let expired = queue.expire(at(wait));
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].item, "first");
    assert_eq!(queue.pop(at(wait)), Some("second"));
}

#[test]
fn verify_long_expected_wait_is_refused_immediately() {
    let policy = Policy::default();
    let mut queue = FairQueue::new();
    for i in 0..20 {
        queue
            .push(&team(0), 1, Tokens(1), i, &policy, at(0))
            .unwrap();
    }
    for i in 1..=3 {
        assert!(queue.pop(at(i * 100)).is_some());
    }
    let refused = queue.push(&team(0), 1, Tokens(1), 20, &policy, at(300));
    let wait = refused.unwrap_err().refusal.retry_after.unwrap();
    assert!(wait > policy.max_wait);
    let small = queue.push(&team(1), 1, Tokens(1), 21, &policy, at(300));
    assert!(
        small.is_ok(),
        "the small team was refused because of another team's backlog"
    );
}

#[parameterized(
    within_share = { 100, 1, 0 },
    twice = { 200, 1, 1 },
    far_beyond = { 1_000, 1, 4 },
    heavy_weight = { 1_000, 10, 0 },
    nothing = { 0, 1, 0 },
)]
fn verify_priority_reflects_usage_beyond_share(used: u64, weight: u32, expected: u8) {
    let total = (Tokens(1_000), 10);
    assert_eq!(engine_priority((Tokens(used), weight), total), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Over any interval in which two teams are backlogged, the tokens served per
    /// weight differ by at most one request of each team.
    #[test]
    fn verify_backlogged_teams_are_served_by_weight(
        costs in proptest::collection::vec((0..4_usize, 1..2_000_u64), 40..200),
        weights in proptest::collection::vec(1..8_u32, 4),
        served_first in 0..20_usize,
    ) {
        let policy = policy_with_limit(1_000);
        let mut queue = FairQueue::new();
        let mut waiting = [0_usize; 4];
        let mut largest = [0_u64; 4];
        for (i, cost) in &costs {
            queue.push(&team(*i), weights[*i], Tokens(*cost), (*i, *cost), &policy, at(0)).unwrap();
            waiting[*i] += 1;
            largest[*i] = largest[*i].max(*cost);
        }
        let mut served = [0_u64; 4];
        let mut popped = 0;
        while let Some((i, cost)) = queue.pop(at(0)) {
            waiting[i] -= 1;
            popped += 1;
            if popped == served_first {
                served = [0; 4];
            } else {
                served[i] += cost;
            }
            if waiting.contains(&0) {
                break;
            }
            for a in 0..4 {
                for b in 0..4 {
                    // served/weight of a − served/weight of b ≤ sum of
                    // largest/weight of both, multiplied by both weights.
                    let (wa, wb) = (u64::from(weights[a]), u64::from(weights[b]));
                    let bound = largest[a] * wb + largest[b] * wa;
                    prop_assert!(served[a] * wb <= served[b] * wa + bound + wa * wb);
                }
            }
        }
    }

    /// Every entry is refused, evicted, expired or popped exactly once.
    #[test]
    fn verify_every_entry_leaves_exactly_once(
        steps in proptest::collection::vec((0..5_usize, 1..500_u64, 0..120_u64), 1..300),
        max_queued in 1..20_u32,
    ) {
        let policy = policy_with_limit(max_queued);
        let mut queue = FairQueue::new();
        let mut departures: BTreeMap<usize, u32> = BTreeMap::new();
        let mut now = 0;
        for (n, (i, cost, elapsed)) in steps.iter().enumerate() {
            now += elapsed;
            match queue.push(&team(*i), 1, Tokens(*cost), n, &policy, at(now)) {
                Ok(PushOutcome::Queued) => {}
                Ok(PushOutcome::Evicted(refused)) | Err(refused) => {
                    *departures.entry(refused.item).or_default() += 1;
                }
            }
            prop_assert!(queue.len() <= usize::try_from(max_queued).unwrap());
            for refused in queue.expire(at(now)) {
                *departures.entry(refused.item).or_default() += 1;
            }
            if n % 3 == 0 && let Some(item) = queue.pop(at(now)) {
                *departures.entry(item).or_default() += 1;
            }
        }
        for refused in queue.expire(at(now + 1_000_000)) {
            *departures.entry(refused.item).or_default() += 1;
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(departures.len(), steps.len());
        prop_assert!(departures.values().all(|times| *times == 1));
    }
}
