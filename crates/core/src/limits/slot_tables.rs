//! Slot tables of all failure domains, as received by one instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::acquisition::Acquisition;
use super::options::LimitsOptions;
use super::slots::slot_shares;
use super::team::PeerSlot;
use super::team::TeamLimits;
use crate::config::DomainSpec;
use crate::config::SlotOwner;
use crate::config::SlotTable;
use crate::hash::stable_hash;
use crate::names::DomainName;
use crate::names::InstanceName;
use crate::names::TeamName;
use crate::units::FencingNumber;
use crate::units::Incarnation;
use crate::units::Revision;
use crate::units::Time;

#[derive(Clone, Debug, Default)]
struct DomainState {
    spec: Option<DomainSpec>,
    revision: Revision,
    table: SlotTable,
}

/// A `HeldSlot` is an owned slot, with the table entry that assigns it.
#[derive(Clone, Copy, Debug)]
struct HeldSlot {
    incarnation: Incarnation,
    epoch: FencingNumber,
    /// The time from which tokens may be issued in the slot.
    ready_at: Time,
    /// Whether a table that frees the slot may have been written.
    released: bool,
}

impl HeldSlot {
    fn matches(&self, owner: &SlotOwner) -> bool {
        self.incarnation == owner.incarnation && self.epoch == owner.epoch
    }
}

/// A `SlotTables` contains the slot tables and the slots that the instance owns.
#[derive(Clone, Debug)]
pub(super) struct SlotTables {
    own_name: InstanceName,
    incarnation: Incarnation,
    local_domain: DomainName,
    domains: BTreeMap<DomainName, DomainState>,
    owned: BTreeMap<u16, HeldSlot>,
    options: LimitsOptions,
}

impl SlotTables {
    pub(super) const fn new(
        own_name: InstanceName,
        incarnation: Incarnation,
        local_domain: DomainName,
        options: LimitsOptions,
    ) -> Self {
        Self {
            own_name,
            incarnation,
            local_domain,
            domains: BTreeMap::new(),
            owned: BTreeMap::new(),
            options,
        }
    }

    pub(super) const fn local_domain(&self) -> &DomainName {
        &self.local_domain
    }

    pub(super) fn local_spec(&self) -> Option<&DomainSpec> {
        self.domains.get(&self.local_domain)?.spec.as_ref()
    }

    /// Returns the time from which tokens may be issued in a slot, or `None` if the
    /// instance doesn't own it.
    pub(super) fn ready_at(&self, slot: u16) -> Option<Time> {
        let held = self.owned.get(&slot).filter(|held| !held.released);
        held.map(|held| held.ready_at)
    }

    pub(super) fn owned(&self) -> impl Iterator<Item = u16> {
        let held = self.owned.iter().filter(|(_, held)| !held.released);
        held.map(|(slot, _)| *slot)
    }

    /// Releases the owned slots that `next` doesn't assign to this instance, and
    /// returns them.
    ///
    /// A slot in which no tokens may be issued yet stays in `next`, since its next
    /// owner couldn't tell how many tokens of earlier owners may still be spent. A
    /// slot that was released before is left out of `next`, since the earlier write
    /// may still take effect.
    pub(super) fn prepare_release(&mut self, next: &mut SlotTable, now: Time) -> BTreeSet<u16> {
        let mut lost = BTreeSet::new();
        let len = next.owners.len();
        let highest = self.owned.last_key_value().map_or(0, |(slot, _)| *slot);
        next.owners.resize(len.max(usize::from(highest) + 1), None);
        for (slot, held) in &mut self.owned {
            let Some(entry) = next.owners.get_mut(usize::from(*slot)) else {
                continue;
            };
            let stays = entry.as_ref().is_some_and(|o| o.instance == self.own_name);
            if held.released {
                entry.take_if(|o| o.instance == self.own_name);
            } else if !stays && now < held.ready_at {
                *entry = Some(SlotOwner {
                    instance: self.own_name.clone(),
                    incarnation: self.incarnation,
                    epoch: held.epoch,
                });
            } else if !stays {
                held.released = true;
                lost.insert(*slot);
            }
        }
        let used = next.owners.iter().rposition(Option::is_some);
        let used = used.map_or(0, |last| last + 1);
        next.owners.truncate(used.max(len));
        lost
    }

