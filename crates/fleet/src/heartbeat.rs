//! The datagram by which instances report use, load and weights to each other.
//!
//! It repeats totals since the sender's start, so lost or duplicated datagrams are
//! harmless.

mod section;

use std::time::Duration;

use limpetsaddle_core::hash::stable_hash;
use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::directory::CacheUpdate;
use crate::kv_store_monitor::KvStoreStatus;
use crate::permit_messages::PermitMessage;
use crate::quarantine::QuarantineReport;
use crate::quarantine::ReportError;
use crate::service_reach::ReachReport;
use crate::store_era::StoreEra;
use crate::store_reads::StoreRead;
use crate::weights::VersionAge;

pub use self::section::MAX_SECTION_BYTES;
pub use self::section::SectionKind;
pub use self::section::Sections;

/// The version of the message's layout; heartbeats with another layout are dropped.
const LAYOUT: u8 = 10;

/// The units that an instance has admitted for a team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamUsage {
    /// The hash of the team's name.
    pub team: u64,
    /// The units admitted since the sender's start.
    pub spent: u64,
}

/// The load of one instance's requests, or of several instances' requests, at an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// The hash of the upstream's id.
    pub upstream: u64,
    /// The requests that have not ended.
    pub requests: u32,
    /// The prompt tokens of requests without a first event yet.
    pub waiting_tokens: u32,
    /// The tokens that running requests take in the KV cache.
    pub held_tokens: u32,
    /// The requests that cannot be continued elsewhere.
    pub fragile: u32,
    /// The long prompts in prefill.
    pub long_prompts: u32,
}

impl UpstreamLoad {
    /// Adds the load of another instance at the same upstream.
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

    /// Subtracts a load that was added before.
    #[must_use]
    pub const fn minus(self, other: &Self) -> Self {
        Self {
            upstream: other.upstream,
            requests: self.requests.saturating_sub(other.requests),
            waiting_tokens: self.waiting_tokens.saturating_sub(other.waiting_tokens),
            held_tokens: self.held_tokens.saturating_sub(other.held_tokens),
            fragile: self.fragile.saturating_sub(other.fragile),
            long_prompts: self.long_prompts.saturating_sub(other.long_prompts),
        }
    }
}

/// The newest target weights of a model.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetWeightsUpdate {
    /// The hash of the model's name.
    pub model: u64,
    /// The version.
    pub version: u64,
}

/// The age of a version of target weights.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetWeightsAge {
    /// The hash of the model's name.
    pub model: u64,
    /// The version.
    pub version: u64,
    least_ms: u32,
    most_ms: Option<u32>,
}

impl TargetWeightsAge {
    /// Returns a report of an age.
    #[must_use]
    pub fn new(model: u64, version: u64, age: VersionAge) -> Self {
        let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Self {
            model,
            version,
            least_ms: millis(age.least),
            // Rounded up.
            most_ms: age.most.map(|most| millis(most).saturating_add(1)),
        }
    }

    /// Returns the age at the arrival of a report that was sent at most `max_delay` ago, or at
    /// any time if that is `None`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_fleet::heartbeat::TargetWeightsAge;
    /// use limpetsaddle_fleet::weights::VersionAge;
    ///
    /// let delay = Duration::from_millis(100);
    /// let report = TargetWeightsAge::new(7, 2, VersionAge::ZERO);
    /// assert_eq!(report.age(Some(delay)).most, Some(Duration::from_millis(101)));
    /// assert_eq!(report.age(None), VersionAge::UNKNOWN);
    /// ```
    #[must_use]
    pub fn age(&self, max_delay: Option<Duration>) -> VersionAge {
        let age = |ms: u32| Duration::from_millis(u64::from(ms));
        let most = self.most_ms.zip(max_delay);
        VersionAge {
            least: age(self.least_ms),
            most: most.map(|(ms, delay)| age(ms) + delay),
        }
    }
}

/// A linearizable read of the store by the sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreReadReport {
    era: StoreEra,
    revision: u64,
    age_ms: u32,
}

impl StoreReadReport {
    /// Encodes a missing read before a report. Older instances decode it as a read of long ago,
    /// which has no effect.
    const NONE: Self = Self {
        era: StoreEra(0),
        revision: 0,
        age_ms: u32::MAX,
    };

