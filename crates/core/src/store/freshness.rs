//! Confirmations that a store is complete up to a revision.

use std::time::Duration;

use super::ConfigStore;
use crate::units::Revision;
use crate::units::Time;

/// A confirmation by the platform that a store is complete up to a revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// The revision up to which the store holds every change.
    pub revision: Revision,
    /// The time at which this instance received the confirmation.
    pub received_at: Time,
    /// The age of the confirmation when it was received.
    ///
    /// It may exceed the time since the origin of this instance's clock.
    pub age: Duration,
}

impl Confirmation {
    /// Returns the time since the platform confirmed the revision.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.received_at)
    }
}

impl ConfigStore {
    /// Records that the store holds every change up to `revision`.
    ///
    /// A list or bookmark of the platform has an `age` of zero. Another instance
    /// that holds the same objects reports the age of its own confirmation.
    /// Neither the revision nor the time of the confirmation ever decreases.
    pub fn confirm(&mut self, revision: Revision, age: Duration, now: Time) {
        let new = Confirmation {
            revision,
            received_at: now,
            age,
        };
        let Some(current) = self.confirmation else {
            self.confirmation = Some(new);
            return;
        };
        if revision < current.revision {
            return;
        }
        let later = now.max(current.received_at);
        let newest = if new.age(later) < current.age(later) {
            new
        } else {
            current
        };
        self.confirmation = Some(Confirmation { revision, ..newest });
    }

    /// Returns the latest confirmation, or `None` before the first.
    #[must_use]
    pub const fn confirmation(&self) -> Option<Confirmation> {
        self.confirmation
    }

    /// Returns the age of the latest confirmation, or `None` before the first.
    #[must_use]
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        self.confirmation.map(|current| current.age(now))
    }
}
