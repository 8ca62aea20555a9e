//! A simulation of one policy under one workload in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::mem;
use std::time::Duration;

use limpetsaddle_core::fair_queue::PushOutcome;
use limpetsaddle_core::names::PoolName;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::placement::CandidateSource;
use limpetsaddle_core::placement::Choice;
use limpetsaddle_core::placement::Feedback;
use limpetsaddle_core::placement::Query;
use limpetsaddle_core::retry::Attempts;
use limpetsaddle_core::retry::Failure;
use limpetsaddle_core::retry::RetryDecision;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;
use limpetsaddle_core::upstreams::AttemptOutcome;
use limpetsaddle_core::upstreams::Identity;
use limpetsaddle_core::upstreams::LoadReport;
use limpetsaddle_core::upstreams::UpstreamId;

use crate::cluster::DOMAINS;
use crate::cluster::ENGINES;
use crate::cluster::INSTANCES;
use crate::cluster::Instance;
use crate::cluster::Method;
use crate::cluster::Request;
use crate::cluster::Variant;
use crate::cluster::instances;
use crate::cluster::name;
use crate::engine::Engine;
use crate::engine::prefill_time;
use crate::stats::Stats;
use crate::workload::Prompts;
use crate::workload::Random;
use crate::workload::TEAM_WEIGHT;
use crate::workload::Workload;

const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const REPORT_LATENCY: Duration = Duration::from_millis(50);
const RESTART_DELAY: Duration = Duration::from_secs(2);
const CRASHED_ENGINE: usize = 3;

#[derive(Debug)]
enum Event {
    Arrive,
    Prefilled {
        engine: usize,
        incarnation: u64,
        request: usize,
    },
    Decoded {
        engine: usize,
        incarnation: u64,
        request: usize,
    },
    Sent {
        engine: usize,
        request: usize,
    },
    Retry {
        request: usize,
    },
    SampleLoad,
    LoadReports {
        sent: Time,
        reports: Vec<Option<(LoadReport, u64)>>,
    },
    Crash,
    Restart,
}

pub struct Run<'a> {
    workload: Workload,
    variant: &'a Variant,
    duration: Duration,
    now: Time,
    random: Random,
    prompts: Prompts,
    pool: PoolName,
    teams: Vec<TeamName>,
    ids: Vec<UpstreamId>,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Time, usize)>>,
    pending: Vec<Option<Event>>,
    computed_blocks: HashSet<u64>,
    pub stats: Stats,
}

impl<'a> Run<'a> {
    pub fn new(workload: Workload, variant: &'a Variant, seed: u64, duration: Duration) -> Self {
        let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
        engines.iter_mut().for_each(Engine::restart);
        let (instances, ids) = instances(variant);
        Self {
            workload,
            variant,
            duration,
            now: Time::ZERO,
            random: Random(seed),
            prompts: Prompts::new(workload),
            pool: "pool".parse().expect("a valid name"),
            teams: (0..TEAM_WEIGHT.len())
                .map(|i| name(&format!("team-{i}")))
                .collect(),
            ids,
            engines,
            instances,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            pending: Vec::new(),
            computed_blocks: HashSet::new(),
            stats: Stats::default(),
        }
    }

