//! The ledger of an instance and the messages between two of them.

#[path = "limits/names.rs"]
mod names;

use std::time::Duration;

use limpetsaddle_core::config::DomainSpec;
use limpetsaddle_core::config::SlotOwner;
use limpetsaddle_core::config::SlotTable;
use limpetsaddle_core::limits::GrantReply;
use limpetsaddle_core::limits::GrantRequest;
use limpetsaddle_core::limits::Ledger;
use limpetsaddle_core::limits::LimitsOptions;
use limpetsaddle_core::limits::OutgoingRequest;
use limpetsaddle_core::limits::Reservation;
use limpetsaddle_core::limits::ReserveResult;
use limpetsaddle_core::limits::Round;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::units::FencingNumber;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;
use yare::parameterized;

use crate::names::at;
use crate::names::domain;
use crate::names::instance;
use crate::names::team;
use crate::names::team_spec;

const RATE: u64 = 3_000;
const BURST: u64 = 3_000;
/// The part of the burst that the failure domain of the tests mints.
const HOME_BURST: u64 = 1_002;
/// A time at which an owner that gained its share at the start is full.
const FULL_MS: u64 = 20_000;

fn owned_by(index: usize, incarnation: u64, epoch: u64) -> SlotTable {
    let owner = SlotOwner {
        instance: instance(index),
        incarnation: Incarnation(incarnation),
        epoch: FencingNumber(epoch),
    };
    SlotTable {
        owners: vec![Some(owner)],
    }
}

/// Returns a ledger in a failure domain of one slot, which instance 0 owns.
fn ledger(index: usize, incarnation: u64, now: Time) -> Ledger {
    let options = LimitsOptions::default();
    let mut ledger = Ledger::new(
        instance(index),
        Incarnation(incarnation),
        domain(0),
        options,
    );
    let spec = DomainSpec {
        region: domain(0),
        slots: 1,
    };
    ledger.set_domain(&domain(0), Some(&spec), now);
    ledger.set_slots(&domain(0), Revision(1), &owned_by(0, 10, 1), now);
    ledger.set_team(&team(), Some(&team_spec(RATE, BURST, 1)), now);
    ledger
}

fn full_owner() -> Ledger {
    let mut owner = ledger(0, 10, Time::ZERO);
    owner.on_contact(at(FULL_MS));
    owner
}

fn admit(ledger: &mut Ledger, amount: u64, now: Time) -> Option<Reservation> {
    match ledger.reserve(&team(), Tokens(amount), Round::Last, now) {
        ReserveResult::Admitted(reservation) => Some(reservation),
        ReserveResult::NeedsGrants(_) | ReserveResult::Refused(_) => None,
    }
}

fn ask(ledger: &mut Ledger, amount: u64, now: Time) -> GrantRequest {
    match ledger.reserve(&team(), Tokens(amount), Round::Local, now) {
        ReserveResult::NeedsGrants(mut asks) => asks.remove(0).request,
        other => panic!("no ask but {other:?}"),
    }
}

/// Returns the most that can be reserved at once.
fn available(ledger: &mut Ledger, now: Time) -> u64 {
    let fits = |amount: &u64| {
        let held = admit(ledger, *amount, now);
        held.map(|held| ledger.settle(held, Tokens::ZERO, now))
            .is_some()
    };
    (1..=HOME_BURST).rev().find(fits).unwrap_or(0)
}

/// How an owner mints, by the changes before and the time of its last contact.
#[parameterized(
    no_contact = { &[], None, FULL_MS, 0 },
    contact = { &[], Some(FULL_MS), FULL_MS, 1_002 },
    at_the_fence = { &[], Some(FULL_MS), FULL_MS + 3_000, 1_002 },
    beyond_the_fence = { &[], Some(FULL_MS), FULL_MS + 3_001, 0 },
    lost = { &[(15_000, 2, 1, 50, 2)], Some(FULL_MS), FULL_MS, 0 },
    regained = { &[(10_000, 2, 1, 50, 2), (10_500, 3, 0, 10, 3)], Some(FULL_MS), FULL_MS, 501 },
    regained_unseen = { &[(10_500, 3, 0, 10, 3)], Some(FULL_MS), FULL_MS, 501 },
    stale_table = { &[(15_000, 0, 1, 50, 2)], Some(FULL_MS), FULL_MS, 1_002 },
    rival_incarnation = { &[(15_000, 2, 0, 11, 1)], Some(FULL_MS), FULL_MS, 0 },
)]
fn verify_owner(
    tables: &[(u64, u64, usize, u64, u64)],
    contact: Option<u64>,
    now: u64,
    expected: u64,
) {
    let mut owner = ledger(0, 10, Time::ZERO);
    for (when, revision, index, incarnation, epoch) in tables {
        let table = owned_by(*index, *incarnation, *epoch);
        owner.set_slots(&domain(0), Revision(*revision), &table, at(*when));
    }
    if let Some(contact) = contact {
        owner.on_contact(at(contact));
    }
    assert_eq!(available(&mut owner, at(now)), expected);
}

