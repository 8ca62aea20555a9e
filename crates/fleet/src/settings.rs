//! The settings of one instance of a fleet.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;
use crate::limits::LimitOptions;

/// The `Bounds` are the promises that the operators of a fleet set in figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time from a planned stop's signal to the end of the process.
    pub stop: Duration,
    /// The time after which a leaving upstream gets no new requests.
    pub leaving: Duration,
    /// The time after which a withdrawn key no longer works.
    pub withdrawal: Duration,
    /// The retries permitted for each request of a service.
    pub retry_ratio: f64,
    /// The retries permitted beyond that in a window, over all instances.
    pub retry_slack: f64,
    /// The window in which retries are counted.
    pub retry_window: Duration,
    /// The excess over a team's limit that is permitted.
    pub limits: LimitOptions,
    /// The time within which two holders count as taking turns.
    pub order_handover: Duration,
    /// The time after which requests run on newly named weights only.
    pub max_weights_age: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop: Duration::from_secs(8),
            leaving: Duration::from_secs(2),
            withdrawal: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            limits: LimitOptions::default(),
            order_handover: Duration::from_secs(3),
            max_weights_age: Duration::from_secs(6),
        }
    }
}

/// The `FleetSettings` tell an instance who it is and where it finds others.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The name of this instance, unique in the fleet.
    pub name: Name,
    /// The failure domain in which it runs.
    pub domain: Name,
    /// Its own address.
    pub ip: IpAddr,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it wants callers.
    pub readiness: SocketAddr,
    /// The port on which instances send each other heartbeats.
    pub heartbeat_port: u16,
    /// The platform's store.
    pub store: SocketAddr,
    /// The promises in figures.
    pub bounds: Bounds,
}
