//! Lookups of the request path, updated on each change.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::Arc;

use super::ConfigStore;
use crate::config::DomainSpec;
use crate::config::KeyRecord;
use crate::config::Kind;
use crate::config::Object;
use crate::config::PoolKind;
use crate::config::PoolSpec;
use crate::config::PresetsSpec;
use crate::config::RouteSpec;
use crate::config::SlotTable;
use crate::config::Spec;
use crate::config::TeamSpec;
use crate::config::UpstreamSpec;
use crate::names::DomainName;
use crate::names::ModelName;
use crate::names::ObjectName;
use crate::names::PoolName;
use crate::names::RouteName;
use crate::names::TeamName;
use crate::names::UpstreamName;

/// The name of the only object that holds presets.
pub const PRESETS_NAME: &str = "current";

type MultiMap<K, V> = BTreeMap<K, BTreeSet<V>>;

/// An `Index` finds objects by the properties of a request.
#[derive(Debug, Default)]
pub(super) struct Index {
    specs: BTreeMap<Kind, BTreeMap<Arc<str>, Arc<Spec>>>,
    teams_by_key: MultiMap<Arc<str>, TeamName>,
    routes_by_path: MultiMap<String, RouteName>,
    pools_by_model: MultiMap<ModelName, PoolName>,
    upstreams_by_pool: MultiMap<PoolName, UpstreamName>,
    presets: PresetsSpec,
}

impl Index {
    /// Replaces the `previous` content of an object by its current content.
    pub(super) fn replace(&mut self, object: &Object, previous: Option<&Spec>) {
        let name = &object.id.name;
        if let Some(previous) = previous {
            self.remove(name, previous);
        }
        let specs = self.specs.entry(object.id.kind).or_default();
        let Some(spec) = &object.spec else {
            specs.remove(name.as_str());
            return;
        };
        specs.insert(name.as_str().into(), Arc::clone(spec));
        self.insert(name, spec);
    }

    fn insert(&mut self, name: &ObjectName, spec: &Spec) {
        match spec {
            Spec::Team(team) => {
                for key in &team.keys {
                    let id = key.id.as_str().into();
                    add(&mut self.teams_by_key, id, name);
                }
            }
            Spec::Route(route) => add(&mut self.routes_by_path, route.path.clone(), name),
            Spec::Pool(pool) => {
                if let PoolKind::Engine { model, .. } = &pool.kind {
                    add(&mut self.pools_by_model, model.clone(), name);
                }
            }
            Spec::Upstream(upstream) => {
                add(&mut self.upstreams_by_pool, upstream.pool.clone(), name);
            }
            Spec::Presets(presets) => self.presets = presets.clone(),
            Spec::Domain(_) | Spec::Slots(_) => {}
        }
    }

    fn remove(&mut self, name: &ObjectName, spec: &Spec) {
        match spec {
            Spec::Team(team) => {
                for key in &team.keys {
                    discard(&mut self.teams_by_key, key.id.as_str(), name);
                }
            }
            Spec::Route(route) => discard(&mut self.routes_by_path, route.path.as_str(), name),
            Spec::Pool(pool) => {
                if let PoolKind::Engine { model, .. } = &pool.kind {
                    discard(&mut self.pools_by_model, model, name);
                }
            }
            Spec::Upstream(upstream) => {
                discard(&mut self.upstreams_by_pool, &upstream.pool, name);
            }
            Spec::Presets(_) => self.presets = PresetsSpec::default(),
            Spec::Domain(_) | Spec::Slots(_) => {}
        }
    }

    fn spec(&self, kind: Kind, name: &str) -> Option<&Spec> {
        self.specs.get(&kind)?.get(name).map(Arc::as_ref)
    }
}

/// Adds the name of an object under `key`. All name types accept the same text.
fn add<K: Ord, V: Ord + FromStr>(map: &mut MultiMap<K, V>, key: K, name: &ObjectName) {
    if let Ok(name) = name.as_str().parse() {
        map.entry(key).or_default().insert(name);
    }
}

fn discard<K, Q, V>(map: &mut MultiMap<K, V>, key: &Q, name: &ObjectName)
where
    K: Borrow<Q> + Ord,
    Q: Ord + ?Sized,
    V: Ord + FromStr,
{
    let Some(names) = map.get_mut(key) else {
        return;
    };
    if let Ok(name) = name.as_str().parse() {
        names.remove(&name);
    }
    if names.is_empty() {
        map.remove(key);
    }
}