    /// Returns a report of a read at `now`.
    #[must_use]
    pub fn new(read: &StoreRead, now: Time) -> Self {
        let age = now.since(read.sent).as_millis();
        Self {
            era: read.era,
            revision: read.revision,
            // Rounded up.
            age_ms: u32::try_from(age).unwrap_or(u32::MAX).saturating_add(1),
        }
    }

    /// Returns the read at the arrival of a report that was sent at most `max_delay` ago.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::heartbeat::StoreReadReport;
    /// use limpetsaddle_fleet::store_era::StoreEra;
    /// use limpetsaddle_fleet::store_reads::StoreRead;
    ///
    /// let at = |ms| Time::from_origin(Duration::from_millis(ms));
    /// let read = StoreRead { era: StoreEra(0), revision: 7, sent: at(1_000) };
    /// let report = StoreReadReport::new(&read, at(1_500));
    /// let delay = Duration::from_millis(100);
    /// // The clocks of the two instances have different origins.
    /// assert_eq!(report.read(delay, at(9_601)).sent, at(9_000));
    /// ```
    #[must_use]
    pub fn read(&self, max_delay: Duration, now: Time) -> StoreRead {
        let age = Duration::from_millis(u64::from(self.age_ms)).saturating_add(max_delay);
        StoreRead {
            era: self.era,
            revision: self.revision,
            sent: Time::from_origin(now.since_origin().saturating_sub(age)),
        }
    }
}

/// The report that an upstream is leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingUpdate {
    /// The hash of the upstream's process; see [`process_hash`].
    pub process: u64,
    /// The number of the process's last entry if that was removed; a process that is still
    /// alive may register again.
    pub removed: Option<u64>,
}

/// The requests that an instance has sent to a service since its start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceUsage {
    /// The hash of the service's name.
    pub service: u64,
    /// The requests.
    pub requests: u64,
    /// The attempts beyond the first one of each request.
    pub retries: u64,
}

/// The weights of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightsUpdate {
    /// The hash of the upstream's process; see [`process_hash`].
    pub process: u64,
    /// The version of the weights.
    pub version: u64,
    /// The remaining time in milliseconds in which the upstream gets no requests, as it
    /// loads weights or is about to.
    pub away_ms: u32,
}

/// The configuration version in force at an instance and the age of its last confirmation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationStatus {
    /// The operators' version number.
    pub version: u64,
    /// The time since the platform confirmed the version, in milliseconds, if it ever did.
    pub age_ms: Option<u32>,
}

/// The message that an instance sends to all others several times a second.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    layout: u8,
    /// The sender's name.
    pub sender: String,
    /// A number that is different at each start of the sender.
    pub incarnation: u64,
    /// The sequence number since the sender's start.
    pub sequence: u64,
    /// The sender's clock at sending, in milliseconds; the receiver echoes it.
    pub stamp_ms: u64,
    /// The era of the store that the sender knows, if any.
    pub store_era: Option<StoreEra>,
    /// The highest fencing number of the lease for orders that the sender knows.
    pub fencing: u64,
    /// The sender's configuration.
    pub configuration: ConfigurationStatus,
    /// The use of team limits.
    pub teams: Vec<TeamUsage>,
    /// The load of the sender's requests at each upstream that has any.
    pub loads: Vec<UpstreamLoad>,
    /// The recently changed weights.
    pub weights: Vec<WeightsUpdate>,
    /// The newest target weights.
    pub named: Vec<TargetWeightsUpdate>,
    /// The upstreams that have recently started to leave.
    pub leaving: Vec<LeavingUpdate>,
    /// The requests to services.
    pub services: Vec<ServiceUsage>,
    /// The KV stores that are up, if the sender probes them.
    pub stores: Vec<KvStoreStatus>,
    /// The prompts that were cached since the last heartbeat.
    pub cached: Vec<CacheUpdate>,
    /// The ages of target weights. They follow the recipient's part, where instances that
    /// don't know them ignore them.
    #[serde(skip)]
    pub ages: Vec<TargetWeightsAge>,
    /// The sender's last read of the store. It follows the ages.
    #[serde(skip)]
    pub read: Option<StoreReadReport>,
    /// The services that the sender reaches or fails to reach. They follow the read.
    #[serde(skip)]
    pub reach: ReachReport,
    /// The reports of optional behaviour. They follow the reached services.
    #[serde(skip)]
    pub sections: Sections,
}

