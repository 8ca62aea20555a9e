//! The blackboard, through which the controllers of an instance share state.
//!
//! Provides [`Blackboard`], which contains the state of all decisions of one instance
//! and keeps its parts consistent when the configuration changes.

mod placing;
mod slots;

use std::collections::BTreeMap;
use std::time::Duration;

use self::slots::OwnerFirstSeen;
use crate::config::Kind;
use crate::config::Object;
use crate::config::Policy;
use crate::config::PoolKind;
use crate::config::PoolSpec;
use crate::config::SlotTable;
use crate::config::Spec;
use crate::fair_queue::FairQueue;
use crate::fair_queue::TeamUsage;
use crate::limits::Ledger;
use crate::limits::LimitsOptions;
use crate::membership::MemberRecord;
use crate::membership::Members;
use crate::membership::MembersOptions;
use crate::names::DomainName;
use crate::names::ModelName;
use crate::names::PoolName;
use crate::placement::Placer;
use crate::placement::PlacerOptions;
use crate::retry::RetryBudget;
use crate::store::Change;
use crate::store::ConfigStore;
use crate::units::Time;
use crate::units::WeightsVersion;
use crate::upstreams::Arrival;
use crate::upstreams::UpstreamOptions;
use crate::upstreams::UpstreamTable;

pub use self::placing::PlacedRequest;
pub use self::placing::Placement;
pub use self::placing::PlacementRequest;
pub use self::placing::QueuedRequest;
pub use self::slots::SlotWrite;

/// The time after the start within which added upstreams count as already in service.
const BOOTSTRAP_PERIOD: Duration = Duration::from_secs(3);

/// A `BlackboardOptions` contains the options of the parts of a [`Blackboard`].
#[derive(Clone, Copy, Debug, Default)]
pub struct BlackboardOptions {
    /// The options of the limits.
    pub limits: LimitsOptions,
    /// The options of membership.
    pub members: MembersOptions,
    /// The options of placement.
    pub placer: PlacerOptions,
    /// The options of the table of upstreams.
    pub upstreams: UpstreamOptions,
}

/// A `Blackboard` is the state of one instance.
///
/// `W` is the type by which the caller refers to a queued request.
///
/// ```
/// use limpetsaddle_core::blackboard::Blackboard;
/// use limpetsaddle_core::blackboard::BlackboardOptions;
/// use limpetsaddle_core::config::Phase;
/// use limpetsaddle_core::membership::MemberRecord;
/// use limpetsaddle_core::units::Incarnation;
/// use limpetsaddle_core::units::Revision;
/// use limpetsaddle_core::units::Time;
///
/// let own = MemberRecord {
///     name: "bergen-a-1".parse()?,
///     incarnation: Incarnation(1),
///     domain: "bergen-a".parse()?,
///     address: ([127, 0, 0, 1], 8082).into(),
///     phase: Phase::Live,
///     heartbeat: 0,
///     revision: Revision::ABSENT,
/// };
/// let board = Blackboard::<()>::new(own, BlackboardOptions::default(), Time::ZERO);
/// assert!(!board.is_ready());
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
pub struct Blackboard<W> {
    /// The configuration in force.
    pub store: ConfigStore,
    /// The known instances.
    pub members: Members,
    /// The limits of the teams.
    pub ledger: Ledger,
    /// The state of the upstreams.
    pub upstreams: UpstreamTable,
    /// The requests that are waiting for an upstream.
    pub queue: FairQueue<QueuedRequest<W>>,
    /// The recent usage of each team.
    pub usage: TeamUsage,
    /// The budget for retries.
    pub budget: RetryBudget,
    placers: BTreeMap<PoolName, Placer>,
    owners_first_seen: OwnerFirstSeen,
    options: BlackboardOptions,
    started: Time,
}

impl<W> Blackboard<W> {
    /// Returns the blackboard of a starting instance.
    #[must_use]
    pub fn new(own: MemberRecord, options: BlackboardOptions, now: Time) -> Self {
        let name = own.name.clone();
        let domain = own.domain.clone();
        Self {
            store: ConfigStore::default(),
            ledger: Ledger::new(name, own.incarnation, domain, options.limits),
            members: Members::new(own, options.members, now),
            upstreams: UpstreamTable::new(options.upstreams),
            queue: FairQueue::new(),
            usage: TeamUsage::default(),
            budget: RetryBudget::default(),
            placers: BTreeMap::new(),
            owners_first_seen: OwnerFirstSeen::default(),
            options,
            started: now,
        }
    }

