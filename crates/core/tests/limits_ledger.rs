//! Tests of an instance's ledger and of the messages between two ledgers.

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
/// The portion of the burst that the failure domain of the tests issues.
const LOCAL_BURST: u64 = 1_002;
/// The time at which an owner that got its share at the start is full, in milliseconds.
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

fn request_tokens(ledger: &mut Ledger, amount: u64, now: Time) -> GrantRequest {
    match ledger.reserve(&team(), Tokens(amount), Round::Local, now) {
        ReserveResult::NeedsGrants(mut requests) => requests.remove(0).request,
        other => panic!("expected requests for tokens, got {other:?}"),
    }
}

/// Returns the most tokens that can be reserved at once.
fn available(ledger: &mut Ledger, now: Time) -> u64 {
    let fits = |amount: &u64| {
        let held = admit(ledger, *amount, now);
        held.map(|held| ledger.settle(held, Tokens::ZERO, now))
            .is_some()
    };
    (1..=LOCAL_BURST).rev().find(fits).unwrap_or(0)
}

/// Each case lists the tables received, the time of the last contact, the time of
/// the check and the tokens available then.
#[parameterized(
    no_contact = { &[], None, FULL_MS, 0 },
    contact = { &[], Some(FULL_MS), FULL_MS, 1_002 },
    at_the_fence = { &[], Some(FULL_MS), FULL_MS + 3_000, 1_002 },
    beyond_the_fence = { &[], Some(FULL_MS), FULL_MS + 3_001, 0 },
    slot_lost = { &[(15_000, 2, 1, 50, 2)], Some(FULL_MS), FULL_MS, 0 },
    slot_regained = { &[(10_000, 2, 1, 50, 2), (10_500, 3, 0, 10, 3)], Some(FULL_MS), FULL_MS, 501 },
    slot_regained_in_one_update = { &[(10_500, 3, 0, 10, 3)], Some(FULL_MS), FULL_MS, 501 },
    stale_table = { &[(15_000, 0, 1, 50, 2)], Some(FULL_MS), FULL_MS, 1_002 },
    other_incarnation = { &[(15_000, 2, 0, 11, 1)], Some(FULL_MS), FULL_MS, 0 },
)]
fn verify_tokens_of_an_owner(
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

/// Each case lists the previous table (its revision and the slot's owner), the
/// incarnation and epoch of the new entry, and the delay in milliseconds before
/// the slot may issue tokens.
#[parameterized(
    created = { None, 10, 1, 0 },
    free = { Some((4, None)), 10, 5, 3_000 },
    restarted = { None, 9, 3, 6_000 },
    restarted_since_the_creation = { None, 9, 1, 6_000 },
    taken_over = { Some((4, Some(1))), 10, 5, 9_000 },
    base_not_received = { Some((3, None)), 10, 5, 9_000 },
    creation_not_received = { None, 10, 5, 9_000 },
)]
fn verify_delay_of_an_acquired_slot(
    base: Option<(u64, Option<usize>)>,
    incarnation: u64,
    epoch: u64,
    delay: u64,
) {
    let acquired_at = at(FULL_MS);
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
    owner.set_slots(&domain(0), Revision(6), &table, acquired_at);
    let ready = acquired_at + Duration::from_millis(delay);
    owner.on_contact(ready);
    assert_eq!(available(&mut owner, ready), 0);
    let later = ready + Duration::from_millis(500);
    assert_eq!(available(&mut owner, later), 501);
}

