//! The lease of the instance that gives orders to engines.
//!
//! The platform stores a record of the holder. An instance acquires the lease only when
//! there are orders to give, renews it meanwhile and then releases it. Engines don't
//! check fencing numbers, so another instance waits until no order of the previous
//! holder can still be in flight.
//!
//! A store that returns from an older copy has lost the record or holds an older one. Only
//! an instance whose lease was valid at that moment acquires it again at once, with a
//! higher fencing number; the others wait as after a holder that has failed.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::Name;
use crate::store_era::StoreEra;

/// The times of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseOptions {
    /// The time for which a renewal permits orders, counted from when it is sent.
    pub duration: Duration,
    /// The time between two renewals.
    pub renewal_interval: Duration,
    /// The time between the last order of one holder and the first order of the next; it
    /// covers the engines' own bound and orders that are delayed in flight.
    pub handover: Duration,
    /// The delay per rank, so that live instances of a lower rank acquire the lease first.
    pub stagger: Duration,
}

impl LeaseOptions {
    /// Returns options for engines that require `bound` between the orders of two holders.
    #[must_use]
    pub fn for_handover(bound: Duration) -> Self {
        Self {
            duration: Duration::from_secs(1),
            renewal_interval: Duration::from_millis(350),
            handover: bound + Duration::from_millis(400),
            stagger: Duration::from_millis(60),
        }
    }
}

/// The first fencing number of an era is this many times the era, so that no number is given out
/// again after a return from a copy which lacks the lease. Numbers of two million eras fit in
/// the 53 bits that all readers of JSON take.
const FENCING_PER_ERA: u64 = 1 << 32;

/// The record of the holder at the platform.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The holder, which gives orders.
    pub holder: Name,
    /// The fencing number, which grows from holder to holder.
    pub fencing: u64,
    /// The number of renewals, which makes every write different.
    pub renewals: u64,
    /// The time for which a renewal permits orders.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
    /// Whether the holder has given its last order.
    pub released: bool,
    /// The era of the store in which the record was written.
    #[serde(default)]
    pub era: StoreEra,
}

/// The end of the range of numbers in a record.
const MAX_NUMBER: u64 = 1 << 53;

impl LeaseRecord {
    /// Returns whether the numbers are in the range in which instances choose them, so that
    /// greater ones can follow.
    #[must_use]
    pub const fn is_in_range(&self) -> bool {
        self.fencing < MAX_NUMBER && self.renewals < MAX_NUMBER
    }
}

/// A conditional write of the record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// The revision that the platform must hold, or `None` if there must be no record.
    pub expected: Option<u64>,
    /// The new record.
    pub record: LeaseRecord,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseWriteResult {
    /// The record was written at this revision.
    Written(u64),
    /// The platform holds another revision.
    Conflict,
    /// The platform holds no record.
    Missing,
    /// The result is unknown: no response arrived, or the platform failed the call.
    Unknown,
}

#[derive(Clone, Debug)]
struct Observed {
    revision: u64,
    record: LeaseRecord,
    since: Time,
}

/// A record of another writer that cannot be read.
#[derive(Clone, Copy, Debug)]
struct Unreadable {
    revision: u64,
    since: Time,
}

#[derive(Clone, Debug)]
struct Pending {
    write: LeaseWrite,
    sent: Time,
    era: Option<StoreEra>,
}

/// A return of the store from an older copy.
#[derive(Clone, Copy, Debug)]
struct Restored {
    at: Time,
    /// The end of this instance's lease, if it held it at that moment.
    held_until: Option<Time>,
}

/// The lease as this instance observes it.
#[derive(Debug)]
pub struct OrderLease {
    own_name: Name,
    options: LeaseOptions,
    observed: Option<Observed>,
    /// What has replaced the observed record.
    unreadable: Option<Unreadable>,
    started: Time,
    is_read: bool,
    pending: Option<Pending>,
    held_until: Option<Time>,
    has_orders_since: Option<Time>,
    next_attempt: Time,
    era: Option<StoreEra>,
    restored: Option<Restored>,
    max_fencing: u64,
}

/// The rank from which the delay no longer grows.
const MAX_STAGGER_RANK: u32 = 15;

/// The delay after a write that failed or lost against another instance.
const RETRY_DELAY: Duration = Duration::from_millis(150);

impl OrderLease {
    /// Returns the state of an instance that has not read the record yet.
    #[must_use]
    pub const fn new(own_name: Name, options: LeaseOptions, now: Time) -> Self {
        Self {
            own_name,
            options,
            observed: None,
            unreadable: None,
            started: now,
            is_read: false,
            pending: None,
            held_until: None,
            has_orders_since: None,
            next_attempt: now,
            era: None,
            restored: None,
            max_fencing: 0,
        }
    }

