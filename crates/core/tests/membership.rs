//! Contract tests of membership.

mod sync_support;

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::hash::mix;
use limpetsaddle_core::membership::Absorbed;
use limpetsaddle_core::membership::IncarnationStatus;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::membership::Members;
use limpetsaddle_core::membership::MembersOptions;
use limpetsaddle_core::membership::Replaced;
use limpetsaddle_core::membership::Seed;
use limpetsaddle_core::membership::Source;
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
use crate::sync_support::object;
use crate::sync_support::route;
use crate::sync_support::row;

const OPTS: MembersOptions = MembersOptions {
    time_to_live: Duration::from_secs(10),
    forget_after: Duration::from_mins(10),
    longest_pause: Duration::from_secs(3),
    contacts: 3,
};

fn members() -> Members {
    Members::new(row("me", "d1", 5, 0), OPTS, at(0))
}

fn settled() -> Members {
    let mut members = members();
    members.end_startup();
    members
}

const DIRECT: Source = Source::Direct;
const RELAYED: Source = Source::Relayed;

#[parameterized(
    first_direct = { &[], DIRECT, 2, 7, Absorbed::Advanced, true },
    first_relayed = { &[], RELAYED, 2, 7, Absorbed::Learned, false },
    relayed_advance = { &[(2, 7)], RELAYED, 2, 8, Absorbed::Advanced, true },
    relayed_late = { &[(2, 7)], RELAYED, 2, 7, Absorbed::Old, false },
    relayed_out_of_order = { &[(2, 7)], RELAYED, 2, 6, Absorbed::Old, false },
    sent_twice = { &[(2, 7)], DIRECT, 2, 7, Absorbed::Old, false },
    restarted_relayed = { &[(2, 7)], RELAYED, 3, 1, Absorbed::Learned, false },
    restarted_direct = { &[(2, 7)], DIRECT, 3, 1, Absorbed::Advanced, true },
    replaced = { &[(2, 7)], RELAYED, 1, 9, Absorbed::Replaced(Replaced { by: Incarnation(2) }), false },
)]
fn verify_signs_of_life(
    before: &[(u64, u32)],
    source: Source,
    incarnation: u64,
    heartbeat: u32,
    expected: Absorbed,
    live: bool,
) {
    let mut members = settled();
    for (incarnation, heartbeat) in before {
        members.absorb(&row("a", "d1", *incarnation, *heartbeat), RELAYED, at(0));
    }
    let heard = row("a", "d1", incarnation, heartbeat);
    assert_eq!(members.absorb(&heard, source, at(1_000)), expected);
    let member = members.get(&"a".parse().unwrap()).unwrap();
    assert_eq!(members.is_live(member, at(1_000)), live);
    assert!(!members.is_live(member, at(11_001)));
}

#[test]
fn verify_contact_of_a_replaced_incarnation_is_refused() {
    let mut members = settled();
    let by = Incarnation(4);
    assert_eq!(members.admit(&row("a", "d1", 4, 1), at(0)), Ok(()));
    assert_eq!(
        members.admit(&row("a", "d1", 3, 99), at(1)),
        Err(Replaced { by })
    );
    let by = Incarnation(5);
    assert_eq!(
        members.admit(&row("me", "d1", 4, 1), at(2)),
        Err(Replaced { by })
    );
    assert_eq!(members.incarnation_status(), IncarnationStatus::Current);
}

#[parameterized(
    current = { 4, true },
    restarted = { 5, true },
    replaced = { 3, false },
)]
fn verify_reply_of_a_replaced_incarnation_is_no_contact(incarnation: u64, contact: bool) {
    let (opts, now) = (ExchangeOptions::default(), at(1_000));
    let (mut ours, mut theirs) = (ConfigStore::default(), ConfigStore::default());
    let mut members = settled();
    members.admit(&row("a", "d1", 4, 1), at(0)).unwrap();
    let mut other = Members::new(row("a", "d1", incarnation, 9), OPTS, at(0));
    other.end_startup();
    let pending = exchange::open(&ours, &members, &opts, now);
    let request = pending.request.clone();
    let (reply, _) = exchange::handle_request(&mut theirs, &mut other, request, &opts, now);
    let outcome = exchange::apply_reply(&mut ours, &mut members, &pending, reply, &opts, now);
    assert_eq!(outcome.unwrap().contact, contact);
}

