//! Changes of the slot owners of the failure domain.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Blackboard;
use crate::config::Kind;
use crate::config::ObjectId;
use crate::config::Phase;
use crate::config::SlotOwner;
use crate::config::SlotTable;
use crate::config::Spec;
use crate::limits::DomainMember;
use crate::limits::propose_slots;
use crate::limits::release_slots;
use crate::membership::IncarnationStatus;
use crate::names::InstanceName;
use crate::units::Incarnation;
use crate::units::Revision;
use crate::units::Time;

/// A `SlotWrite` is a conditional write of the slot owners of a failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotWrite {
    /// The object to write.
    pub id: ObjectId,
    /// The expected revision of the object.
    pub expected: Revision,
    /// The new owners.
    pub table: SlotTable,
}

/// An `InstanceRun` identifies one run of an instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct InstanceRun {
    instance: InstanceName,
    incarnation: Incarnation,
}

impl From<&SlotOwner> for InstanceRun {
    fn from(owner: &SlotOwner) -> Self {
        Self {
            instance: owner.instance.clone(),
            incarnation: owner.incarnation,
        }
    }
}

/// An `OwnerFirstSeen` contains the time at which each slot owner first appeared in
/// the slot table.
///
/// An owner may appear in the table before its first heartbeat arrives through other
/// instances. Its silence is then counted from its appearance in the table.
#[derive(Debug, Default)]
pub(super) struct OwnerFirstSeen(BTreeMap<InstanceRun, Time>);

impl OwnerFirstSeen {
    pub(super) fn update(&mut self, table: &SlotTable, now: Time) {
        let runs = table.owners.iter().flatten().map(InstanceRun::from);
        self.0 = runs
            .map(|run| {
                let seen = self.0.get(&run).copied();
                (run, seen.unwrap_or(now))
            })
            .collect();
    }

    fn age(&self, owner: &SlotOwner, now: Time) -> Duration {
        let seen = self.0.get(&InstanceRun::from(owner)).copied();
        now.since(seen.unwrap_or(now))
    }
}

impl<W> Blackboard<W> {
    /// Returns the change of slot owners that this instance should write, if any.
    ///
    /// From here on this instance issues no tokens for the slots that it releases.
    #[must_use]
    pub fn slot_proposal(&mut self, now: Time) -> Option<SlotWrite> {
        if self.members.incarnation_status() != IncarnationStatus::Current {
            return None;
        }
        let (id, expected, table) = self.slot_table()?;
        let slots = self.store.domain(self.domain())?.slots;
        let members = self.slot_members(&table, now);
        let own = self.members.own();
        let me = (own.name.clone(), own.incarnation);
        let limits = &self.options.limits;
        let next = propose_slots(&me, &table, expected, slots, &members, limits);
        let mut next = next.unwrap_or_else(|| table.clone());
        self.ledger.prepare_release(&mut next, now);
        (next != table).then_some(SlotWrite {
            id,
            expected,
            table: next,
        })
    }

    /// Returns the change that releases all slots of this instance, if it owns any.
    ///
    /// From here on this instance issues no tokens for these slots.
    #[must_use]
    pub fn slot_release(&mut self, now: Time) -> Option<SlotWrite> {
        let (id, expected, table) = self.slot_table()?;
        let mut next = release_slots(&self.members.own().name, &table)?;
        self.ledger.prepare_release(&mut next, now);
        (next != table).then_some(SlotWrite {
            id,
            expected,
            table: next,
        })
    }

    fn slot_table(&self) -> Option<(ObjectId, Revision, SlotTable)> {
        let id = ObjectId {
            kind: Kind::Slots,
            name: self.domain().as_str().parse().ok()?,
        };
        let Some(object) = self.store.get(&id) else {
            return Some((id, Revision::ABSENT, SlotTable::default()));
        };
        let table = match object.spec.as_deref() {
            Some(Spec::Slots(table)) => table.clone(),
            _ => SlotTable::default(),
        };
        Some((id, object.revision, table))
    }

    /// Returns the instances considered for slot ownership: those of the failure
    /// domain, and slot owners that are not known to this instance yet.
    fn slot_members(&self, table: &SlotTable, now: Time) -> Vec<DomainMember> {
        let own = self.members.own();
        let in_domain = self
            .members
            .iter()
            .filter(|m| m.record.domain == own.domain);
        let mut members: BTreeMap<InstanceName, DomainMember> = in_domain
            .map(|member| {
                let record = &member.record;
                let silent_for = self
                    .members
                    .silent_for(&record.name, record.incarnation, now);
                let member = DomainMember {
                    name: record.name.clone(),
                    incarnation: record.incarnation,
                    silent_for,
                    leaving: record.phase == Phase::Leaving,
                };
                (record.name.clone(), member)
            })
            .collect();
        for owner in table.owners.iter().flatten() {
            let known = members.get(&owner.instance);
            let is_known = known.is_some_and(|m| m.incarnation >= owner.incarnation);
            if is_known || owner.instance == own.name {
                continue;
            }
            let run = (&owner.instance, owner.incarnation);
            let silent_for = self.members.silent_for(run.0, run.1, now);
            let member = DomainMember {
                name: owner.instance.clone(),
                incarnation: owner.incarnation,
                silent_for: silent_for.min(self.owners_first_seen.age(owner, now)),
                leaving: false,
            };
            members.insert(owner.instance.clone(), member);
        }
        members.into_values().collect()
    }
}
