//! Configuration objects and their content.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use super::policy::PresetsSpec;
use crate::errors::Error;
use crate::errors::FieldRule;
use crate::errors::Result;
use crate::hash::Digest;
use crate::names::DomainName;
use crate::names::InstanceName;
use crate::names::KeyId;
use crate::names::ModelName;
use crate::names::ObjectName;
use crate::names::PoolName;
use crate::units::FencingNumber;
use crate::units::Incarnation;
use crate::units::Revision;
use crate::units::TokenRate;
use crate::units::Tokens;
use crate::units::WeightsVersion;

/// The number of parts into which a team's rate and burst are divided.
pub const TOTAL_PARTS: u16 = 1_000;

/// The largest number of slots of a failure domain.
pub const MAX_SLOTS: u16 = 256;

/// The kind of a configuration object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A failure domain.
    Domain,
    /// A group of interchangeable upstreams.
    Pool,
    /// The presets and the selection of the active one.
    Presets,
    /// A route to a plain service.
    Route,
    /// The slot table of a failure domain.
    Slots,
    /// A team with its limits and keys.
    Team,
    /// An upstream.
    Upstream,
}

impl Kind {
    /// All kinds, in alphabetical order.
    pub const ALL: [Self; 7] = [
        Self::Domain,
        Self::Pool,
        Self::Presets,
        Self::Route,
        Self::Slots,
        Self::Team,
        Self::Upstream,
    ];

    /// Returns the name of the kind, as used in paths.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Domain => "domain",
            Self::Pool => "pool",
            Self::Presets => "presets",
            Self::Route => "route",
            Self::Slots => "slots",
            Self::Team => "team",
            Self::Upstream => "upstream",
        }
    }
}

/// The id of a configuration object, formatted as `kind/name`.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct ObjectId {
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object within its kind.
    pub name: ObjectName,
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl FromStr for ObjectId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::InvalidName {
            name: text.to_owned(),
        };
        let (kind, name) = text.split_once('/').ok_or_else(invalid)?;
        let kind = Kind::ALL
            .into_iter()
            .find(|k| k.as_str() == kind)
            .ok_or_else(invalid)?;
        Ok(Self {
            kind,
            name: name.parse()?,
        })
    }
}

/// A configuration object at one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// The id of the object.
    pub id: ObjectId,
    /// The revision of the write that produced this content.
    pub revision: Revision,
    /// The content, or `None` if the object is retired.
    pub spec: Option<Arc<Spec>>,
}

/// The content of a configuration object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Spec {
    /// A failure domain.
    Domain(DomainSpec),
    /// A group of interchangeable upstreams.
    Pool(PoolSpec),
    /// The presets and the selection of the active one.
    Presets(PresetsSpec),
    /// A route to a plain service.
    Route(RouteSpec),
    /// The slot table of a failure domain.
    Slots(SlotTable),
    /// A team with its limits and keys.
    Team(TeamSpec),
    /// An upstream.
    Upstream(UpstreamSpec),
}

impl Spec {
    /// Returns the kind of the content.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Domain(_) => Kind::Domain,
            Self::Pool(_) => Kind::Pool,
            Self::Presets(_) => Kind::Presets,
            Self::Route(_) => Kind::Route,
            Self::Slots(_) => Kind::Slots,
            Self::Team(_) => Kind::Team,
            Self::Upstream(_) => Kind::Upstream,
        }
    }

    /// Validates the content independently of other objects.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidField`] for the first invalid field.
    pub fn validate(&self) -> Result<()> {
        match self {
            Self::Domain(domain) => domain.validate(),
            Self::Pool(pool) => pool.validate(),
            Self::Presets(presets) => presets.validate(),
            Self::Route(route) => route.validate(),
            Self::Slots(slots) => slots.validate(),
            Self::Team(team) => team.validate(),
            Self::Upstream(_) => Ok(()),
        }
    }
}

pub(super) const fn require(valid: bool, field: &'static str, reason: FieldRule) -> Result<()> {
    if valid {
        return Ok(());
    }
    Err(Error::InvalidField { field, reason })
}

fn all_distinct<T: Ord>(values: impl Iterator<Item = T>) -> bool {
    let mut values: Vec<T> = values.collect();
    values.sort();
    values.windows(2).all(|pair| pair[0] != pair[1])
}

