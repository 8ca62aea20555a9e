//! The lease of the instance that gives orders.

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
    /// The instance.
    pub instance: InstanceName,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
}

/// A `LeaseRecord` is the value of a lease's record in the platform.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The holder, or the last one when the lease is released.
    pub holder: LeaseHolder,
    /// The number that every order of this holder carries.
    pub fencing: FencingNumber,
    /// The time for which one renewal keeps the lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
    /// Whether the holder has given the lease back.
    #[serde(default)]
    pub released: bool,
}

/// A `VersionedLease` is a lease together with the revision of its record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedLease {
    /// The revision of the record.
    pub revision: Revision,
    /// The value of the record.
    pub record: LeaseRecord,
}

/// A `LeaseWrite` is a conditional write of the lease's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// The revision that the record must have; [`Revision::ABSENT`] creates it.
    pub expected: Revision,
    /// The new value.
    pub record: LeaseRecord,
}

/// A `LeaseAction` is a call to the platform that the keeper asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Read the record and hand it to [`LeaseKeeper::on_read`].
    Read,
    /// Write the record and hand the answer to [`LeaseKeeper::on_write`].
    Write(LeaseWrite),
}

/// A `LeaseWriteResult` is what became of a [`LeaseWrite`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseWriteResult {
    /// The write took effect under this revision.
    Written(Revision),
    /// The record was at another revision; this is its current state.
    Conflict(Option<VersionedLease>),
    /// The write failed or its answer was lost.
    Failed,
}

/// A `HeldLease` is the time during which an instance may give orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The number that every order carries.
    pub fencing: FencingNumber,
    /// When the instance learned that it holds the lease.
    pub since: Time,
    /// The point before which an order must have been sent.
    pub until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    fencing: FencingNumber,
    since: Time,
    until: Time,
}

#[derive(Clone, Debug)]
struct Pending {
    sent: Time,
    write: LeaseWrite,
}

/// A `LeaseKeeper` obtains, renews and gives back the lease of one instance.
///
/// A held lease is counted from the moment at which its renewal was sent. A
/// candidate takes over once it has seen the same revision for longer than the
/// duration, counted from the moment at which it first saw it.
#[derive(Debug)]
pub struct LeaseKeeper {
    own: LeaseHolder,
    options: OrderOptions,
    observed: Option<(Option<VersionedLease>, Time)>,
    holding: Option<Holding>,
    pending: Option<Pending>,
    next_call: Time,
    releasing: bool,
    fenced: Option<FencingNumber>,
}

impl LeaseKeeper {
    /// Returns a keeper that does not hold the lease.
    #[must_use]
    pub const fn new(own: LeaseHolder, options: OrderOptions) -> Self {
        Self {
            own,
            options,
            observed: None,
            holding: None,
            pending: None,
            next_call: Time::ZERO,
            releasing: false,
            fenced: None,
        }
    }

    /// Returns the held lease, if orders may be given at `now`.
    #[must_use]
    pub fn held_lease(&self, now: Time) -> Option<HeldLease> {
        let holding = self.holding.filter(|h| !self.releasing && now < h.until)?;
        Some(HeldLease {
            fencing: holding.fencing,
            since: holding.since,
            until: holding.until,
        })
    }

    /// Gives the lease back: no more orders, and a successor need not wait for it.
    pub const fn release(&mut self) {
        self.releasing = true;
        self.next_call = Time::ZERO;
    }

    /// Takes in that an engine has seen a larger number than `fencing`.
    ///
    /// A holder that is still the rightful one goes on under the next number, as
    /// a new held lease. This happens after the lease's record was deleted.
    pub const fn on_fenced(&mut self, fencing: FencingNumber) {
        self.fenced = Some(fencing);
        self.next_call = Time::ZERO;
    }

    /// Returns the call that is due, which counts as sent at `now`.
    ///
    /// Its answer must come back through [`Self::on_read`] or [`Self::on_write`]
    /// before the next call.
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
        let (current, seen) = self.observed.as_ref()?;
        let Some(current) = current else {
            return (!self.releasing).then(|| self.write(Revision::ABSENT, FencingNumber(1)));
        };
        let record = &current.record;
        if record.holder == self.own && !record.released {
            let fenced = self.fenced == Some(record.fencing);
            let fencing = FencingNumber(record.fencing.0 + u64::from(fenced));
            return Some(self.write(current.revision, fencing));
        }
        let patience = record.duration + self.options.lease_margin;
        let lapsed = record.released || now.since(*seen) >= patience;
        let next = FencingNumber(record.fencing.0 + 1);
        (lapsed && !self.releasing).then(|| self.write(current.revision, next))
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

    /// Takes in the record that was read, `None` when there is none.
    pub fn on_read(&mut self, current: Option<VersionedLease>, now: Time) {
        self.observe(current, now);
        if self.due_write(now).is_some() {
            self.next_call = now;
        }
    }

    /// Takes in the answer to the write that [`Self::poll`] returned.
    pub fn on_write(&mut self, answer: LeaseWriteResult, now: Time) {
        let Some(Pending { sent, write }) = self.pending.take() else {
            return;
        };
        match answer {
            LeaseWriteResult::Written(revision) => {
                let record = write.record;
                self.hold(record.fencing, sent, now);
                self.observe(Some(VersionedLease { revision, record }), now);
            }
            LeaseWriteResult::Conflict(current) => {
                self.observe(current, now);
                // An own write whose answer was lost must be renewed to count.
                self.next_call = now;
            }
            LeaseWriteResult::Failed => {}
        }
    }

    fn hold(&mut self, fencing: FencingNumber, sent: Time, now: Time) {
        let kept = self.holding.filter(|h| h.fencing == fencing);
        self.holding = Some(Holding {
            fencing,
            since: kept.map_or(now, |h| h.since),
            until: sent + self.options.lease_duration,
        });
    }

    fn observe(&mut self, current: Option<VersionedLease>, now: Time) {
        let revision = |lease: &Option<VersionedLease>| lease.as_ref().map(|l| l.revision);
        if let Some((known, _)) = &self.observed
            && current.is_some()
            && revision(&current) <= revision(known)
        {
            return;
        }
        let own = current
            .as_ref()
            .is_some_and(|l| l.record.holder == self.own);
        if !own {
            self.holding = None;
        }
        self.observed = Some((current, now));
    }
}
