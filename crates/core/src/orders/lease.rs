//! The lease of the instance that issues orders.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::OrderOptions;
use crate::names::InstanceName;
use crate::units::FencingNumber;
use crate::units::Incarnation;
use crate::units::Revision;
use crate::units::Time;

/// A `LeaseHolder` identifies one run of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseHolder {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
}

/// A `LeaseRecord` is the value of the lease record stored at the platform.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The current holder, or the last one if the lease has been released.
    pub holder: LeaseHolder,
    /// The fencing number carried by every order of this holder.
    pub fencing: FencingNumber,
    /// The time for which one renewal extends the lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
    /// Whether the holder has released the lease.
    #[serde(default)]
    pub released: bool,
}

/// The exclusive upper bound of valid fencing numbers, below which increments cannot overflow.
const MAX_FENCING: FencingNumber = FencingNumber(1 << 53);

/// The upper bound of valid lease durations, a sanity check of records from other writers.
const MAX_DURATION: Duration = Duration::from_hours(1);

impl LeaseRecord {
    /// Returns whether the fencing number and the duration are valid, so that the lease can
    /// expire and be acquired with a greater number.
    #[must_use]
    pub fn is_in_range(&self) -> bool {
        self.fencing < MAX_FENCING && self.duration <= MAX_DURATION
    }
}

/// A `VersionedLease` is a lease record with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedLease {
    /// The revision of the record.
    pub revision: Revision,
    /// The value of the record.
    pub record: LeaseRecord,
}

/// A `LeaseWrite` is a conditional write of the lease record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// The expected revision of the record; [`Revision::ABSENT`] creates the record.
    pub expected: Revision,
    /// The new value.
    pub record: LeaseRecord,
}

/// A `LeaseAction` is a call to the platform requested by a [`LeaseKeeper`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Read the record and pass it to [`LeaseKeeper::on_read`].
    Read,
    /// Write the record and pass the result to [`LeaseKeeper::on_write`].
    Write(LeaseWrite),
}

/// A `LeaseWriteResult` is the result of a [`LeaseWrite`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseWriteResult {
    /// The record was written and has this revision.
    Written(Revision),
    /// The record had another revision; contains its current state.
    Conflict(Option<VersionedLease>),
    /// The record had this other revision, and this version cannot decode it.
    Unreadable(Revision),
    /// The write failed or its reply was lost.
    Failed,
}

/// A `HeldLease` is the period in which an instance may issue orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing number carried by every order.
    pub fencing: FencingNumber,
    /// The time at which the instance received confirmation that it holds the lease.
    pub acquired: Time,
    /// The time before which orders must be sent.
    pub expires: Time,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    fencing: FencingNumber,
    acquired: Time,
    expires: Time,
}

/// A lease whose record another writer has replaced by one that cannot be decoded.
#[derive(Clone, Copy, Debug)]
struct LostLease {
    /// The revision of that record, or [`Revision::ABSENT`] once it has been removed.
    revision: Revision,
    /// The time since which no holder can have renewed the lease.
    since: Time,
}

#[derive(Clone, Debug)]
struct Pending {
    sent: Time,
    write: LeaseWrite,
}

/// A `LeaseKeeper` acquires, renews and releases the lease for one instance.
///
/// The holder counts the lease duration from when it sent the renewal. A candidate
/// takes over once it has observed the same revision for longer than the duration,
/// counted from its first observation.
#[derive(Debug)]
pub struct LeaseKeeper {
    own: LeaseHolder,
    options: OrderOptions,
    observed: Option<(Option<VersionedLease>, Time)>,
    lost: Option<LostLease>,
    max_fencing: FencingNumber,
    holding: Option<Holding>,
    pending: Option<Pending>,
    next_call: Time,
    releasing: bool,
    fenced: Option<FencingNumber>,
}

impl LeaseKeeper {
    /// Returns a keeper that doesn't hold the lease.
    #[must_use]
    pub const fn new(own: LeaseHolder, options: OrderOptions) -> Self {
        Self {
            own,
            options,
            observed: None,
            lost: None,
            max_fencing: FencingNumber(0),
            holding: None,
            pending: None,
            next_call: Time::ZERO,
            releasing: false,
            fenced: None,
        }
    }

    /// Returns the held lease if orders may be issued at `now`.
    #[must_use]
    pub fn held_lease(&self, now: Time) -> Option<HeldLease> {
        let holding = self
            .holding
            .filter(|h| !self.releasing && now < h.expires)?;
        Some(HeldLease {
            fencing: holding.fencing,
            acquired: holding.acquired,
            expires: holding.expires,
        })
    }

    /// Releases the lease: no further orders are issued and a successor doesn't have
    /// to wait for it to expire.
    pub const fn release(&mut self) {
        self.releasing = true;
        self.next_call = Time::ZERO;
    }

    /// Records that an engine has seen a larger fencing number than `fencing`.
    ///
    /// This happens after the lease record was deleted. An instance that is still the
    /// holder continues with the next number, as a new [`HeldLease`].
    pub const fn on_fenced(&mut self, fencing: FencingNumber) {
        self.fenced = Some(fencing);
        self.next_call = Time::ZERO;
    }

