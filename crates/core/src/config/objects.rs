//! The kinds of configuration objects.

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

/// The number of parts that make up a team's whole rate and burst.
pub const TOTAL_PARTS: u16 = 1_000;

/// The largest number of slots of a failure domain.
pub const MAX_SLOTS: u16 = 256;

/// A `Kind` is the kind of a configuration object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A failure domain.
    Domain,
    /// A group of interchangeable upstreams.
    Pool,
    /// The presets and the one in force.
    Presets,
    /// A route to a plain service.
    Route,
    /// The owners of a failure domain's slots.
    Slots,
    /// A team with its limits and keys.
    Team,
    /// An upstream.
    Upstream,
}

impl Kind {
    /// Every kind, in alphabetical order.
    pub const ALL: [Self; 7] = [
        Self::Domain,
        Self::Pool,
        Self::Presets,
        Self::Route,
        Self::Slots,
        Self::Team,
        Self::Upstream,
    ];

    /// Returns the name of the kind as it stands in paths.
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

/// An `ObjectId` identifies a configuration object: `kind/name`.
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

/// An `Object` is a configuration object at one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// The identity of the object.
    pub id: ObjectId,
    /// The revision of the write that made this state.
    pub revision: Revision,
    /// The content, or `None` when the object is retired.
    pub spec: Option<Arc<Spec>>,
}

/// A `Spec` is the content of a configuration object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Spec {
    /// A failure domain.
    Domain(DomainSpec),
    /// A group of interchangeable upstreams.
    Pool(PoolSpec),
    /// The presets and the one in force.
    Presets(PresetsSpec),
    /// A route to a plain service.
    Route(RouteSpec),
    /// The owners of a failure domain's slots.
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

    /// Checks the content on its own, without reference to other objects.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidField`] for the first field that breaks a rule.
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

pub(super) const fn require(holds: bool, field: &'static str, reason: FieldRule) -> Result<()> {
    if holds {
        return Ok(());
    }
    Err(Error::InvalidField { field, reason })
}

fn all_distinct<T: Ord>(values: impl Iterator<Item = T>) -> bool {
    let mut values: Vec<T> = values.collect();
    values.sort();
    values.windows(2).all(|pair| pair[0] != pair[1])
}

/// A `TeamSpec` is a team with its limits, its weight and its keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamSpec {
    /// The tokens per second that the team may use over all instances together.
    pub rate: TokenRate,
    /// The tokens that the team may use at once over all instances together.
    pub burst: Tokens,
    /// The team's share of contended capacity, relative to other teams.
    pub weight: u32,
    /// The models that the team may use; empty permits all.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The part of rate and burst that each failure domain mints.
    pub allotments: Vec<Allotment>,
    /// The keys, live and withdrawn.
    #[serde(default)]
    pub keys: Vec<KeyRecord>,
}

impl TeamSpec {
    fn validate(&self) -> Result<()> {
        require(self.rate.0 > 0, "rate", FieldRule::Zero)?;
        require(self.burst.0 > 0, "burst", FieldRule::Zero)?;
        require(self.weight > 0, "weight", FieldRule::Zero)?;
        let total: u32 = self.allotments.iter().map(|a| u32::from(a.parts)).sum();
        let whole = total <= u32::from(TOTAL_PARTS);
        require(whole, "allotments", FieldRule::ExceedsWhole)?;
        let domains = self.allotments.iter().map(|a| &a.domain);
        require(all_distinct(domains), "allotments", FieldRule::Duplicate)?;
        let keys = self.keys.iter().map(|k| &k.id);
        require(all_distinct(keys), "keys", FieldRule::Duplicate)
    }
}

/// An `Allotment` is the part of a team's limits that one failure domain mints.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allotment {
    /// The failure domain.
    pub domain: DomainName,
    /// Its part of [`TOTAL_PARTS`].
    pub parts: u16,
    /// The number of the domain's slots that mint the part.
    #[serde(rename = "spread")]
    pub slot_count: u16,
}

/// A `KeyRecord` is a caller's key as the platform stores it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRecord {
    /// The public part of the key.
    pub id: KeyId,
    /// The digest of the whole key.
    pub digest: Digest,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A `DomainSpec` is a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainSpec {
    /// The region that the domain lies in.
    pub region: DomainName,
    /// The number of slots among which the domain's limits are divided.
    pub slots: u16,
}

impl DomainSpec {
    fn validate(&self) -> Result<()> {
        require(self.slots > 0, "slots", FieldRule::Zero)?;
        require(self.slots <= MAX_SLOTS, "slots", FieldRule::TooLarge)
    }
}

/// A `SlotTable` names the owner of each slot of a failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotTable {
    /// The owners, by slot number.
    pub owners: Vec<Option<SlotOwner>>,
}

impl SlotTable {
    fn validate(&self) -> Result<()> {
        let fits = self.owners.len() <= usize::from(MAX_SLOTS);
        require(fits, "owners", FieldRule::TooLarge)
    }
}

/// A `SlotOwner` is the instance that mints a slot's part of every limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotOwner {
    /// The owning instance.
    pub instance: InstanceName,
    /// The incarnation that took the slot.
    pub incarnation: Incarnation,
    /// One more than the revision of the table that the owner's claim rests on.
    ///
    /// It is 1 only where the claim was part of the table's creation.
    pub epoch: FencingNumber,
}

/// A `PoolKind` is what the upstreams of a pool do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine {
        /// The model that callers ask for.
        model: ModelName,
        /// The version of the weights that the engines are to hold.
        weights: WeightsVersion,
        /// The length of a cache block.
        block: Tokens,
    },
    /// A store of exported KV cache.
    KvStore,
    /// A plain service.
    Service,
}

/// A `PoolSpec` is a group of interchangeable upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolSpec {
    /// What the upstreams do.
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

/// A `Phase` is where an upstream stands in its life.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The upstream takes new work.
    #[default]
    Live,
    /// The upstream ends its work and takes no more.
    Leaving,
}

/// An `UpstreamSpec` is one upstream of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamSpec {
    /// The pool that the upstream belongs to.
    pub pool: PoolName,
    /// The failure domain that the upstream runs in.
    pub domain: DomainName,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// Where the upstream stands in its life.
    #[serde(default)]
    pub phase: Phase,
}

/// A `RouteSpec` is a route to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteSpec {
    /// The prefix of the path that the route matches.
    pub path: String,
    /// The pool that serves the route.
    pub pool: PoolName,
    /// Whether a request may be sent a second time.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the route needs no key.
    #[serde(default)]
    pub open: bool,
    /// The tokens that a request is charged.
    #[serde(default)]
    pub cost: Tokens,
}

impl RouteSpec {
    fn validate(&self) -> Result<()> {
        require(self.path.starts_with('/'), "path", FieldRule::NotAPath)
    }
}