    /// Observes the store's era, and returns whether it has risen. If so, the record has to be
    /// read again and this instance's lease is lost.
    pub fn observe_era(&mut self, era: StoreEra, now: Time) -> bool {
        let previous = self.era;
        self.era = previous.max(Some(era));
        if previous.is_none() && era > StoreEra::default() {
            // The record may just have been lost.
            self.restored = Some(Restored {
                at: now,
                held_until: None,
            });
        }
        if previous.is_none_or(|previous| previous >= era) {
            return false;
        }
        self.restored = Some(Restored {
            at: now,
            held_until: self.active_fencing(now).map(|(_, until)| until),
        });
        self.observed = None;
        self.unreadable = None;
        self.is_read = false;
        self.held_until = None;
        true
    }

    /// Observes a fencing number that another instance knows of.
    pub fn observe_fencing(&mut self, fencing: u64) {
        self.max_fencing = self.max_fencing.max(fencing);
    }

    /// Returns the highest fencing number that is known.
    #[must_use]
    pub const fn max_fencing(&self) -> u64 {
        self.max_fencing
    }

    /// Observes the platform's record and its revision, or that there is no record.
    pub fn observe(&mut self, current: Option<(u64, LeaseRecord)>, now: Time) {
        self.is_read = true;
        let Some((revision, record)) = current else {
            return;
        };
        if self
            .observed
            .as_ref()
            .is_some_and(|o| o.revision >= revision)
        {
            return;
        }
        if self.unreadable.is_some_and(|u| u.revision >= revision) {
            return;
        }
        self.unreadable = None;
        if record.holder != self.own_name {
            self.held_until = None;
        }
        self.observe_fencing(record.fencing);
        self.observed = Some(Observed {
            revision,
            record,
            since: now,
        });
    }

    /// Observes that another writer has replaced the platform's record by one that cannot be
    /// read. It is replaced once no instance can hold the lease any more.
    pub fn observe_unreadable(&mut self, revision: u64, now: Time) {
        self.is_read = true;
        let observed = self.observed.as_ref().map(|o| o.revision);
        let known = observed.max(self.unreadable.map(|u| u.revision));
        if known.is_none_or(|known| known < revision) {
            // A holder may have written between two of them.
            let since = now;
            self.unreadable = Some(Unreadable { revision, since });
        }
    }

    /// Observes that a record which could not be read was removed. It has to be awaited
    /// nevertheless that no instance can hold the lease any more.
    pub fn observe_removal(&mut self) {
        let Some(unreadable) = self.unreadable else {
            return;
        };
        self.max_fencing = self.next_fencing() - 1;
        self.observed = None;
        self.unreadable = None;
        self.restored = Some(Restored {
            at: unreadable.since,
            held_until: None,
        });
    }

    /// Returns the fencing number for orders and the time until which it is valid, or `None`
    /// while this instance doesn't hold the lease.
    #[must_use]
    pub fn active_fencing(&self, now: Time) -> Option<(u64, Time)> {
        let until = self.held_until.filter(|until| now < *until)?;
        let observed = self.observed.as_ref()?;
        let record = &observed.record;
        let is_own = record.holder == self.own_name && !record.released;
        // A delayed write may have brought an older record back.
        let is_newest = record.fencing == self.max_fencing;
        (is_own && is_newest).then_some((record.fencing, until))
    }

