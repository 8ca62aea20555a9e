//! Reads of the platform's store, which bound the age of what has changed in it.
//!
//! The store's revision rises with each change of any object. A change with a higher revision
//! than a linearizable read returned was acknowledged after that read was sent.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::heartbeat::StoreReadReport;
use crate::peers::CONFIRM_INTERVAL;
use crate::store_era::StoreEra;
use crate::weights::VersionAge;

/// The number of reads that are kept, enough for some tens of seconds of confirmations.
const MAX_READS: usize = 32;

/// The age up to which heartbeats repeat a read; confirmers read more often.
const MAX_REPORTED_AGE: Duration = CONFIRM_INTERVAL.saturating_mul(2);

/// The time after the store's return from an older copy in which a change may be one that was
/// lost and is written again. By its end, peers have reported what they knew of lost changes.
const REWRITE_TIME: Duration = Duration::from_millis(2_500);

/// A linearizable read of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreRead {
    /// The era of the revision.
    pub era: StoreEra,
    /// The store's revision in the response.
    pub revision: u64,
    /// A moment before the store carried the read out.
    pub sent: Time,
}

impl StoreRead {
    /// Returns whether this read bounds every change at least as closely as `other`.
    fn covers(&self, other: &Self) -> bool {
        self.revision <= other.revision && self.sent >= other.sent
    }
}

/// The store's return from an older copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Restore {
    noticed: Time,
    /// The last read of the store before its return. The changes before it are known.
    last_read: Option<Time>,
}

/// The recent reads of this instance and its peers.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_fleet::store_era::StoreEra;
/// use limpetsaddle_fleet::store_reads::StoreRead;
/// use limpetsaddle_fleet::store_reads::StoreReads;
///
/// let at = |seconds| Time::from_origin(Duration::from_secs(seconds));
/// let era = StoreEra(0);
/// let mut reads = StoreReads::default();
/// reads.record(StoreRead { era, revision: 7, sent: at(10) });
/// // The change at revision 8 was made after the read.
/// let age = reads.change_age(era, 8, at(12));
/// assert_eq!(age.most, Some(Duration::from_secs(2)));
/// assert_eq!(reads.change_age(era, 7, at(12)).most, None);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreReads {
    /// Reads of the current era, none of which covers another.
    reads: Vec<StoreRead>,
    /// The last read of this instance.
    own: Option<StoreRead>,
    era: Option<StoreEra>,
    restore: Option<Restore>,
}

impl StoreReads {
    /// Records the era that the store is in at `now`.
    pub fn observe_era(&mut self, era: StoreEra, now: Time) {
        let Some(known) = self.era.filter(|known| era > *known) else {
            self.era = self.era.or(Some(era));
            return;
        };
        debug_assert!(known < era);
        self.era = Some(era);
        let open = self.restore.filter(|restore| restore.is_open(now));
        let last_read = match open {
            // What was lost earlier may not have been written again yet.
            Some(restore) => restore.last_read,
            None => self.reads.iter().map(|read| read.sent).max(),
        };
        self.restore = Some(Restore {
            noticed: now,
            last_read,
        });
        self.reads.clear();
    }

    /// Adds a read of this instance.
    pub fn record_own(&mut self, read: StoreRead) {
        self.own = Some(read);
        self.record(read);
    }

    /// Adds a read. Reads of other eras than the current one are ignored.
    pub fn record(&mut self, read: StoreRead) {
        self.era = self.era.or(Some(read.era));
        if self.era != Some(read.era) || self.reads.iter().any(|known| known.covers(&read)) {
            return;
        }
        self.reads.retain(|known| !read.covers(known));
        if self.reads.len() == MAX_READS {
            let oldest = self.reads.iter().enumerate().min_by_key(|(_, r)| r.sent);
            if let Some((oldest, _)) = oldest {
                self.reads.swap_remove(oldest);
            }
        }
        self.reads.push(read);
    }

    /// Returns this instance's last read for a heartbeat, if it is recent.
    #[must_use]
    pub fn report(&self, now: Time) -> Option<StoreReadReport> {
        let recent = self
            .own
            .filter(|read| now.since(read.sent) < MAX_REPORTED_AGE);
        recent.map(|read| StoreReadReport::new(&read, now))
    }

    /// Returns whether the store has returned from an older copy since the start: an object
    /// that was known before may have got another revision without a change.
    #[must_use]
    pub const fn has_restored(&self) -> bool {
        self.restore.is_some()
    }

    /// Returns the age of the change that has given an object its revision.
    ///
    /// Nothing is known of the time before the first read.
    #[must_use]
    pub fn change_age(&self, era: StoreEra, revision: u64, now: Time) -> VersionAge {
        let restore = self.restore.filter(|restore| restore.is_open(now));
        let after = match restore {
            Some(restore) => restore.last_read,
            None if self.era != Some(era) => None,
            None => {
                let before = self.reads.iter().filter(|read| read.revision < revision);
                before.map(|read| read.sent).max()
            }
        };
        VersionAge {
            most: after.map(|at| now.since(at)),
            ..VersionAge::UNKNOWN
        }
    }
}

impl Restore {
    fn is_open(&self, now: Time) -> bool {
        now.since(self.noticed) < REWRITE_TIME
    }
}
