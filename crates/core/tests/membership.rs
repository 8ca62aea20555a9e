//! Tests of membership.

mod sync_support;

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::hash::mix;
use limpetsaddle_core::membership::IncarnationStatus;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::membership::Members;
use limpetsaddle_core::membership::MembersOptions;
use limpetsaddle_core::membership::RecordSource;
use limpetsaddle_core::membership::Replaced;
use limpetsaddle_core::membership::Seed;
use limpetsaddle_core::membership::UpdateOutcome;
use limpetsaddle_core::membership::exchange;
use limpetsaddle_core::membership::exchange::ExchangeOptions;
use limpetsaddle_core::membership::exchange::PendingRequest;
use limpetsaddle_core::membership::incarnation_above;
use limpetsaddle_core::membership::new_incarnation;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::store::ConfigStore;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use yare::parameterized;

use crate::sync_support::at;
use crate::sync_support::member_record;
use crate::sync_support::object;
use crate::sync_support::route;

const OPTS: MembersOptions = MembersOptions {
    time_to_live: Duration::from_secs(10),
    remove_after: Duration::from_mins(10),
    max_pause: Duration::from_secs(3),
    contacts_per_domain: 3,
};

fn members() -> Members {
    Members::new(member_record("me", "d1", 5, 0), OPTS, at(0))
}

fn settled() -> Members {
    let mut members = members();
    members.end_startup();
    members
}

const DIRECT: RecordSource = RecordSource::Direct;
const RELAYED: RecordSource = RecordSource::Relayed;

#[parameterized(
    first_direct = { &[], DIRECT, 2, 7, UpdateOutcome::Advanced, true },
    first_relayed = { &[], RELAYED, 2, 7, UpdateOutcome::Added, false },
    relayed_advance = { &[(2, 7)], RELAYED, 2, 8, UpdateOutcome::Advanced, true },
    relayed_late = { &[(2, 7)], RELAYED, 2, 7, UpdateOutcome::Stale, false },
    relayed_out_of_order = { &[(2, 7)], RELAYED, 2, 6, UpdateOutcome::Stale, false },
    sent_twice = { &[(2, 7)], DIRECT, 2, 7, UpdateOutcome::Stale, false },
    restarted_relayed = { &[(2, 7)], RELAYED, 3, 1, UpdateOutcome::Added, false },
    restarted_direct = { &[(2, 7)], DIRECT, 3, 1, UpdateOutcome::Advanced, true },
    replaced = { &[(2, 7)], RELAYED, 1, 9, UpdateOutcome::Replaced(Replaced { by: Incarnation(2) }), false },
)]
fn verify_advancing_heartbeat_makes_an_instance_live(
    before: &[(u64, u32)],
    source: RecordSource,
    incarnation: u64,
    heartbeat: u32,
    expected: UpdateOutcome,
    live: bool,
) {
    let mut members = settled();
    for (incarnation, heartbeat) in before {
        members.apply_record(
            &member_record("a", "d1", *incarnation, *heartbeat),
            RELAYED,
            at(0),
        );
    }
    let received = member_record("a", "d1", incarnation, heartbeat);
    assert_eq!(members.apply_record(&received, source, at(1_000)), expected);
    let member = members.get(&"a".parse().unwrap()).unwrap();
    assert_eq!(members.is_live(member, at(1_000)), live);
    assert!(!members.is_live(member, at(11_001)));
}

#[test]
fn verify_contact_from_a_replaced_incarnation_is_refused() {
    let mut members = settled();
    let by = Incarnation(4);
    assert_eq!(
        members.accept_contact(&member_record("a", "d1", 4, 1), at(0)),
        Ok(())
    );
    assert_eq!(
        members.accept_contact(&member_record("a", "d1", 3, 99), at(1)),
        Err(Replaced { by })
    );
    let by = Incarnation(5);
    assert_eq!(
        members.accept_contact(&member_record("me", "d1", 4, 1), at(2)),
        Err(Replaced { by })
    );
    assert_eq!(members.incarnation_status(), IncarnationStatus::Current);
}

#[parameterized(
    current = { 4, true },
    restarted = { 5, true },
    replaced = { 3, false },
)]
fn verify_reply_from_a_replaced_incarnation_is_not_contact(incarnation: u64, contact: bool) {
    let (opts, now) = (ExchangeOptions::default(), at(1_000));
    let (mut ours, mut theirs) = (ConfigStore::default(), ConfigStore::default());
    let mut members = settled();
    members
        .accept_contact(&member_record("a", "d1", 4, 1), at(0))
        .unwrap();
    let mut other = Members::new(member_record("a", "d1", incarnation, 9), OPTS, at(0));
    other.end_startup();
    let pending = exchange::open(&ours, &members, &opts, now);
    let request = pending.request.clone();
    let (reply, _) = exchange::handle_request(&mut theirs, &mut other, request, &opts, now);
    let outcome = exchange::apply_reply(&mut ours, &mut members, &pending, reply, &opts, now);
    assert_eq!(outcome.unwrap().contact, contact);
}