    /// Returns whether a complete configuration is in force.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.store.confirmation().is_some()
    }

    /// Returns the policy in force.
    #[must_use]
    pub const fn policy(&self) -> &Policy {
        self.store.presets().active_policy()
    }

    /// Returns the failure domain of this instance.
    #[must_use]
    pub const fn domain(&self) -> &DomainName {
        &self.members.own().domain
    }

    /// Returns the pool that serves a model and its specification.
    #[must_use]
    pub fn pool_for(&self, model: &ModelName) -> Option<(&PoolName, &PoolSpec)> {
        let mut pools = self.store.pools_for(model);
        pools.find_map(|name| Some((name, self.store.pool(name)?)))
    }

    /// Returns the weights versions with which engines of a pool may be used: the
    /// target version, then the versions that engines still hold, newest first.
    #[must_use]
    pub fn weights_in_use(&self, pool: &PoolName, target: WeightsVersion) -> Vec<WeightsVersion> {
        let members = self.upstreams.members(pool, None).iter();
        let rows = members.filter_map(|m| self.upstreams.get(m.id));
        let seen = rows.filter_map(|row| row.identity.map(|i| i.weights));
        let mut versions: Vec<WeightsVersion> = seen.filter(|w| *w != target).collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        versions.dedup();
        versions.insert(0, target);
        versions
    }

    /// Merges objects into the configuration and returns the resulting changes.
    pub fn merge(&mut self, objects: impl IntoIterator<Item = Object>, now: Time) -> Vec<Change> {
        let changes = self.store.merge_all(objects);
        self.apply_changes(&changes, now);
        changes
    }

    /// Applies configuration changes to the other parts.
    pub fn apply_changes(&mut self, changes: &[Change], now: Time) {
        for change in changes {
            self.apply_change(change, now);
        }
    }

    fn apply_change(&mut self, change: &Change, now: Time) {
        let object = &change.object;
        let spec = object.spec.as_deref();
        // All name types accept the same texts, so that the names can be parsed.
        let name = object.id.name.as_str();
        match (object.id.kind, spec) {
            (Kind::Team, Some(Spec::Team(team))) => {
                if let Ok(name) = name.parse() {
                    self.ledger.set_team(&name, Some(team), now);
                }
            }
            (Kind::Team, _) => {
                if let Ok(name) = name.parse() {
                    self.ledger.set_team(&name, None, now);
                }
            }
            (Kind::Domain, spec) => {
                let spec = match spec {
                    Some(Spec::Domain(domain)) => Some(domain),
                    _ => None,
                };
                if let Ok(name) = name.parse() {
                    self.ledger.set_domain(&name, spec, now);
                }
            }
            (Kind::Slots, spec) => {
                let empty = SlotTable::default();
                let table = match spec {
                    Some(Spec::Slots(table)) => table,
                    _ => &empty,
                };
                if let Ok(name) = name.parse() {
                    self.ledger.set_slots(&name, object.revision, table, now);
                    if name == *self.domain() {
                        self.owners_first_seen.update(table, now);
                    }
                }
            }
            (Kind::Upstream, Some(Spec::Upstream(upstream))) => {
                let arrival = match now.since(self.started) {
                    age if age <= BOOTSTRAP_PERIOD => Arrival::InService,
                    _ => Arrival::New,
                };
                if let Ok(name) = name.parse() {
                    self.upstreams.insert(name, upstream.clone(), arrival, now);
                }
            }
            (Kind::Upstream, _) => {
                if let Ok(name) = name.parse() {
                    self.upstreams.remove(&name);
                }
            }
            (Kind::Pool | Kind::Presets | Kind::Route, _) => {}
        }
    }

    /// Returns whether a pool's upstreams are model engines.
    #[must_use]
    pub fn is_engine_pool(&self, pool: &PoolName) -> bool {
        let spec = self.store.pool(pool);
        spec.is_some_and(|p| matches!(p.kind, PoolKind::Engine { .. }))
    }
}
