//! How far and how lately the platform confirmed a store to be complete.

use std::time::Duration;

use super::ConfigStore;
use crate::units::Revision;
use crate::units::Time;

/// A `Confirmation` tells up to which revision a store is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// The revision up to which the store holds every change.
    pub revision: Revision,
    /// The time at which this instance learned of it.
    pub learned: Time,
    /// The time that had passed since the platform's word when it was learned.
    ///
    /// It may reach back beyond the origin of this instance's clock.
    pub age: Duration,
}

impl Confirmation {
    /// Returns the time since the platform's word.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.learned)
    }
}

impl ConfigStore {
    /// Records that the store holds every change up to `revision`.
    ///
    /// The platform's list or bookmark says so with an `age` of zero; another
    /// instance that holds the same objects says so with the age that it states.
    /// A confirmation never goes back in revision or in time.
    pub fn confirm(&mut self, revision: Revision, age: Duration, now: Time) {
        let new = Confirmation {
            revision,
            learned: now,
            age,
        };
        let Some(held) = self.confirmation else {
            self.confirmation = Some(new);
            return;
        };
        if revision < held.revision {
            return;
        }
        let later = now.max(held.learned);
        let newest = if new.age(later) < held.age(later) {
            new
        } else {
            held
        };
        self.confirmation = Some(Confirmation { revision, ..newest });
    }

    /// Returns the last confirmation, or `None` before the first.
    #[must_use]
    pub const fn confirmation(&self) -> Option<Confirmation> {
        self.confirmation
    }

    /// Returns the time since the last confirmation, or `None` before the first.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmation.map(|held| held.age(now))
    }
}