/// The time for which a gained slot must not mint, by the table before: its
/// revision and the slot's owner in it.
#[parameterized(
    created = { None, 10, 1, 0 },
    free = { Some((4, None)), 10, 5, 3_000 },
    kept = { None, 9, 3, 6_000 },
    kept_since_the_creation = { None, 9, 1, 6_000 },
    taken = { Some((4, Some(1))), 10, 5, 9_000 },
    base_not_seen = { Some((3, None)), 10, 5, 9_000 },
    creation_not_seen = { None, 10, 5, 9_000 },
)]
fn verify_wait(base: Option<(u64, Option<usize>)>, incarnation: u64, epoch: u64, wait: u64) {
    let gained = at(FULL_MS);
    let options = LimitsOptions::default();
    let mut owner = Ledger::new(instance(0), Incarnation(10), domain(0), options);
    let spec = DomainSpec {
        region: domain(0),
        slots: 1,
    };
    owner.set_domain(&domain(0), Some(&spec), Time::ZERO);
    owner.set_team(&team(), Some(&team_spec(RATE, BURST, 1)), Time::ZERO);
    if let Some((revision, held_by)) = base {
        let mut table = owned_by(held_by.unwrap_or(1), 30, 2);
        table.owners[0].take_if(|_| held_by.is_none());
        owner.set_slots(&domain(0), Revision(revision), &table, Time::ZERO);
    }
    let table = owned_by(0, incarnation, epoch);
    owner.set_slots(&domain(0), Revision(6), &table, gained);
    let ready = gained + Duration::from_millis(wait);
    owner.on_contact(ready);
    assert_eq!(available(&mut owner, ready), 0);
    let later = ready + Duration::from_millis(500);
    assert_eq!(available(&mut owner, later), 501);
}

/// What is given up stops before anyone knows of it, and for good.
#[test]
fn verify_given_up_slot_mints_no_more() {
    let mut owner = full_owner();
    let free = SlotTable { owners: vec![None] };
    let mut next = free.clone();
    owner.prepare_release(&mut next, at(FULL_MS));
    assert_eq!(next, free);
    owner.set_slots(&domain(0), Revision(2), &owned_by(0, 10, 1), at(FULL_MS));
    assert_eq!(available(&mut owner, at(FULL_MS + 1_000)), 0);
    let mut next = owned_by(0, 10, 1);
    owner.prepare_release(&mut next, at(FULL_MS + 1_000));
    assert_eq!(next, free);
}

/// A slot that still waits isn't left to others, who would not wait as long.
#[test]
fn verify_waiting_slot_is_not_given_up() {
    let mut owner = full_owner();
    let now = at(FULL_MS);
    owner.set_slots(&domain(0), Revision(2), &owned_by(1, 50, 2), now);
    owner.set_slots(&domain(0), Revision(3), &owned_by(0, 10, 3), now);
    let mut next = SlotTable::default();
    owner.prepare_release(&mut next, now);
    assert_eq!(next, owned_by(0, 10, 3));
}

#[test]
fn verify_restarted_owner_adopts_its_slot() {
    let mut owner = ledger(0, 11, Time::ZERO);
    owner.on_contact(at(FULL_MS));
    assert_eq!(available(&mut owner, at(FULL_MS)), HOME_BURST);
    owner.on_replaced();
    assert_eq!(available(&mut owner, at(FULL_MS)), 0);
}

