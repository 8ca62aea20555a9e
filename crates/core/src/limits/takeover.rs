//! Proposals for changes of a failure domain's slot owners.
//!
//! An instance only proposes to acquire or release slots itself. The proposal is
//! written to the platform by conditional update on the revision of the table
//! that it is based on, so only one of several concurrent writes succeeds.

use std::time::Duration;

use super::options::LimitsOptions;
use crate::config::SlotOwner;
use crate::config::SlotTable;
use crate::names::InstanceName;
use crate::units::FencingNumber;
use crate::units::Incarnation;
use crate::units::Revision;

/// A `DomainMember` is the proposer's view of an instance of the failure domain.
///
/// An owner without a message so far counts as silent since the proposer's start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainMember {
    /// The instance.
    pub name: InstanceName,
    /// Its latest incarnation.
    pub incarnation: Incarnation,
    /// The time since the proposer last received an update of the instance, directly or
    /// through others.
    pub silent_for: Duration,
    /// Whether the instance is about to stop.
    pub leaving: bool,
}

struct Proposer<'a> {
    own_name: &'a InstanceName,
    incarnation: Incarnation,
    members: &'a [DomainMember],
    takeover_after: Duration,
}

impl Proposer<'_> {
    fn is_live(&self, name: &InstanceName) -> bool {
        let mut named = self.members.iter().filter(|m| m.name == *name);
        let silent = |m: &DomainMember| m.silent_for > self.takeover_after || m.leaving;
        name == self.own_name || named.any(|m| !silent(m))
    }

    /// Returns whether a slot may be claimed, as it is free or its owner has timed out.
    fn is_claimable(&self, owner: Option<&SlotOwner>) -> bool {
        let Some(owner) = owner else {
            return true;
        };
        let mut named = self.members.iter().filter(|m| m.name == owner.instance);
        owner.instance != *self.own_name
            && named.all(|m| m.silent_for > self.takeover_after)
            && self.members.iter().any(|m| m.name == owner.instance)
    }

    /// Returns the names of the live instances, among which slots are divided.
    fn live(&self) -> Vec<&InstanceName> {
        let mut live: Vec<_> = self.members.iter().map(|m| &m.name).collect();
        live.push(self.own_name);
        live.retain(|name| self.is_live(name));
        live.sort();
        live.dedup();
        live
    }
}

fn slot_count(table: &SlotTable, name: &InstanceName) -> usize {
    let owned = table.owners.iter().flatten();
    owned.filter(|o| o.instance == *name).count()
}

/// Returns the next table that `own` should write, or `None` when no change is due.
///
/// The proposal claims free slots and those of owners that have timed out, and
/// releases slots beyond an even share. `revision` is that of `table`; the write
/// must be conditional on it.
///
/// ```
/// use limpetsaddle_core::config::SlotTable;
/// use limpetsaddle_core::limits::LimitsOptions;
/// use limpetsaddle_core::limits::propose_slots;
/// use limpetsaddle_core::units::Incarnation;
/// use limpetsaddle_core::units::Revision;
///
/// let own = ("bergen-1".parse()?, Incarnation(7));
/// let options = LimitsOptions::default();
/// let empty = SlotTable::default();
/// let next = propose_slots(&own, &empty, Revision(4), 6, &[], &options);
/// assert_eq!(next.map(|table| table.owners.len()), Some(6));
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[must_use]
pub fn propose_slots(
    own: &(InstanceName, Incarnation),
    table: &SlotTable,
    revision: Revision,
    slots: u16,
    members: &[DomainMember],
    options: &LimitsOptions,
) -> Option<SlotTable> {
    let proposer = Proposer {
        own_name: &own.0,
        incarnation: own.1,
        members,
        takeover_after: options.takeover_after(),
    };
    let replaced = |m: &DomainMember| m.name == own.0 && (m.incarnation != own.1 || m.leaving);
    if members.iter().any(replaced) {
        return None;
    }
    let mut next = table.clone();
    let mut excess = split_excess(&proposer, &mut next, usize::from(slots));
    next.owners.resize(usize::from(slots), None);
    renew_own(&proposer, &mut next);
    claim_slots(&proposer, &mut next, revision);
    release_surplus(&proposer, &mut next);
    next.owners.append(&mut excess);
    (next != *table).then_some(next)
}

