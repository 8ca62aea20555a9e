//! An in-memory fleet whose instances roll out a version of a service's software.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::canary::AnswerOutcome;
use limpetsaddle_fleet::canary::Canaries;
use limpetsaddle_fleet::canary::CanaryReport;
use limpetsaddle_fleet::canary::CanaryStatus;
use limpetsaddle_fleet::canary::CanaryWrite;
use limpetsaddle_fleet::canary::Order;
use limpetsaddle_fleet::canary::Phase;
use limpetsaddle_fleet::canary::SentAttempt;
use limpetsaddle_fleet::canary::Side;
use limpetsaddle_fleet::canary::UpstreamVersion;
use limpetsaddle_fleet::limits::PeerCounts;
use limpetsaddle_fleet::settings::CanaryBounds;

/// The service.
pub const SERVICE: &str = "api";

/// The routes, with their parts of the requests and usual times in milliseconds.
const ROUTES: [(&str, f64, f64); 4] = [
    ("/a", 0.4, 15.0),
    ("/b", 0.3, 40.0),
    ("/c", 0.2, 90.0),
    ("/d", 0.1, 250.0),
];

/// The time of the order.
pub const ORDERED: Duration = Duration::from_secs(4);

/// The time between two steps of an instance.
const STEP: Duration = Duration::from_millis(100);

/// The failures of both versions.
const USUAL_FAILURES: f64 = 0.002;

/// What is wrong with the target version.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    /// The part of its responses, 0 for a good version.
    pub part: f64,
    /// The factor by which they are slower, or 0 if they are failures.
    pub slower: f64,
    /// When it begins, as a fraction of the order's duration.
    pub onset: f64,
    /// The only route, if it is on one.
    pub route: Option<usize>,
    /// Whether it occurs only at upstreams with at least 0.7 times the load of an old one.
    pub under_load: bool,
}

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Incident {
    /// An instance is suspended.
    Freeze(usize),
    /// A suspended instance goes on, with the heartbeats that have arrived meanwhile.
    Resume(usize),
    /// An instance is killed and starts again.
    Restart(usize),
    /// Instances below this number, and the others, don't reach each other. Those below don't
    /// reach the store either.
    Cut(usize),
    /// The store is unavailable, or available again.
    Store(bool),
    /// Both versions fail for half of the requests, or not any more.
    Overload(bool),
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// The fleet and its load.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub instances: usize,
    /// The range of the requests per second of an instance.
    pub rates: (f64, f64),
    pub old: usize,
    pub new: usize,
    pub duration: Duration,
    pub fault: Fault,
    /// Incidents with their times after the order, in seconds.
    pub incidents: Vec<(f64, Incident)>,
    pub seed: u64,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Beat(usize),
    Deliver(usize, u64, Rc<CanaryReport>, Vec<Option<Time>>),
    Read(usize),
    Answer(usize, u64, SentAttempt, usize, Option<Duration>, bool),
    Incident(Incident),
}

struct Instance {
    name: String,
    canaries: Canaries,
    incarnation: u64,
    steps: usize,
    rate: f64,
    frozen: bool,
    /// Whether it still takes the lease for its own, though another may have taken over.
    held_lease: bool,
    /// The revision of the status that it has read.
    revision: u64,
    /// The last time stamps that it has received.
    stamps: Vec<Option<Time>>,
    /// When each peer was last heard.
    heard: Vec<Option<Time>>,
    inbox: VecDeque<(usize, u64, Rc<CanaryReport>, Option<Time>)>,
}

/// What happened.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The writes that won, with the time after the order.
    pub writes: Vec<(Phase, Duration)>,
    /// The requests that arrived between the order and its deadline, and those at the target.
    pub requests: usize,
    pub exposed: usize,
    pub bad: usize,
    /// The 50th bad response, and the last request to the target.
    pub limit_reached: Option<Time>,
    pub last_sent: Option<Time>,
    /// Requests to the target before the order was written.
    pub too_early: usize,
    /// The requests that no upstream was permitted for.
    pub refused: usize,
    /// The requests that ran at old upstreams when the order was completed.
    pub cut: usize,
}

