//! What this instance knows of the other instances of the fleet.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;
use crate::heartbeat::Heartbeat;
use crate::heartbeat::UpstreamLoad;
use crate::limits::PeerCounts;
use crate::retry_budget::RequestCounts;

/// The `PeerOptions` say when an instance counts as silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerOptions {
    /// The time between two heartbeats in a small fleet.
    pub heartbeat_interval: Duration,
    /// The heartbeats that may be missed before a peer counts as silent.
    pub max_missed: u32,
    /// The silence after which a registration is removed from the platform.
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

/// The number of peers up to which heartbeats go out at the full rate; beyond it
/// the interval grows so that the work of an instance does not.
const FULL_RATE_PEERS: u32 = 30;

/// The instances that confirm the configuration for all others.
const CONFIRMERS: u32 = 3;

/// A `Registration` is an instance as it stands at the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// The instance's name.
    pub name: Name,
    /// The address that takes heartbeats.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    registered: Time,
    incarnation: u64,
    sequence: u64,
    stamp_ms: u64,
    last_heartbeat: Option<Time>,
    spent: HashMap<u64, u64>,
    sent: HashMap<u64, RequestCounts>,
    upstream_loads: HashMap<u64, UpstreamLoad>,
}

/// A `TeamUsageDelta` is what a peer admitted for a team since its last heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamUsageDelta {
    /// The hash of the team's name.
    pub team: u64,
    /// The units admitted; negative when units were given back.
    pub used: i64,
}

/// A `ServiceUsageDelta` is what a peer sent to a service since its last heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceUsageDelta {
    /// The hash of the service's name.
    pub service: u64,
    /// The requests and retries.
    pub count: RequestCounts,
}

/// The `HeartbeatDelta` are what one heartbeat adds to the last.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatDelta {
    /// The use of limits.
    pub teams: Vec<TeamUsageDelta>,
    /// The use of services.
    pub services: Vec<ServiceUsageDelta>,
    /// Whether the heartbeat is newer than all before it.
    pub is_new: bool,
}

/// The `Peers` are the other instances of the fleet.
#[derive(Debug)]
pub struct Peers {
    own: Name,
    options: PeerOptions,
    others: BTreeMap<Name, Peer>,
}

impl Peers {
    /// Returns a table for the instance `own` that knows no other.
    #[must_use]
    pub const fn new(own: Name, options: PeerOptions) -> Self {
        Self {
            own,
            options,
            others: BTreeMap::new(),
        }
    }

    /// Takes the registrations that the platform holds.
    pub fn set_registrations(&mut self, all: Vec<Registration>, now: Time) {
        let mut kept = BTreeMap::new();
        for registration in all.into_iter().filter(|r| r.name != self.own) {
            let fresh = || Peer {
                address: registration.address,
                registered: now,
                incarnation: 0,
                sequence: 0,
                stamp_ms: 0,
                last_heartbeat: None,
                spent: HashMap::new(),
                sent: HashMap::new(),
                upstream_loads: HashMap::new(),
            };
            let mut peer = self.others.remove(&registration.name).unwrap_or_else(fresh);
            peer.address = registration.address;
            kept.insert(registration.name, peer);
        }
        self.others = kept;
    }