#[test]
fn verify_higher_incarnation_of_own_name_is_detected() {
    let mut starting = members();
    starting.on_contact_refused(Replaced { by: Incarnation(9) });
    assert!(starting.own().incarnation > Incarnation(9));
    assert_eq!(starting.incarnation_status(), IncarnationStatus::Starting);
    starting.end_startup();
    assert_eq!(starting.incarnation_status(), IncarnationStatus::Current);
    let by = incarnation_above(starting.own().incarnation, Incarnation(0));
    starting.apply_record(&member_record("me", "d1", by.0, 1), RELAYED, at(1));
    assert_eq!(
        starting.incarnation_status(),
        IncarnationStatus::Replaced(Replaced { by })
    );
    starting.end_startup();
    assert_ne!(starting.incarnation_status(), IncarnationStatus::Current);
}

#[test]
fn verify_incarnations_are_ordered_by_start() {
    let earlier = new_incarnation(1_000, u64::MAX);
    let later = new_incarnation(1_001, 0);
    assert!(earlier < later);
    assert!(incarnation_above(later, earlier) > later);
}

fn seed(name: &str, domain: &str) -> Seed {
    Seed {
        name: name.parse().unwrap(),
        domain: domain.parse().unwrap(),
        address: ([127, 0, 0, 1], 7_000).into(),
    }
}

#[test]
fn verify_seeds_are_bounded_and_not_live() {
    let mut members = settled();
    let name = |i: usize| format!("n{i}");
    let seeds: Vec<Seed> = (0..450)
        .map(|i| seed(&name(i), &format!("d{}", i % 19)))
        .collect();
    members.seed(&seeds, at(0));
    assert_eq!(
        members.iter().filter(|m| members.is_live(m, at(0))).count(),
        0
    );
    assert!(members.iter().count() <= 24 + 18 * 3);
    assert!(members.pick_peer(3, at(0)).is_some());
    assert!(members.pick_contact(3, at(0)).is_some());
    for i in 0..450 {
        let received = member_record(&name(i), &format!("d{}", i % 19), 1, 1);
        members.apply_record(&received, DIRECT, at(1));
    }
    assert!(members.iter().count() <= 24 + 18 * 3);
    members.seed(&[], at(2));
    assert!(members.iter().all(|m| members.is_live(m, at(2))));
}

#[parameterized(
    known_then_silent = { 20_000, 2, 15_000 },
    unknown_incarnation = { 20_000, 9, 20_000 },
    recently_replaced = { 20_000, 1, 19_000 },
)]
fn verify_silence_is_counted_per_incarnation(now: u64, incarnation: u64, silent: u64) {
    let mut members = settled();
    let name = "a".parse().unwrap();
    members.apply_record(&member_record("a", "d1", 1, 7), DIRECT, at(500));
    members.apply_record(&member_record("a", "d1", 2, 1), DIRECT, at(1_000));
    for second in 1..=now / 1_000 {
        members.advance_heartbeat(Revision(1), at(second * 1_000));
        if second == 5 {
            members.apply_record(&member_record("a", "d1", 2, 2), RELAYED, at(5_000));
            members.apply_record(&member_record("a", "d1", 2, 2), RELAYED, at(5_500));
        }
    }
    let silence = members.silent_for(&name, Incarnation(incarnation), at(now));
    assert_eq!(silence, Duration::from_millis(silent));
}

#[test]
fn verify_own_pause_does_not_count_as_silence_of_others() {
    let mut members = settled();
    let name = "a".parse().unwrap();
    members.apply_record(&member_record("a", "d1", 2, 1), DIRECT, at(1_000));
    members.advance_heartbeat(Revision(1), at(1_000));
    let resumed = at(60_000);
    let before_heartbeat = members.silent_for(&name, Incarnation(2), resumed);
    members.advance_heartbeat(Revision(1), resumed);
    let after_heartbeat = members.silent_for(&name, Incarnation(2), at(61_000));
    assert_eq!(before_heartbeat, Duration::ZERO);
    assert_eq!(after_heartbeat, Duration::from_secs(1));
}

fn domain_of(count: u64) -> Members {
    let mut members = settled();
    for i in 0..count {
        members.apply_record(&member_record(&format!("n{i}"), "d1", 1, 1), DIRECT, at(0));
    }
    members
}

#[test]
fn verify_few_watchers_change_when_an_instance_stops() {
    let members = domain_of(23);
    let watchers = members.watchers(at(0));
    assert_eq!(watchers.len(), 2);
    for stopped in members.live_peers(at(0)) {
        let mut rest = settled();
        let others = members.live_peers(at(0)).filter(|r| r.name != stopped.name);
        others.for_each(|r| {
            rest.apply_record(r, DIRECT, at(0));
        });
        let kept = rest.watchers(at(0));
        let kept_watchers = watchers.iter().filter(|w| kept.contains(w)).count();
        assert_eq!(
            kept_watchers,
            2 - usize::from(watchers.contains(&&stopped.name))
        );
    }
}

#[test]
fn verify_leaving_instances_are_the_last_choice_for_watchers() {
    let mut members = domain_of(2);
    members.set_phase(Phase::Leaving);
    assert!(!members.is_watcher(at(0)));
    assert!(domain_of(0).is_watcher(at(0)));
    assert_eq!(domain_of(0).push_targets(at(0)).len(), 0);
}

