//! The other instances of the fleet, as their heartbeats report them.

mod reports;

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;

use crate::Name;
use crate::heartbeat::Heartbeat;
use crate::heartbeat::UpstreamLoad;
use crate::heartbeat::name_hash;
use crate::limits::PeerCounts;
use crate::relays::Relay;
use crate::retry_budget::RequestCounts;
use crate::service_reach::Reach;
use crate::service_reach::ReachReport;
use crate::store_polls::PollRole;

/// Timing of heartbeats and of the timeouts of peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerOptions {
    /// The time between two heartbeats in a small fleet.
    pub heartbeat_interval: Duration,
    /// The number of missed heartbeats after which a peer is no longer live.
    pub max_missed: u32,
    /// The time without a heartbeat after which a peer's registration is removed.
    pub removal_timeout: Duration,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            max_missed: 4,
            removal_timeout: Duration::from_secs(30),
        }
    }
}

/// The number of peers up to which heartbeats are sent at the full rate; beyond it the
/// interval grows to bound the work of an instance.
const FULL_RATE_PEERS: u32 = 30;

/// The number of instances that poll the configuration and confirm it to all others.
const CONFIRMERS: u32 = 3;

/// The delay of heartbeats beyond the timeout of a peer up to which it is still relied on to
/// poll an unavailable store.
const POLLER_SLACK: Duration = Duration::from_secs(1);

/// The time after the start until which an instance without peers may be one of a fleet
/// whose instances have all just started.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);

/// The time between two confirmations of the configuration by a confirmer.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(800);

/// The margin for late heartbeats in the age of a confirmation.
const CONFIRMATION_SLACK: Duration = Duration::from_secs(1);

/// The longest time in which notices reach the instances that they are sent to, the time
/// for sending them included.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// An instance's registration at the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// The instance's name.
    pub name: Name,
    /// The address for heartbeats, and for requests of other instances.
    pub address: SocketAddr,
    /// The secret by which the instance recognizes others of the fleet, if it has one.
    pub secret: Option<Name>,
}

/// The instance that issues the permits for a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Issuer {
    /// This instance.
    Own,
    /// The instance with this address for heartbeats.
    Peer(SocketAddr),
    /// None is known, as this instance has just started.
    Unknown,
}

#[derive(Debug)]
struct Peer {
    /// The hash by which issuers are chosen.
    hash: u64,
    address: SocketAddr,
    secret: Option<Name>,
    registered: Time,
    incarnation: u64,
    sequence: u64,
    stamp_ms: u64,
    last_heartbeat: Option<Time>,
    admitted: HashMap<u64, u64>,
    request_counts: HashMap<u64, RequestCounts>,
    upstream_loads: Vec<UpstreamLoad>,
    reach: ReachReport,
    /// Whether the peer is part of [`Peers::live`].
    is_counted: bool,
}

impl Peer {
    fn was_heard_within(&self, timeout: Duration, now: Time) -> bool {
        let last = self.last_heartbeat;
        last.is_some_and(|at| now.since(at) < timeout)
    }
}

/// The sums over the live peers, kept up to date with each heartbeat.
#[derive(Debug, Default)]
struct LiveSums {
    count: usize,
    loads: HashMap<u64, UpstreamLoad>,
    /// A bound below which no counted peer's last heartbeat is.
    oldest_heartbeat: Option<Time>,
}

impl LiveSums {
    fn add(&mut self, loads: &[UpstreamLoad]) {
        for load in loads {
            let sum = self.loads.entry(load.upstream).or_default();
            *sum = sum.plus(load);
        }
    }

    fn subtract(&mut self, loads: &[UpstreamLoad]) {
        for load in loads {
            if let Some(sum) = self.loads.get_mut(&load.upstream) {
                *sum = sum.minus(load);
            }
        }
    }
}

/// The units that a peer has admitted for a team since its last heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamUsageDelta {
    /// The hash of the team's name.
    pub team: u64,
    /// The admitted units; negative for a refund.
    pub used: i64,
}

/// The requests that a peer has sent to a service since its last heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceUsageDelta {
    /// The hash of the service's name.
    pub service: u64,
    /// The requests and retries.
    pub count: RequestCounts,
}

/// The differences between two heartbeats of a peer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatDelta {
    /// The use of team limits.
    pub teams: Vec<TeamUsageDelta>,
    /// The requests to services.
    pub services: Vec<ServiceUsageDelta>,
    /// Whether the heartbeat is the newest one of its sender.
    pub is_new: bool,
}

