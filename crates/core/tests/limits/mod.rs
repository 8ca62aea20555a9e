//! Simulation of nine ledgers in three failure domains, in virtual time.

mod check;
mod names;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use limpetsaddle_core::config::DomainSpec;
use limpetsaddle_core::config::SlotTable;
use limpetsaddle_core::config::TeamSpec;
use limpetsaddle_core::hash::mix;
use limpetsaddle_core::limits::DomainMember;
use limpetsaddle_core::limits::GrantId;
use limpetsaddle_core::limits::GrantReply;
use limpetsaddle_core::limits::GrantRequest;
use limpetsaddle_core::limits::Ledger;
use limpetsaddle_core::limits::LimitsOptions;
use limpetsaddle_core::limits::OutgoingRequest;
use limpetsaddle_core::limits::Reservation;
use limpetsaddle_core::limits::ReserveResult;
use limpetsaddle_core::limits::Round;
use limpetsaddle_core::limits::propose_slots;
use limpetsaddle_core::limits::release_slots;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;

pub use self::check::Admission;
pub use self::check::first_excess;
pub use self::names::at;
pub use self::names::domain;
pub use self::names::instance;
pub use self::names::team;
pub use self::names::team_spec;

pub const NODES: usize = 9;
const DOMAINS: usize = 3;
const SLOTS: u16 = 6;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const GRANT_WAIT: Duration = Duration::from_millis(10);

/// A fault to inject; durations are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Crash(usize),
    RestartAll,
    Leave(usize),
    Pause(usize, u64),
    Partition(usize, u64),
    PlatformDown(u64),
    LoseResponses(u64),
    UnreliableNetwork(u64),
    SetLimits(u64, u64, u16),
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest {
    pub amount: u64,
    pub used: u64,
    pub duration_ms: u64,
}

/// A grant that its receiver may still spend.
struct OpenGrant {
    run: (usize, Incarnation),
    slot: u16,
    expires: Time,
}

#[derive(Debug)]
pub enum Event {
    Reserve(CallerRequest, Round),
    Settle(Reservation, u64),
    Request(usize, GrantRequest),
    Reply(GrantReply),
    Heartbeat,
    Exchange(usize, Time, Config),
    ConfigReply(bool, Time, Config),
}

/// The configuration at an instance or the platform.
#[derive(Clone, Debug, Default)]
pub struct Config {
    team: (Revision, Option<TeamSpec>),
    tables: BTreeMap<usize, (Revision, SlotTable)>,
}

struct Node {
    ledger: Ledger,
    incarnation: Incarnation,
    config: Config,
    last_message: BTreeMap<usize, Time>,
    is_up: bool,
    paused_until: Time,
}

pub struct Simulation {
    pub now: Time,
    pub history: Vec<Admission>,
    options: LimitsOptions,
    nodes: Vec<Node>,
    queue: BTreeMap<(Time, u64), (usize, Incarnation, Event)>,
    platform: Config,
    revision: u64,
    seed: u64,
    random_draws: u64,
    faults: BTreeMap<&'static str, Time>,
    isolated_until: [Time; DOMAINS],
    limits: Vec<(Time, u64, u64)>,
    /// The first slot found with tokens from two owners, if any.
    pub overlap: Option<String>,
    grants: Vec<OpenGrant>,
    granted_ids: BTreeSet<GrantId>,
}

impl Simulation {
    pub fn new(seed: u64, options: LimitsOptions, spec: TeamSpec) -> Self {
        let mut sim = Self {
            now: Time::ZERO,
            history: Vec::new(),
            options,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            platform: Config::default(),
            revision: 1,
            seed,
            random_draws: 0,
            faults: BTreeMap::new(),
            isolated_until: [Time::ZERO; DOMAINS],
            limits: Vec::new(),
            overlap: None,
            grants: Vec::new(),
            granted_ids: BTreeSet::new(),
        };
        sim.platform.team = (Revision(1), Some(spec));
        for index in 0..NODES {
            let node = sim.start(index);
            sim.nodes.push(node);
            sim.schedule(Duration::ZERO, index, Event::Heartbeat);
        }
        sim
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.random_draws += 1;
        mix(self.seed ^ mix(self.random_draws)) % below
    }