/// A team with its limits, weight and keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamSpec {
    /// The rate limit in tokens per second over all instances.
    pub rate: TokenRate,
    /// The burst limit in tokens over all instances.
    pub burst: Tokens,
    /// The weight of the team relative to other teams when capacity is contended.
    pub weight: u32,
    /// The models that the team may use; an empty list permits all.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The shares of rate and burst that the failure domains issue.
    pub allotments: Vec<Allotment>,
    /// The keys, including withdrawn ones.
    #[serde(default)]
    pub keys: Vec<KeyRecord>,
}

impl TeamSpec {
    fn validate(&self) -> Result<()> {
        require(self.rate.0 > 0, "rate", FieldRule::Zero)?;
        require(self.burst.0 > 0, "burst", FieldRule::Zero)?;
        require(self.weight > 0, "weight", FieldRule::Zero)?;
        let sum: u32 = self.allotments.iter().map(|a| u32::from(a.parts)).sum();
        let fits = sum <= u32::from(TOTAL_PARTS);
        require(fits, "allotments", FieldRule::SumTooLarge)?;
        let domains = self.allotments.iter().map(|a| &a.domain);
        require(all_distinct(domains), "allotments", FieldRule::Duplicate)?;
        let keys = self.keys.iter().map(|k| &k.id);
        require(all_distinct(keys), "keys", FieldRule::Duplicate)
    }
}

/// The share of a team's limits that one failure domain issues.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allotment {
    /// The failure domain.
    pub domain: DomainName,
    /// The share, in parts of [`TOTAL_PARTS`].
    pub parts: u16,
    /// The number of slots of the domain that the share is divided among.
    #[serde(rename = "spread")]
    pub slot_count: u16,
}

/// The stored record of a caller's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRecord {
    /// The key id, which is the public part of the key.
    pub id: KeyId,
    /// The digest of the complete key.
    pub digest: Digest,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainSpec {
    /// The region of the domain.
    pub region: DomainName,
    /// The number of slots that the domain's limits are divided among.
    pub slots: u16,
}

impl DomainSpec {
    fn validate(&self) -> Result<()> {
        require(self.slots > 0, "slots", FieldRule::Zero)?;
        require(self.slots <= MAX_SLOTS, "slots", FieldRule::TooLarge)
    }
}

/// A `SlotTable` assigns an owner to each slot of a failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotTable {
    /// The owners, indexed by slot number.
    pub owners: Vec<Option<SlotOwner>>,
}

impl SlotTable {
    fn validate(&self) -> Result<()> {
        let fits = self.owners.len() <= usize::from(MAX_SLOTS);
        require(fits, "owners", FieldRule::TooLarge)
    }
}

/// The instance that issues a slot's share of every limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotOwner {
    /// The owning instance.
    pub instance: InstanceName,
    /// The incarnation of the instance that claimed the slot.
    pub incarnation: Incarnation,
    /// One more than the revision of the table that the owner's claim is based on.
    ///
    /// It is 1 only if the table was created with the claim.
    pub epoch: FencingNumber,
}

/// The kind of service that the upstreams of a pool provide.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine {
        /// The model that callers request.
        model: ModelName,
        /// The target version of the weights.
        weights: WeightsVersion,
        /// The length of a cache block in tokens.
        block: Tokens,
    },
    /// A store of exported KV cache.
    KvStore,
    /// A plain service.
    Service,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolSpec {
    /// The kind of service that the upstreams provide.
    pub kind: PoolKind,
    /// Whether the upstreams reject orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

impl PoolSpec {
    fn validate(&self) -> Result<()> {
        match &self.kind {
            PoolKind::Engine { block, .. } => require(block.0 > 0, "block", FieldRule::Zero),
            PoolKind::KvStore | PoolKind::Service => Ok(()),
        }
    }
}

/// The lifecycle phase of an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The upstream accepts new requests.
    #[default]
    Live,
    /// The upstream finishes its requests and accepts no new ones.
    Leaving,
}

/// An upstream of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamSpec {
    /// The pool that the upstream belongs to.
    pub pool: PoolName,
    /// The failure domain that the upstream runs in.
    pub domain: DomainName,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// The lifecycle phase of the upstream.
    #[serde(default)]
    pub phase: Phase,
}

/// A route to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteSpec {
    /// The path prefix that the route matches.
    pub path: String,
    /// The pool that serves the route.
    pub pool: PoolName,
    /// Whether a request may be sent more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the route accepts requests without a key.
    #[serde(default)]
    pub open: bool,
    /// The cost of a request in tokens.
    #[serde(default)]
    pub cost: Tokens,
}

impl RouteSpec {
    fn validate(&self) -> Result<()> {
        require(self.path.starts_with('/'), "path", FieldRule::NotAbsolute)
    }
}