    /// Takes a heartbeat and returns what it adds to the last.
    ///
    /// Beacons of unregistered instances and heartbeats that were overtaken add
    /// nothing. What a peer did before it was first heard of is not known to be
    /// recent, and is left out.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Time) -> HeartbeatDelta {
        let Some(peer) = self.others.get_mut(heartbeat.sender.as_str()) else {
            return HeartbeatDelta::default();
        };
        let restarted = heartbeat.incarnation != peer.incarnation;
        if !restarted && heartbeat.sequence <= peer.sequence {
            return HeartbeatDelta::default();
        }
        let known = peer.last_heartbeat.is_some();
        if restarted {
            peer.spent.clear();
            peer.sent.clear();
        }
        peer.incarnation = heartbeat.incarnation;
        peer.sequence = heartbeat.sequence;
        peer.last_heartbeat = Some(now);
        peer.stamp_ms = heartbeat.stamp_ms;
        peer.upstream_loads = heartbeat.loads.iter().map(|l| (l.upstream, *l)).collect();
        HeartbeatDelta {
            teams: team_deltas(peer, heartbeat, known),
            services: service_deltas(peer, heartbeat, known),
            is_new: true,
        }
    }

    /// Returns the time between two heartbeats in a fleet of this size.
    #[must_use]
    pub fn interval(&self) -> Duration {
        let peers = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
        let scale = peers.div_ceil(FULL_RATE_PEERS).clamp(1, 10);
        self.options.heartbeat_interval * scale
    }

    /// Returns the addresses of all other instances, each with the last stamp
    /// that it sent.
    pub fn heartbeat_targets(&self, now: Time) -> impl Iterator<Item = (SocketAddr, Option<u64>)> {
        self.others.values().map(move |peer| {
            let stamp = self.is_live(peer, now).then_some(peer.stamp_ms);
            (peer.address, stamp)
        })
    }

    /// Returns whether this instance is one of those that confirm the
    /// configuration for all others.
    #[must_use]
    pub fn is_confirmer(&self, now: Time) -> bool {
        self.rank(now) < CONFIRMERS
    }

    /// Returns whether the fleet is so large that work which grows with it has
    /// to be spread.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.others.len() > FULL_RATE_PEERS as usize
    }

    /// Returns how many instances there are and are heard of.
    #[must_use]
    pub fn peer_counts(&self, now: Time) -> PeerCounts {
        let heard = self
            .others
            .values()
            .filter(|p| self.is_live(p, now))
            .count();
        PeerCounts {
            registered: self.others.len() + 1,
            live: heard + 1,
        }
    }

    /// Returns the work that all other instances have at an upstream.
    #[must_use]
    pub fn remote_load(&self, upstream: u64, now: Time) -> UpstreamLoad {
        let heard = self.others.values().filter(|p| self.is_live(p, now));
        let loads = heard.filter_map(|p| p.upstream_loads.get(&upstream));
        loads.fold(UpstreamLoad::default(), UpstreamLoad::plus)
    }

    /// Returns the work that all other instances have at each upstream.
    #[must_use]
    pub fn remote_loads(&self, now: Time) -> HashMap<u64, UpstreamLoad> {
        let heard = self.others.values().filter(|p| self.is_live(p, now));
        let mut sums: HashMap<u64, UpstreamLoad> = HashMap::new();
        for load in heard.flat_map(|peer| peer.upstream_loads.values()) {
            let sum = sums.entry(load.upstream).or_default();
            *sum = sum.plus(load);
        }
        sums
    }

    /// Returns the registered instances that have been silent for long.
    pub fn expired(&self, now: Time) -> impl Iterator<Item = &Name> {
        let silent = move |peer: &Peer| {
            let since = peer.last_heartbeat.unwrap_or(peer.registered);
            now.since(since) >= self.options.removal_timeout
        };
        self.others
            .iter()
            .filter(move |(_, peer)| silent(peer))
            .map(|(name, _)| name)
    }

    /// Returns the place of this instance among those that are heard of.
    #[must_use]
    pub fn rank(&self, now: Time) -> u32 {
        let before = self.others.iter().filter(|(name, _)| **name < self.own);
        let heard = before.filter(|(_, peer)| self.is_live(peer, now)).count();
        u32::try_from(heard).unwrap_or(u32::MAX)
    }

    fn is_live(&self, peer: &Peer, now: Time) -> bool {
        let limit = self.interval() * self.options.max_missed;
        peer.last_heartbeat.is_some_and(|at| now.since(at) < limit)
    }
}

fn team_deltas(peer: &mut Peer, heartbeat: &Heartbeat, known: bool) -> Vec<TeamUsageDelta> {
    let mut reports = Vec::new();
    for team in &heartbeat.teams {
        let before = peer.spent.insert(team.team, team.spent);
        let before = before.unwrap_or(if known { 0 } else { team.spent });
        let used = team.spent.cast_signed() - before.cast_signed();
        if used != 0 {
            reports.push(TeamUsageDelta {
                team: team.team,
                used,
            });
        }
    }
    reports
}

fn service_deltas(peer: &mut Peer, heartbeat: &Heartbeat, known: bool) -> Vec<ServiceUsageDelta> {
    let mut reports = Vec::new();
    for service in &heartbeat.services {
        let total = RequestCounts {
            requests: service.requests,
            retries: service.retries,
        };
        let before = peer.sent.insert(service.service, total);
        let before = before.unwrap_or(if known {
            RequestCounts::default()
        } else {
            total
        });
        reports.push(ServiceUsageDelta {
            service: service.service,
            count: RequestCounts {
                requests: total.requests.saturating_sub(before.requests),
                retries: total.retries.saturating_sub(before.retries),
            },
        });
    }
    reports
}