macro_rules! lookup {
    ($(#[$doc:meta])* $method:ident, $name:ty, $kind:ident, $spec:ty) => {
        $(#[$doc])*
        #[must_use]
        pub fn $method(&self, name: &$name) -> Option<&$spec> {
            match self.index.spec(Kind::$kind, name.as_str())? {
                Spec::$kind(spec) => Some(spec),
                _ => None,
            }
        }
    };
}

impl ConfigStore {
    lookup! {
        /// Returns the team, or `None` if it is unknown or retired.
        team, TeamName, Team, TeamSpec
    }
    lookup! {
        /// Returns the failure domain, or `None` if it is unknown or retired.
        domain, DomainName, Domain, DomainSpec
    }
    lookup! {
        /// Returns the slot table of a failure domain, or `None` if it is unknown or retired.
        slots, DomainName, Slots, SlotTable
    }
    lookup! {
        /// Returns the pool, or `None` if it is unknown or retired.
        pool, PoolName, Pool, PoolSpec
    }
    lookup! {
        /// Returns the upstream, or `None` if it is unknown or retired.
        upstream, UpstreamName, Upstream, UpstreamSpec
    }
    lookup! {
        /// Returns the route, or `None` if it is unknown or retired.
        route, RouteName, Route, RouteSpec
    }

    /// Returns all teams that are not retired, sorted by name.
    pub fn teams(&self) -> impl Iterator<Item = (TeamName, &TeamSpec)> {
        let teams = self.index.specs.get(&Kind::Team).into_iter().flatten();
        teams.filter_map(|(name, spec)| match spec.as_ref() {
            Spec::Team(team) => Some((name.parse().ok()?, team)),
            _ => None,
        })
    }

    /// Returns the teams that have a key with the id `key_id`.
    pub fn teams_by_key(&self, key_id: &str) -> impl Iterator<Item = (&TeamName, &KeyRecord)> {
        let names = self.index.teams_by_key.get(key_id).into_iter().flatten();
        names.filter_map(move |name| {
            let mut keys = self.team(name)?.keys.iter();
            let record = keys.find(|key| key.id.as_str() == key_id)?;
            Some((name, record))
        })
    }

    /// Returns the route with the longest path that is a prefix of `path`.
    ///
    /// A prefix consists of whole segments: `/a` matches `/a` and `/a/b`, but not
    /// `/ab`. Of several routes with the same path, the first by name is returned.
    ///
    /// ```
    /// use limpetsaddle_core::store::ConfigStore;
    ///
    /// assert!(ConfigStore::default().route_for("/v1/echo").is_none());
    /// ```
    #[must_use]
    pub fn route_for(&self, path: &str) -> Option<(&RouteName, &RouteSpec)> {
        let mut prefix = path;
        loop {
            if let Some(names) = self.index.routes_by_path.get(prefix) {
                let name = names.first()?;
                return Some((name, self.route(name)?));
            }
            prefix = match prefix.strip_suffix('/') {
                Some(shorter) => shorter,
                None => &prefix[..=prefix.rfind('/')?],
            };
        }
    }

    /// Returns the pools whose engines serve `model`, sorted by name.
    pub fn pools_for(&self, model: &ModelName) -> impl Iterator<Item = &PoolName> {
        self.index.pools_by_model.get(model).into_iter().flatten()
    }

    /// Returns the models served by any pool, sorted by name.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.index.pools_by_model.keys()
    }

    /// Returns the upstreams of a pool, sorted by name.
    pub fn upstreams_of(
        &self,
        pool: &PoolName,
    ) -> impl Iterator<Item = (&UpstreamName, &UpstreamSpec)> {
        let names = self.index.upstreams_by_pool.get(pool).into_iter().flatten();
        names.filter_map(|name| Some((name, self.upstream(name)?)))
    }

    /// Returns the presets, of which exactly one is active.
    ///
    /// Returns the defaults if no presets are stored.
    #[must_use]
    pub const fn presets(&self) -> &PresetsSpec {
        &self.index.presets
    }
}