/// Returns the table without the slots of `own_name`, or `None` if it owns none.
#[must_use]
pub fn release_slots(own_name: &InstanceName, table: &SlotTable) -> Option<SlotTable> {
    let mut next = table.clone();
    for owner in &mut next.owners {
        owner.take_if(|o| o.instance == *own_name);
    }
    (next != *table).then_some(next)
}

/// Removes and returns the entries beyond the failure domain's number of slots,
/// without those of the proposer.
///
/// The entries of other owners stay in the table: a slot that is added again
/// later must not be free while its owner may still issue tokens.
fn split_excess(
    proposer: &Proposer<'_>,
    next: &mut SlotTable,
    slots: usize,
) -> Vec<Option<SlotOwner>> {
    let mut excess = next.owners.split_off(slots.min(next.owners.len()));
    for owner in &mut excess {
        owner.take_if(|o| o.instance == *proposer.own_name);
    }
    let used = excess.iter().rposition(Option::is_some);
    excess.truncate(used.map_or(0, |last| last + 1));
    excess
}

/// Sets the current incarnation in the slots of an earlier one of the same instance.
///
/// Their epoch stays, since the owner is the same.
fn renew_own(proposer: &Proposer<'_>, next: &mut SlotTable) {
    for owner in next.owners.iter_mut().flatten() {
        if owner.instance == *proposer.own_name {
            owner.incarnation = proposer.incarnation;
        }
    }
}

fn claim_slots(proposer: &Proposer<'_>, next: &mut SlotTable, revision: Revision) {
    let live = proposer.live();
    let floor = next.owners.len() / live.len();
    let is_claimable = |o: &Option<SlotOwner>| proposer.is_claimable(o.as_ref());
    let mut free = next.owners.iter().filter(|o| is_claimable(o)).count();
    let others = live.iter().filter(|name| **name != proposer.own_name);
    let deficit: usize = others
        .map(|name| floor.saturating_sub(slot_count(next, name)))
        .sum();
    let mut own_count = slot_count(next, proposer.own_name);
    for owner in &mut next.owners {
        let wanted = own_count < floor || (own_count == floor && free > deficit);
        if !wanted {
            break;
        }
        if !proposer.is_claimable(owner.as_ref()) {
            continue;
        }
        own_count += 1;
        free -= 1;
        *owner = Some(SlotOwner {
            instance: proposer.own_name.clone(),
            incarnation: proposer.incarnation,
            epoch: FencingNumber(revision.0 + 1),
        });
    }
}

/// Releases slots beyond an even share, and one more if others need some.
fn release_surplus(proposer: &Proposer<'_>, next: &mut SlotTable) {
    let live = proposer.live();
    let floor = next.owners.len() / live.len();
    let ceiling = next.owners.len().div_ceil(live.len());
    let is_claimable = |o: &Option<SlotOwner>| proposer.is_claimable(o.as_ref());
    let free = next.owners.iter().filter(|o| is_claimable(o)).count();
    let deficit: usize = live
        .iter()
        .map(|name| floor.saturating_sub(slot_count(next, name)))
        .sum();
    let missing = deficit.saturating_sub(free);
    let own_count = slot_count(next, proposer.own_name);
    let donors = live.iter().filter(|name| slot_count(next, name) > floor);
    let rank = donors
        .take_while(|name| **name != proposer.own_name)
        .count();
    let donation = usize::from(own_count > floor && rank < missing);
    let surplus = own_count.saturating_sub(ceiling);
    let mut releases = surplus.max(donation);
    for owner in next.owners.iter_mut().rev() {
        if releases == 0 {
            break;
        }
        if owner
            .take_if(|o| o.instance == *proposer.own_name)
            .is_some()
        {
            releases -= 1;
        }
    }
}