    /// Returns the call that is due, which is assumed to be sent at `now`.
    ///
    /// Its result must be passed to [`Self::on_read`] or [`Self::on_write`] before the
    /// next call.
    pub fn poll(&mut self, now: Time) -> Option<LeaseAction> {
        if now < self.next_call || self.pending.is_some() {
            return None;
        }
        let Some(write) = self.due_write(now) else {
            self.next_call = now + self.options.read_interval;
            return (!self.releasing).then_some(LeaseAction::Read);
        };
        self.next_call = now + self.options.renew_interval;
        self.pending = Some(Pending {
            sent: now,
            write: write.clone(),
        });
        Some(LeaseAction::Write(write))
    }

    fn due_write(&self, now: Time) -> Option<LeaseWrite> {
        if let Some(LostLease { revision, since }) = self.lost {
            let takeover_delay = self.options.lease_duration + self.options.lease_margin;
            let expired = now.since(since) >= takeover_delay;
            let next = FencingNumber(self.max_fencing.0 + 1);
            return (expired && !self.releasing).then(|| self.write(revision, next));
        }
        let (current, first_seen) = self.observed.as_ref()?;
        let Some(current) = current else {
            return (!self.releasing).then(|| self.write(Revision::ABSENT, FencingNumber(1)));
        };
        let record = &current.record;
        if record.holder == self.own && !record.released {
            let fenced = self.fenced == Some(record.fencing);
            let fencing = FencingNumber(record.fencing.0 + u64::from(fenced));
            return Some(self.write(current.revision, fencing));
        }
        let takeover_delay = record.duration + self.options.lease_margin;
        let expired = record.released || now.since(*first_seen) >= takeover_delay;
        let next = FencingNumber(record.fencing.0 + 1);
        (expired && !self.releasing).then(|| self.write(current.revision, next))
    }

    fn write(&self, expected: Revision, fencing: FencingNumber) -> LeaseWrite {
        LeaseWrite {
            expected,
            record: LeaseRecord {
                holder: self.own.clone(),
                fencing,
                duration: self.options.lease_duration,
                released: self.releasing,
            },
        }
    }

    /// Records the result of a read, `None` if there is no lease record.
    pub fn on_read(&mut self, current: Option<VersionedLease>, now: Time) {
        self.observe(current, now);
        if self.due_write(now).is_some() {
            self.next_call = now;
        }
    }

    /// Records that a read found a record of another writer, at this revision, that cannot be
    /// decoded. It is replaced once no instance can hold the lease any more.
    pub fn on_unreadable(&mut self, revision: Revision, now: Time) {
        let observed = self.observed.as_ref().and_then(|(lease, _)| lease.as_ref());
        let known = observed.map_or(Revision::ABSENT, |lease| lease.revision);
        let lost = self.lost.map_or(Revision::ABSENT, |lost| lost.revision);
        if revision <= known.max(lost) {
            return;
        }
        self.holding = None;
        // Each fencing number has taken a write, and so a revision.
        self.max_fencing = self.max_fencing.max(FencingNumber(revision.0));
        // A holder may have written between two records that cannot be decoded.
        let since = now;
        self.lost = Some(LostLease { revision, since });
    }

    /// Records the result of the write that [`Self::poll`] returned.
    pub fn on_write(&mut self, result: LeaseWriteResult, now: Time) {
        let Some(Pending { sent, write }) = self.pending.take() else {
            return;
        };
        match result {
            LeaseWriteResult::Written(revision) => {
                self.lost = None;
                let record = write.record;
                self.set_holding(record.fencing, sent, now);
                self.observe(Some(VersionedLease { revision, record }), now);
            }
            LeaseWriteResult::Conflict(current) => {
                self.observe(current, now);
                // If the reply to an earlier own write was lost, the lease only counts
                // as held after the next successful write.
                self.next_call = now;
            }
            LeaseWriteResult::Unreadable(revision) => self.on_unreadable(revision, now),
            LeaseWriteResult::Failed => {}
        }
    }

    fn set_holding(&mut self, fencing: FencingNumber, sent: Time, now: Time) {
        let kept = self.holding.filter(|h| h.fencing == fencing);
        self.holding = Some(Holding {
            fencing,
            acquired: kept.map_or(now, |h| h.acquired),
            expires: sent + self.options.lease_duration,
        });
    }

    fn observe(&mut self, current: Option<VersionedLease>, now: Time) {
        if let Some(lost) = &mut self.lost {
            match &current {
                Some(lease) if lease.revision > lost.revision => self.lost = None,
                Some(_) => return,
                None => {
                    lost.revision = Revision::ABSENT;
                    return;
                }
            }
        }
        if let Some(odd) = current.as_ref().filter(|l| !l.record.is_in_range()) {
            return self.on_unreadable(odd.revision, now);
        }
        let revision = |lease: &Option<VersionedLease>| lease.as_ref().map(|l| l.revision);
        if let Some((known, _)) = &self.observed
            && current.is_some()
            && revision(&current) <= revision(known)
        {
            return;
        }
        let fencing = current.as_ref().map(|lease| lease.record.fencing);
        self.max_fencing = self.max_fencing.max(fencing.unwrap_or(self.max_fencing));
        let own = current
            .as_ref()
            .is_some_and(|l| l.record.holder == self.own);
        if !own {
            self.holding = None;
        }
        self.observed = Some((current, now));
    }
}
