//! The configuration in force: routes, services, teams and limits on callers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::hash::stable_hash;

use crate::Name;

/// A `RouteKind` tells what may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a series of events; a resumable one may be continued by
    /// another upstream, any other runs at most once.
    Stream {
        /// Whether another upstream may continue a broken stream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run a second time.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A `Share` is the part of a route's requests that one service gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// The weight relative to the other shares.
    pub weight: u32,
}

/// A `Route` sends the requests of a host and path prefix to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The name, unique in the configuration.
    pub name: Name,
    /// The host in lower case.
    pub host: Name,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services; never empty.
    pub shares: Vec<Share>,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub target_latency: Duration,
    /// The largest number of upstreams that may run one request.
    pub max_attempts: u32,
    /// The rank, 0 being the most urgent.
    pub priority: u8,
    /// Whether the route is open to callers without a key.
    pub public: bool,
}

impl Route {
    /// Returns the service for the request whose hash is `draw`.
    #[must_use]
    pub fn service(&self, draw: u64) -> &Name {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut rest = draw % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if rest < weight {
                return &share.service;
            }
            rest -= weight;
        }
        &self.shares[0].service
    }
}

/// An `Engine` is what the configuration tells of a service of model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The requests that one engine runs at once.
    pub slots: u32,
    /// The memory of one engine in tokens.
    pub memory_tokens: u64,
    /// The size of one token in memory, in bytes.
    pub token_bytes: u64,
    /// The speed of one engine's link in megabits a second.
    pub link_mbps: f64,
    /// The models that the engines serve.
    pub models: Vec<Name>,
}

/// A `Service` is a set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name, unique in the configuration.
    pub name: Name,
    /// What its engines can do, for a service of model engines.
    pub engine: Option<Engine>,
    /// The KV store, for a service that is one.
    pub kv_store: Option<KvStore>,
}

/// A `KvStore` keeps parts of prompts for engines.
#[derive(Clone, Debug, PartialEq)]
pub struct KvStore {
    /// Where engines fetch from and save to.
    pub address: SocketAddr,
    /// Its memory in tokens.
    pub memory_tokens: u64,
    /// The speed of its link in megabits a second.
    pub link_mbps: f64,
}

/// A `Charge` tells how a team's requests count against its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Charge {
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens, or as `otherwise` when it has none.
    Tokens {
        /// The tokens of a request that declares none.
        default_tokens: u64,
    },
}

/// A `Team` owns keys, limits and requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// The name, unique in the configuration.
    pub name: Name,
    /// The rank of its requests, in place of the route's.
    pub priority: Option<u8>,
    /// Whether its cached prompts are kept apart from all other teams'.
    pub isolated: bool,
    /// How requests are counted.
    pub charge: Charge,
    /// The units granted a second; 0 means no limit.
    pub rate: u64,
    /// The units that may be used at once.
    pub burst: u64,
}

/// The `CallerLimits` bound what one caller may take up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// The largest size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// The longest time for sending a head.
    pub head_timeout: Duration,
    /// The longest time a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A `Configuration` is one accepted version of everything that operators set.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The operators' number of this version.
    pub version: u64,
    /// The limits on callers.
    pub limits: CallerLimits,
    services: HashMap<Name, Rc<Service>>,
    teams: HashMap<Name, Rc<Team>>,
    keys: HashMap<Name, Rc<Team>>,
    hosts: HashMap<Name, Vec<Rc<Route>>>,
    kv_stores: Vec<KvStore>,
}

impl Configuration {
    /// Returns a configuration with the given parts.
    ///
    /// ```
    /// use limpetsaddle_fleet::configuration::Configuration;
    ///
    /// let empty = Configuration::new(3, Default::default(), vec![], vec![], vec![]);
    /// assert!(empty.route("example.org", "/").is_none());
    /// ```
    #[must_use]
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Vec<(Team, Vec<Name>)>,
    ) -> Self {
        let mut hosts: HashMap<Name, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let of_host = hosts.entry(Rc::clone(&route.host)).or_default();
            of_host.push(Rc::new(route));
        }
        for of_host in hosts.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut by_name = HashMap::new();
        let mut by_key = HashMap::new();
        for (team, keys) in teams {
            let team = Rc::new(team);
            by_key.extend(keys.into_iter().map(|key| (key, Rc::clone(&team))));
            by_name.insert(Rc::clone(&team.name), team);
        }
        let mut kv_stores: Vec<KvStore> =
            services.iter().filter_map(|s| s.kv_store.clone()).collect();
        kv_stores.sort_by_key(|store| store.address);
        let named = |s: Service| (Rc::clone(&s.name), Rc::new(s));
        Self {
            version,
            limits,
            services: services.into_iter().map(named).collect(),
            teams: by_name,
            keys: by_key,
            hosts,
            kv_stores,
        }
    }

    /// Returns the route with the longest prefix of `path` at `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let of_host = self.hosts.get(host)?;
        of_host.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// Returns every service.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// Returns the team that holds `key`.
    #[must_use]
    pub fn team_of(&self, key: &str) -> Option<&Rc<Team>> {
        self.keys.get(key)
    }

    /// Returns every team.
    pub fn teams(&self) -> impl Iterator<Item = &Rc<Team>> {
        self.teams.values()
    }

    /// Returns whether callers have to present keys.
    #[must_use]
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Returns the KV stores in the order of their addresses.
    #[must_use]
    pub fn kv_stores(&self) -> &[KvStore] {
        &self.kv_stores
    }

    /// Returns the KV store that keeps the parts with a hash, if there is any.
    #[must_use]
    pub fn kv_store_for(&self, hash: u64) -> Option<&KvStore> {
        let draw = |store: &&KvStore| mix(hash ^ store_hash(store.address));
        self.kv_stores.iter().max_by_key(draw)
    }
}

/// Returns the hash under which instances speak of a KV store.
#[must_use]
pub fn store_hash(address: SocketAddr) -> u64 {
    stable_hash(&[b"store", address.to_string().as_bytes()])
}

/// Returns the hash by which a request is assigned to a share of its route.
#[must_use]
pub fn share_hash(request_id: &str) -> u64 {
    stable_hash(&[b"share", request_id.as_bytes()])
}