/// The reason for which a heartbeat cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    /// The encoding is invalid.
    #[error("the heartbeat is malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// The sender uses another layout.
    #[error("the heartbeat has the unsupported layout {layout}")]
    UnsupportedLayout {
        /// The sender's layout.
        layout: u8,
    },
    /// A section is too long.
    #[error("section {kind} of the heartbeat has {bytes} bytes, more than {MAX_SECTION_BYTES}")]
    OversizedSection {
        /// The number of the section's kind.
        kind: u8,
        /// The size of its content.
        bytes: usize,
    },
    /// The datagram is an invalid report of crashes.
    #[error(transparent)]
    Report(#[from] ReportError),
}

impl Heartbeat {
    /// Returns a heartbeat without reports.
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

    /// Encodes the heartbeat without its recipient's part, which
    /// [`EncodedHeartbeat::for_recipient`] adds.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError::Malformed`] if the heartbeat cannot be encoded.
    ///
    /// ```
    /// use limpetsaddle_fleet::heartbeat::Heartbeat;
    ///
    /// let encoded = Heartbeat::new("a-1", 7, 1).encode()?;
    /// let datagram = encoded.for_recipient(Some(5))?;
    /// let (heartbeat, echo_ms) = Heartbeat::decode(&datagram)?;
    /// assert_eq!((heartbeat.sender.as_str(), echo_ms), ("a-1", Some(5)));
    /// # Ok::<(), limpetsaddle_fleet::heartbeat::HeartbeatError>(())
    /// ```
    pub fn encode(&self) -> Result<EncodedHeartbeat, HeartbeatError> {
        let extension = match self.read {
            read if !self.sections.is_empty() => {
                let read = read.unwrap_or(StoreReadReport::NONE);
                postcard::to_stdvec(&(&self.ages, read, &self.reach, &self.sections))?
            }
            Some(read) if self.reach.is_empty() => postcard::to_stdvec(&(&self.ages, read))?,
            read if !self.reach.is_empty() => {
                let read = read.unwrap_or(StoreReadReport::NONE);
                postcard::to_stdvec(&(&self.ages, read, &self.reach))?
            }
            _ if self.ages.is_empty() => Vec::new(),
            _ => postcard::to_stdvec(&self.ages)?,
        };
        Ok(EncodedHeartbeat {
            shared: postcard::to_stdvec(self)?,
            extension,
        })
    }

    /// Decodes a heartbeat from a datagram, and the receiver's own stamp that it echoes.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError`] if the bytes are not a heartbeat of this layout.
    pub fn decode(bytes: &[u8]) -> Result<(Self, Option<u64>), HeartbeatError> {
        if let Some(&layout) = bytes.first()
            && layout != LAYOUT
        {
            return Err(HeartbeatError::UnsupportedLayout { layout });
        }
        let (mut heartbeat, rest): (Self, _) = postcard::take_from_bytes(bytes)?;
        let (echo_ms, extension) = postcard::take_from_bytes(rest)?;
        if !extension.is_empty() {
            let (ages, rest) = postcard::take_from_bytes(extension)?;
            heartbeat.ages = ages;
            if !rest.is_empty() {
                let (read, rest) = postcard::take_from_bytes(rest)?;
                heartbeat.read = Some(read).filter(|read| *read != StoreReadReport::NONE);
                if !rest.is_empty() {
                    let (reach, rest) = postcard::take_from_bytes(rest)?;
                    heartbeat.reach = reach;
                    heartbeat.reach.truncate();
                    if !rest.is_empty() {
                        heartbeat.sections = postcard::from_bytes(rest)?;
                        heartbeat.sections.truncate();
                    }
                }
            }
        }
        Ok((heartbeat, echo_ms))
    }
}