/// What a change of limits at a full owner leaves at once and a second later.
#[parameterized(
    lower_burst = { 3_000, 1_500, 501, 501 },
    lower_rate = { 300, 3_000, 1_002, 1_002 },
    higher_burst = { 3_000, 6_000, 1_002, 1_002 + 1_002 },
)]
fn verify_change_of_limits(rate: u64, burst: u64, at_once: u64, later: u64) {
    let mut owner = full_owner();
    owner.set_team(&team(), Some(&team_spec(rate, burst, 1)), at(FULL_MS));
    assert_eq!(available(&mut owner, at(FULL_MS)), at_once);
    let held = admit(&mut owner, later, at(FULL_MS + 1_000));
    assert_eq!(held.map(|r| r.amount()), Some(Tokens(later)));
}

#[parameterized(
    beyond_the_burst = { 3_001, FULL_MS, Reason::ExceedsBurst, None },
    beyond_the_level = { 2_002, FULL_MS, Reason::RateLimited, Some(333) },
    without_contact = { 10, FULL_MS + 5_000, Reason::LimitsUnavailable, Some(10) },
)]
fn verify_refusal(amount: u64, now: u64, reason: Reason, retry_ms: Option<u64>) {
    let mut owner = full_owner();
    match owner.reserve(&team(), Tokens(amount), Round::Local, at(now)) {
        ReserveResult::Refused(refusal) => {
            assert_eq!(refusal.reason, reason);
            assert_eq!(refusal.retry_after, retry_ms.map(Duration::from_millis));
        }
        other => panic!("not refused but {other:?}"),
    }
}

#[test]
fn verify_excess_use_is_a_debt() {
    let mut owner = full_owner();
    let now = at(FULL_MS);
    let held = admit(&mut owner, 100, now).unwrap();
    owner.settle(held, Tokens(400), now);
    assert_eq!(available(&mut owner, now), HOME_BURST - 400);
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    RequestTwice,
    ReplyLost,
    ReplyTwice,
    ReplyLate,
    ReportLost,
    ReportTwice,
    ReportLate,
    OwnerRestarts,
    OwnerFenced,
}

fn deliver(owner: &mut Ledger, due: &[OutgoingRequest], now: Time) {
    for out in due {
        owner.on_grant_request(&out.request, now);
    }
}

/// Takes a reply to the asker as the fault has it.
fn reply(asker: &mut Ledger, reply: &GrantReply, fault: Fault, now: Time) {
    match fault {
        Fault::ReplyLost => {}
        Fault::ReplyLate => asker.on_grant_reply(reply, now + Duration::from_millis(2_500)),
        Fault::ReplyTwice => {
            asker.on_grant_reply(reply, now);
            asker.on_grant_reply(reply, now);
        }
        _ => asker.on_grant_reply(reply, now),
    }
}

/// A request of 400 tokens that uses 300, at an instance that owns nothing.
///
/// The last two values are whether the request was admitted and what the owner
/// holds at the end. Of a report after the expiry, one token has lapsed.
#[parameterized(
    sound = { Fault::None, true, 702 },
    request_twice = { Fault::RequestTwice, true, 702 },
    reply_lost = { Fault::ReplyLost, false, 602 },
    reply_twice = { Fault::ReplyTwice, true, 702 },
    reply_late = { Fault::ReplyLate, false, 602 },
    report_lost = { Fault::ReportLost, true, 602 },
    report_twice = { Fault::ReportTwice, true, 702 },
    report_after_expiry = { Fault::ReportLate, true, 701 },
    owner_restarts = { Fault::OwnerRestarts, true, 0 },
    owner_fenced = { Fault::OwnerFenced, false, 1_002 },
)]
fn verify_grant(fault: Fault, admitted: bool, left: u64) {
    let mut owner = full_owner();
    let mut asker = ledger(1, 20, Time::ZERO);
    let mut now = at(FULL_MS);
    // The level is the same at every later time once the rate is next to nothing.
    assert_eq!(available(&mut owner, now), HOME_BURST);
    owner.set_team(&team(), Some(&team_spec(1, BURST, 1)), now);
    if fault == Fault::OwnerFenced {
        now = now + Duration::from_millis(3_001);
    }
    let req = ask(&mut asker, 400, now);
    let answer = owner.on_grant_request(&req, now);
    if fault == Fault::RequestTwice {
        assert_eq!(owner.on_grant_request(&req, now), answer);
    }
    reply(&mut asker, &answer, fault, now);
    let held = admit(
        &mut asker,
        400,
        now + Duration::from_millis(2_500 * u64::from(fault == Fault::ReplyLate)),
    );
    assert_eq!(held.is_some(), admitted);
    if fault == Fault::OwnerRestarts {
        owner = ledger(0, 11, now);
    }
    now = now + Duration::from_millis(500);
    assert_eq!(asker.tick(now), Vec::new());
    if let Some(held) = held {
        asker.settle(held, Tokens(300), now);
    }
    let due = asker.tick(now);
    match fault {
        Fault::ReportLost => {}
        Fault::ReportTwice => {
            deliver(&mut owner, &due, now);
            deliver(&mut owner, &due, now);
        }
        Fault::ReportLate => {
            now = now + Duration::from_millis(2_600);
            deliver(&mut owner, &due, now);
        }
        _ => deliver(&mut owner, &due, now),
    }
    owner.on_contact(now);
    assert_eq!(available(&mut owner, now), left);
}

