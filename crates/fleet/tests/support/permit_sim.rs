//! A fleet without a network before upstreams that limit all instances together.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_fleet::availability::Availability;
use limpetsaddle_fleet::availability::ChangeKind;
use limpetsaddle_fleet::availability::Incarnation;
use limpetsaddle_fleet::availability::Notices;
use limpetsaddle_fleet::availability::Source;
use limpetsaddle_fleet::health::HealthOptions;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::peers::Issuer;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::permit_issuer::IssueContext;
use limpetsaddle_fleet::permit_issuer::PermitIssuer;
use limpetsaddle_fleet::permit_messages::LimitReport;
use limpetsaddle_fleet::permit_messages::PermitAnswer;
use limpetsaddle_fleet::permit_messages::PermitBody;
use limpetsaddle_fleet::permit_messages::PermitRequest;
use limpetsaddle_fleet::upstream_limit::LimitNotice;
use limpetsaddle_fleet::upstream_limit::RequestRate;
use limpetsaddle_fleet::upstreams::Upstreams;

use super::SERVICE;
use super::at;
use super::engine;

/// The length of a step of the simulation in milliseconds.
const STEP_MS: u64 = 5;

/// The time in which an engine answers, in milliseconds.
const ANSWER_MS: u64 = 20;

/// The time for which a request waits for a permit, in milliseconds.
const PATIENCE_MS: u64 = 300;

/// The time after its first notice from which a limit binds an instance, in milliseconds.
const GRACE_MS: u64 = 500;

/// The messages that reach an instance while it is suspended; further ones are lost.
const SUSPENDED_MESSAGES: usize = 200;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub instance: usize,
    pub engine: u8,
    pub at_ms: u64,
    /// Whether the engine's answers had named the limit to the instance half a second before.
    pub counts: bool,
}

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    to: usize,
    due_ms: u64,
    content: Content,
}

#[derive(Clone, Debug)]
enum Content {
    Heartbeat(u64, u64),
    Permits(u64, PermitBody),
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    instance: usize,
    incarnation: u64,
    engine: u8,
    sent_ms: u64,
    due_ms: u64,
    limit: Option<f64>,
}

struct Instance {
    incarnation: u64,
    sequence: u64,
    upstreams: Upstreams,
    peers: Peers,
    issuer: PermitIssuer,
    /// The time from which each engine's limit binds the instance.
    bound_from: Vec<Option<u64>>,
    /// The arrivals of waiting requests.
    waiting: Vec<u64>,
    is_up: bool,
    suspended_until: u64,
}

/// The simulated fleet.
pub struct PermitSim {
    pub now_ms: u64,
    pub arrivals: Vec<Arrival>,
    pub served: u64,
    pub refused: u64,
    /// The limit that each engine names at present.
    pub limits: Vec<Option<f64>>,
    /// The requests per second of each instance.
    pub load: Vec<f64>,
    /// The side of a partition on which each instance is.
    pub sides: Vec<u8>,
    /// One message in this many is lost; none if 0.
    pub loss: u64,
    due: Vec<f64>,
    instances: Vec<Instance>,
    messages: Vec<Message>,
    answers: Vec<Answer>,
    random: u64,
}

fn name(instance: usize) -> String {
    format!("a-{instance}")
}

fn address(instance: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(instance)
        .expect("few instances")
        .to_be_bytes();
    ([10, 1, high, low], 7_600).into()
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            usize::from(high) * 256 + usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("instances have IPv4 addresses"),
    }
}

fn incarnation(engine_index: u8) -> Incarnation {
    engine(engine_index, 1).incarnation()
}

impl PermitSim {
    /// Returns a fleet of `instances` before `engines` without limits, with a seed.
    pub fn new(instances: usize, engines: u8, seed: u64) -> Self {
        let mut sim = Self {
            now_ms: 0,
            arrivals: Vec::new(),
            served: 0,
            refused: 0,
            limits: vec![None; usize::from(engines)],
            load: vec![0.0; instances],
            sides: vec![0; instances],
            loss: 0,
            due: vec![0.0; instances],
            instances: Vec::new(),
            messages: Vec::new(),
            answers: Vec::new(),
            random: mix(seed),
        };
        for number in 0..instances {
            // Callers of different instances don't send in step.
            let phase = u32::try_from(sim.draw() >> 32).unwrap();
            sim.due[number] = f64::from(phase) / f64::from(u32::MAX);
            let started = sim.start(number, instances);
            sim.instances.push(started);
        }
        sim
    }