/// The other instances of the fleet.
#[derive(Debug)]
pub struct Peers {
    own_name: Name,
    options: PeerOptions,
    started: Time,
    others: BTreeMap<Name, Peer>,
    live: LiveSums,
    /// The moving average of the time between two heartbeats of a peer, in seconds.
    mean_gap: f64,
}

impl Peers {
    /// Returns a table without peers for the instance `own_name`, which starts at `now`.
    #[must_use]
    pub fn new(own_name: Name, options: PeerOptions, now: Time) -> Self {
        Self {
            own_name,
            options,
            started: now,
            others: BTreeMap::new(),
            live: LiveSums::default(),
            mean_gap: 0.0,
        }
    }

    /// Replaces the set of registered instances.
    ///
    /// A live peer is kept though its registration is missing: the store may have lost it.
    pub fn set_registrations(&mut self, all: Vec<Registration>, now: Time) {
        let timeout = self.timeout();
        let mut kept = BTreeMap::new();
        for registration in all.into_iter().filter(|r| r.name != self.own_name) {
            let new_peer = || Peer {
                hash: name_hash(&registration.name),
                address: registration.address,
                secret: None,
                registered: now,
                incarnation: 0,
                sequence: 0,
                stamp_ms: 0,
                last_heartbeat: None,
                admitted: HashMap::new(),
                request_counts: HashMap::new(),
                upstream_loads: Vec::new(),
                reach: ReachReport::default(),
                is_counted: false,
            };
            let mut peer = self
                .others
                .remove(&registration.name)
                .unwrap_or_else(new_peer);
            peer.address = registration.address;
            peer.secret = registration.secret;
            kept.insert(registration.name, peer);
        }
        let missing = std::mem::replace(&mut self.others, kept);
        let live = missing.into_iter();
        let live = live.filter(|(_, peer)| peer.was_heard_within(timeout, now));
        self.others.extend(live);
        // The timeout depends on the number of peers.
        self.live = LiveSums::default();
        for peer in self.others.values_mut() {
            peer.is_counted = false;
        }
        let live: Vec<Name> = self
            .others
            .iter()
            .filter(|(_, peer)| self.is_live(peer, now))
            .map(|(name, _)| Name::clone(name))
            .collect();
        for name in live {
            self.count(&name);
        }
    }

    /// Adds a peer to the sums over live peers.
    fn count(&mut self, name: &str) {
        let Some(peer) = self.others.get_mut(name) else {
            return;
        };
        peer.is_counted = true;
        self.live.count += 1;
        self.live.add(&peer.upstream_loads);
        let oldest = self.live.oldest_heartbeat.or(peer.last_heartbeat);
        self.live.oldest_heartbeat = oldest.min(peer.last_heartbeat);
    }

    /// Removes the peers that have timed out from the sums over live peers.
    ///
    /// Sums are exact without this, but take a pass over all peers once one has timed out.
    pub fn expire(&mut self, now: Time) {
        let timeout = self.timeout();
        let mut oldest = None;
        for peer in self.others.values_mut().filter(|peer| peer.is_counted) {
            let last = peer.last_heartbeat;
            if last.is_some_and(|at| now.since(at) < timeout) {
                oldest = oldest.or(last).min(last);
                continue;
            }
            peer.is_counted = false;
            self.live.count -= 1;
            self.live.subtract(&peer.upstream_loads);
        }
        self.live.oldest_heartbeat = oldest;
        self.live.loads.retain(|_, sum| sum.requests > 0);
    }

    /// Returns whether every peer in the sums is certainly still live.
    fn sums_are_current(&self, now: Time) -> bool {
        let oldest = self.live.oldest_heartbeat;
        oldest.is_none_or(|at| now.since(at) < self.timeout())
    }

