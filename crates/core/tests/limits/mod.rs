//! Nine ledgers in three failure domains, driven in virtual time.

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
const BEAT: Duration = Duration::from_millis(500);
const ASK_WAIT: Duration = Duration::from_millis(10);

/// A fault that is brought about in a run.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Crash(usize),
    CrashAll,
    Stop(usize),
    Freeze(usize, u64),
    Cut(usize, u64),
    PlatformDown(u64),
    LoseAnswers(u64),
    BadNetwork(u64),
    SetLimits(u64, u64, u16),
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub amount: u64,
    pub used: u64,
    pub hold: u64,
}

/// A grant that some instance may still spend.
struct Given {
    run: (usize, Incarnation),
    slot: u16,
    expires: Time,
}

#[derive(Debug)]
pub enum Event {
    Attempt(Job, Round),
    Settle(Reservation, u64),
    Request(usize, GrantRequest),
    Reply(GrantReply),
    Beat,
    Exchange(usize, Time, Config),
    Answer(bool, Time, Config),
}

/// The configuration that an instance or the platform holds.
#[derive(Clone, Debug, Default)]
pub struct Config {
    team: (Revision, Option<TeamSpec>),
    tables: BTreeMap<usize, (Revision, SlotTable)>,
}

struct Node {
    ledger: Ledger,
    incarnation: Incarnation,
    config: Config,
    heard: BTreeMap<usize, Time>,
    up: bool,
    thaws: Time,
}

pub struct World {
    pub now: Time,
    pub history: Vec<Admission>,
    options: LimitsOptions,
    nodes: Vec<Node>,
    queue: BTreeMap<(Time, u64), (usize, Incarnation, Event)>,
    platform: Config,
    revision: u64,
    seed: u64,
    draws: u64,
    until: BTreeMap<&'static str, Time>,
    cut: [Time; DOMAINS],
    limits: Vec<(Time, u64, u64)>,
    /// The first slot that was found to mint at two instances, if any.
    pub overlap: Option<String>,
    grants: Vec<Given>,
    given: BTreeSet<GrantId>,
}