    fn start(&mut self, number: usize, registered: usize) -> Instance {
        let now = at(self.now_ms);
        let mut upstreams = Upstreams::new(HealthOptions::default());
        for engine_index in 0..u8::try_from(self.limits.len()).expect("few engines") {
            upstreams.upsert(engine(engine_index, 1), now);
        }
        let mut peers = Peers::new(name(number).as_str().into(), PeerOptions::default(), now);
        let all = (0..registered).map(|peer| Registration {
            name: name(peer).as_str().into(),
            address: address(peer),
            secret: None,
        });
        peers.set_registrations(all.collect(), now);
        Instance {
            incarnation: self.draw() | 1,
            sequence: 0,
            upstreams,
            peers,
            issuer: PermitIssuer::default(),
            bound_from: vec![None; self.limits.len()],
            waiting: Vec::new(),
            is_up: true,
            suspended_until: 0,
        }
    }

    fn draw(&mut self) -> u64 {
        self.random = mix(self.random);
        self.random
    }

    /// Sets the limit that all engines name.
    pub fn limit_all(&mut self, limit: Option<f64>) {
        self.limits.fill(limit);
    }

    /// Spreads a load evenly over some instances; the others get none.
    pub fn spread(&mut self, per_second: f64, instances: &[usize]) {
        self.load.fill(0.0);
        for number in instances {
            self.load[*number] = per_second / f64::from(u32::try_from(instances.len()).unwrap());
        }
    }

    pub fn kill(&mut self, number: usize) {
        self.instances[number].is_up = false;
    }

    pub fn restart(&mut self, number: usize) {
        let registered = self.instances.len();
        self.instances[number] = self.start(number, registered);
    }

    pub fn suspend(&mut self, number: usize, span_ms: u64) {
        self.instances[number].suspended_until = self.now_ms + span_ms;
    }

    /// Returns the instance that issues an engine's permits in the view of another one.
    pub fn issuer_of(&self, engine_index: u8, viewer: usize) -> usize {
        let process = incarnation(engine_index).process();
        match self.instances[viewer]
            .peers
            .issuer(process, at(self.now_ms))
        {
            Issuer::Peer(address) => index(address),
            Issuer::Own | Issuer::Unknown => viewer,
        }
    }