impl Outcome {
    /// Returns the terminal phases that were written.
    pub fn ends(&self) -> Vec<Phase> {
        let ends = self.writes.iter().map(|(phase, _)| *phase);
        ends.filter(|phase| matches!(phase, Phase::Completed | Phase::RolledBack))
            .collect()
    }

    /// Returns whether the exposure is inside the bound.
    pub fn is_inside(&self) -> bool {
        as_f64(self.exposed) <= 0.1 * as_f64(self.requests) + 50.0
    }
}

pub struct Fleet {
    scenario: Scenario,
    now: Time,
    random: u64,
    queue: BTreeMap<(Time, u64), Event>,
    entries: u64,
    instances: Vec<Instance>,
    upstreams: Vec<UpstreamVersion>,
    /// The recent requests at each upstream, as a decaying count with its time.
    loads: HashMap<Name, (f64, Time)>,
    cut: usize,
    store_is_up: bool,
    overload: bool,
    status: Option<CanaryStatus>,
    revision: u64,
    ordered: bool,
    running_old: usize,
    pub outcome: Outcome,
}

impl Fleet {
    /// Returns a fleet in which the order is about to be written.
    pub fn new(scenario: Scenario) -> Self {
        let upstream = |id: String, version: &str, born_ms| UpstreamVersion {
            id: id.into(),
            version: version.into(),
            born_ms,
        };
        let old = (0..scenario.old).map(|i| upstream(format!("old-{i}"), "v1", 1_000));
        let new = (0..scenario.new).map(|i| upstream(format!("new-{i}"), "v2", 9_000));
        let mut fleet = Self {
            now: Time::ZERO,
            random: mix(scenario.seed + 1),
            queue: BTreeMap::new(),
            entries: 0,
            instances: Vec::new(),
            upstreams: old.chain(new).collect(),
            loads: HashMap::new(),
            cut: 0,
            store_is_up: true,
            overload: false,
            status: None,
            revision: 0,
            ordered: false,
            running_old: 0,
            outcome: Outcome::default(),
            scenario,
        };
        let (low, high) = fleet.scenario.rates;
        let count = fleet.scenario.instances;
        for i in 0..count {
            let rate = low * (high / low).powf(fleet.draw());
            let canaries = fleet.started();
            fleet.instances.push(Instance {
                name: format!("i-{i}"),
                canaries,
                incarnation: 1,
                steps: i,
                rate,
                frozen: false,
                held_lease: false,
                revision: 0,
                stamps: vec![None; count],
                heard: vec![None; count],
                inbox: VecDeque::new(),
            });
            let first = STEP.mul_f64(fleet.draw());
            fleet.schedule(first, Event::Beat(i));
            fleet.schedule(Duration::ZERO, Event::Arrival(i));
        }
        for (at, incident) in fleet.scenario.incidents.clone() {
            let at = ORDERED + Duration::from_secs_f64(at);
            fleet.schedule(at, Event::Incident(incident));
        }
        fleet
    }

