//! How an instance acquired a slot, and how long it must wait before issuing tokens in it.

use std::time::Duration;

use super::options::LimitsOptions;
use crate::config::SlotTable;
use crate::units::FencingNumber;
use crate::units::Revision;

/// An `Acquisition` describes how an instance acquired a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Acquisition {
    /// Through the first table of the failure domain, before which no instance issued tokens.
    Created,
    /// By claiming a free slot, whose last owner had stopped before it was free.
    Free,
    /// By restarting under the same name.
    Restarted,
    /// From an owner that may not have received the change yet, or in an unknown way.
    TakenOver,
}

impl Acquisition {
    /// Returns how this incarnation acquired a slot that it has claimed.
    ///
    /// The epoch of a claim is one more than the revision that it was based on.
    /// Only if `revision` is that revision does `base` show the state of the slot
    /// before the claim.
    pub(super) fn of_claim(
        slot: u16,
        epoch: FencingNumber,
        revision: Revision,
        base: &SlotTable,
    ) -> Self {
        if epoch.0 != revision.0 + 1 {
            return Self::TakenOver;
        }
        if revision == Revision::ABSENT {
            return Self::Created;
        }
        match base.owners.get(usize::from(slot)) {
            Some(Some(_)) => Self::TakenOver,
            Some(None) | None => Self::Free,
        }
    }

    /// Returns the time for which no tokens may be issued in the slot.
    pub(super) fn delay(self, options: &LimitsOptions) -> Duration {
        match self {
            Self::Created => Duration::ZERO,
            Self::Free => options.grant_ttl,
            Self::Restarted => options.fence_timeout + options.grant_ttl,
            Self::TakenOver => options.gain_delay(),
        }
    }
}
