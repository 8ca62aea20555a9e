//! What an instance tells of itself.

use std::net::SocketAddr;

use thiserror::Error;

use crate::config::Phase;
use crate::names::DomainName;
use crate::names::InstanceName;
use crate::units::Incarnation;
use crate::units::Revision;

/// The low bits of an incarnation, which are random.
const RANDOM_BITS: u32 = 20;

const RANDOM_MASK: u64 = (1 << RANDOM_BITS) - 1;

/// Returns the incarnation of a process that starts now.
///
/// `start_millis` is the wall clock in milliseconds since 1970 and forms the
/// high bits, so that a later start is the higher incarnation. `random` forms
/// the low bits.
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

/// A `MemberRecord` is what an instance tells of itself and others relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// The instance.
    pub name: InstanceName,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address at which it takes calls of other instances.
    pub address: SocketAddr,
    /// Whether it is about to stop.
    pub phase: Phase,
    /// A counter that it raises as long as it lives.
    pub heartbeat: u32,
    /// The configuration revision that it has in force.
    pub revision: Revision,
}

impl MemberRecord {
    /// Returns the part that changes while the instance lives.
    #[must_use]
    pub const fn to_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            phase: self.phase,
            revision: self.revision,
        }
    }

    /// Returns the bytes that the row takes in a message at most.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const FIXED_BYTES: usize = 128;
        FIXED_BYTES + self.name.as_str().len() + self.domain.as_str().len()
    }
}

/// A `Heartbeat` is the part of a [`MemberRecord`] that changes while an instance lives.
///
/// The incarnation alone names the instance, to those who know its row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The start of its process.
    pub incarnation: Incarnation,
    /// A counter that it raises as long as it lives.
    pub heartbeat: u32,
    /// Whether it is about to stop.
    pub phase: Phase,
    /// The configuration revision that it has in force.
    pub revision: Revision,
}

impl Heartbeat {
    /// The bytes that a beat takes in a message.
    pub const BYTES: usize = 24;
}

/// A `Seed` is an entry of the platform's lagging list of instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The instance.
    pub name: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address at which it takes calls of other instances.
    pub address: SocketAddr,
}

/// A `Replaced` is the refusal of contact to a replaced incarnation.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the instance's name is held by incarnation {}", .by.0)]
pub struct Replaced {
    /// The incarnation that holds the name now.
    pub by: Incarnation,
}
