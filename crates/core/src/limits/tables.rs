//! The slot tables of all failure domains, as one instance knows them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::options::LimitsOptions;
use super::origin::Origin;
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
#[derive(Clone, Copy, Debug)]
struct Holding {
    incarnation: Incarnation,
    epoch: FencingNumber,
    /// The time from which the slot may mint.
    ready_at: Time,
    /// Whether a table without this holding may have been written.
    given_up: bool,
}

impl Holding {
    fn is(&self, owner: &SlotOwner) -> bool {
        self.incarnation == owner.incarnation && self.epoch == owner.epoch
    }
}

/// A `Tables` holds the slot tables and which slots are one's own.
#[derive(Clone, Debug)]
pub(super) struct Tables {
    me: InstanceName,
    incarnation: Incarnation,
    home: DomainName,
    domains: BTreeMap<DomainName, DomainState>,
    owned: BTreeMap<u16, Holding>,
    options: LimitsOptions,
}

impl Tables {
    pub(super) const fn new(
        me: InstanceName,
        incarnation: Incarnation,
        home: DomainName,
        options: LimitsOptions,
    ) -> Self {
        Self {
            me,
            incarnation,
            home,
            domains: BTreeMap::new(),
            owned: BTreeMap::new(),
            options,
        }
    }

    pub(super) const fn home(&self) -> &DomainName {
        &self.home
    }

    pub(super) fn home_spec(&self) -> Option<&DomainSpec> {
        self.domains.get(&self.home)?.spec.as_ref()
    }

    /// Returns the time from which an own slot may mint.
    pub(super) fn ready_at(&self, slot: u16) -> Option<Time> {
        let held = self.owned.get(&slot).filter(|held| !held.given_up);
        held.map(|held| held.ready_at)
    }

    pub(super) fn owned(&self) -> impl Iterator<Item = u16> {
        let held = self.owned.iter().filter(|(_, held)| !held.given_up);
        held.map(|(slot, _)| *slot)
    }

    /// Gives up the slots that `next` leaves to others, and returns them.
    ///
    /// A slot that still waits stays in `next`: whoever finds it free would
    /// not know what its earlier owner may still spend. A slot that has been
    /// given up is left out of `next`, since an earlier write may still come
    /// into force.
    pub(super) fn prepare_release(&mut self, next: &mut SlotTable, now: Time) -> BTreeSet<u16> {
        let mut lost = BTreeSet::new();
        let len = next.owners.len();
        let highest = self.owned.last_key_value().map_or(0, |(slot, _)| *slot);
        next.owners.resize(len.max(usize::from(highest) + 1), None);
        for (slot, held) in &mut self.owned {
            let Some(entry) = next.owners.get_mut(usize::from(*slot)) else {
                continue;
            };
            let stays = entry.as_ref().is_some_and(|o| o.instance == self.me);
            if held.given_up {
                entry.take_if(|o| o.instance == self.me);
            } else if !stays && now < held.ready_at {
                *entry = Some(SlotOwner {
                    instance: self.me.clone(),
                    incarnation: self.incarnation,
                    epoch: held.epoch,
                });
            } else if !stays {
                held.given_up = true;
                lost.insert(*slot);
            }
        }
        let used = next.owners.iter().rposition(Option::is_some);
        let used = used.map_or(0, |last| last + 1);
        next.owners.truncate(used.max(len));
        lost
    }

    /// Takes in a failure domain and returns whether its number of slots differs
    /// from the one that was known.
    pub(super) fn set_domain(&mut self, name: &DomainName, spec: Option<&DomainSpec>) -> bool {
        let domain = self.domains.entry(name.clone()).or_default();
        let before = std::mem::replace(&mut domain.spec, spec.cloned());
        before.is_some() && before.map(|s| s.slots) != spec.map(|s| s.slots)
    }

    /// Takes in a table and returns the own slots that must start afresh.
    ///
    /// Returns `None` when the table is older than the one held.
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
        if *domain != self.home {
            return Some(BTreeSet::new());
        }
        Some(self.replace_owned(table, &base, now))
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

    fn replace_owned(
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
            if owner.instance != self.me {
                continue;
            }
            let held = self.owned.get(&slot);
            let held = held.filter(|h| h.epoch == owner.epoch && self.may_hold(h, owner));
            let gained = || self.gain(slot, owner, base, now);
            if let Some(held) = held.copied().or_else(gained) {
                let held = Holding {
                    incarnation: owner.incarnation,
                    ..held
                };
                next.insert(slot, held);
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

    /// Returns whether an entry with the epoch of `held` is still one's own, and
    /// not that of a rival under the same name.
    fn may_hold(&self, held: &Holding, owner: &SlotOwner) -> bool {
        held.is(owner) || owner.incarnation == self.incarnation
    }

    /// Returns how a slot that was not held is held from now on, if it is one's own.
    ///
    /// A restarted instance holds on to the slots that the first table gives to
    /// its name. Later entries of another incarnation are those of a rival.
    fn gain(
        &self,
        slot: u16,
        owner: &SlotOwner,
        base: &(Revision, SlotTable),
        now: Time,
    ) -> Option<Holding> {
        let is_first = base.0 == Revision::ABSENT;
        let origin = if owner.incarnation == self.incarnation {
            Origin::of_claim(slot, owner.epoch, base.0, &base.1)
        } else if is_first {
            Origin::Kept
        } else {
            return None;
        };
        Some(Holding {
            incarnation: owner.incarnation,
            epoch: owner.epoch,
            ready_at: now + origin.wait(&self.options),
            given_up: false,
        })
    }
}