    /// Records a heartbeat and returns the differences to the previous one.
    ///
    /// Heartbeats of unregistered instances and outdated heartbeats are ignored. Totals in
    /// the first heartbeat of a peer may be old, so they yield no differences.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Time) -> HeartbeatDelta {
        let Some(peer) = self.others.get_mut(heartbeat.sender.as_str()) else {
            return HeartbeatDelta::default();
        };
        let restarted = heartbeat.incarnation != peer.incarnation;
        if !restarted && heartbeat.sequence <= peer.sequence {
            return HeartbeatDelta::default();
        }
        let was_known = peer.last_heartbeat.is_some();
        if restarted {
            peer.admitted.clear();
            peer.request_counts.clear();
        }
        peer.incarnation = heartbeat.incarnation;
        peer.sequence = heartbeat.sequence;
        let previous = peer.last_heartbeat.replace(now);
        peer.stamp_ms = heartbeat.stamp_ms;
        if peer.is_counted {
            self.live.subtract(&peer.upstream_loads);
        } else {
            peer.is_counted = true;
            self.live.count += 1;
        }
        peer.upstream_loads.clone_from(&heartbeat.loads);
        peer.reach.clone_from(&heartbeat.reach);
        self.live.add(&peer.upstream_loads);
        self.live.oldest_heartbeat.get_or_insert(now);
        let delta = HeartbeatDelta {
            teams: team_deltas(peer, heartbeat, was_known),
            services: service_deltas(peer, heartbeat, was_known),
            is_new: true,
        };
        self.record_gap(previous, now);
        delta
    }

    /// Returns the time between two heartbeats in a fleet of this size.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        let peers = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
        let scale = peers.div_ceil(FULL_RATE_PEERS).clamp(1, 10);
        self.options.heartbeat_interval * scale
    }

    /// Returns whether an instance is registered.
    #[must_use]
    pub fn is_registered(&self, name: &str) -> bool {
        self.others.contains_key(name)
    }

    /// Returns the addresses of all other instances, each with the last time stamp received
    /// from it in milliseconds, if it is live.
    pub fn heartbeat_targets(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Option<u64>)> {
        self.others.values().map(move |peer| {
            let stamp = self.is_live(peer, now).then_some(peer.stamp_ms);
            (peer.address, stamp)
        })
    }

    /// Returns the time after which other instances know that an engine gets no requests.
    #[must_use]
    pub fn informed_time(&self) -> Duration {
        (self.heartbeat_interval() * 2).min(NOTICE_TIME)
    }

    /// Returns whether this instance polls the configuration to confirm it to all others.
    #[must_use]
    pub fn is_confirmer(&self, now: Time) -> bool {
        self.is_settled(now) && self.rank(now) < CONFIRMERS
    }

    /// Returns whether this instance polls an unavailable store for others.
    ///
    /// Peers whose heartbeats are only late are still relied on, so that a busy machine does
    /// not turn all instances into pollers.
    #[must_use]
    pub fn poll_role(&self, now: Time) -> PollRole {
        let timeout = self.timeout() + POLLER_SLACK;
        if self.is_settled(now) && self.rank_within(timeout, now) < CONFIRMERS {
            PollRole::Poller
        } else {
            PollRole::Follower
        }
    }

    /// Returns whether this instance knows its place in the fleet. Until then it does no
    /// work on behalf of the fleet, which all instances would do at the same time.
    #[must_use]
    pub fn is_settled(&self, now: Time) -> bool {
        self.live.count > 0 || now.since(self.started) >= SETTLE_TIME
    }

    /// Returns the age up to which the peers' confirmations of the configuration are relied
    /// on: that of a confirmer's last read, its heartbeat's and the stamp's that it echoes.
    #[must_use]
    pub fn max_confirmation_age(&self) -> Duration {
        CONFIRM_INTERVAL + self.heartbeat_interval() * 2 + CONFIRMATION_SLACK
    }

    /// Returns whether the fleet is so large that work which grows with its size must be
    /// spread over the instances.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.others.len() > FULL_RATE_PEERS as usize
    }

    /// Returns the live instance that issues the permits for a process.
    #[must_use]
    pub fn issuer(&self, process: u64, now: Time) -> Issuer {
        if !self.is_settled(now) {
            return Issuer::Unknown;
        }
        let weight = |hash: u64| mix(hash ^ mix(process));
        let own = weight(name_hash(&self.own_name));
        let peers = self.live_peers(now);
        let peers = peers.map(|peer| (weight(peer.hash), peer.address));
        match peers.max().filter(|(weight, _)| *weight > own) {
            Some((_, address)) => Issuer::Peer(address),
            None => Issuer::Own,
        }
    }

    /// Returns the address for heartbeats of a registered instance.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.others.get(name).map(|peer| peer.address)
    }

    /// Returns the live peers that may pass requests on to the upstreams of a service: those
    /// that don't fail to reach it.
    #[must_use]
    pub fn relays(&self, service: u64, now: Time) -> Vec<Relay> {
        let live = self.others.iter();
        let live = live.filter(|(_, peer)| self.is_live(peer, now));
        let relays = live.filter_map(|(name, peer)| {
            Some(Relay {
                name: Name::clone(name),
                address: peer.address,
                secret: peer.secret.clone()?,
                reach: peer.reach.of(service),
                load: peer.upstream_loads.iter().map(|load| load.requests).sum(),
            })
        });
        relays
            .filter(|relay| relay.reach != Reach::Failing)
            .collect()
    }

    /// Returns whether a live peer reaches a service and passes requests on.
    #[must_use]
    pub fn reach_service(&self, service: u64, now: Time) -> bool {
        self.live_peers(now)
            .any(|peer| peer.secret.is_some() && peer.reach.of(service) == Reach::Reached)
    }

    /// Returns whether there are live peers and none of them fails to reach a service.
    #[must_use]
    pub fn none_fails(&self, service: u64, now: Time) -> bool {
        let mut live = self.live_peers(now).peekable();
        live.peek().is_some() && live.all(|peer| peer.reach.of(service) != Reach::Failing)
    }

    /// Returns the numbers of registered and live instances, including this one.
    #[must_use]
    pub fn peer_counts(&self, now: Time) -> PeerCounts {
        let live = if self.sums_are_current(now) {
            self.live.count
        } else {
            self.live_peers(now).count()
        };
        PeerCounts {
            registered: self.others.len() + 1,
            live: live + 1,
        }
    }

    /// Returns the load that all live peers have at an upstream.
    #[must_use]
    pub fn remote_load(&self, upstream: u64, now: Time) -> UpstreamLoad {
        let loads = self.remote_loads(now);
        loads.get(&upstream).copied().unwrap_or_default()
    }

    /// Returns the load that all live peers have at each upstream.
    #[must_use]
    pub fn remote_loads(&self, now: Time) -> Cow<'_, HashMap<u64, UpstreamLoad>> {
        if self.sums_are_current(now) {
            return Cow::Borrowed(&self.live.loads);
        }
        let mut sums = LiveSums::default();
        for peer in self.live_peers(now) {
            sums.add(&peer.upstream_loads);
        }
        Cow::Owned(sums.loads)
    }

    fn live_peers(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let is_live = move |peer: &&Peer| self.is_live(peer, now);
        self.others.values().filter(is_live)
    }

    /// Returns the registered instances that have not sent a heartbeat for the removal
    /// timeout.
    pub fn expired(&self, now: Time) -> impl Iterator<Item = &Name> {
        let is_expired = move |peer: &Peer| {
            let since = peer.last_heartbeat.unwrap_or(peer.registered);
            now.since(since) >= self.options.removal_timeout
        };
        self.others
            .iter()
            .filter(move |(_, peer)| is_expired(peer))
            .map(|(name, _)| name)
    }

    /// Returns the position of this instance in the order of the live instances' names.
    #[must_use]
    pub fn rank(&self, now: Time) -> u32 {
        self.rank_within(self.timeout(), now)
    }

    /// Returns the position among the instances that were heard of within `timeout`.
    fn rank_within(&self, timeout: Duration, now: Time) -> u32 {
        let lower = self
            .others
            .iter()
            .filter(|(name, _)| **name < self.own_name);
        let heard = lower.filter(|(_, peer)| peer.was_heard_within(timeout, now));
        u32::try_from(heard.count()).unwrap_or(u32::MAX)
    }

    /// Returns the time without a heartbeat after which a peer is no longer live.
    fn timeout(&self) -> Duration {
        self.heartbeat_interval() * self.options.max_missed
    }

    fn is_live(&self, peer: &Peer, now: Time) -> bool {
        peer.was_heard_within(self.timeout(), now)
    }
}