#[test]
fn verify_own_name_known_at_start_and_later() {
    let mut starting = members();
    starting.refused(Replaced { by: Incarnation(9) });
    assert!(starting.own().incarnation > Incarnation(9));
    assert_eq!(starting.incarnation_status(), IncarnationStatus::Starting);
    starting.end_startup();
    assert_eq!(starting.incarnation_status(), IncarnationStatus::Current);
    let by = incarnation_above(starting.own().incarnation, Incarnation(0));
    starting.absorb(&row("me", "d1", by.0, 1), RELAYED, at(1));
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
fn verify_seeds_are_no_sign_of_life_and_bounded() {
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
        let heard = row(&name(i), &format!("d{}", i % 19), 1, 1);
        members.absorb(&heard, DIRECT, at(1));
    }
    assert!(members.iter().count() <= 24 + 18 * 3);
    members.seed(&[], at(2));
    assert!(members.iter().all(|m| members.is_live(m, at(2))));
}

#[parameterized(
    heard_then_silent = { 20_000, 2, 15_000 },
    never_heard_of = { 20_000, 9, 20_000 },
    replaced_lately = { 20_000, 1, 19_000 },
)]
fn verify_silence(now: u64, incarnation: u64, silent: u64) {
    let mut members = settled();
    let name = "a".parse().unwrap();
    members.absorb(&row("a", "d1", 1, 7), DIRECT, at(500));
    members.absorb(&row("a", "d1", 2, 1), DIRECT, at(1_000));
    for second in 1..=now / 1_000 {
        members.advance_heartbeat(Revision(1), at(second * 1_000));
        if second == 5 {
            members.absorb(&row("a", "d1", 2, 2), RELAYED, at(5_000));
            members.absorb(&row("a", "d1", 2, 2), RELAYED, at(5_500));
        }
    }
    let silence = members.silent_for(&name, Incarnation(incarnation), at(now));
    assert_eq!(silence, Duration::from_millis(silent));
}

#[test]
fn verify_own_pause_is_not_silence_of_others() {
    let mut members = settled();
    let name = "a".parse().unwrap();
    members.absorb(&row("a", "d1", 2, 1), DIRECT, at(1_000));
    members.advance_heartbeat(Revision(1), at(1_000));
    let thawed = at(60_000);
    let before_beat = members.silent_for(&name, Incarnation(2), thawed);
    members.advance_heartbeat(Revision(1), thawed);
    let after_beat = members.silent_for(&name, Incarnation(2), at(61_000));
    assert_eq!(before_beat, Duration::ZERO);
    assert_eq!(after_beat, Duration::from_secs(1));
}

fn domain_of(count: u64) -> Members {
    let mut members = settled();
    for i in 0..count {
        members.absorb(&row(&format!("n{i}"), "d1", 1, 1), DIRECT, at(0));
    }
    members
}

#[test]
fn verify_watchers_are_stable_under_churn() {
    let members = domain_of(23);
    let watchers = members.watchers(at(0));
    assert_eq!(watchers.len(), 2);
    for gone in members.live_peers(at(0)) {
        let mut rest = settled();
        let others = members.live_peers(at(0)).filter(|r| r.name != gone.name);
        others.for_each(|r| {
            rest.absorb(r, DIRECT, at(0));
        });
        let kept = rest.watchers(at(0));
        let still = watchers.iter().filter(|w| kept.contains(w)).count();
        assert_eq!(still, 2 - usize::from(watchers.contains(&&gone.name)));
    }
}

#[test]
fn verify_leaving_instances_watch_last() {
    let mut members = domain_of(2);
    members.set_phase(Phase::Leaving);
    assert!(!members.is_watcher(at(0)));
    assert!(domain_of(0).is_watcher(at(0)));
    assert_eq!(domain_of(0).push_targets(at(0)).len(), 0);
}

type Node = (Members, ConfigStore);