    /// Returns the last observed holder.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        self.observed.as_ref().map(|o| &o.record.holder)
    }

    /// Returns the write that is due, if any.
    ///
    /// `has_orders` states whether there are orders to give, and `rank` is the position of
    /// this instance among the live ones.
    pub fn due_write(&mut self, has_orders: bool, rank: u32, now: Time) -> Option<LeaseWrite> {
        if self.pending.is_some() || now < self.next_attempt || !self.is_read {
            return None;
        }
        if !has_orders {
            self.has_orders_since = None;
        }
        let record = self.next_record(has_orders, rank, now)?;
        let write = LeaseWrite {
            expected: self.revision(),
            record,
        };
        self.pending = Some(Pending {
            write: write.clone(),
            sent: now,
            era: self.era,
        });
        Some(write)
    }

    /// Records the result of the pending write.
    pub fn complete_write(&mut self, result: LeaseWriteResult, now: Time) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match result {
            // The record may be lost, or have replaced one that this instance has not seen.
            LeaseWriteResult::Written(_) if pending.era != self.era => {
                self.next_attempt = now + RETRY_DELAY;
            }
            LeaseWriteResult::Written(revision) => {
                let record = pending.write.record;
                let held_until = (!record.released).then(|| pending.sent + record.duration);
                self.observe(Some((revision, record)), now);
                self.held_until = held_until;
                self.next_attempt = now;
            }
            LeaseWriteResult::Missing => {
                self.observe_removal();
                self.next_attempt = now + RETRY_DELAY;
            }
            LeaseWriteResult::Conflict | LeaseWriteResult::Unknown => {
                // A write with an unknown result may have renewed the record; the next
                // observation shows that.
                self.next_attempt = now + RETRY_DELAY;
            }
        }
    }

    /// Returns the revision that the platform is known to hold.
    fn revision(&self) -> Option<u64> {
        let unreadable = self.unreadable.map(|u| u.revision);
        unreadable.or(self.observed.as_ref().map(|o| o.revision))
    }

    fn next_record(&mut self, has_orders: bool, rank: u32, now: Time) -> Option<LeaseRecord> {
        if let Some(unreadable) = self.unreadable {
            let lost = Restored {
                at: unreadable.since,
                held_until: self.active_fencing(now).map(|(_, until)| until),
            };
            return self.record_after_restore(lost, has_orders, rank, now);
        }
        let is_lost = match &self.observed {
            Some(observed) => observed.record.era != self.era.unwrap_or_default(),
            None => true,
        };
        if let Some(restored) = self.restored.filter(|_| is_lost) {
            return self.record_after_restore(restored, has_orders, rank, now);
        }
        let Some(observed) = self.observed.clone() else {
            let waits = self.defers_to_others(has_orders, rank, now.since(self.started), now);
            let fencing = self.next_fencing();
            return (has_orders && !waits).then(|| self.record(fencing, 0, false));
        };
        let last = &observed.record;
        let renewals = last.renewals + 1;
        if last.holder == self.own_name {
            return self.renewal_or_release(last, renewals, has_orders, now);
        }
        let wait = if last.released {
            self.options.handover
        } else {
            last.duration + self.options.handover
        };
        let free_at = observed.since + wait;
        if now < free_at || self.defers_to_others(has_orders, rank, now.since(free_at), now) {
            return None;
        }
        Some(self.record(self.next_fencing(), renewals, false))
    }

    /// Returns the record that acquires the lease after the last one was lost: the store has
    /// returned from an older copy, or another writer has replaced it. What is known of a record
    /// proves nothing about the last holder then.
    fn record_after_restore(
        &mut self,
        restored: Restored,
        has_orders: bool,
        rank: u32,
        now: Time,
    ) -> Option<LeaseRecord> {
        let observed = self.observed.as_ref();
        let since = observed.map_or(restored.at, |o| o.since.max(restored.at));
        let last_duration = observed.map_or(Duration::ZERO, |o| o.record.duration);
        let renewals = observed.map_or(0, |o| o.record.renewals + 1);
        let free_at = since + last_duration.max(self.options.duration) + self.options.handover;
        let resumes = restored.held_until.is_some_and(|until| now < until);
        let waits = now < free_at && !resumes;
        if waits || self.defers_to_others(has_orders, rank, now.since(free_at), now) {
            return None;
        }
        Some(self.record(self.next_fencing(), renewals, false))
    }

    fn renewal_or_release(
        &self,
        last: &LeaseRecord,
        renewals: u64,
        has_orders: bool,
        now: Time,
    ) -> Option<LeaseRecord> {
        if !has_orders {
            let release = !last.released && self.held_until.is_some();
            return release.then(|| self.record(last.fencing, renewals, true));
        }
        let held_until = self.held_until.filter(|until| now < *until);
        let is_fresh =
            held_until.is_some_and(|until| until.since(now) > self.remaining_at_renewal());
        (last.released || !is_fresh).then(|| {
            // After a restart, an instance does not remember its own lease.
            let remembers_lease = self.held_until.is_some() || last.released;
            let is_newest = last.fencing == self.max_fencing;
            let fencing = if remembers_lease && is_newest {
                last.fencing
            } else {
                self.next_fencing()
            };
            self.record(fencing, renewals, false)
        })
    }

    /// Returns a fencing number above all that this instance knows and all of earlier eras.
    fn next_fencing(&self) -> u64 {
        let StoreEra(era) = self.era.unwrap_or_default();
        let first = era.saturating_mul(FENCING_PER_ERA);
        // Each number of an era has taken a write, and so a revision.
        let unknown = self.unreadable.map_or(0, |u| u.revision);
        self.max_fencing.max(first.saturating_add(unknown)) + 1
    }

    fn remaining_at_renewal(&self) -> Duration {
        self.options
            .duration
            .saturating_sub(self.options.renewal_interval)
    }

    /// Returns whether the lease is left to instances of a lower rank for now; `free` is the
    /// time since the lease became available.
    fn defers_to_others(&mut self, has_orders: bool, rank: u32, free: Duration, now: Time) -> bool {
        if !has_orders {
            return true;
        }
        let since = *self.has_orders_since.get_or_insert(now);
        let delay = self.options.stagger * rank.min(MAX_STAGGER_RANK);
        now.since(since).min(free) < delay
    }

    fn record(&self, fencing: u64, renewals: u64, released: bool) -> LeaseRecord {
        LeaseRecord {
            holder: Name::clone(&self.own_name),
            fencing,
            renewals,
            duration: self.options.duration,
            released,
            era: self.era.unwrap_or_default(),
        }
    }
}
