//! Changes of the owners of the failure domain's slots.

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

/// A `SlotWrite` is a change of a failure domain's slot owners to be written by
/// conditional update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotWrite {
    /// The object to write.
    pub id: ObjectId,
    /// The revision that the write depends on.
    pub expected: Revision,
    /// The next owners.
    pub table: SlotTable,
}

/// A `Run` is one run of an instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Run {
    instance: InstanceName,
    incarnation: Incarnation,
}

impl From<&SlotOwner> for Run {
    fn from(owner: &SlotOwner) -> Self {
        Self {
            instance: owner.instance.clone(),
            incarnation: owner.incarnation,
        }
    }
}

/// An `OwnersSeen` holds when each owner of a slot was first seen as one.
///
/// An owner can be in the table before the first word of it has come round by
/// way of other instances. Its silence counts from the table then.
#[derive(Debug, Default)]
pub(super) struct OwnersSeen(BTreeMap<Run, Time>);

impl OwnersSeen {
    pub(super) fn note(&mut self, table: &SlotTable, now: Time) {
        let runs = table.owners.iter().flatten().map(Run::from);
        self.0 = runs
            .map(|run| {
                let seen = self.0.get(&run).copied();
                (run, seen.unwrap_or(now))
            })
            .collect();
    }

    fn age(&self, owner: &SlotOwner, now: Time) -> Duration {
        let seen = self.0.get(&Run::from(owner)).copied();
        now.since(seen.unwrap_or(now))
    }
}

impl<W> Blackboard<W> {
    /// Returns the change of slot owners that this instance should write.
    ///
    /// Slots that it gives up mint no more from here on.
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

    /// Returns the change by which this instance gives up its slots, which mint
    /// no more from here on.
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

    /// Returns the instances that matter for the slots: those of the failure
    /// domain, and owners that this instance has not heard of yet.
    fn slot_members(&self, table: &SlotTable, now: Time) -> Vec<DomainMember> {
        let own = self.members.own();
        let in_domain = self
            .members
            .iter()
            .filter(|m| m.record.domain == own.domain);
        let mut members: BTreeMap<InstanceName, DomainMember> = in_domain
            .map(|member| {
                let row = &member.record;
                let silent_for = self.members.silent_for(&row.name, row.incarnation, now);
                let member = DomainMember {
                    name: row.name.clone(),
                    incarnation: row.incarnation,
                    silent_for,
                    leaving: row.phase == Phase::Leaving,
                };
                (row.name.clone(), member)
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
                silent_for: silent_for.min(self.owners.age(owner, now)),
                leaving: false,
            };
            members.insert(owner.instance.clone(), member);
        }
        members.into_values().collect()
    }
}
