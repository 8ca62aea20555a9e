//! The configuration: routes, services, teams and limits on callers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::hash::stable_hash;

use crate::Name;

/// The rule by which the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is a stream of events; a resumable stream may be continued by another
    /// upstream, any other runs at most once.
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

/// A service's share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// The weight relative to the other shares.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The name, unique in the configuration.
    pub name: Name,
    /// The host in lower case.
    pub host: Name,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: Name,
    /// The rule for repeated requests.
    pub kind: RouteKind,
    /// The shares of the services; never empty.
    pub shares: Vec<Share>,
    /// The time limit of a request.
    pub timeout: Duration,
    /// The latency that counts as on time.
    pub target_latency: Duration,
    /// The pause between two events after which callers abandon a stream.
    pub caller_patience: Duration,
    /// The maximum number of upstreams that may run a request.
    pub max_attempts: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// Returns the service for a request by its [`share_hash`].
    #[must_use]
    pub fn service(&self, hash: u64) -> &Name {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = hash % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return &share.service;
            }
            remaining -= weight;
        }
        &self.shares[0].service
    }
}

/// The specification of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The KV cache of an engine, in tokens.
    pub memory_tokens: u64,
    /// The size of a token in the KV cache, in bytes.
    pub token_bytes: u64,
    /// The bandwidth of an engine's link, in megabits per second.
    pub link_mbps: f64,
    /// The models that the engines serve.
    pub models: Vec<Name>,
}

/// A set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name, unique in the configuration.
    pub name: Name,
    /// The specification of the engines, for a service of model engines.
    pub engine: Option<Engine>,
    /// The KV store, for a service that is one.
    pub kv_store: Option<KvStore>,
}

/// A KV store, which keeps cached parts of prompts for engines.
#[derive(Clone, Debug, PartialEq)]
pub struct KvStore {
    /// The address for fetches and saves.
    pub address: SocketAddr,
    /// The capacity in tokens.
    pub memory_tokens: u64,
    /// The bandwidth of its link, in megabits per second.
    pub link_mbps: f64,
}

/// The units that a request costs its team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Charge {
    /// One unit per request.
    Requests,
    /// The tokens that the request declares.
    Tokens {
        /// The units of a request that declares no tokens.
        default_tokens: u64,
    },
}

/// A team with its keys and limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// The name, unique in the configuration.
    pub name: Name,
    /// The priority of its requests, instead of the route's.
    pub priority: Option<u8>,
    /// Whether its cached prompts are isolated from those of other teams.
    pub isolated: bool,
    /// The unit of its limit.
    pub charge: Charge,
    /// The units that are refilled per second; 0 means no limit.
    pub rate: u64,
    /// The units that may be used in a burst.
    pub burst: u64,
}

/// Limits on the resources of one caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time to send a head.
    pub head_timeout: Duration,
    /// The maximum time for which a connection may be idle.
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

/// An accepted version of the operators' configuration.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The operators' version number.
    pub version: u64,
    /// The limits on callers.
    pub limits: CallerLimits,
    services: HashMap<Name, Rc<Service>>,
    teams: HashMap<Name, Rc<Team>>,
    keys: HashMap<Name, Rc<Team>>,
    hosts: HashMap<Name, Vec<Rc<Route>>>,
    kv_stores: Vec<KvStore>,
    /// The distinct priorities of requests, the most urgent first.
    priorities: Vec<RequestPriority>,
}

/// The priority of a request: that of its team or else of its route, then that of its route.
type RequestPriority = (u8, u8);

/// The highest rank of a request, which is the least urgent one.
const MAX_RANK: usize = 9;

impl Configuration {
    /// Returns a configuration with its lookup tables.
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
        let priorities = request_priorities(&routes, &teams);
        let mut hosts: HashMap<Name, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let host_routes = hosts.entry(Rc::clone(&route.host)).or_default();
            host_routes.push(Rc::new(route));
        }
        for host_routes in hosts.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
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
            priorities,
        }
    }

    /// Returns the route of `host` with the longest prefix that `path` starts with.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host_routes = self.hosts.get(host)?;
        host_routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the position of a request among the priorities of all requests, from 0 for the
    /// most urgent ones to 9.
    ///
    /// A team's priority takes precedence over the route's. Among requests of teams with the
    /// same priority, the route's decides.
    #[must_use]
    pub fn rank(&self, route: &Route, team: Option<&Team>) -> u8 {
        let priority = request_priority(route.priority, team.and_then(|team| team.priority));
        let position = self.priorities.partition_point(|other| *other < priority);
        let max = self.priorities.len().saturating_sub(1).max(MAX_RANK);
        u8::try_from(position * MAX_RANK / max).unwrap_or(u8::MAX)
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

    /// Returns the team that a key belongs to.
    #[must_use]
    pub fn team_of(&self, key: &str) -> Option<&Rc<Team>> {
        self.keys.get(key)
    }

    /// Returns every team.
    pub fn teams(&self) -> impl Iterator<Item = &Rc<Team>> {
        self.teams.values()
    }

    /// Returns whether callers need keys.
    #[must_use]
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Returns the KV stores, sorted by address.
    #[must_use]
    pub fn kv_stores(&self) -> &[KvStore] {
        &self.kv_stores
    }

    /// Returns the KV store for a hash of parts by rendezvous hashing, if there is any store.
    #[must_use]
    pub fn kv_store_for(&self, hash: u64) -> Option<&KvStore> {
        let hash = |store: &&KvStore| mix(hash ^ store_hash(store.address));
        self.kv_stores.iter().max_by_key(hash)
    }
}

fn request_priority(route: u8, team: Option<u8>) -> RequestPriority {
    (team.unwrap_or(route), route)
}

/// Returns the distinct priorities of requests, the most urgent first.
fn request_priorities(routes: &[Route], teams: &[(Team, Vec<Name>)]) -> Vec<RequestPriority> {
    let routes: BTreeSet<u8> = routes.iter().map(|route| route.priority).collect();
    let teams = teams.iter().map(|(team, _)| team.priority);
    let teams: BTreeSet<Option<u8>> = teams.chain([None]).collect();
    let of_route = |route: &u8| {
        let route = *route;
        teams.iter().map(move |team| request_priority(route, *team))
    };
    let all: BTreeSet<RequestPriority> = routes.iter().flat_map(of_route).collect();
    all.into_iter().collect()
}

/// Returns the hash of a KV store's address in heartbeats.
#[must_use]
pub fn store_hash(address: SocketAddr) -> u64 {
    stable_hash(&[b"store", address.to_string().as_bytes()])
}

/// Returns the hash that assigns a request to a share of its route.
#[must_use]
pub fn share_hash(request_id: &str) -> u64 {
    stable_hash(&[b"share", request_id.as_bytes()])
}
