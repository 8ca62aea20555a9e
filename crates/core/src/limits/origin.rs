//! How an instance came by a slot, which tells how long it must not mint.

use std::time::Duration;

use super::options::LimitsOptions;
use crate::config::SlotTable;
use crate::units::FencingNumber;
use crate::units::Revision;

/// An `Origin` is the way by which an instance came by a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// By the failure domain's very first table, before which no one minted.
    Created,
    /// By a claim of a free slot, whose last owner had stopped beforehand.
    Free,
    /// By a restart under the same name.
    Kept,
    /// From an owner that may not know of it yet, or in a way that isn't known.
    Taken,
}

impl Origin {
    /// Returns the origin of a slot that this incarnation has claimed.
    ///
    /// The epoch of a claim is one more than the revision that it rests on. Only
    /// when that is the revision held before, the table held before tells in
    /// which state the claim found the slot.
    pub(super) fn of_claim(
        slot: u16,
        epoch: FencingNumber,
        revision: Revision,
        base: &SlotTable,
    ) -> Self {
        if epoch.0 != revision.0 + 1 {
            return Self::Taken;
        }
        if revision == Revision::ABSENT {
            return Self::Created;
        }
        match base.owners.get(usize::from(slot)) {
            Some(Some(_)) => Self::Taken,
            Some(None) | None => Self::Free,
        }
    }

    /// Returns the time for which the slot must not mint.
    pub(super) fn wait(self, options: &LimitsOptions) -> Duration {
        match self {
            Self::Created => Duration::ZERO,
            Self::Free => options.grant_ttl,
            Self::Kept => options.fence + options.grant_ttl,
            Self::Taken => options.settling(),
        }
    }
}