/// Lets `from` complete an exchange with `to`.
fn complete(nodes: &mut [Node], from: usize, to: usize, pending: PendingRequest, now: Time) {
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

/// Instances that exchange once a second, with one exchange in ten lost and one
/// instance dead.
fn run(nodes: &mut [Node], seconds: Range<u64>, dead: Option<usize>) {
    for second in seconds {
        let now = at(second * 1_000);
        for i in (0..nodes.len()).filter(|i| Some(*i) != dead) {
            let random = mix(second * 1_000 + i as u64);
            let (members, store) = &mut nodes[i];
            members.advance_heartbeat(Revision(1), now);
            let Some(peer) = members.pick_peer(random, now) else {
                continue;
            };
            let to = index_of(&peer.name);
            let pending = exchange::open(store, members, &ExchangeOptions::default(), now);
            if Some(to) != dead && !mix(random).is_multiple_of(10) {
                complete(nodes, i, to, pending, now);
            }
        }
    }
}

/// Returns instances that know each other from the platform's list alone.
fn start(count: usize) -> Vec<Node> {
    let name = |i: usize| format!("n{i}");
    let seeds: Vec<Seed> = (0..count).map(|i| seed(&name(i), "d1")).collect();
    let node = |i: usize| {
        let own: MemberRecord = row(&name(i), "d1", 100 + i as u64, 0);
        let mut members = Members::new(own, OPTS, at(0));
        members.seed(&seeds, at(0));
        (members, ConfigStore::default())
    };
    (0..count).map(node).collect()
}

#[parameterized(today = { 3 }, target = { 24 })]
fn verify_live_instances_stay_live_and_dead_ones_expire(count: usize) {
    let mut nodes = start(count);
    run(&mut nodes, 1..20, None);
    for second in 20..140 {
        run(&mut nodes, second..second + 1, None);
        for (members, _) in &nodes {
            let live = members.live_peers(at(second * 1_000)).count();
            assert_eq!(live, count - 1);
        }
    }
    let dead = count - 1;
    run(&mut nodes, 140..165, Some(dead));
    for (members, _) in &nodes[..dead] {
        assert_eq!(members.live_peers(at(164_000)).count(), count - 2);
    }
}

#[parameterized(alone = { 1 }, today = { 3 }, target = { 24 })]
fn verify_watchers_push_to_all_and_share_the_work(count: usize) {
    let mut nodes = start(count);
    run(&mut nodes, 1..20, None);
    let now = at(19_000);
    let mut reached = BTreeSet::new();
    for (members, _) in &nodes {
        let targets = members.push_targets(now);
        assert!(targets.len() <= count.div_ceil(2));
        assert!(members.is_watcher(now) || targets.is_empty());
        reached.extend(targets.into_iter().map(|row| row.name.clone()));
    }
    assert_eq!(reached.len(), if count > 1 { count } else { 0 });
}

#[parameterized(today = { 3 }, target = { 24 })]
fn verify_change_is_in_force_within_six_seconds_without_one_watcher(count: usize) {
    const SECONDS: u64 = 6;
    let mut nodes = start(count);
    run(&mut nodes, 1..20, None);
    let now = at(20_000);
    let watchers: Vec<usize> = nodes[0].0.watchers(now).into_iter().map(index_of).collect();
    let (watcher, dead) = (watchers[0], watchers[1]);
    let (members, store) = &mut nodes[watcher];
    let change = object("route/echo", 5, Some(route("/echo", 1)));
    store.merge(change.clone());
    let targets: Vec<usize> = members
        .push_targets(now)
        .iter()
        .map(|r| index_of(&r.name))
        .collect();
    for to in targets.into_iter().filter(|to| *to != dead) {
        let (members, store) = &nodes[watcher];
        let pending = exchange::push(store, members, vec![change.clone()], now);
        complete(&mut nodes, watcher, to, pending, now);
    }
    run(&mut nodes, 20..20 + SECONDS, Some(dead));
    for (i, (_, store)) in nodes.iter().enumerate() {
        assert!(i == dead || store.get(&change.id).is_some(), "n{i}");
    }
}