/// The version of the layout of notices. It differs from that of heartbeats, which arrive at
/// the same port.
const NOTICE_LAYOUT: u8 = 128;

/// The message by which the holder of the lease informs all others about engines that are
/// about to load weights, as heartbeats are rare in a large fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightsNotice {
    layout: u8,
    /// The sender's name.
    pub sender: String,
    /// The engines and their weights.
    pub weights: Vec<WeightsUpdate>,
}

impl WeightsNotice {
    /// Returns a notice of the instance `sender`.
    #[must_use]
    pub fn new(sender: &str, weights: Vec<WeightsUpdate>) -> Self {
        Self {
            layout: NOTICE_LAYOUT,
            sender: sender.to_owned(),
            weights,
        }
    }

    /// Encodes the notice as a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError::Malformed`] if the notice cannot be encoded.
    ///
    /// ```
    /// use limpetsaddle_fleet::heartbeat::Datagram;
    /// use limpetsaddle_fleet::heartbeat::WeightsNotice;
    ///
    /// let notice = WeightsNotice::new("a-1", Vec::new());
    /// let datagram = notice.encode()?;
    /// assert_eq!(Datagram::decode(&datagram)?, Datagram::Notice(notice));
    /// # Ok::<(), limpetsaddle_fleet::heartbeat::HeartbeatError>(())
    /// ```
    pub fn encode(&self) -> Result<Vec<u8>, HeartbeatError> {
        Ok(postcard::to_stdvec(self)?)
    }
}

/// A message from another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Datagram {
    /// A heartbeat, and the receiver's own stamp that it echoes.
    Heartbeat(Box<Heartbeat>, Option<u64>),
    /// A notice.
    Notice(WeightsNotice),
    /// A report of crashes and withheld parts.
    Quarantine(QuarantineReport),
    /// A message about permits.
    Permits(PermitMessage),
}

impl Datagram {
    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError`] if the bytes are no message of a known layout.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        if bytes.first() == Some(&NOTICE_LAYOUT) {
            return Ok(Self::Notice(postcard::from_bytes(bytes)?));
        }
        if QuarantineReport::is_report(bytes) {
            return Ok(Self::Quarantine(QuarantineReport::decode(bytes)?));
        }
        if PermitMessage::is_message(bytes) {
            return Ok(Self::Permits(PermitMessage::decode(bytes)?));
        }
        let (heartbeat, echo_ms) = Heartbeat::decode(bytes)?;
        Ok(Self::Heartbeat(Box::new(heartbeat), echo_ms))
    }
}

/// The parts of an encoded heartbeat that all recipients share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedHeartbeat {
    /// The part before the recipient's one.
    shared: Vec<u8>,
    /// The part after the recipient's one.
    extension: Vec<u8>,
}

impl EncodedHeartbeat {
    /// Returns the datagram for one recipient.
    ///
    /// `echo_ms` is the last `stamp_ms` that was received from the recipient.
    ///
    /// # Errors
    ///
    /// Returns [`HeartbeatError::Malformed`] if the stamp cannot be encoded.
    pub fn for_recipient(&self, echo_ms: Option<u64>) -> Result<Vec<u8>, HeartbeatError> {
        let mut datagram = postcard::to_extend(&echo_ms, self.shared.clone())?;
        datagram.extend_from_slice(&self.extension);
        Ok(datagram)
    }
}

/// Returns the hash of a name in heartbeats.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    shorten(stable_hash(&[b"name", name.as_bytes()]))
}

/// The number of bits by which hashes are shortened: the remaining 42 take six bytes in
/// a heartbeat, and a collision among 4,700 upstreams is improbable.
const HASH_SHIFT: u32 = 22;

/// Shortens a hash for heartbeats.
#[must_use]
pub const fn shorten(hash: u64) -> u64 {
    hash >> HASH_SHIFT
}

/// Returns the hash in heartbeats of an upstream's process that started at `born_ms`, in
/// milliseconds since the Unix epoch.
#[must_use]
pub fn process_hash(id: &str, born_ms: u64) -> u64 {
    shorten(stable_hash(&[
        b"process",
        id.as_bytes(),
        &born_ms.to_le_bytes(),
    ]))
}
