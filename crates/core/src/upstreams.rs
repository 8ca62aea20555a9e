//! What this instance knows of each upstream.
//!
//! Provides the table that placement reads: identity and phase from the
//! configuration, the engine's incarnation and weights as last seen, its load,
//! this instance's own outstanding work and its health.

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

/// An `UpstreamId` is the number under which this instance holds an upstream.
///
/// It is never given out twice, so that it cannot name a later upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamId(pub(crate) u32);

/// A `CacheEpoch` counts the times that an engine's cache became unknown.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CacheEpoch(pub(crate) u32);

/// An `Identity` is what an engine says of itself in an answer or a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The number drawn at the engine's start.
    pub incarnation: Incarnation,
    /// The version of the weights that the engine holds.
    pub weights: WeightsVersion,
}

/// An `Upstream` is one row of the table.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The name from the configuration.
    pub name: UpstreamName,
    /// The content of the configuration object.
    pub spec: UpstreamSpec,
    /// The state of health.
    pub health: Health,
    /// The engine's identity as last seen.
    pub identity: Option<Identity>,
    /// The number of times the engine's cache became unknown.
    pub epoch: CacheEpoch,
    /// The failures since the last answer.
    pub consecutive_failures: u32,
    pub(crate) load: load::LoadState,
    /// The last time at which the health or the identity changed.
    pub(crate) changed: Time,
}

impl Upstream {
    /// Returns whether the upstream may get new work at all.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.spec.phase == Phase::Live && !matches!(self.health, Health::Down { .. })
    }

    /// Returns whether the engine may hold other weights than `weights`.
    ///
    /// An engine that has not been seen yet is given the benefit of the doubt.
    #[must_use]
    pub fn contradicts(&self, weights: WeightsVersion) -> bool {
        self.identity.is_some_and(|seen| seen.weights != weights)
    }
}
