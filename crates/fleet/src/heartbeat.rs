//! The message by which instances tell each other of use, load and weights.
//!
//! A heartbeat repeats sums since the sender's start, so that a lost or repeated
//! datagram does no harm.

use limpetsaddle_core::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::directory::CacheUpdate;
use crate::kv_store_monitor::KvStoreStatus;

/// The number of the message's layout; heartbeats of other layouts are dropped.
const LAYOUT: u8 = 6;

/// A `TeamUsage` is what an instance has admitted for a team since its start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamUsage {
    /// The hash of the team's name.
    pub team: u64,
    /// The units admitted since the sender's start.
    pub spent: u64,
}

/// An `UpstreamLoad` is the work that an instance has at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// The hash of the upstream's id.
    pub upstream: u64,
    /// The requests that have not ended.
    pub requests: u32,
    /// The prompt tokens of requests without a first event.
    pub waiting_tokens: u32,
    /// The tokens that running requests hold in memory.
    pub held_tokens: u32,
    /// The requests that cannot be continued elsewhere.
    pub fragile: u32,
    /// The long prompts that are being read.
    pub long_prompts: u32,
}

impl UpstreamLoad {
    /// Returns the work of two instances at the same upstream.
    #[must_use]
    pub const fn plus(self, other: &Self) -> Self {
        Self {
            upstream: other.upstream,
            requests: self.requests + other.requests,
            waiting_tokens: self.waiting_tokens.saturating_add(other.waiting_tokens),
            held_tokens: self.held_tokens.saturating_add(other.held_tokens),
            fragile: self.fragile + other.fragile,
            long_prompts: self.long_prompts + other.long_prompts,
        }
    }
}

/// A `TargetWeightsUpdate` tells of the newest weights that operators named for a model.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetWeightsUpdate {
    /// The hash of the model's name.
    pub model: u64,
    /// The version.
    pub version: u64,
}

/// A `LeavingUpdate` tells that an upstream is leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct LeavingUpdate {
    /// The upstream's process; see [`process_hash`].
    pub process: u64,
}

/// A `ServiceUsage` is what an instance sent to a service since its start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceUsage {
    /// The hash of the service's name.
    pub service: u64,
    /// The requests.
    pub requests: u64,
    /// The sends beyond the first of each request.
    pub retries: u64,
}

/// A `WeightsUpdate` tells of an upstream's weights.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightsUpdate {
    /// The upstream's process; see [`process_hash`].
    pub process: u64,
    /// The version of the weights.
    pub version: u64,
    /// The milliseconds for which the upstream is to get no requests, as it
    /// loads the version or is about to.
    pub away_ms: u32,
}

/// A `ConfigurationStatus` is the version that an instance has in force, and the
/// time since the platform last confirmed it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationStatus {
    /// The operators' number of the version.
    pub version: u64,
    /// The milliseconds since the last confirmation, if there was one.
    pub age_ms: Option<u32>,
}

/// A `Heartbeat` is what one instance tells all others, several times a second.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    layout: u8,
    /// The sender's name.
    pub sender: String,
    /// A number that differs at each start of the sender.
    pub incarnation: u64,
    /// The number of the heartbeat, growing from the sender's start.
    pub sequence: u64,
    /// The sender's time at sending, in milliseconds, for the receiver to echo.
    pub stamp_ms: u64,
    /// The last stamp that the sender has got from the receiver.
    pub echo_ms: Option<u64>,
    /// What the sender knows of the configuration.
    pub configuration: ConfigurationStatus,
    /// The use of limits.
    pub teams: Vec<TeamUsage>,
    /// The load of upstreams at which the sender has work.
    pub loads: Vec<UpstreamLoad>,
    /// The weights that changed lately.
    pub weights: Vec<WeightsUpdate>,
    /// The newest weights that operators named.
    pub named: Vec<TargetWeightsUpdate>,
    /// The upstreams that have begun to leave lately.
    pub leaving: Vec<LeavingUpdate>,
    /// The use of services.
    pub services: Vec<ServiceUsage>,
    /// The KV stores that are up, from instances that ask them themselves.
    pub stores: Vec<KvStoreStatus>,
    /// The prompts that engines have read since the last heartbeat.
    pub cached: Vec<CacheUpdate>,
}

/// A `HeartbeatError` tells why a datagram is not a heartbeat.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    /// The bytes do not decode.
    #[error("the datagram is not a beacon: {0}")]
    Malformed(#[from] postcard::Error),
    /// The sender uses another layout.
    #[error("the beacon has layout {layout}")]
    UnsupportedLayout {
        /// The layout of the sender.
        layout: u8,
    },
}

impl Heartbeat {
    /// Returns a heartbeat that tells of nothing yet.
    #[must_use]
    pub fn new(sender: &str, incarnation: u64, sequence: u64) -> Self {
        Self {
            layout: LAYOUT,
            sender: sender.to_owned(),
            incarnation,
            sequence,
            ..Self::default()
        }
    }

    /// Returns the datagram for this heartbeat.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError::Malformed`] when the heartbeat cannot be encoded.
    ///
    /// ```
    /// use limpetsaddle_fleet::heartbeat::Heartbeat;
    ///
    /// let heartbeat = Heartbeat::new("a-1", 7, 1);
    /// let bytes = heartbeat.encode()?;
    /// assert_eq!(Heartbeat::decode(&bytes)?.sender, "a-1");
    /// # Ok::<(), limpetsaddle_fleet::heartbeat::HeartbeatError>(())
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, HeartbeatError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a heartbeat of this layout.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        if let Some(&layout) = bytes.first()
            && layout != LAYOUT
        {
            return Err(HeartbeatError::UnsupportedLayout { layout });
        }
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// Returns the hash under which heartbeats speak of a team or an upstream.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    stable_hash(&[b"name", name.as_bytes()])
}

/// The bits that a process's hash is cut off by: 42 are left, six bytes in a
/// heartbeat, so that among 4,700 upstreams hardly two are ever alike.
const PROCESS_HASH_SHIFT: u32 = 22;

/// Returns the hash under which heartbeats speak of one process of an upstream,
/// which started at `born_ms` since the epoch.
#[must_use]
pub fn process_hash(id: &str, born_ms: u64) -> u64 {
    stable_hash(&[b"process", id.as_bytes(), &born_ms.to_le_bytes()]) >> PROCESS_HASH_SHIFT
}