    fn start(&mut self, index: usize) -> Node {
        let incarnation = Incarnation(self.random(u64::MAX));
        let local = domain(index % DOMAINS);
        let mut ledger = Ledger::new(instance(index), incarnation, local, self.options);
        for d in 0..DOMAINS {
            let spec = DomainSpec {
                region: domain(0),
                slots: SLOTS,
            };
            ledger.set_domain(&domain(d), Some(&spec), self.now);
        }
        let peers = (0..NODES).filter(|p| p % DOMAINS == index % DOMAINS && *p != index);
        Node {
            ledger,
            incarnation,
            config: Config::default(),
            last_message: peers.map(|p| (p, self.now)).collect(),
            is_up: true,
            paused_until: self.now,
        }
    }

    pub fn schedule(&mut self, delay: Duration, node: usize, event: Event) {
        self.random_draws += 1;
        let incarnation = self.nodes[node].incarnation;
        let key = (self.now + delay, self.random_draws);
        self.queue.insert(key, (node, incarnation, event));
    }

    /// Sends a message, which may be lost, repeated or late.
    fn send(&mut self, from: usize, to: usize, make_event: &dyn Fn() -> Event) {
        if self.is_partitioned(from, to) {
            return;
        }
        let mut copies = 1;
        let mut delay = 1 + self.random(3);
        if self.is_active("network") {
            copies = self.random(3);
            delay += self.random(4) * self.random(1_000);
        }
        for copy in 0..copies {
            self.schedule(Duration::from_millis(delay * (copy + 1)), to, make_event());
        }
    }

    fn is_active(&self, fault: &str) -> bool {
        self.faults.get(fault).is_some_and(|end| self.now < *end)
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let (a, b) = (a % DOMAINS, b % DOMAINS);
        a != b && (self.now < self.isolated_until[a] || self.now < self.isolated_until[b])
    }

    pub fn inject(&mut self, fault: Fault) {
        let end = |millis| self.now + Duration::from_millis(millis);
        match fault {
            Fault::Crash(index) => self.restart(index, 1_000),
            Fault::Leave(index) => {
                self.write_table(index, true);
                self.restart(index, 1_000);
            }
            Fault::RestartAll => (0..NODES).for_each(|i| self.restart(i, 200)),
            Fault::Pause(index, millis) => self.nodes[index].paused_until = end(millis),
            Fault::Partition(index, millis) => self.isolated_until[index] = end(millis),
            Fault::PlatformDown(millis) => drop(self.faults.insert("platform", end(millis))),
            Fault::LoseResponses(millis) => drop(self.faults.insert("responses", end(millis))),
            Fault::UnreliableNetwork(millis) => drop(self.faults.insert("network", end(millis))),
            Fault::SetLimits(rate, burst, slot_count) => {
                self.revision += 1;
                let spec = team_spec(rate, burst, slot_count);
                self.platform.team = (Revision(self.revision), Some(spec));
            }
        }
    }

    fn restart(&mut self, index: usize, delay: u64) {
        self.nodes[index] = self.start(index);
        self.nodes[index].is_up = false;
        self.schedule(Duration::from_millis(delay), index, Event::Heartbeat);
    }

