//! Tests of the blackboard.

use std::time::Duration;

use limpetsaddle_core::blackboard::Blackboard;
use limpetsaddle_core::blackboard::BlackboardOptions;
use limpetsaddle_core::config::DomainSpec;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::SlotOwner;
use limpetsaddle_core::config::SlotTable;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::membership::MemberRecord;
use limpetsaddle_core::units::FencingNumber;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;

fn member_record(name: &str) -> MemberRecord {
    MemberRecord {
        name: name.parse().expect("a name"),
        incarnation: Incarnation(1),
        domain: "a".parse().expect("a name"),
        address: ([127, 0, 0, 1], 8082).into(),
        phase: Phase::Live,
        heartbeat: 0,
        revision: Revision::ABSENT,
    }
}

fn object(id: &str, revision: u64, spec: Spec) -> Object {
    Object {
        id: id.parse().expect("an id"),
        revision: Revision(revision),
        spec: Some(spec.into()),
    }
}

fn table(owner: &str) -> Spec {
    let owner = SlotOwner {
        instance: owner.parse().expect("a name"),
        incarnation: Incarnation(5),
        epoch: FencingNumber(1),
    };
    Spec::Slots(SlotTable {
        owners: vec![Some(owner)],
    })
}

fn at(seconds: u64) -> Time {
    Time::from_origin(Duration::from_secs(seconds))
}

/// Returns a blackboard that has run for `seconds` when `owner` becomes the slot owner.
fn board_with_owner(seconds: u64, owner: &str) -> Blackboard<()> {
    let mut board =
        Blackboard::<()>::new(member_record("a-1"), BlackboardOptions::default(), at(0));
    board.members.end_startup();
    let domain = Spec::Domain(DomainSpec {
        region: "north".parse().expect("a name"),
        slots: 1,
    });
    board.merge([object("domain/a", 1, domain)], at(0));
    for second in 0..=seconds {
        board.members.advance_heartbeat(Revision(1), at(second));
    }
    board.merge([object("slots/a", 2, table(owner))], at(seconds));
    board
}

#[test]
fn verify_unknown_owner_keeps_its_slots_at_first() {
    let mut board = board_with_owner(100, "a-2");
    assert_eq!(board.slot_proposal(at(100)), None);
}

#[test]
fn verify_owner_without_heartbeats_loses_its_slots() {
    let mut board = board_with_owner(100, "a-2");
    for second in 101..=110 {
        board.members.advance_heartbeat(Revision(2), at(second));
    }
    let write = board.slot_proposal(at(110)).expect("a proposal");
    let owner = write.table.owners[0].as_ref().expect("an owner");
    assert_eq!(owner.instance.as_str(), "a-1");
    assert_eq!(write.expected, Revision(2));
}

#[test]
fn verify_starting_instance_proposes_no_slot_changes() {
    let mut board =
        Blackboard::<()>::new(member_record("a-1"), BlackboardOptions::default(), at(0));
    let domain = Spec::Domain(DomainSpec {
        region: "north".parse().expect("a name"),
        slots: 1,
    });
    board.merge([object("domain/a", 1, domain)], at(0));
    assert_eq!(board.slot_proposal(at(1)), None);
}
