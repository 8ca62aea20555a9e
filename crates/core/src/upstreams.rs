//! The state of each upstream as known to this instance.
//!
//! Provides the table used by placement. It contains the name and phase from the
//! configuration, the engine's last observed incarnation and weights, its load, the
//! outstanding requests of this instance and the health.

mod health;
mod load;
mod table;

use crate::config::Phase;
use crate::config::UpstreamSpec;
use crate::names::UpstreamName;
use crate::units::Incarnation;
use crate::units::Time;
use crate::units::WeightsVersion;

pub use self::health::AttemptOutcome;
pub use self::health::Health;
pub use self::load::Load;
pub use self::load::LoadReport;
pub use self::table::Arrival;
pub use self::table::Ticket;
pub use self::table::UpstreamOptions;
pub use self::table::UpstreamTable;

pub(crate) use self::table::Member;

/// An `UpstreamId` identifies an upstream within this instance.
///
/// Ids are never reused, so that an old id can't refer to a newer upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamId(pub(crate) u32);

/// A `CacheEpoch` counts how often the contents of an engine's cache became unknown.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CacheEpoch(pub(crate) u32);

/// An `Identity` identifies an engine process, as stated in its responses and reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The incarnation, which is drawn when the engine starts.
    pub incarnation: Incarnation,
    /// The version of the weights that the engine holds.
    pub weights: WeightsVersion,
}

/// An `Upstream` is an entry of the [`UpstreamTable`].
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The name from the configuration.
    pub name: UpstreamName,
    /// The specification from the configuration.
    pub spec: UpstreamSpec,
    /// The health.
    pub health: Health,
    /// The last observed identity of the engine.
    pub identity: Option<Identity>,
    /// The current epoch of the engine's cache.
    pub epoch: CacheEpoch,
    /// The number of failures since the last response.
    pub consecutive_failures: u32,
    pub(crate) load: load::LoadState,
    /// The time at which the health or the identity last changed.
    pub(crate) last_change: Time,
}

impl Upstream {
    /// Returns whether the upstream is eligible for new requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.spec.phase == Phase::Live && !matches!(self.health, Health::Down { .. })
    }

    /// Returns whether the engine is known to hold other weights than `weights`.
    ///
    /// An engine that has not been identified yet is assumed to hold these weights.
    #[must_use]
    pub fn has_other_weights(&self, weights: WeightsVersion) -> bool {
        self.identity.is_some_and(|last| last.weights != weights)
    }
}
