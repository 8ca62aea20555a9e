//! Proposals for the next owners of a failure domain's slots.
//!
//! Each instance proposes changes on its own behalf only. The proposal is
//! written to the platform by conditional update on the revision of the table
//! that it rests on, so that of several instances one wins.

use std::time::Duration;

use super::options::LimitsOptions;
use crate::config::SlotOwner;
use crate::config::SlotTable;
use crate::names::InstanceName;
use crate::units::FencingNumber;
use crate::units::Incarnation;
use crate::units::Revision;

/// A `DomainMember` is an instance of the failure domain as the proposer sees it.
///
/// Owners that the proposer has never heard count as silent since its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainMember {
    /// The instance.
    pub name: InstanceName,
    /// Its latest incarnation.
    pub incarnation: Incarnation,
    /// The time since the proposer learned of a new sign of life.
    pub silent_for: Duration,
    /// Whether the instance is about to stop.
    pub leaving: bool,
}

struct Proposer<'a> {
    me: &'a InstanceName,
    incarnation: Incarnation,
    members: &'a [DomainMember],
    takeover_after: Duration,
}

impl Proposer<'_> {
    fn is_live(&self, name: &InstanceName) -> bool {
        let mut named = self.members.iter().filter(|m| m.name == *name);
        let silent = |m: &DomainMember| m.silent_for > self.takeover_after || m.leaving;
        name == self.me || named.any(|m| !silent(m))
    }

    /// Returns whether a slot may be taken: free, or its owner long silent.
    fn is_free(&self, owner: Option<&SlotOwner>) -> bool {
        let Some(owner) = owner else {
            return true;
        };
        let mut named = self.members.iter().filter(|m| m.name == owner.instance);
        owner.instance != *self.me
            && named.all(|m| m.silent_for > self.takeover_after)
            && self.members.iter().any(|m| m.name == owner.instance)
    }

    /// Returns the names of the instances among which slots are divided.
    fn live(&self) -> Vec<&InstanceName> {
        let mut live: Vec<_> = self.members.iter().map(|m| &m.name).collect();
        live.push(self.me);
        live.retain(|name| self.is_live(name));
        live.sort();
        live.dedup();
        live
    }
}

fn held(table: &SlotTable, name: &InstanceName) -> usize {
    let owned = table.owners.iter().flatten();
    owned.filter(|o| o.instance == *name).count()
}

/// Returns the next table that `me` should write, or `None` when all is well.
///
/// The proposal claims free slots and those of owners that have been silent for
/// too long, and gives up slots beyond an even part. `revision` is that of
/// `table`; the write must depend on it.
///
/// ```
/// use limpetsaddle_core::config::SlotTable;
/// use limpetsaddle_core::limits::LimitsOptions;
/// use limpetsaddle_core::limits::propose_slots;
/// use limpetsaddle_core::units::Incarnation;
/// use limpetsaddle_core::units::Revision;
///
/// let me = ("bergen-1".parse()?, Incarnation(7));
/// let options = LimitsOptions::default();
/// let empty = SlotTable::default();
/// let next = propose_slots(&me, &empty, Revision(4), 6, &[], &options);
/// assert_eq!(next.map(|table| table.owners.len()), Some(6));
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[must_use]
pub fn propose_slots(
    me: &(InstanceName, Incarnation),
    table: &SlotTable,
    revision: Revision,
    slots: u16,
    members: &[DomainMember],
    options: &LimitsOptions,
) -> Option<SlotTable> {
    let proposer = Proposer {
        me: &me.0,
        incarnation: me.1,
        members,
        takeover_after: options.takeover_after(),
    };
    let replaced = |m: &DomainMember| m.name == me.0 && (m.incarnation != me.1 || m.leaving);
    if members.iter().any(replaced) {
        return None;
    }
    let mut next = table.clone();
    let mut rest = cut_off(&proposer, &mut next, usize::from(slots));
    next.owners.resize(usize::from(slots), None);
    adopt(&proposer, &mut next);
    claim(&proposer, &mut next, revision);
    balance(&proposer, &mut next);
    next.owners.append(&mut rest);
    (next != *table).then_some(next)
}

/// Returns the table without the slots of `me`, or `None` when it has none.
#[must_use]
pub fn release_slots(me: &InstanceName, table: &SlotTable) -> Option<SlotTable> {
    let mut next = table.clone();
    for owner in &mut next.owners {
        owner.take_if(|o| o.instance == *me);
    }
    (next != *table).then_some(next)
}

/// Removes and returns the slots beyond the number that the failure domain has.
///
/// Other owners' entries stay in the table: a slot that comes back later must
/// not look free while its owner may not have stopped.
fn cut_off(proposer: &Proposer<'_>, next: &mut SlotTable, slots: usize) -> Vec<Option<SlotOwner>> {
    let mut rest = next.owners.split_off(slots.min(next.owners.len()));
    for owner in &mut rest {
        owner.take_if(|o| o.instance == *proposer.me);
    }
    let used = rest.iter().rposition(Option::is_some);
    rest.truncate(used.map_or(0, |last| last + 1));
    rest
}

/// Renews the slots that an earlier incarnation of the same instance held.
///
/// The number of changes of the owner stays, since the owner is the same.
fn adopt(proposer: &Proposer<'_>, next: &mut SlotTable) {
    for owner in next.owners.iter_mut().flatten() {
        if owner.instance == *proposer.me {
            owner.incarnation = proposer.incarnation;
        }
    }
}

fn claim(proposer: &Proposer<'_>, next: &mut SlotTable, revision: Revision) {
    let live = proposer.live();
    let floor = next.owners.len() / live.len();
    let is_free = |o: &Option<SlotOwner>| proposer.is_free(o.as_ref());
    let mut free = next.owners.iter().filter(|o| is_free(o)).count();
    let others = live.iter().filter(|name| **name != proposer.me);
    let lacking: usize = others
        .map(|name| floor.saturating_sub(held(next, name)))
        .sum();
    let mut mine = held(next, proposer.me);
    for owner in &mut next.owners {
        let wanted = mine < floor || (mine == floor && free > lacking);
        if !wanted {
            break;
        }
        if !proposer.is_free(owner.as_ref()) {
            continue;
        }
        mine += 1;
        free -= 1;
        *owner = Some(SlotOwner {
            instance: proposer.me.clone(),
            incarnation: proposer.incarnation,
            epoch: FencingNumber(revision.0 + 1),
        });
    }
}

/// Gives up slots beyond an even part, and one more when others lack some.
fn balance(proposer: &Proposer<'_>, next: &mut SlotTable) {
    let live = proposer.live();
    let floor = next.owners.len() / live.len();
    let ceiling = next.owners.len().div_ceil(live.len());
    let is_free = |o: &Option<SlotOwner>| proposer.is_free(o.as_ref());
    let free = next.owners.iter().filter(|o| is_free(o)).count();
    let lacking: usize = live
        .iter()
        .map(|name| floor.saturating_sub(held(next, name)))
        .sum();
    let missing = lacking.saturating_sub(free);
    let mine = held(next, proposer.me);
    let rich = live.iter().filter(|name| held(next, name) > floor);
    let rank = rich.take_while(|name| **name != proposer.me).count();
    let extra = usize::from(mine > floor && rank < missing);
    let surplus = mine.saturating_sub(ceiling);
    let mut given_up = surplus.max(extra);
    for owner in next.owners.iter_mut().rev() {
        if given_up == 0 {
            break;
        }
        if owner.take_if(|o| o.instance == *proposer.me).is_some() {
            given_up -= 1;
        }
    }
}
