//! Tests of changes of slot owners and of the division of limits among slots.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::config::Allotment;
use limpetsaddle_core::config::DomainSpec;
use limpetsaddle_core::config::SlotOwner;
use limpetsaddle_core::config::SlotTable;
use limpetsaddle_core::limits::DomainMember;
use limpetsaddle_core::limits::LimitsOptions;
use limpetsaddle_core::limits::propose_slots;
use limpetsaddle_core::limits::release_slots;
use limpetsaddle_core::limits::slot_shares;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::units::FencingNumber;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::TokenRate;
use limpetsaddle_core::units::Tokens;
use proptest::prelude::*;
use yare::parameterized;

const TIMED_OUT_MS: u64 = 7_001;
const OLD: Incarnation = Incarnation(1);
const NEW: Incarnation = Incarnation(2);

fn name(letter: char) -> InstanceName {
    letter.to_string().parse().unwrap()
}

/// Returns the table whose owners are the letters of `text`; a dot is a free slot.
fn table(text: &str) -> SlotTable {
    let owner = |letter| SlotOwner {
        instance: name(letter),
        incarnation: OLD,
        epoch: FencingNumber(1),
    };
    let owners = text.chars().map(|c| (c != '.').then(|| owner(c)));
    SlotTable {
        owners: owners.collect(),
    }
}

fn text(table: &SlotTable) -> String {
    let letter = |o: &Option<SlotOwner>| o.as_ref().map_or(".".into(), |o| o.instance.to_string());
    table.owners.iter().map(letter).collect()
}

fn member(letter: char, silent_ms: u64, leaving: bool) -> DomainMember {
    DomainMember {
        name: name(letter),
        incarnation: OLD,
        silent_for: Duration::from_millis(silent_ms),
        leaving,
    }
}

/// Each case lists the proposal of instance `a`, which is empty for none.
#[parameterized(
    alone = { "......", &[], "aaaaaa" },
    even_share_of_free_slots = { "......", &[('b', 0, false), ('c', 0, false)], "aa...." },
    remainder_of_free_slots = { "bb.cc.a", &[('b', 0, false), ('c', 0, false)], "bbaccaa" },
    no_change_due = { "aabbcc", &[('b', 0, false), ('c', 0, false)], "" },
    timed_out_owner = { "aabbcc", &[('b', TIMED_OUT_MS, false), ('c', 0, false)], "aaabcc" },
    owner_silent_for_exactly_the_timeout = { "aabb", &[('b', TIMED_OUT_MS - 1, false)], "" },
    unknown_owner = { "aabb", &[], "" },
    leaving_owner_keeps_its_slots = { "aabb", &[('b', 0, true)], "" },
    releases_for_new_instances = { "aaaaaa", &[('b', 0, false), ('c', 0, false)], "aa...." },
    releases_no_more_than_needed = { "aaabbb", &[('b', 0, false), ('c', 0, false)], "aa.bbb" },
    no_release_for_a_timed_out_instance = { "aaa", &[('b', TIMED_OUT_MS, false)], "" },
    claims_while_others_have_a_surplus = { "abbbb.", &[('b', 0, false)], "abbbba" },
)]
fn verify_proposal(before: &str, members: &[(char, u64, bool)], expected: &str) {
    let members: Vec<_> = members.iter().map(|m| member(m.0, m.1, m.2)).collect();
    let before = table(before);
    let slots = u16::try_from(before.owners.len()).unwrap();
    let options = LimitsOptions::default();
    let own = (name('a'), OLD);
    let next = propose_slots(&own, &before, Revision(5), slots, &members, &options);
    assert_eq!(next.as_ref().map_or(String::new(), text), expected);
    let owners = next.into_iter().flat_map(|t| t.owners).zip(&before.owners);
    for (current, previous) in owners {
        let same = current.as_ref().map(|o| &o.instance) == previous.as_ref().map(|o| &o.instance);
        let epoch = current.map_or(FencingNumber(6), |o| o.epoch);
        assert!(same || epoch == FencingNumber(6));
        assert!(!same || previous.as_ref().is_none_or(|o| o.epoch == epoch));
    }
}

#[test]
fn verify_restarted_owner_keeps_its_slots() {
    let own = (name('a'), NEW);
    let next = propose_slots(
        &own,
        &table("ab"),
        Revision(5),
        2,
        &[member('b', 0, false)],
        &LimitsOptions::default(),
    );
    let owner = next.unwrap().owners[0].clone().unwrap();
    assert_eq!((owner.incarnation, owner.epoch), (NEW, FencingNumber(1)));
}

#[test]
fn verify_replaced_instance_proposes_nothing() {
    let mut newer = member('a', 0, false);
    newer.incarnation = NEW;
    let next = propose_slots(
        &(name('a'), OLD),
        &table("...."),
        Revision(5),
        4,
        &[newer],
        &LimitsOptions::default(),
    );
    assert_eq!(next, None);
}

#[parameterized(
    owns_some = { "abab", Some(".b.b") },
    owns_none = { "bbbb", None },
)]
fn verify_release(before: &str, expected: Option<&str>) {
    let next = release_slots(&name('a'), &table(before));
    assert_eq!(next.as_ref().map(text).as_deref(), expected);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// From any table, the live instances reach an even division.
    #[test]
    fn verify_proposals_converge(before in "[abcdx.]{1,24}", turns in "[abcd]{0,12}") {
        let mut current = table(&before);
        let slots = u16::try_from(before.len()).unwrap();
        let mut members: Vec<_> = "abcd".chars().map(|c| member(c, 0, false)).collect();
        members.push(member('x', TIMED_OUT_MS, false));
        let rounds = turns + &"abcd".repeat(12);
        for turn in rounds.chars() {
            let others: Vec<_> = members.iter().filter(|m| m.name != name(turn)).cloned().collect();
            let own = (name(turn), OLD);
            current = propose_slots(&own, &current, Revision(5), slots, &others, &LimitsOptions::default()).unwrap_or(current);
        }
        let after = text(&current);
        let count = |letter| after.matches(letter).count();
        let counts = ['a', 'b', 'c', 'd'].map(count);
        prop_assert_eq!(counts.iter().sum::<usize>(), before.len());
        prop_assert!(counts.iter().max().unwrap() - counts.iter().min().unwrap() <= 1, "{}", after);
    }

    /// The shares of all slots add up to the whole rate, and to the burst or 1 less.
    #[test]
    fn verify_shares_add_up(
        rate in 1_u64..1_000_000,
        burst in 1_u64..1_000_000,
        parts in 0_u16..=500,
        slot_count in 0_u16..40,
        slots in 1_u16..40,
    ) {
        let allotment = |d: &str, parts| Allotment { domain: d.parse().unwrap(), parts, slot_count };
        let allotments = [allotment("east", parts), allotment("west", 1_000 - parts)];
        let domain = DomainSpec { region: "north".parse().unwrap(), slots };
        let mut rates = 0;
        let mut bursts = 0;
        for d in ["east", "west"] {
            let all = slot_shares(&"yard".parse().unwrap(), &allotments, &d.parse().unwrap(), &domain);
            let by_slot: BTreeMap<_, _> = all.iter().copied().collect();
            prop_assert_eq!(by_slot.len(), all.len());
            rates += all.iter().map(|(_, s)| s.rate(TokenRate(rate)).0).sum::<u64>();
            bursts += all.iter().map(|(_, s)| s.burst(Tokens(burst)).0).sum::<u64>();
        }
        prop_assert_eq!(rates, rate * 1_000);
        prop_assert!(bursts <= burst && bursts + 2 > burst);
    }
}
