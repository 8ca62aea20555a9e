//! The settings of one instance.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;
use crate::limits::LimitOptions;
use crate::upstreams::Adaptation;

/// The limits that the operators set for the behaviour of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time from the signal for a planned stop to the end of the process.
    pub stop: Duration,
    /// The time after which a leaving upstream gets no new requests.
    pub leaving: Duration,
    /// The time after which a new version of the configuration is in force everywhere.
    pub configuration: Duration,
    /// The time after which a withdrawn key no longer works.
    pub withdrawal: Duration,
    /// The retries permitted for each request of a service.
    pub retry_ratio: f64,
    /// The retries permitted beyond that in a window, at all instances together.
    pub retry_slack: f64,
    /// The length of the window for retries.
    pub retry_window: Duration,
    /// The permitted excess over a team's limit.
    pub limits: LimitOptions,
    /// The shortest time between the orders of two holders of the lease.
    pub order_handover: Duration,
    /// The time after a new target version from which requests run on it only.
    pub max_weights_age: Duration,
    /// The time after an instance's start in which bounds on time don't hold for it.
    pub start_grace: Duration,
    /// The limits for canary rollouts.
    pub canary: CanaryBounds,
}

/// The limits for the canary rollout of a service's software.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanaryBounds {
    /// The fraction of a service's requests that a version may get before it is judged.
    pub exposure_share: f64,
    /// The requests that it may get beyond that, at all instances together.
    pub exposure_slack: f64,
    /// The time after the evidence against a version from which it gets no requests.
    pub rollback: Duration,
}

impl Default for CanaryBounds {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback: Duration::from_secs(5),
        }
    }
}

/// The optional behaviour that the operators have switched on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Features {
    /// Operators order rollouts of the software of services.
    pub rollouts: bool,
    /// Requests compete for the room at upstreams, and both sides may read slowly.
    pub pressure: bool,
    /// What is adapted to the observed responses of upstreams.
    pub adaptation: Adaptation,
}

/// The resources of an instance, where its platform states them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// The memory in bytes beyond which the process is killed.
    pub memory_bytes: Option<u64>,
    /// The number of file descriptors that the process may have open.
    pub max_descriptors: Option<u64>,
    /// The memory in bytes that all callers may use, in place of a part of the whole.
    pub caller_memory_bytes: Option<u64>,
    /// The number of connections of callers, in place of a part of the descriptors.
    pub caller_connections: Option<u64>,
    /// What one address may have of what callers get, in percent.
    pub address_share: Option<u8>,
    /// What one team may have of what callers get, in percent.
    pub team_share: Option<u8>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop: Duration::from_secs(8),
            leaving: Duration::from_secs(2),
            configuration: Duration::from_secs(2),
            withdrawal: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            limits: LimitOptions::default(),
            order_handover: Duration::from_secs(3),
            max_weights_age: Duration::from_secs(6),
            start_grace: Duration::from_secs(3),
            canary: CanaryBounds::default(),
        }
    }
}

/// The identity and addresses of an instance, and the limits for its behaviour.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The instance's name, unique in the fleet.
    pub name: Name,
    /// The failure domain in which it runs.
    pub domain: Name,
    /// The instance's IP address.
    pub ip: IpAddr,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// The UDP port for heartbeats.
    pub heartbeat_port: u16,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The limits for the fleet's behaviour.
    pub bounds: Bounds,
    /// The optional behaviour that is switched on.
    pub features: Features,
    /// The resources of the instance.
    pub resources: Resources,
}