/// A released slot issues no more tokens from before the write on, even if the
/// write fails.
#[test]
fn verify_released_slot_issues_no_tokens() {
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

/// A slot is not released while its owner still waits to issue tokens, since the
/// next owner of a free slot would wait for less time.
#[test]
fn verify_slot_is_not_released_before_it_is_ready() {
    let mut owner = full_owner();
    let now = at(FULL_MS);
    owner.set_slots(&domain(0), Revision(2), &owned_by(1, 50, 2), now);
    owner.set_slots(&domain(0), Revision(3), &owned_by(0, 10, 3), now);
    let mut next = SlotTable::default();
    owner.prepare_release(&mut next, now);
    assert_eq!(next, owned_by(0, 10, 3));
}

#[test]
fn verify_restarted_owner_keeps_its_slot() {
    let mut owner = ledger(0, 11, Time::ZERO);
    owner.on_contact(at(FULL_MS));
    assert_eq!(available(&mut owner, at(FULL_MS)), LOCAL_BURST);
    owner.on_replaced();
    assert_eq!(available(&mut owner, at(FULL_MS)), 0);
}

/// Each case lists new limits at a full owner, and the tokens available at once and
/// a second later.
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
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn verify_excess_use_is_charged_to_the_next_reservation() {
    let mut owner = full_owner();
    let now = at(FULL_MS);
    let held = admit(&mut owner, 100, now).unwrap();
    owner.settle(held, Tokens(400), now);
    assert_eq!(available(&mut owner, now), LOCAL_BURST - 400);
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

/// Delivers a reply to the requester, subject to the fault.
fn deliver_reply(requester: &mut Ledger, reply: &GrantReply, fault: Fault, now: Time) {
    match fault {
        Fault::ReplyLost => {}
        Fault::ReplyLate => requester.on_grant_reply(reply, now + Duration::from_millis(2_500)),
        Fault::ReplyTwice => {
            requester.on_grant_reply(reply, now);
            requester.on_grant_reply(reply, now);
        }
        _ => requester.on_grant_reply(reply, now),
    }
}

/// A request of 400 tokens that uses 300, at an instance that owns no slots.
///
/// The last two values are whether the request was admitted and the owner's tokens
/// at the end. By the time of a report after the expiry, one token of the possible
/// refund has been dropped.
#[parameterized(
    no_fault = { Fault::None, true, 702 },
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
fn verify_grant_under_faults(fault: Fault, admitted: bool, remaining: u64) {
    let mut owner = full_owner();
    let mut requester = ledger(1, 20, Time::ZERO);
    let mut now = at(FULL_MS);
    // A rate of 1 token/s keeps the level nearly constant from here on.
    assert_eq!(available(&mut owner, now), LOCAL_BURST);
    owner.set_team(&team(), Some(&team_spec(1, BURST, 1)), now);
    if fault == Fault::OwnerFenced {
        now = now + Duration::from_millis(3_001);
    }
    let req = request_tokens(&mut requester, 400, now);
    let reply = owner.on_grant_request(&req, now);
    if fault == Fault::RequestTwice {
        assert_eq!(owner.on_grant_request(&req, now), reply);
    }
    deliver_reply(&mut requester, &reply, fault, now);
    let held = admit(
        &mut requester,
        400,
        now + Duration::from_millis(2_500 * u64::from(fault == Fault::ReplyLate)),
    );
    assert_eq!(held.is_some(), admitted);
    if fault == Fault::OwnerRestarts {
        owner = ledger(0, 11, now);
    }
    now = now + Duration::from_millis(500);
    assert_eq!(requester.tick(now), Vec::new());
    if let Some(held) = held {
        requester.settle(held, Tokens(300), now);
    }
    let due = requester.tick(now);
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
    assert_eq!(available(&mut owner, now), remaining);
}

/// Each case lists a time after a grant of 400 tokens, in milliseconds, and how many
/// of them the requester can spend then.
#[parameterized(
    at_once = { 0, 400 },
    before_the_end = { 2_499, 400 },
    at_the_end = { 2_500, 0 },
)]
fn verify_grant_is_spendable_until_its_expiry(delay: u64, expected: u64) {
    let (mut owner, mut requester) = (full_owner(), ledger(1, 20, Time::ZERO));
    let now = at(FULL_MS);
    let req = request_tokens(&mut requester, 400, now);
    let reply = owner.on_grant_request(&req, now);
    requester.on_grant_reply(&reply, now);
    let later = now + Duration::from_millis(delay);
    assert_eq!(available(&mut requester, later).min(400), expected);
}

#[test]
fn verify_idle_tokens_are_returned() {
    let (mut owner, mut requester) = (full_owner(), ledger(1, 20, Time::ZERO));
    let now = at(FULL_MS);
    let req = request_tokens(&mut requester, 400, now);
    let reply = owner.on_grant_request(&req, now);
    requester.on_grant_reply(&reply, now);
    assert_eq!(requester.tick(at(FULL_MS + 999)), Vec::new());
    let due = requester.tick(at(FULL_MS + 1_000));
    deliver(&mut owner, &due, now);
    assert_eq!(available(&mut owner, now), LOCAL_BURST);
    assert_eq!(available(&mut requester, now), 0);
}

/// Unused tokens are returned to the owner; the receiver can't spend them again.
#[test]
fn verify_unused_tokens_are_returned() {
    let (mut owner, mut requester) = (full_owner(), ledger(1, 20, Time::ZERO));
    let now = at(FULL_MS);
    let req = request_tokens(&mut requester, 400, now);
    let reply = owner.on_grant_request(&req, now);
    requester.on_grant_reply(&reply, now);
    let held = admit(&mut requester, 400, now).unwrap();
    requester.settle(held, Tokens(100), now);
    deliver(&mut owner, &requester.tick(now), now);
    assert_eq!(available(&mut owner, now), 602 + 300);
    assert_eq!(available(&mut requester, now), 0);
}

/// Tokens returned after a grant's expiry are limited by the burst and by the
/// possible refund of the grant itself.
#[test]
fn verify_dropped_refund_of_a_grant_is_not_returned() {
    let (mut owner, mut requester) = (full_owner(), ledger(1, 20, Time::ZERO));
    let start = at(FULL_MS);
    let req = request_tokens(&mut requester, 400, start);
    let reply = owner.on_grant_request(&req, start);
    requester.on_grant_reply(&reply, start);
    let held = admit(&mut requester, 400, start).unwrap();
    let later = at(FULL_MS + 10_000);
    owner.on_contact(later);
    let drawn = admit(&mut owner, 1_002, later);
    requester.settle(held, Tokens::ZERO, later);
    deliver(&mut owner, &requester.tick(later), later);
    assert!(drawn.is_some());
    assert_eq!(available(&mut owner, later), 0);
}

/// A repeated report must not return tokens that another reservation still holds.
#[test]
fn verify_repeated_report_has_no_effect() {
    let (mut owner, mut requester) = (full_owner(), ledger(1, 20, Time::ZERO));
    let now = at(FULL_MS);
    let req = request_tokens(&mut requester, 400, now);
    let reply = owner.on_grant_request(&req, now);
    requester.on_grant_reply(&reply, now);
    let first = admit(&mut requester, 200, now).unwrap();
    let second = admit(&mut requester, 200, now).unwrap();
    requester.settle(first, Tokens::ZERO, now);
    let due = requester.tick(now);
    deliver(&mut owner, &due, now);
    deliver(&mut owner, &due, now);
    assert_eq!(available(&mut owner, now), LOCAL_BURST - 200);
    requester.settle(second, Tokens(200), now);
}
