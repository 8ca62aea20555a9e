//! The lease of the one instance that gives orders to engines.
//!
//! The platform holds a record of the holder. An instance takes it only when
//! there are orders to give, renews it while it gives them and then releases
//! it. Engines do not check fencing numbers, so that another instance waits
//! until no order of the last holder can still be under way.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::Name;

/// The `LeaseOptions` are the times of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseOptions {
    /// The time for which a renewal permits orders, from its sending.
    pub duration: Duration,
    /// The time between two renewals.
    pub renewal_interval: Duration,
    /// The quiet time between the last order of one holder and the first of the
    /// next; it covers the engines' own bound and an order that was held up.
    pub handover: Duration,
    /// The time by which each instance that is heard of lets the one before it
    /// in rank try first.
    pub stagger: Duration,
}

impl LeaseOptions {
    /// Returns options for engines that take two holders for taking turns within
    /// `bound`.
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

/// A `LeaseRecord` is the holder as it stands at the platform.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The instance that gives orders.
    pub holder: Name,
    /// A number that grows from holder to holder.
    pub fencing: u64,
    /// A number that grows with each renewal, so that no two writes are alike.
    pub renewals: u64,
    /// The time for which a renewal permits orders.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
    /// Whether the holder has given its last order.
    pub released: bool,
}

/// A `LeaseWrite` is a conditional write of the record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// The revision that the platform must hold, or `None` for no record.
    pub expected: Option<u64>,
    /// The new record.
    pub record: LeaseRecord,
}

/// A `LeaseWriteResult` is how a conditional write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseWriteResult {
    /// The record is in place at this revision.
    Written(u64),
    /// The platform holds another record.
    Conflict,
    /// No answer came, or the platform refused the call.
    Unknown,
}

#[derive(Clone, Debug)]
struct Observed {
    revision: u64,
    record: LeaseRecord,
    since: Time,
}

#[derive(Clone, Debug)]
struct Pending {
    write: LeaseWrite,
    sent: Time,
}

/// A `OrderLease` follows the record and decides when this instance may give orders.
#[derive(Debug)]
pub struct OrderLease {
    own: Name,
    options: LeaseOptions,
    observed: Option<Observed>,
    started: Time,
    is_read: bool,
    pending: Option<Pending>,
    held_until: Option<Time>,
    wanted_since: Option<Time>,
    next_attempt: Time,
}

/// The most instances that are let try first.
const MAX_STAGGER_RANK: u32 = 15;

/// The wait after a write that failed or was lost to another instance.
const RETRY_DELAY: Duration = Duration::from_millis(150);

impl OrderLease {
    /// Returns the state of an instance that has not read the record.
    #[must_use]
    pub const fn new(own: Name, options: LeaseOptions, now: Time) -> Self {
        Self {
            own,
            options,
            observed: None,
            started: now,
            is_read: false,
            pending: None,
            held_until: None,
            wanted_since: None,
            next_attempt: now,
        }
    }

    /// Takes the record that the platform holds at `revision`.
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
        if record.holder != self.own {
            self.held_until = None;
        }
        self.observed = Some(Observed {
            revision,
            record,
            since: now,
        });
    }

    /// Returns the fencing number under which orders may be given until the
    /// returned time, or `None` while this instance may give none.
    #[must_use]
    pub fn active_fencing(&self, now: Time) -> Option<(u64, Time)> {
        let until = self.held_until.filter(|until| now < *until)?;
        let observed = self.observed.as_ref()?;
        let own = observed.record.holder == self.own && !observed.record.released;
        own.then_some((observed.record.fencing, until))
    }

    /// Returns the last known holder.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        self.observed.as_ref().map(|o| &o.record.holder)
    }

    /// Returns the write that is due; `wanted` tells whether there are orders to
    /// give, `rank` is this instance's place among those that are heard of.
    pub fn due_write(&mut self, wanted: bool, rank: u32, now: Time) -> Option<LeaseWrite> {
        if self.pending.is_some() || now < self.next_attempt || !self.is_read {
            return None;
        }
        if !wanted {
            self.wanted_since = None;
        }
        let record = self.next_record(wanted, rank, now)?;
        let write = LeaseWrite {
            expected: self.observed.as_ref().map(|o| o.revision),
            record,
        };
        self.pending = Some(Pending {
            write: write.clone(),
            sent: now,
        });
        Some(write)
    }

    /// Takes the answer to the write that is under way.
    pub fn complete_write(&mut self, answer: LeaseWriteResult, now: Time) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match answer {
            LeaseWriteResult::Written(revision) => {
                let record = pending.write.record;
                let held = (!record.released).then(|| pending.sent + record.duration);
                self.observe(Some((revision, record)), now);
                self.held_until = held;
                self.next_attempt = now;
            }
            LeaseWriteResult::Conflict | LeaseWriteResult::Unknown => {
                // A write of unknown outcome may have renewed the record; the
                // next observation tells.
                self.next_attempt = now + RETRY_DELAY;
            }
        }
    }

    fn next_record(&mut self, wanted: bool, rank: u32, now: Time) -> Option<LeaseRecord> {
        let Some(observed) = self.observed.clone() else {
            let waits = self.defers_to_others(wanted, rank, now.since(self.started), now);
            return (wanted && !waits).then(|| self.record(1, 0, false));
        };
        let last = &observed.record;
        let renewals = last.renewals + 1;
        if last.holder == self.own {
            return self.renewal_or_release(last, renewals, wanted, now);
        }
        let quiet = if last.released {
            self.options.handover
        } else {
            last.duration + self.options.handover
        };
        let free_at = observed.since + quiet;
        if now < free_at || self.defers_to_others(wanted, rank, now.since(free_at), now) {
            return None;
        }
        Some(self.record(last.fencing + 1, renewals, false))
    }

    fn renewal_or_release(
        &self,
        last: &LeaseRecord,
        renewals: u64,
        wanted: bool,
        now: Time,
    ) -> Option<LeaseRecord> {
        if !wanted {
            let release = !last.released && self.held_until.is_some();
            return release.then(|| self.record(last.fencing, renewals, true));
        }
        let held = self.held_until.filter(|until| now < *until);
        let fresh = held.is_some_and(|until| until.since(now) > self.remaining_at_renewal());
        (last.released || !fresh).then(|| {
            // A restarted instance has no memory of its own lease.
            let known = self.held_until.is_some() || last.released;
            let fencing = last.fencing + u64::from(!known);
            self.record(fencing, renewals, false)
        })
    }

    fn remaining_at_renewal(&self) -> Duration {
        self.options
            .duration
            .saturating_sub(self.options.renewal_interval)
    }

    /// Returns whether instances before this one in rank have the first try, once
    /// the record has been free for `free` and orders are wanted.
    fn defers_to_others(&mut self, wanted: bool, rank: u32, free: Duration, now: Time) -> bool {
        if !wanted {
            return true;
        }
        let since = *self.wanted_since.get_or_insert(now);
        let turn = self.options.stagger * rank.min(MAX_STAGGER_RANK);
        now.since(since).min(free) < turn
    }

    fn record(&self, fencing: u64, renewals: u64, released: bool) -> LeaseRecord {
        LeaseRecord {
            holder: Name::clone(&self.own),
            fencing,
            renewals,
            duration: self.options.duration,
            released,
        }
    }
}