    pub fn run_until(&mut self, end: Time) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((due, _), (index, incarnation, event)) = entry.remove_entry();
            self.now = due;
            let node = &self.nodes[index];
            let is_arrival = matches!(event, Event::Reserve(_, Round::Local));
            if node.incarnation != incarnation && !is_arrival {
                continue;
            }
            if node.paused_until > due {
                let delay = node.paused_until.since(due);
                self.schedule(delay, index, event);
                continue;
            }
            self.handle(index, event);
            self.check_overlap(index);
        }
        self.now = end;
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        if !self.nodes[index].is_up && !matches!(event, Event::Heartbeat) {
            return;
        }
        let node = &mut self.nodes[index];
        match event {
            Event::Reserve(req, round) => self.reserve(index, req, round),
            Event::Settle(reservation, used) => {
                node.ledger.settle(reservation, Tokens(used), now);
            }
            Event::Request(from, req) => {
                let reply = node.ledger.on_grant_request(&req, now);
                let new_grant = reply
                    .grant
                    .filter(|grant| self.granted_ids.insert(grant.id));
                if let Some(request) = req.tokens.filter(|_| new_grant.is_some()) {
                    self.grants.push(OpenGrant {
                        run: (index, node.incarnation),
                        slot: request.slot,
                        expires: now + self.options.grant_ttl,
                    });
                }
                self.send(index, from, &|| Event::Reply(reply.clone()));
            }
            Event::Reply(reply) => node.ledger.on_grant_reply(&reply, now),
            Event::Heartbeat => self.heartbeat(index),
            Event::Exchange(from, sent_at, config) => {
                node.last_message.entry(from).and_modify(|at| *at = now);
                self.merge_config(index, &config);
                let config = self.nodes[index].config.clone();
                let is_local = from % DOMAINS == index % DOMAINS;
                self.send(index, from, &|| {
                    Event::ConfigReply(is_local, sent_at, config.clone())
                });
            }
            Event::ConfigReply(is_contact, sent_at, config) => {
                self.merge_config(index, &config);
                if is_contact {
                    self.nodes[index].ledger.on_contact(sent_at);
                }
            }
        }
    }

    fn reserve(&mut self, index: usize, req: CallerRequest, round: Round) {
        let ledger = &mut self.nodes[index].ledger;
        match ledger.reserve(&team(), Tokens(req.amount), round, self.now) {
            ReserveResult::Refused(_) => {}
            ReserveResult::Admitted(reservation) => {
                self.record(req.used);
                let duration = Duration::from_millis(req.duration_ms);
                self.schedule(duration, index, Event::Settle(reservation, req.used));
            }
            ReserveResult::NeedsGrants(requests) => {
                for out in &requests {
                    self.request(index, out);
                }
                self.schedule(GRANT_WAIT, index, Event::Reserve(req, round.next()));
            }
        }
    }

    fn request(&mut self, index: usize, out: &OutgoingRequest) {
        let to = (0..NODES).find(|n| instance(*n) == out.to).unwrap();
        let request = || Event::Request(index, out.request.clone());
        self.send(index, to, &request);
    }

    fn heartbeat(&mut self, index: usize) {
        self.record(0);
        self.nodes[index].is_up = true;
        self.schedule(HEARTBEAT_INTERVAL, index, Event::Heartbeat);
        let due = self.nodes[index].ledger.tick(self.now);
        for out in &due {
            self.request(index, out);
        }
        let local_peer = (index + DOMAINS * (1 + usize::from(self.random(2) == 1))) % NODES;
        let any_peer = usize::try_from(self.random(NODES as u64)).unwrap();
        let config = self.nodes[index].config.clone();
        let (from, sent_at) = (index, self.now);
        let make_event = || Event::Exchange(from, sent_at, config.clone());
        self.send(index, local_peer, &make_event);
        self.send(index, any_peer, &make_event);
        if !self.is_active("platform") && self.now >= self.isolated_until[index % DOMAINS] {
            self.write_table(index, false);
            if self.is_active("responses") {
                return;
            }
            let config = self.platform.clone();
            let reply = Event::ConfigReply(true, sent_at, config);
            self.schedule(Duration::from_millis(2), index, reply);
        }
    }

    /// Writes the next table if the platform still has the one it is based on.
    fn write_table(&mut self, index: usize, is_leaving: bool) {
        let local = index % DOMAINS;
        let reachable = !self.is_active("platform") && self.now >= self.isolated_until[local];
        let node = &self.nodes[index];
        let held = node.config.tables.get(&local).cloned().unwrap_or_default();
        let current = self
            .platform
            .tables
            .get(&local)
            .cloned()
            .unwrap_or_default();
        let member = |(peer, last_message): (&usize, &Time)| DomainMember {
            name: instance(*peer),
            incarnation: self.nodes[*peer].incarnation,
            silent_for: self.now.since(*last_message),
            leaving: false,
        };
        let members: Vec<_> = node.last_message.iter().map(member).collect();
        let own = (instance(index), node.incarnation);
        let options = LimitsOptions::default();
        let next = if is_leaving {
            release_slots(&own.0, &held.1)
        } else {
            propose_slots(&own, &held.1, held.0, SLOTS, &members, &options)
        };
        let mut next = next.unwrap_or_else(|| held.1.clone());
        let ledger = &mut self.nodes[index].ledger;
        ledger.prepare_release(&mut next, self.now);
        if reachable && next != held.1 && held.0 == current.0 {
            self.revision += 1;
            let entry = (Revision(self.revision), next);
            self.platform.tables.insert(local, entry.clone());
            if !self.is_active("responses") {
                let mut config = self.nodes[index].config.clone();
                config.tables.insert(local, entry);
                self.merge_config(index, &config);
            }
        }
    }

    /// Records an overlap if tokens of a slot in which `index` may issue them can
    /// also come from another instance, or from the grants of another run.
    fn check_overlap(&mut self, index: usize) {
        let now = self.now;
        self.grants.retain(|grant| grant.expires > now);
        let may_issue = |node: &Node, slot| node.is_up && node.ledger.may_issue(slot, now);
        let run = (index, self.nodes[index].incarnation);
        let is_local = |other: usize| other % DOMAINS == index % DOMAINS;
        for slot in (0..SLOTS).filter(|slot| may_issue(&self.nodes[index], *slot)) {
            let mut others = (0..NODES).filter(|n| *n != index && is_local(*n));
            let mut grants = self.grants.iter();
            let other = others
                .find(|n| may_issue(&self.nodes[*n], slot))
                .or_else(|| {
                    let is_other =
                        |g: &&OpenGrant| g.slot == slot && is_local(g.run.0) && g.run != run;
                    grants.find(is_other).map(|g| g.run.0)
                });
            if let (Some(other), None) = (other, &self.overlap) {
                self.overlap = Some(format!("slot {slot} at {now:?}: {index}, {other}"));
            }
        }
    }

    fn merge_config(&mut self, index: usize, other: &Config) {
        if other.team.0 > self.nodes[index].config.team.0 {
            self.record(0);
            let node = &mut self.nodes[index];
            node.config.team = other.team.clone();
            let spec = other.team.1.as_ref();
            node.ledger.set_team(&team(), spec, self.now);
        }
        let node = &mut self.nodes[index];
        for (d, (revision, table)) in &other.tables {
            let held = node.config.tables.get(d).map_or(Revision(0), |t| t.0);
            if *revision > held {
                node.config.tables.insert(*d, (*revision, table.clone()));
                node.ledger
                    .set_slots(&domain(*d), *revision, table, self.now);
            }
        }
    }

    /// Records a use of tokens; `used` is 0 to record only the limits in force.
    fn record(&mut self, used: u64) {
        let (rate, burst) = self.limits_in_force();
        self.history.push(Admission {
            at: self.now,
            used,
            rate,
            burst,
        });
    }

    /// Returns the largest limits that any instance has now or had within the last
    /// grant lifetime.
    fn limits_in_force(&mut self) -> (u64, u64) {
        let held = self.nodes.iter().filter_map(|n| n.config.team.1.as_ref());
        let held: BTreeSet<_> = held.map(|s| (s.rate.0, s.burst.0)).collect();
        let now = self.now;
        self.limits.extend(held.iter().map(|(r, b)| (now, *r, *b)));
        let ttl = self.options.grant_ttl;
        self.limits.retain(|(at, _, _)| now.since(*at) <= ttl);
        let rate = self.limits.iter().map(|l| l.1).max().unwrap_or(0);
        let burst = self.limits.iter().map(|l| l.2).max().unwrap_or(0);
        (rate, burst)
    }
}