    /// Runs the simulation. An engine crashes at a third of the duration, the
    /// popularity of contexts shifts at half of it, and the large team's load
    /// surges in the fourth fifth.
    pub fn run(mut self) -> Stats {
        self.schedule(Duration::ZERO, Event::Arrive);
        self.schedule(Duration::ZERO, Event::SampleLoad);
        self.schedule(self.duration / 3, Event::Crash);
        while let Some(Reverse((at, index))) = self.events.pop() {
            self.now = at;
            if let Some(event) = self.pending[index].take() {
                self.handle(event);
            }
        }
        self.stats
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events
            .push(Reverse((self.now + delay, self.pending.len())));
        self.pending.push(Some(event));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Sent { engine, request } => self.sent(engine, request),
            Event::Prefilled {
                engine,
                incarnation,
                request,
            } => {
                if self.engines[engine].incarnation == incarnation {
                    self.prefilled(engine, request);
                }
            }
            Event::Decoded {
                engine,
                incarnation,
                request,
            } => {
                if self.engines[engine].incarnation == incarnation {
                    self.decoded(engine, request);
                }
            }
            Event::Retry { request } => self.place_or_queue(request),
            Event::SampleLoad => self.sample_load(),
            Event::LoadReports { sent, reports } => self.receive_reports(sent, &reports),
            Event::Crash => self.crash(),
            Event::Restart => self.engines[CRASHED_ENGINE].restart(),
        }
    }

    /// Returns whether a fraction of the duration has passed.
    fn has_passed(&self, numerator: u32, denominator: u32) -> bool {
        self.now.since_origin() >= self.duration * numerator / denominator
    }

    fn arrive(&mut self) {
        if self.has_passed(1, 1) {
            return;
        }
        let surge = self.has_passed(3, 5) && !self.has_passed(4, 5);
        let interval = self
            .random
            .interval(self.workload.rate * if surge { 2 } else { 1 });
        self.schedule(interval, Event::Arrive);
        let shifted = self.has_passed(1, 2);
        let (mut team, mut chain) = self.prompts.draw(&mut self.random, shifted);
        // The surge adds requests of the large team.
        if surge && self.random.below(2) == 0 {
            while team != 0 {
                (team, chain) = self.prompts.draw(&mut self.random, shifted);
            }
        }
        let instance = usize::try_from(self.random.below(INSTANCES as u64)).unwrap_or(0);
        self.stats.record_request(team);
        self.instances[instance]
            .budget
            .record_request(self.variant.policy.retry_percent);
        self.requests.push(Request {
            team,
            chain,
            instance,
            arrived: self.now,
            attempts: Attempts::new(true, self.now + Duration::from_secs(20)),
            choice: None,
            ticket: None,
            exclude: Vec::new(),
            cached: Tokens::ZERO,
            priority: 0,
            first_token_sent: false,
        });
        self.place_or_queue(self.requests.len() - 1);
    }

    fn place_or_queue(&mut self, index: usize) {
        if self.instances[self.requests[index].instance]
            .queue
            .is_empty()
            && self.place(index)
        {
            return;
        }
        let req = &self.requests[index];
        let flow = if self.variant.fair_queue { req.team } else { 0 };
        let (team, weight) = (&self.teams[flow], TEAM_WEIGHT[flow]);
        let instance = &mut self.instances[req.instance];
        let cost = req.chain.prompt_tokens();
        let pushed = instance
            .queue
            .push(team, weight, cost, index, &self.variant.policy, self.now);
        let refused = match pushed {
            Ok(PushOutcome::Queued) => None,
            Ok(PushOutcome::Evicted(entry)) | Err(entry) => Some(entry.item),
        };
        if let Some(item) = refused {
            self.stats.record_refusal(self.requests[item].team);
        }
    }

    /// Places queued requests while an engine has capacity.
    fn drain_queue(&mut self, instance: usize) {
        for expired in self.instances[instance].queue.expire(self.now) {
            self.stats.record_refusal(self.requests[expired.item].team);
        }
        loop {
            let mut queue = mem::take(&mut self.instances[instance].queue);
            let popped = queue.pop_if(self.now, |index| self.choose(*index).is_some());
            self.instances[instance].queue = queue;
            let Some(index) = popped else {
                return;
            };
            if !self.place(index) {
                self.stats.record_refusal(self.requests[index].team);
            }
        }
    }

    fn place(&mut self, index: usize) -> bool {
        let Some(choice) = self.choose(index) else {
            return false;
        };
        let req = &mut self.requests[index];
        let instance = &mut self.instances[req.instance];
        let team = &self.teams[req.team];
        req.priority = if self.variant.priorities {
            instance.usage.priority(team, self.now)
        } else {
            0
        };
        instance.usage.charge(
            team,
            TEAM_WEIGHT[req.team],
            req.chain.prompt_tokens(),
            self.now,
        );
        instance
            .placer
            .record_placement(&req.chain, &choice, self.now);
        req.ticket = instance.table.start(
            choice.upstream,
            req.chain.prompt_tokens(),
            choice.prefill_tokens,
        );
        req.choice = Some(choice);
        let engine = self
            .ids
            .iter()
            .position(|id| *id == choice.upstream)
            .unwrap_or(0);
        let latency = self.latency(engine, index);
        self.schedule(
            latency,
            Event::Sent {
                engine,
                request: index,
            },
        );
        true
    }

    /// Returns the one-way latency between the instance of a request and an engine.
    fn latency(&self, engine: usize, request: usize) -> Duration {
        let is_local = engine % DOMAINS == self.requests[request].instance % DOMAINS;
        if is_local {
            Duration::from_micros(300)
        } else {
            self.workload.remote_latency
        }
    }

    fn choose(&mut self, index: usize) -> Option<Choice> {
        let random = self.random.next();
        let req = &self.requests[index];
        let instance = &mut self.instances[req.instance];
        let query = Query {
            pool: &self.pool,
            domain: &instance.domain,
            chain: &req.chain,
            weights: None,
            exclude: &req.exclude,
            policy: &self.variant.policy,
        };
        if let Method::Estimate(_) = self.variant.method {
            return instance
                .placer
                .choose(&query, &instance.table, self.now, random)
                .ok();
        }
        instance.turn += 1;
        let table = &instance.table;
        let depth = match self.variant.method {
            Method::Rendezvous(depth) => depth,
            _ => 1,
        };
        let blocks = req.chain.blocks();
        let last = depth
            .min(blocks.len())
            .checked_sub(1)
            .map_or(0, |i| blocks[i]);
        let rank = |i: usize| match self.variant.method {
            Method::RoundRobin => ((i + ENGINES - instance.turn % ENGINES) % ENGINES) as u64,
            Method::LeastOutstanding => u64::from(table.load(self.ids[i], self.now).requests),
            _ => limpetsaddle_core::hash::mix(last ^ limpetsaddle_core::hash::mix(i as u64)),
        };
        let is_available = |i: &usize| {
            let id = self.ids[*i];
            let upstream = table.get(id);
            let has_capacity =
                table.load(id, self.now).requests < self.variant.policy.max_outstanding;
            has_capacity
                && upstream.is_some_and(limpetsaddle_core::upstreams::Upstream::accepts_requests)
                && !req.exclude.contains(&id)
        };
        let start = usize::try_from(random % ENGINES as u64).unwrap_or(0);
        let order = (0..ENGINES).map(|i| (i + start) % ENGINES);
        let best = order.filter(is_available).min_by_key(|i| rank(*i))?;
        Some(Choice {
            upstream: self.ids[best],
            epoch: table.get(self.ids[best])?.epoch,
            estimate: Duration::ZERO,
            queue_delay: Duration::ZERO,
            cached: Tokens::ZERO,
            prefill_tokens: req.chain.prompt_tokens(),
            source: CandidateSource::Load,
        })
    }

    fn sent(&mut self, engine: usize, request: usize) {
        if !self.engines[engine].up {
            return self.attempt_failed(request, Failure::ConnectFailed);
        }
        let req = &self.requests[request];
        self.engines[engine].enqueue(request, req.priority, req.chain.prompt_tokens());
        self.start_prefill(engine);
    }

    fn start_prefill(&mut self, engine: usize) {
        let Some(request) = self.engines[engine].start_next() else {
            return;
        };
        let req = &mut self.requests[request];
        req.cached = self.engines[engine].cached(&req.chain);
        let computed = req.chain.prompt_tokens().saturating_sub(req.cached);
        let new_blocks = req
            .chain
            .blocks()
            .iter()
            .filter(|b| self.computed_blocks.insert(**b))
            .count();
        let tail = req
            .chain
            .prompt_tokens()
            .saturating_sub(req.chain.tokens_in_blocks(req.chain.blocks().len()));
        let unavoidable = req.chain.tokens_in_blocks(new_blocks) + tail;
        self.stats
            .record_prefill(req.chain.prompt_tokens(), computed, unavoidable);
        let incarnation = self.engines[engine].incarnation;
        self.schedule(
            prefill_time(computed),
            Event::Prefilled {
                engine,
                incarnation,
                request,
            },
        );
    }

    fn prefilled(&mut self, engine: usize, request: usize) {
        let current = &mut self.engines[engine];
        current.prefilling = None;
        current.decoding.push(request);
        current.store(&self.requests[request].chain);
        let incarnation = current.incarnation;
        let decode_time = self.workload.decode_time / 2
            + self.workload.decode_time * u32::try_from(self.random.below(100)).unwrap_or(0) / 100;
        self.schedule(
            decode_time,
            Event::Decoded {
                engine,
                incarnation,
                request,
            },
        );
        let latency = self.latency(engine, request);
        let req = &mut self.requests[request];
        if !req.first_token_sent {
            req.first_token_sent = true;
            let ttft = self.now.since(req.arrived) + latency;
            self.stats.record_first_token(req.team, ttft);
        }
        let instance = &mut self.instances[req.instance];
        if let (Some(choice), Some(ticket)) = (&req.choice, &mut req.ticket) {
            let identity = Identity {
                incarnation: Incarnation(incarnation),
                weights: WeightsVersion(1),
            };
            instance.table.record_identity(ticket, identity, self.now);
            instance.table.record_first_token(ticket);
            let epoch = instance
                .table
                .get(choice.upstream)
                .map_or(choice.epoch, |upstream| upstream.epoch);
            let feedback = Feedback {
                cached: req.cached,
                time_to_first_token: self.now.since(req.arrived),
            };
            instance
                .placer
                .record_response(&req.chain, choice, epoch, feedback, self.now);
        }
        self.start_prefill(engine);
    }

    fn decoded(&mut self, engine: usize, request: usize) {
        self.engines[engine]
            .decoding
            .retain(|other| *other != request);
        self.finish(request, AttemptOutcome::Responded);
        self.start_prefill(engine);
    }

    fn finish(&mut self, request: usize, outcome: AttemptOutcome) {
        let random = self.random.next();
        let req = &mut self.requests[request];
        let instance = req.instance;
        if let Some(ticket) = req.ticket.take() {
            self.instances[instance]
                .table
                .finish(ticket, outcome, self.now, random);
        }
        self.drain_queue(instance);
    }

    fn attempt_failed(&mut self, request: usize, failure: Failure) {
        self.finish(request, AttemptOutcome::Unreachable);
        let random = self.random.next();
        let req = &mut self.requests[request];
        req.exclude.extend(req.choice.map(|choice| choice.upstream));
        let budget = &mut self.instances[req.instance].budget;
        match req
            .attempts
            .record_failure(failure, budget, &self.variant.policy, self.now, random)
        {
            RetryDecision::Retry { after, .. } => self.schedule(after, Event::Retry { request }),
            RetryDecision::GiveUp(_) => self.stats.record_refusal(req.team),
        }
    }

    fn sample_load(&mut self) {
        if self.has_passed(1, 1) {
            return;
        }
        let report = |e: &Engine| e.up.then(|| (e.report(), e.incarnation));
        let reports = self.engines.iter().map(report).collect();
        self.schedule(
            REPORT_LATENCY,
            Event::LoadReports {
                sent: self.now,
                reports,
            },
        );
        self.schedule(REPORT_INTERVAL, Event::SampleLoad);
    }

    fn receive_reports(&mut self, sent: Time, reports: &[Option<(LoadReport, u64)>]) {
        for instance in 0..INSTANCES {
            let table = &mut self.instances[instance].table;
            for (id, report) in self.ids.iter().zip(reports) {
                let Some((report, incarnation)) = report else {
                    continue;
                };
                let identity = Identity {
                    incarnation: Incarnation(*incarnation),
                    weights: WeightsVersion(1),
                };
                let report = if self.variant.reports {
                    *report
                } else {
                    LoadReport::default()
                };
                table.record_report(*id, report, Some(identity), sent, self.now);
            }
            self.drain_queue(instance);
        }
    }

    fn crash(&mut self) {
        let lost = self.engines[CRASHED_ENGINE].requests();
        self.engines[CRASHED_ENGINE].up = false;
        self.engines[CRASHED_ENGINE].incarnation += 1;
        self.schedule(RESTART_DELAY, Event::Restart);
        for request in lost {
            self.attempt_failed(request, Failure::StreamBroken);
        }
    }
}
