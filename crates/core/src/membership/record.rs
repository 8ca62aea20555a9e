//! Membership records and heartbeats of instances.

use std::net::SocketAddr;

use thiserror::Error;

use crate::config::Phase;
use crate::names::DomainName;
use crate::names::InstanceName;
use crate::units::Incarnation;
use crate::units::Revision;

/// The number of low bits of an incarnation that are random.
const RANDOM_BITS: u32 = 20;

const RANDOM_MASK: u64 = (1 << RANDOM_BITS) - 1;

/// Returns the incarnation of a process that starts now.
///
/// `start_millis` is the wall clock time in milliseconds since 1970 and forms the high
/// bits, so that a later start has a higher incarnation. `random` forms the low bits.
///
/// ```
/// use limpetsaddle_core::membership::new_incarnation;
///
/// assert!(new_incarnation(2_000, 1) > new_incarnation(1_999, 9));
/// ```
#[must_use]
pub const fn new_incarnation(start_millis: u64, random: u64) -> Incarnation {
    Incarnation((start_millis << RANDOM_BITS) | (random & RANDOM_MASK))
}

/// Returns an incarnation above `known` with the random bits of `own`.
#[must_use]
pub const fn incarnation_above(known: Incarnation, own: Incarnation) -> Incarnation {
    let millis = (known.0 >> RANDOM_BITS) + 1;
    new_incarnation(millis, own.0)
}

/// A `MemberRecord` is the state that an instance reports about itself and that other
/// instances relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// The name of the instance.
    pub name: InstanceName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// The address at which it accepts calls of other instances.
    pub address: SocketAddr,
    /// The phase, which shows whether the instance is about to stop.
    pub phase: Phase,
    /// A counter that the instance increments while it is running.
    pub heartbeat: u32,
    /// The configuration revision in force at the instance.
    pub revision: Revision,
}

impl MemberRecord {
    /// Returns the fields that change while the instance is running.
    #[must_use]
    pub const fn to_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            phase: self.phase,
            revision: self.revision,
        }
    }

    /// Returns the maximum encoded size of the record in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const FIXED_BYTES: usize = 128;
        FIXED_BYTES + self.name.as_str().len() + self.domain.as_str().len()
    }
}

/// A `Heartbeat` contains the fields of a [`MemberRecord`] that change at runtime.
///
/// It identifies the instance by its incarnation only, so that a receiver needs the
/// record of the instance to apply it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The incarnation of the instance's process.
    pub incarnation: Incarnation,
    /// A counter that the instance increments while it is running.
    pub heartbeat: u32,
    /// The phase, which shows whether the instance is about to stop.
    pub phase: Phase,
    /// The configuration revision in force at the instance.
    pub revision: Revision,
}

impl Heartbeat {
    /// The encoded size of a heartbeat in bytes.
    pub const BYTES: usize = 24;
}

/// A `Seed` is an entry of the platform's list of instances, which may be out of date.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The name of the instance.
    pub name: InstanceName,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// The address at which it accepts calls of other instances.
    pub address: SocketAddr,
}

/// A `Replaced` is the error returned to a replaced incarnation of an instance.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the instance has been replaced by its incarnation {}", .by.0)]
pub struct Replaced {
    /// The incarnation that has replaced it.
    pub by: Incarnation,
}