    /// Runs the fleet for a while.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now_ms + span_ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            self.beat();
            self.deliver();
            self.answer();
            for number in 0..self.instances.len() {
                self.serve(number);
            }
        }
    }

    fn runs(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        instance.is_up && self.now_ms >= instance.suspended_until
    }

    fn post(&mut self, from: usize, to: usize, content: Content) {
        let draw = self.draw();
        let is_lost = self.loss > 0 && draw.is_multiple_of(self.loss);
        if is_lost || self.sides[from] != self.sides[to] {
            return;
        }
        let due_ms = self.now_ms + 1 + (draw >> 32) % 4;
        self.messages.push(Message {
            from,
            to,
            due_ms,
            content,
        });
    }

    fn beat(&mut self) {
        for number in 0..self.instances.len() {
            let now = at(self.now_ms);
            let phase = u64::try_from(number).unwrap() * 7;
            let instance = &mut self.instances[number];
            let interval = u64::try_from(instance.peers.heartbeat_interval().as_millis()).unwrap();
            let is_due = (self.now_ms + phase) % interval < STEP_MS;
            if !is_due || !self.runs(number) {
                continue;
            }
            let instance = &mut self.instances[number];
            instance.sequence += 1;
            instance.peers.expire(now);
            let peers = &instance.peers;
            instance
                .issuer
                .retain(|process| peers.issuer(process, now) == Issuer::Own, now);
            let content = Content::Heartbeat(instance.incarnation, instance.sequence);
            for other in (0..self.instances.len()).filter(|other| *other != number) {
                self.post(number, other, content.clone());
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<Message>, Vec<Message>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.due_ms <= now_ms);
        self.messages = later;
        let mut held: Vec<usize> = vec![0; self.instances.len()];
        for message in due {
            let to = message.to;
            if self.runs(to) {
                self.receive(&message);
            } else if self.instances[to].is_up && held[to] < SUSPENDED_MESSAGES {
                held[to] += 1;
                self.messages.push(message);
            }
        }
    }

    fn receive(&mut self, message: &Message) {
        let now = at(self.now_ms);
        let instance = &mut self.instances[message.to];
        match &message.content {
            Content::Heartbeat(incarnation, sequence) => {
                let heartbeat = Heartbeat::new(&name(message.from), *incarnation, *sequence);
                instance.peers.record_heartbeat(&heartbeat, now);
            }
            Content::Permits(process, PermitBody::Request(req)) => {
                let own = instance.incarnation;
                instance
                    .upstreams
                    .apply_permit_request(*process, req, own, now);
                if req.wanted > 0 {
                    let answer = self.decide(message.to, *process, req);
                    let echo_ms = req.stamp_ms;
                    let reply = PermitBody::Reply { echo_ms, answer };
                    self.post(message.to, message.from, Content::Permits(*process, reply));
                }
            }
            Content::Permits(process, PermitBody::Reply { echo_ms, answer }) => {
                let requested = at(*echo_ms);
                instance
                    .upstreams
                    .apply_answer(*process, requested, answer, now);
            }
            Content::Permits(process, PermitBody::Limit(report)) => {
                instance.upstreams.apply_limit_report(*process, report, now);
            }
        }
        self.announce(message.to);
    }

    /// Announces limits that this instance did not know before.
    fn announce(&mut self, number: usize) {
        let now = at(self.now_ms);
        let changes = self.instances[number].upstreams.take_changes(now);
        for change in changes {
            let ChangeKind::Limited { source, .. } = change.kind else {
                continue;
            };
            let process = change.incarnation.process();
            let instance = &self.instances[number];
            let Some(limit) = instance.upstreams.limit_record(process).named() else {
                continue;
            };
            let report = LimitReport::new(&limit, now);
            match instance.peers.issuer(process, now) {
                Issuer::Own => {
                    for other in (0..self.instances.len()).filter(|other| *other != number) {
                        let body = PermitBody::Limit(report);
                        self.post(number, other, Content::Permits(process, body));
                    }
                }
                Issuer::Peer(address) if source == Source::Answer => {
                    let body = PermitBody::Request(PermitRequest::report(Some(report), None));
                    self.post(number, index(address), Content::Permits(process, body));
                }
                Issuer::Peer(_) | Issuer::Unknown => {}
            }
        }
    }

    fn decide(&mut self, number: usize, process: u64, req: &PermitRequest) -> PermitAnswer {
        let instance = &mut self.instances[number];
        let cx = IssueContext {
            peers: &instance.peers,
            upstreams: &instance.upstreams,
            incarnation: instance.incarnation,
            now: at(self.now_ms),
        };
        instance.issuer.answer(process, req, &cx)
    }

    /// Hands the due answers of engines to the instances.
    fn answer(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<Answer>, Vec<Answer>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.due_ms <= now_ms);
        self.answers = later;
        for answer in due {
            if !self.runs(answer.instance) {
                if self.instances[answer.instance].is_up {
                    self.answers.push(answer);
                }
                continue;
            }
            let instance = &mut self.instances[answer.instance];
            if instance.incarnation != answer.incarnation {
                continue;
            }
            if answer.limit.is_some() {
                let bound = &mut instance.bound_from[usize::from(answer.engine)];
                bound.get_or_insert(now_ms + GRACE_MS);
            }
            let sent = at(answer.sent_ms);
            let limit = match answer.limit {
                Some(limit) => LimitNotice::Limited {
                    rate: RequestRate::per_second(limit),
                    is_signed: true,
                },
                None => LimitNotice::Unlimited {
                    sent,
                    is_signed: true,
                },
            };
            let notices = Notices {
                limit,
                ..Notices::default()
            };
            let recipient = incarnation(answer.engine);
            instance
                .upstreams
                .record_notices(&recipient, &notices, at(now_ms));
            self.announce(answer.instance);
        }
    }

    fn serve(&mut self, number: usize) {
        self.due[number] +=
            self.load[number] * f64::from(u32::try_from(STEP_MS).unwrap()) / 1_000.0;
        while self.due[number] >= 1.0 {
            self.due[number] -= 1.0;
            if self.instances[number].is_up {
                let now_ms = self.now_ms;
                self.instances[number].waiting.push(now_ms);
            }
        }
        if !self.runs(number) {
            return;
        }
        let waiting: VecDeque<u64> = std::mem::take(&mut self.instances[number].waiting).into();
        for arrived in waiting {
            if self.send(number) {
                self.served += 1;
            } else if self.now_ms - arrived > PATIENCE_MS {
                self.refused += 1;
            } else {
                self.instances[number].waiting.push(arrived);
                self.seek(number);
            }
        }
    }

    /// Sends a request to an engine that it may be sent to, and returns whether there is one.
    fn send(&mut self, number: usize) -> bool {
        let now = at(self.now_ms);
        let random = self.draw();
        let instance = &mut self.instances[number];
        let usable = instance.upstreams.of_service(SERVICE, now);
        let usable: Vec<Incarnation> = usable.map(|row| row.entry.incarnation()).collect();
        let Some(chosen) = usable.iter().max_by_key(|i| mix(i.process() ^ random)) else {
            return false;
        };
        let is_limited = instance
            .upstreams
            .limit_record(chosen.process())
            .named()
            .is_some();
        if is_limited && instance.upstreams.take_permit(chosen, now).is_none() {
            return false;
        }
        if !is_limited {
            self.seek(number);
        }
        let instance = &mut self.instances[number];
        let engine: u8 = chosen.upstream[1..].parse().expect("engines have numbers");
        let incarnation = instance.incarnation;
        let bound = instance.bound_from[usize::from(engine)];
        self.arrivals.push(Arrival {
            instance: number,
            engine,
            at_ms: self.now_ms,
            counts: bound.is_some_and(|from| self.now_ms >= from),
        });
        self.answers.push(Answer {
            instance: number,
            incarnation,
            engine,
            sent_ms: self.now_ms,
            due_ms: self.now_ms + ANSWER_MS,
            limit: self.limits[usize::from(engine)],
        });
        true
    }

    fn seek(&mut self, number: usize) {
        let now = at(self.now_ms);
        let random = self.draw();
        let upstreams = &self.instances[number].upstreams;
        if let Some(process) = upstreams.permit_candidate(SERVICE, |_| true, random, now) {
            let instance = &mut self.instances[number];
            let Some((wanted, limit)) = instance.upstreams.begin_request(process, now) else {
                return;
            };
            let req = PermitRequest {
                stamp_ms: self.now_ms,
                limit: Some(limit),
                wanted,
                priority: 1,
                lifted: None,
            };
            match instance.peers.issuer(process, now) {
                Issuer::Own => {
                    let answer = self.decide(number, process, &req);
                    let upstreams = &mut self.instances[number].upstreams;
                    upstreams.apply_answer(process, now, &answer, now);
                }
                Issuer::Peer(address) => {
                    let content = Content::Permits(process, PermitBody::Request(req));
                    self.post(number, index(address), content);
                }
                Issuer::Unknown => {}
            }
        }
    }

    /// Returns the most requests that reached an engine in 4 s that began at `from_ms` or later.
    pub fn most_in_a_window(&self, engine_index: u8, from_ms: u64) -> usize {
        let all = self.arrivals.iter();
        let times = all.filter(|a| a.counts && a.engine == engine_index && a.at_ms >= from_ms);
        let times: Vec<u64> = times.map(|arrival| arrival.at_ms).collect();
        let window = |start: &u64| {
            let within = times
                .iter()
                .filter(|at| (*start..start + 4_000).contains(at));
            within.count()
        };
        times.iter().map(window).max().unwrap_or_default()
    }

    /// Returns the requests that reached an engine from a time on.
    pub fn arrived_since(&self, engine_index: u8, from_ms: u64) -> usize {
        let all = self.arrivals.iter();
        all.filter(|a| a.engine == engine_index && a.at_ms >= from_ms)
            .count()
    }

    /// Returns whether an instance can call an engine without a permit.
    pub fn is_unlimited(&self, number: usize, engine_index: u8) -> bool {
        let upstreams = &self.instances[number].upstreams;
        let process = incarnation(engine_index).process();
        let state = upstreams.availability(&incarnation(engine_index), at(self.now_ms));
        upstreams.limit_record(process).named().is_none() && state == Availability::Serving
    }

    pub fn seconds(span_ms: u64) -> f64 {
        Duration::from_millis(span_ms).as_secs_f64()
    }
}