    /// Sets a failure domain's specification and returns whether its number of
    /// slots differs from the previous one.
    pub(super) fn set_domain(&mut self, name: &DomainName, spec: Option<&DomainSpec>) -> bool {
        let domain = self.domains.entry(name.clone()).or_default();
        let before = std::mem::replace(&mut domain.spec, spec.cloned());
        before.is_some() && before.map(|s| s.slots) != spec.map(|s| s.slots)
    }

    /// Applies a table and returns the slots that the instance lost or acquired
    /// anew, whose accounts must be reset.
    ///
    /// Returns `None` if the table is older than the current one.
    pub(super) fn set_slots(
        &mut self,
        domain: &DomainName,
        revision: Revision,
        table: &SlotTable,
        now: Time,
    ) -> Option<BTreeSet<u16>> {
        let state = self.domains.entry(domain.clone()).or_default();
        if revision < state.revision {
            return None;
        }
        let next = (revision, table.clone());
        let base = std::mem::replace(&mut state.revision, next.0);
        let base = (base, std::mem::replace(&mut state.table, next.1));
        if *domain != self.local_domain {
            return Some(BTreeSet::new());
        }
        Some(self.update_owned(table, &base, now))
    }

    /// Returns the slots of other instances that issue a team's tokens.
    ///
    /// The order differs between instances, so that their requests are spread.
    pub(super) fn peer_slots(&self, name: &TeamName, limits: &TeamLimits) -> Vec<PeerSlot> {
        let mut peer_slots = Vec::new();
        for (domain, state) in &self.domains {
            let Some(spec) = &state.spec else {
                continue;
            };
            for (slot, share) in slot_shares(name, &limits.allotments, domain, spec) {
                let owner = state.table.owners.get(usize::from(slot));
                let Some(owner) = owner.and_then(Option::as_ref) else {
                    continue;
                };
                if owner.instance == self.own_name {
                    continue;
                }
                peer_slots.push(PeerSlot {
                    owner: owner.instance.clone(),
                    slot,
                    is_local: *domain == self.local_domain,
                    burst: share.burst(limits.burst),
                    retry_at: Time::ZERO,
                });
            }
        }
        let seed = self.own_name.as_str().as_bytes();
        peer_slots.sort_by_cached_key(|s| stable_hash(&[seed, s.owner.as_str().as_bytes()]));
        peer_slots
    }

    fn update_owned(
        &mut self,
        table: &SlotTable,
        base: &(Revision, SlotTable),
        now: Time,
    ) -> BTreeSet<u16> {
        let mut next = BTreeMap::new();
        for (slot, owner) in (0..).zip(&table.owners) {
            let Some(owner) = owner else {
                continue;
            };
            if owner.instance != self.own_name {
                continue;
            }
            let held = self.owned.get(&slot);
            let held = held.filter(|h| h.epoch == owner.epoch && self.is_own_entry(h, owner));
            let acquired = || self.acquire(slot, owner, base, now);
            if let Some(held) = held.copied().or_else(acquired) {
                let held = HeldSlot {
                    incarnation: owner.incarnation,
                    ..held
                };
                next.insert(slot, held);
            }
        }
        let before = std::mem::replace(&mut self.owned, next);
        let is_kept = |slot: &u16, held: &HeldSlot| {
            let now = self.owned.get(slot);
            now.is_some_and(|h| h.epoch == held.epoch)
        };
        let lost = before.iter().filter(|(slot, held)| !is_kept(slot, held));
        lost.map(|(slot, _)| *slot).collect()
    }

    /// Returns whether an entry with the epoch of `held` still belongs to this
    /// instance, and not to another one under the same name.
    fn is_own_entry(&self, held: &HeldSlot, owner: &SlotOwner) -> bool {
        held.matches(owner) || owner.incarnation == self.incarnation
    }

    /// Returns the holding of a slot that was not held before, or `None` if its
    /// entry belongs to another instance under the same name.
    ///
    /// A restarted instance keeps the slots that the first table assigns to its
    /// name. In later tables, entries of another incarnation belong to another
    /// instance.
    fn acquire(
        &self,
        slot: u16,
        owner: &SlotOwner,
        base: &(Revision, SlotTable),
        now: Time,
    ) -> Option<HeldSlot> {
        let is_first = base.0 == Revision::ABSENT;
        let acquisition = if owner.incarnation == self.incarnation {
            Acquisition::of_claim(slot, owner.epoch, base.0, &base.1)
        } else if is_first {
            Acquisition::Restarted
        } else {
            return None;
        };
        Some(HeldSlot {
            incarnation: owner.incarnation,
            epoch: owner.epoch,
            ready_at: now + acquisition.delay(&self.options),
            released: false,
        })
    }
}