    fn started(&self) -> Canaries {
        let mut canaries = Canaries::new(CanaryBounds::default());
        canaries.observe_upstreams(SERVICE, &self.upstreams);
        if !self.ordered {
            canaries.record_orders_read();
        }
        canaries
    }

    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let bits = u32::try_from(mix(self.random) >> 32).unwrap_or_default();
        f64::from(bits) / (f64::from(u32::MAX) + 1.0)
    }

    fn pick(&mut self, ids: &[Name]) -> Name {
        let draw = self.draw();
        let below = (1..ids.len()).take_while(|n| as_f64(*n) <= draw * as_f64(ids.len()));
        Name::clone(&ids[below.count()])
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * self.draw().max(1e-12).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.draw()).cos()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.entries += 1;
        self.queue.insert((self.now + after, self.entries), event);
    }

    /// Returns the steps of an instance from one heartbeat to the next.
    fn steps(&self) -> usize {
        self.scenario.instances.div_ceil(31).min(10)
    }

    /// Returns the time between two heartbeats.
    fn interval(&self) -> Duration {
        STEP * u32::try_from(self.steps()).unwrap_or(1)
    }

    /// Runs until some time after the deadline, or after the end of the rollout.
    pub fn run(mut self) -> Outcome {
        let deadline = Time::ZERO + ORDERED + self.scenario.duration;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            if !self.ordered && at >= Time::ZERO + ORDERED {
                self.ordered = true;
                self.revision = 1;
                for i in 0..self.instances.len() {
                    let delay = Duration::from_millis(300).mul_f64(self.draw());
                    self.schedule(delay, Event::Read(i));
                }
            }
            let ended = self.outcome.writes.last();
            let ended = ended.filter(|(phase, _)| !matches!(phase, Phase::Canary | Phase::Moving));
            let ended = ended.map(|(_, after)| Time::ZERO + ORDERED + *after);
            let waits = Duration::from_secs(6);
            let is_over = ended.is_some_and(|ended| at.since(ended) > waits && ended < at);
            if is_over && self.scenario.incidents.is_empty() || at > deadline + waits {
                break;
            }
            self.handle(event);
        }
        self.outcome
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        (a < self.cut) == (b < self.cut)
    }

    fn reaches_store(&self, i: usize) -> bool {
        self.store_is_up && i >= self.cut
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(i) => {
                let pause = -self.draw().max(1e-12).ln() / self.instances[i].rate;
                self.schedule(Duration::from_secs_f64(pause), Event::Arrival(i));
                if !self.instances[i].frozen {
                    let route = self.draw_route();
                    self.send(i, route, true);
                }
            }
            Event::Beat(i) => {
                self.schedule(STEP, Event::Beat(i));
                if !self.instances[i].frozen {
                    self.beat(i);
                }
            }
            Event::Deliver(from, incarnation, report, echoes) => {
                for (to, echoed) in echoes.into_iter().enumerate() {
                    if to != from && self.reaches(from, to) {
                        let news = (from, incarnation, Rc::clone(&report), echoed);
                        self.instances[to].inbox.push_back(news);
                        if !self.instances[to].frozen {
                            self.receive(to);
                        }
                    }
                }
            }
            Event::Read(i) => self.read(i),
            Event::Answer(i, incarnation, attempt, route, latency, may_retry) => {
                self.answer(i, incarnation, attempt, route, latency, may_retry);
            }
            Event::Incident(incident) => self.strike(incident),
        }
    }

    fn strike(&mut self, incident: Incident) {
        match incident {
            Incident::Freeze(i) => self.instances[i].frozen = true,
            Incident::Resume(i) => {
                self.instances[i].frozen = false;
                // Requests may go out before any heartbeat is read.
                for _ in 0..50 {
                    self.send(i, 0, false);
                }
                self.receive(i);
                for _ in 0..50 {
                    self.send(i, 0, false);
                }
                self.beat(i);
                self.read(i);
            }
            Incident::Restart(i) => {
                let canaries = self.started();
                let count = self.instances.len();
                let instance = &mut self.instances[i];
                instance.canaries = canaries;
                instance.incarnation += 1;
                instance.revision = 0;
                instance.held_lease = false;
                instance.stamps = vec![None; count];
                instance.heard = vec![None; count];
                self.schedule(Duration::from_millis(700), Event::Read(i));
            }
            Incident::Cut(below) => self.cut = below,
            Incident::Store(is_up) => {
                self.store_is_up = is_up;
                for i in 0..self.instances.len() {
                    let delay = Duration::from_millis(500).mul_f64(self.draw());
                    self.schedule(delay, Event::Read(i));
                }
            }
            Incident::Overload(on) => self.overload = on,
        }
    }

    fn read(&mut self, i: usize) {
        if !self.ordered || self.instances[i].frozen {
            return;
        }
        if !self.reaches_store(i) {
            self.schedule(Duration::from_millis(500), Event::Read(i));
            return;
        }
        let order = Order {
            service: SERVICE.into(),
            target: "v2".into(),
            duration: self.scenario.duration,
            revision: 1,
            age: Duration::ZERO,
        };
        let instance = &mut self.instances[i];
        instance
            .canaries
            .apply_order(order, self.status.as_ref(), self.now);
        instance.canaries.record_orders_read();
        instance.revision = self.revision;
    }

    fn draw_route(&mut self) -> usize {
        let mut draw = self.draw();
        let parts = ROUTES.iter().position(|(_, part, _)| {
            draw -= part;
            draw < 0.0
        });
        parts.unwrap_or(0)
    }

    fn send(&mut self, i: usize, route: usize, may_retry: bool) {
        let now = self.now;
        let canaries = &self.instances[i].canaries;
        let admission = canaries.admit(SERVICE, now);
        let all: Rc<[Name]> = self.upstreams.iter().map(|u| Name::clone(&u.id)).collect();
        let permitted = admission.map_or(all, |admission| admission.upstreams);
        if permitted.is_empty() {
            self.outcome.refused += 1;
            return;
        }
        let id = self.pick(&permitted);
        let instance = &mut self.instances[i];
        let Some(attempt) = instance.canaries.record_sent(SERVICE, &id, now) else {
            self.outcome.refused += 1;
            return;
        };
        let incarnation = instance.incarnation;
        let is_target = id.starts_with("new");
        self.running_old += usize::from(!is_target);
        let elapsed = now.since(Time::ZERO + ORDERED);
        if self.ordered && elapsed <= self.scenario.duration {
            self.outcome.requests += 1;
            self.outcome.exposed += usize::from(is_target);
        }
        if is_target {
            self.outcome.too_early += usize::from(!self.ordered);
            self.outcome.last_sent = Some(now);
        }
        let (_, _, usual_ms) = ROUTES[route];
        let mut latency = usual_ms / 1_000.0 * (0.3 * self.normal()).exp();
        let mut failed = self.draw() < if self.overload { 0.5 } else { USUAL_FAILURES };
        let load = self.load_of(&id);
        if is_target && self.is_faulty(route, load) {
            let fault = self.scenario.fault;
            self.outcome.bad += 1;
            failed |= fault.slower == 0.0;
            latency *= fault.slower.max(1.0);
            if self.outcome.bad == 50 {
                self.outcome.limit_reached = Some(now + Duration::from_secs_f64(latency));
            }
        }
        let latency = Duration::from_secs_f64(latency);
        let answered = (!failed).then_some(latency);
        self.schedule(
            latency,
            Event::Answer(i, incarnation, attempt, route, answered, may_retry),
        );
    }

    /// Counts a request at an upstream and returns its load as a multiple of an old one's.
    fn load_of(&mut self, id: &Name) -> f64 {
        let now = self.now;
        let decayed = |(count, at): (f64, Time)| count * (-now.since(at).as_secs_f64()).exp();
        let load = self.loads.entry(Name::clone(id)).or_insert((0.0, now));
        *load = (decayed(*load) + 1.0, now);
        let own = load.0;
        let old = self.loads.iter().filter(|(id, _)| id.starts_with("old"));
        let old: f64 = old.map(|(_, load)| decayed(*load)).sum();
        own * as_f64(self.scenario.old) / old.max(0.01)
    }

    fn is_faulty(&mut self, route: usize, load: f64) -> bool {
        let fault = self.scenario.fault;
        let onset = ORDERED + self.scenario.duration.mul_f64(fault.onset);
        self.now >= Time::ZERO + onset
            && fault.route.is_none_or(|only| only == route)
            && (!fault.under_load || load >= 0.7)
            && self.draw() < fault.part
    }

    fn answer(
        &mut self,
        i: usize,
        incarnation: u64,
        attempt: SentAttempt,
        route: usize,
        latency: Option<Duration>,
        may_retry: bool,
    ) {
        let is_old = attempt.side == Side::Base && self.status_phase() != Some(Phase::Completed);
        self.running_old -= usize::from(is_old && self.running_old > 0);
        let now = self.now;
        let instance = &mut self.instances[i];
        if instance.incarnation != incarnation {
            return;
        }
        let outcome = latency.map_or(AnswerOutcome::Failed, |latency| AnswerOutcome::Answered {
            latency,
        });
        let canaries = &mut instance.canaries;
        canaries.record_answer(&attempt, ROUTES[route].0, outcome, now);
        canaries.record_end(attempt);
        if latency.is_none() && may_retry && !instance.frozen {
            self.send(i, route, false);
        }
    }

    fn status_phase(&self) -> Option<Phase> {
        self.status.as_ref().map(|status| status.phase)
    }

    fn receive(&mut self, i: usize) {
        let now = self.now;
        while let Some((from, incarnation, report, echoed)) = self.instances[i].inbox.pop_front() {
            let sender = self.instances[from].name.clone();
            let instance = &mut self.instances[i];
            instance.heard[from] = Some(now);
            let canaries = &mut instance.canaries;
            canaries.observe(&sender, incarnation, &report, echoed, now);
        }
    }

    fn beat(&mut self, i: usize) {
        let now = self.now;
        let timeout = self.interval() * 4 + Duration::from_millis(1_200);
        let count = self.instances.len();
        let holds = self.holder() == Some(i);
        let instance = &mut self.instances[i];
        let heard = instance.heard.iter().flatten();
        let live = heard.filter(|at| now.since(**at) < timeout).count() + 1;
        let peers = PeerCounts {
            registered: count,
            live,
        };
        let holds_lease = holds || std::mem::take(&mut instance.held_lease);
        instance.held_lease = holds;
        let writes = instance.canaries.step(holds_lease, peers, now);
        for write in writes {
            self.write(i, write);
        }
        let steps = self.steps();
        let instance = &mut self.instances[i];
        instance.steps += 1;
        if !instance.steps.is_multiple_of(steps) {
            return;
        }
        let report = Rc::new(instance.canaries.report(now));
        let incarnation = instance.incarnation;
        // The stamps that arrive with this heartbeat.
        let echoes = self.instances[i].stamps.clone();
        for to in 0..count {
            if self.reaches(i, to) {
                self.instances[to].stamps[i] = Some(now);
            }
        }
        let max_delay = if count > 30 { 200.0 } else { 1_100.0 };
        let delay = Duration::from_secs_f64(max_delay / 1_000.0 * self.draw());
        self.schedule(delay, Event::Deliver(i, incarnation, report, echoes));
    }

    /// Returns the instance that holds the lease: the first that runs and reaches the store.
    fn holder(&self) -> Option<usize> {
        let mut all = 0..self.instances.len();
        all.find(|i| self.reaches_store(*i) && !self.instances[*i].frozen)
    }

    fn write(&mut self, i: usize, write: CanaryWrite) {
        if !self.reaches_store(i) {
            return;
        }
        if self.instances[i].revision == self.revision {
            self.revision += 1;
            if write.status.phase == Phase::Completed {
                self.outcome.cut = self.running_old;
            }
            let after = self.now.since(Time::ZERO + ORDERED);
            self.outcome.writes.push((write.status.phase, after));
            self.status = Some(write.status);
            for to in (0..self.instances.len()).filter(|to| *to != i) {
                let delay = Duration::from_millis(600).mul_f64(self.draw());
                self.schedule(delay, Event::Read(to));
            }
        }
        self.read(i);
    }
}
