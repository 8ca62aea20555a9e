//! The slot tables of all failure domains, as one instance knows them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::slots::shares;
use super::team::TeamLimits;
use super::team::TeamSlot;
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

/// A `Holding` is the entry of the table under which a slot is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Holding {
    incarnation: Incarnation,
    epoch: FencingNumber,
}

/// A `Tables` holds the slot tables and which slots are one's own.
#[derive(Clone, Debug)]
pub(super) struct Tables {
    me: InstanceName,
    incarnation: Incarnation,
    home: DomainName,
    domains: BTreeMap<DomainName, DomainState>,
    owned: BTreeMap<u16, Holding>,
}

impl Tables {
    pub(super) const fn new(me: InstanceName, incarnation: Incarnation, home: DomainName) -> Self {
        Self {
            me,
            incarnation,
            home,
            domains: BTreeMap::new(),
            owned: BTreeMap::new(),
        }
    }

    pub(super) const fn home(&self) -> &DomainName {
        &self.home
    }

    pub(super) fn home_spec(&self) -> Option<&DomainSpec> {
        self.domains.get(&self.home)?.spec.as_ref()
    }

    pub(super) fn owns(&self, slot: u16) -> bool {
        self.owned.contains_key(&slot)
    }

    pub(super) fn owned(&self) -> impl Iterator<Item = u16> {
        self.owned.keys().copied()
    }

    pub(super) fn set_domain(&mut self, name: &DomainName, spec: Option<&DomainSpec>) {
        let domain = self.domains.entry(name.clone()).or_default();
        domain.spec = spec.cloned();
    }

    /// Takes in a table and returns the own slots that must start afresh.
    ///
    /// Returns `None` when the table is older than the one held.
    pub(super) fn set_slots(
        &mut self,
        domain: &DomainName,
        revision: Revision,
        table: &SlotTable,
    ) -> Option<BTreeSet<u16>> {
        let state = self.domains.entry(domain.clone()).or_default();
        if revision < state.revision {
            return None;
        }
        let first = state.revision == Revision::ABSENT;
        state.revision = revision;
        state.table = table.clone();
        if *domain != self.home {
            return Some(BTreeSet::new());
        }
        Some(self.replace_owned(table, first))
    }

    /// Returns the slots of other instances that mint for a team.
    ///
    /// Instances see them in different orders, so that asks spread.
    pub(super) fn others(&self, name: &TeamName, limits: &TeamLimits) -> Vec<TeamSlot> {
        let mut others = Vec::new();
        for (domain, state) in &self.domains {
            let Some(spec) = &state.spec else {
                continue;
            };
            for (slot, share) in shares(name, &limits.allotments, domain, spec) {
                let owner = state.table.owners.get(usize::from(slot));
                let Some(owner) = owner.and_then(Option::as_ref) else {
                    continue;
                };
                if owner.instance == self.me {
                    continue;
                }
                others.push(TeamSlot {
                    owner: owner.instance.clone(),
                    slot,
                    home: *domain == self.home,
                    burst: share.burst(limits.burst),
                    retry_at: Time::ZERO,
                });
            }
        }
        let me = self.me.as_str().as_bytes();
        others.sort_by_cached_key(|s| stable_hash(&[me, s.owner.as_str().as_bytes()]));
        others
    }

    fn replace_owned(&mut self, table: &SlotTable, first: bool) -> BTreeSet<u16> {
        let mut next = BTreeMap::new();
        for (slot, owner) in (0..).zip(&table.owners) {
            let Some(owner) = owner else {
                continue;
            };
            if self.is_mine(slot, owner, first) {
                let holding = Holding {
                    incarnation: owner.incarnation,
                    epoch: owner.epoch,
                };
                next.insert(slot, holding);
            }
        }
        let before = std::mem::replace(&mut self.owned, next);
        let is_kept = |slot: &u16, held: &Holding| {
            let now = self.owned.get(slot);
            now.is_some_and(|h| h.epoch == held.epoch)
        };
        let fresh = before.iter().filter(|(slot, held)| !is_kept(slot, held));
        fresh.map(|(slot, _)| *slot).collect()
    }

    /// Returns whether an entry of the own failure domain's table is one's own.
    ///
    /// A restarted instance holds on to the slots that the first table gives to
    /// its name. Later entries of another incarnation are those of a rival.
    fn is_mine(&self, slot: u16, owner: &SlotOwner, first: bool) -> bool {
        let holding = Holding {
            incarnation: owner.incarnation,
            epoch: owner.epoch,
        };
        let held = self.owned.get(&slot) == Some(&holding);
        owner.instance == self.me && (owner.incarnation == self.incarnation || first || held)
    }
}