type Node = (Members, ConfigStore);

/// Completes an exchange opened by node `from` with node `to`.
fn complete_exchange(
    nodes: &mut [Node],
    from: usize,
    to: usize,
    pending: PendingRequest,
    now: Time,
) {
    let opts = ExchangeOptions::default();
    let mut next = Some(pending);
    while let Some(pending) = next {
        let (members, store) = &mut nodes[to];
        let request = pending.request.clone();
        let (reply, _) = exchange::handle_request(store, members, request, &opts, now);
        let (members, store) = &mut nodes[from];
        let outcome = exchange::apply_reply(store, members, &pending, reply, &opts, now);
        next = outcome.unwrap().next;
    }
}

fn index_of(name: &InstanceName) -> usize {
    name.as_str()[1..].parse().unwrap()
}

/// Runs one exchange per second and instance, of which one in ten is lost. The
/// instance `stopped` doesn't respond.
fn run_exchanges(nodes: &mut [Node], seconds: Range<u64>, stopped: Option<usize>) {
    for second in seconds {
        let now = at(second * 1_000);
        for i in (0..nodes.len()).filter(|i| Some(*i) != stopped) {
            let random = mix(second * 1_000 + i as u64);
            let (members, store) = &mut nodes[i];
            members.advance_heartbeat(Revision(1), now);
            let Some(peer) = members.pick_peer(random, now) else {
                continue;
            };
            let to = index_of(&peer.name);
            let pending = exchange::open(store, members, &ExchangeOptions::default(), now);
            if Some(to) != stopped && !mix(random).is_multiple_of(10) {
                complete_exchange(nodes, i, to, pending, now);
            }
        }
    }
}

/// Returns instances that know each other only from the platform's list.
fn start_nodes(count: usize) -> Vec<Node> {
    let name = |i: usize| format!("n{i}");
    let seeds: Vec<Seed> = (0..count).map(|i| seed(&name(i), "d1")).collect();
    let node = |i: usize| {
        let own: MemberRecord = member_record(&name(i), "d1", 100 + i as u64, 0);
        let mut members = Members::new(own, OPTS, at(0));
        members.seed(&seeds, at(0));
        (members, ConfigStore::default())
    };
    (0..count).map(node).collect()
}

#[parameterized(today = { 3 }, target = { 24 })]
fn verify_running_instances_stay_live_and_stopped_ones_expire(count: usize) {
    let mut nodes = start_nodes(count);
    run_exchanges(&mut nodes, 1..20, None);
    for second in 20..140 {
        run_exchanges(&mut nodes, second..second + 1, None);
        for (members, _) in &nodes {
            let live = members.live_peers(at(second * 1_000)).count();
            assert_eq!(live, count - 1);
        }
    }
    let stopped = count - 1;
    run_exchanges(&mut nodes, 140..165, Some(stopped));
    for (members, _) in &nodes[..stopped] {
        assert_eq!(members.live_peers(at(164_000)).count(), count - 2);
    }
}

#[parameterized(alone = { 1 }, today = { 3 }, target = { 24 })]
fn verify_watchers_share_the_pushes_to_all_instances(count: usize) {
    let mut nodes = start_nodes(count);
    run_exchanges(&mut nodes, 1..20, None);
    let now = at(19_000);
    let mut reached = BTreeSet::new();
    for (members, _) in &nodes {
        let targets = members.push_targets(now);
        assert!(targets.len() <= count.div_ceil(2));
        assert!(members.is_watcher(now) || targets.is_empty());
        reached.extend(targets.into_iter().map(|r| r.name.clone()));
    }
    assert_eq!(reached.len(), if count > 1 { count } else { 0 });
}

#[parameterized(today = { 3 }, target = { 24 })]
fn verify_change_is_in_force_within_six_seconds_without_one_watcher(count: usize) {
    const SECONDS: u64 = 6;
    let mut nodes = start_nodes(count);
    run_exchanges(&mut nodes, 1..20, None);
    let now = at(20_000);
    let watchers: Vec<usize> = nodes[0].0.watchers(now).into_iter().map(index_of).collect();
    let (watcher, stopped) = (watchers[0], watchers[1]);
    let (members, store) = &mut nodes[watcher];
    let change = object("route/echo", 5, Some(route("/echo", 1)));
    store.merge(change.clone());
    let targets: Vec<usize> = members
        .push_targets(now)
        .iter()
        .map(|r| index_of(&r.name))
        .collect();
    for to in targets.into_iter().filter(|to| *to != stopped) {
        let (members, store) = &nodes[watcher];
        let pending = exchange::push(store, members, vec![change.clone()], now);
        complete_exchange(&mut nodes, watcher, to, pending, now);
    }
    run_exchanges(&mut nodes, 20..20 + SECONDS, Some(stopped));
    for (i, (_, store)) in nodes.iter().enumerate() {
        assert!(i == stopped || store.get(&change.id).is_some(), "n{i}");
    }
}