impl World {
    pub fn new(seed: u64, options: LimitsOptions, spec: TeamSpec) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            history: Vec::new(),
            options,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            platform: Config::default(),
            revision: 1,
            seed,
            draws: 0,
            until: BTreeMap::new(),
            cut: [Time::ZERO; DOMAINS],
            limits: Vec::new(),
            overlap: None,
            grants: Vec::new(),
            given: BTreeSet::new(),
        };
        world.platform.team = (Revision(1), Some(spec));
        for index in 0..NODES {
            let node = world.start(index);
            world.nodes.push(node);
            world.post(Duration::ZERO, index, Event::Beat);
        }
        world
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.draws += 1;
        mix(self.seed ^ mix(self.draws)) % below
    }

    fn start(&mut self, index: usize) -> Node {
        let incarnation = Incarnation(self.random(u64::MAX));
        let home = domain(index % DOMAINS);
        let mut ledger = Ledger::new(instance(index), incarnation, home, self.options);
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
            heard: peers.map(|p| (p, self.now)).collect(),
            up: true,
            thaws: self.now,
        }
    }

    pub fn post(&mut self, delay: Duration, node: usize, event: Event) {
        self.draws += 1;
        let incarnation = self.nodes[node].incarnation;
        let key = (self.now + delay, self.draws);
        self.queue.insert(key, (node, incarnation, event));
    }

    /// Sends a message, which may be lost, repeated or late.
    fn send(&mut self, from: usize, to: usize, make: &dyn Fn() -> Event) {
        if self.is_cut(from, to) {
            return;
        }
        let mut copies = 1;
        let mut delay = 1 + self.random(3);
        if self.lasts("network") {
            copies = self.random(3);
            delay += self.random(4) * self.random(1_000);
        }
        for copy in 0..copies {
            self.post(Duration::from_millis(delay * (copy + 1)), to, make());
        }
    }

    fn lasts(&self, fault: &str) -> bool {
        self.until.get(fault).is_some_and(|end| self.now < *end)
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (a, b) = (a % DOMAINS, b % DOMAINS);
        a != b && (self.now < self.cut[a] || self.now < self.cut[b])
    }

    pub fn bring_about(&mut self, fault: Fault) {
        let end = |millis| self.now + Duration::from_millis(millis);
        match fault {
            Fault::Crash(index) => self.restart(index, 1_000),
            Fault::Stop(index) => {
                self.write_table(index, true);
                self.restart(index, 1_000);
            }
            Fault::CrashAll => (0..NODES).for_each(|i| self.restart(i, 200)),
            Fault::Freeze(index, millis) => self.nodes[index].thaws = end(millis),
            Fault::Cut(index, millis) => self.cut[index] = end(millis),
            Fault::PlatformDown(millis) => drop(self.until.insert("platform", end(millis))),
            Fault::LoseAnswers(millis) => drop(self.until.insert("answers", end(millis))),
            Fault::BadNetwork(millis) => drop(self.until.insert("network", end(millis))),
            Fault::SetLimits(rate, burst, spread) => {
                self.revision += 1;
                let spec = team_spec(rate, burst, spread);
                self.platform.team = (Revision(self.revision), Some(spec));
            }
        }
    }

    fn restart(&mut self, index: usize, delay: u64) {
        self.nodes[index] = self.start(index);
        self.nodes[index].up = false;
        self.post(Duration::from_millis(delay), index, Event::Beat);
    }

    pub fn run_until(&mut self, end: Time) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((due, _), (index, incarnation, event)) = entry.remove_entry();
            self.now = due;
            let node = &self.nodes[index];
            let arrives = matches!(event, Event::Attempt(_, Round::Local));
            if node.incarnation != incarnation && !arrives {
                continue;
            }
            if node.thaws > due {
                let delay = node.thaws.since(due);
                self.post(delay, index, event);
                continue;
            }
            self.handle(index, event);
            self.watch_slots(index);
        }
        self.now = end;
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        if !self.nodes[index].up && !matches!(event, Event::Beat) {
            return;
        }
        let node = &mut self.nodes[index];
        match event {
            Event::Attempt(job, round) => self.attempt(index, job, round),
            Event::Settle(reservation, used) => {
                node.ledger.settle(reservation, Tokens(used), now);
            }
            Event::Request(from, req) => {
                let reply = node.ledger.on_grant_request(&req, now);
                let given = reply.grant.filter(|offer| self.given.insert(offer.id));
                if let Some(ask) = req.tokens.filter(|_| given.is_some()) {
                    self.grants.push(Given {
                        run: (index, node.incarnation),
                        slot: ask.slot,
                        expires: now + self.options.grant_ttl,
                    });
                }
                self.send(index, from, &|| Event::Reply(reply.clone()));
            }
            Event::Reply(reply) => node.ledger.on_grant_reply(&reply, now),
            Event::Beat => self.beat(index),
            Event::Exchange(from, sent_at, config) => {
                node.heard.entry(from).and_modify(|heard| *heard = now);
                self.join(index, &config);
                let config = self.nodes[index].config.clone();
                let near = from % DOMAINS == index % DOMAINS;
                self.send(index, from, &|| {
                    Event::Answer(near, sent_at, config.clone())
                });
            }
            Event::Answer(is_contact, sent_at, config) => {
                self.join(index, &config);
                if is_contact {
                    self.nodes[index].ledger.on_contact(sent_at);
                }
            }
        }
    }

    fn attempt(&mut self, index: usize, job: Job, round: Round) {
        let ledger = &mut self.nodes[index].ledger;
        match ledger.reserve(&team(), Tokens(job.amount), round, self.now) {
            ReserveResult::Refused(_) => {}
            ReserveResult::Admitted(reservation) => {
                self.record(job.used);
                let hold = Duration::from_millis(job.hold);
                self.post(hold, index, Event::Settle(reservation, job.used));
            }
            ReserveResult::NeedsGrants(asks) => {
                for out in &asks {
                    self.request(index, out);
                }
                self.post(ASK_WAIT, index, Event::Attempt(job, round.next()));
            }
        }
    }

    fn request(&mut self, index: usize, out: &OutgoingRequest) {
        let to = (0..NODES).find(|n| instance(*n) == out.to).unwrap();
        let request = || Event::Request(index, out.request.clone());
        self.send(index, to, &request);
    }

    fn beat(&mut self, index: usize) {
        self.record(0);
        self.nodes[index].up = true;
        self.post(BEAT, index, Event::Beat);
        let due = self.nodes[index].ledger.tick(self.now);
        for out in &due {
            self.request(index, out);
        }
        let near = (index + DOMAINS * (1 + usize::from(self.random(2) == 1))) % NODES;
        let far = usize::try_from(self.random(NODES as u64)).unwrap();
        let config = self.nodes[index].config.clone();
        let (from, sent_at) = (index, self.now);
        let make = || Event::Exchange(from, sent_at, config.clone());
        self.send(index, near, &make);
        self.send(index, far, &make);
        if !self.lasts("platform") && self.now >= self.cut[index % DOMAINS] {
            self.write_table(index, false);
            if self.lasts("answers") {
                return;
            }
            let config = self.platform.clone();
            let answer = Event::Answer(true, sent_at, config);
            self.post(Duration::from_millis(2), index, answer);
        }
    }

    /// Writes the next table if the platform still holds the one it rests on.
    fn write_table(&mut self, index: usize, stops: bool) {
        let home = index % DOMAINS;
        let reachable = !self.lasts("platform") && self.now >= self.cut[home];
        let node = &self.nodes[index];
        let held = node.config.tables.get(&home).cloned().unwrap_or_default();
        let current = self.platform.tables.get(&home).cloned().unwrap_or_default();
        let member = |(peer, heard): (&usize, &Time)| DomainMember {
            name: instance(*peer),
            incarnation: self.nodes[*peer].incarnation,
            silent_for: self.now.since(*heard),
            leaving: false,
        };
        let members: Vec<_> = node.heard.iter().map(member).collect();
        let me = (instance(index), node.incarnation);
        let options = LimitsOptions::default();
        let next = if stops {
            release_slots(&me.0, &held.1)
        } else {
            propose_slots(&me, &held.1, held.0, SLOTS, &members, &options)
        };
        let mut next = next.unwrap_or_else(|| held.1.clone());
        let ledger = &mut self.nodes[index].ledger;
        ledger.prepare_release(&mut next, self.now);
        if reachable && next != held.1 && held.0 == current.0 {
            self.revision += 1;
            let entry = (Revision(self.revision), next);
            self.platform.tables.insert(home, entry.clone());
            if !self.lasts("answers") {
                let mut config = self.nodes[index].config.clone();
                config.tables.insert(home, entry);
                self.join(index, &config);
            }
        }
    }

    /// Notes when a slot in which `index` mints can still be spent elsewhere: by
    /// another instance that mints in it, or by the grants of another run.
    fn watch_slots(&mut self, index: usize) {
        let now = self.now;
        self.grants.retain(|given| given.expires > now);
        let mints = |node: &Node, slot| node.up && node.ledger.mints(slot, now);
        let run = (index, self.nodes[index].incarnation);
        let near = |other: usize| other % DOMAINS == index % DOMAINS;
        for slot in (0..SLOTS).filter(|slot| mints(&self.nodes[index], *slot)) {
            let mut others = (0..NODES).filter(|n| *n != index && near(*n));
            let mut grants = self.grants.iter();
            let other = others.find(|n| mints(&self.nodes[*n], slot)).or_else(|| {
                let is_other = |g: &&Given| g.slot == slot && near(g.run.0) && g.run != run;
                grants.find(is_other).map(|g| g.run.0)
            });
            if let (Some(other), None) = (other, &self.overlap) {
                self.overlap = Some(format!("slot {slot} at {now:?}: {index}, {other}"));
            }
        }
    }

    fn join(&mut self, index: usize, other: &Config) {
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

    /// Records a use of tokens; a use of none marks the limits in force.
    fn record(&mut self, used: u64) {
        let (rate, burst) = self.limits_in_force();
        self.history.push(Admission {
            at: self.now,
            used,
            rate,
            burst,
        });
    }

    /// Returns the largest limits that any instance holds or has lately held.
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