/// How much of a grant of 400 tokens the asker can still spend, and when.
#[parameterized(
    at_once = { 0, 400 },
    before_the_end = { 2_499, 400 },
    at_the_end = { 2_500, 0 },
)]
fn verify_spending_ends(delay: u64, expected: u64) {
    let (mut owner, mut asker) = (full_owner(), ledger(1, 20, Time::ZERO));
    let now = at(FULL_MS);
    let req = ask(&mut asker, 400, now);
    let answer = owner.on_grant_request(&req, now);
    asker.on_grant_reply(&answer, now);
    let later = now + Duration::from_millis(delay);
    assert_eq!(available(&mut asker, later).min(400), expected);
}

#[test]
fn verify_idle_tokens_return() {
    let (mut owner, mut asker) = (full_owner(), ledger(1, 20, Time::ZERO));
    let now = at(FULL_MS);
    let req = ask(&mut asker, 400, now);
    let answer = owner.on_grant_request(&req, now);
    asker.on_grant_reply(&answer, now);
    assert_eq!(asker.tick(at(FULL_MS + 999)), Vec::new());
    let due = asker.tick(at(FULL_MS + 1_000));
    deliver(&mut owner, &due, now);
    assert_eq!(available(&mut owner, now), HOME_BURST);
    assert_eq!(available(&mut asker, now), 0);
}

/// Unused tokens go home; the receiver does not spend them a second time.
#[test]
fn verify_unused_tokens_go_home() {
    let (mut owner, mut asker) = (full_owner(), ledger(1, 20, Time::ZERO));
    let now = at(FULL_MS);
    let req = ask(&mut asker, 400, now);
    let answer = owner.on_grant_request(&req, now);
    asker.on_grant_reply(&answer, now);
    let held = admit(&mut asker, 400, now).unwrap();
    asker.settle(held, Tokens(100), now);
    deliver(&mut owner, &asker.tick(now), now);
    assert_eq!(available(&mut owner, now), 602 + 300);
    assert_eq!(available(&mut asker, now), 0);
}

/// What a grant gives back after its expiry is bounded by the burst, and by
/// what the grant itself still holds.
#[test]
fn verify_lapsed_return_of_a_grant() {
    let (mut owner, mut asker) = (full_owner(), ledger(1, 20, Time::ZERO));
    let start = at(FULL_MS);
    let req = ask(&mut asker, 400, start);
    let answer = owner.on_grant_request(&req, start);
    asker.on_grant_reply(&answer, start);
    let held = admit(&mut asker, 400, start).unwrap();
    let later = at(FULL_MS + 10_000);
    owner.on_contact(later);
    let drawn = admit(&mut owner, 1_002, later);
    asker.settle(held, Tokens::ZERO, later);
    deliver(&mut owner, &asker.tick(later), later);
    assert!(drawn.is_some());
    assert_eq!(available(&mut owner, later), 0);
}

/// A repeated report must not bring back what another reservation holds.
#[test]
fn verify_repeated_report_has_no_effect() {
    let (mut owner, mut asker) = (full_owner(), ledger(1, 20, Time::ZERO));
    let now = at(FULL_MS);
    let req = ask(&mut asker, 400, now);
    let answer = owner.on_grant_request(&req, now);
    asker.on_grant_reply(&answer, now);
    let first = admit(&mut asker, 200, now).unwrap();
    let second = admit(&mut asker, 200, now).unwrap();
    asker.settle(first, Tokens::ZERO, now);
    let due = asker.tick(now);
    deliver(&mut owner, &due, now);
    deliver(&mut owner, &due, now);
    assert_eq!(available(&mut owner, now), HOME_BURST - 200);
    asker.settle(second, Tokens(200), now);
}