fn team_deltas(peer: &mut Peer, heartbeat: &Heartbeat, was_known: bool) -> Vec<TeamUsageDelta> {
    let mut deltas = Vec::new();
    for team in &heartbeat.teams {
        let previous = peer.admitted.insert(team.team, team.spent);
        let previous = previous.unwrap_or(if was_known { 0 } else { team.spent });
        let used = team.spent.cast_signed() - previous.cast_signed();
        if used != 0 {
            deltas.push(TeamUsageDelta {
                team: team.team,
                used,
            });
        }
    }
    deltas
}

fn service_deltas(
    peer: &mut Peer,
    heartbeat: &Heartbeat,
    was_known: bool,
) -> Vec<ServiceUsageDelta> {
    let mut deltas = Vec::new();
    for service in &heartbeat.services {
        let total = RequestCounts {
            requests: service.requests,
            retries: service.retries,
        };
        let previous = peer.request_counts.insert(service.service, total);
        let previous = previous.unwrap_or(if was_known {
            RequestCounts::default()
        } else {
            total
        });
        if previous == total {
            continue;
        }
        deltas.push(ServiceUsageDelta {
            service: service.service,
            count: RequestCounts {
                requests: total.requests.saturating_sub(previous.requests),
                retries: total.retries.saturating_sub(previous.retries),
            },
        });
    }
    deltas
}
