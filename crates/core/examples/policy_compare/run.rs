//! One run of a policy over a mix, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::mem;
use std::time::Duration;

use limpetsaddle_core::fair_queue::Pushed;
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

use crate::engine::Engine;
use crate::engine::prefill_time;
use crate::mix::Mix;
use crate::mix::Prompts;
use crate::mix::Random;
use crate::mix::TEAM_WEIGHT;
use crate::site::DOMAINS;
use crate::site::ENGINES;
use crate::site::INSTANCES;
use crate::site::Instance;
use crate::site::Method;
use crate::site::Request;
use crate::site::Variant;
use crate::site::instances;
use crate::site::name;
use crate::table::Tally;

const REPORT_EVERY: Duration = Duration::from_millis(200);
const REPORT_LAG: Duration = Duration::from_millis(50);
const RESTART_AFTER: Duration = Duration::from_secs(2);
const CRASHED: usize = 3;

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
    Again {
        request: usize,
    },
    Sample,
    Report {
        sent: Time,
        reports: Vec<Option<(LoadReport, u64)>>,
    },
    Crash,
    Restart,
}

pub struct Run<'a> {
    mix: Mix,
    variant: &'a Variant,
    length: Duration,
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
    seen: HashSet<u64>,
    pub tally: Tally,
}

impl<'a> Run<'a> {
    pub fn new(mix: Mix, variant: &'a Variant, seed: u64, length: Duration) -> Self {
        let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
        engines.iter_mut().for_each(Engine::restart);
        let (instances, ids) = instances(variant);
        Self {
            mix,
            variant,
            length,
            now: Time::ZERO,
            random: Random(seed),
            prompts: Prompts::new(mix),
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
            seen: HashSet::new(),
            tally: Tally::default(),
        }
    }

    /// Runs to the end: the shift comes at half, the crash at a third and the
    /// surge of the large team in the fourth fifth.
    pub fn run(mut self) -> Tally {
        self.after(Duration::ZERO, Event::Arrive);
        self.after(Duration::ZERO, Event::Sample);
        self.after(self.length / 3, Event::Crash);
        while let Some(Reverse((at, index))) = self.events.pop() {
            self.now = at;
            if let Some(event) = self.pending[index].take() {
                self.handle(event);
            }
        }
        self.tally
    }

    fn after(&mut self, delay: Duration, event: Event) {
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
            Event::Again { request } => self.place_or_queue(request),
            Event::Sample => self.sample(),
            Event::Report { sent, reports } => self.report(sent, &reports),
            Event::Crash => self.crash(),
            Event::Restart => self.engines[CRASHED].restart(),
        }
    }

    fn part(&self, numerator: u32, denominator: u32) -> bool {
        self.now.from_start() >= self.length * numerator / denominator
    }

    fn arrive(&mut self) {
        if self.part(1, 1) {
            return;
        }
        let surge = self.part(3, 5) && !self.part(4, 5);
        let gap = self.random.gap(self.mix.rate * if surge { 2 } else { 1 });
        self.after(gap, Event::Arrive);
        let shifted = self.part(1, 2);
        let (mut team, mut chain) = self.prompts.draw(&mut self.random, shifted);
        // The requests that the surge adds are the large team's.
        if surge && self.random.below(2) == 0 {
            while team != 0 {
                (team, chain) = self.prompts.draw(&mut self.random, shifted);
            }
        }
        let instance = usize::try_from(self.random.below(INSTANCES as u64)).unwrap_or(0);
        self.tally.offered(team);
        self.instances[instance]
            .budget
            .deposit(self.variant.policy.retry_percent);
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
            answered: false,
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
        let lane = if self.variant.fair_queue { req.team } else { 0 };
        let (team, weight) = (&self.teams[lane], TEAM_WEIGHT[lane]);
        let instance = &mut self.instances[req.instance];
        let cost = req.chain.prompt_tokens();
        let pushed = instance
            .queue
            .push(team, weight, cost, index, &self.variant.policy, self.now);
        let refused = match pushed {
            Ok(Pushed::Queued) => None,
            Ok(Pushed::Displaced(out)) | Err(out) => Some(out.item),
        };
        if let Some(item) = refused {
            self.tally.refused(self.requests[item].team);
        }
    }

    /// Places waiting requests while an engine has room.
    fn drain(&mut self, instance: usize) {
        for out in self.instances[instance].queue.expire(self.now) {
            self.tally.refused(self.requests[out.item].team);
        }
        loop {
            let mut queue = mem::take(&mut self.instances[instance].queue);
            let popped = queue.pop_if(self.now, |index| self.choose(*index).is_some());
            self.instances[instance].queue = queue;
            let Some(index) = popped else {
                return;
            };
            if !self.place(index) {
                self.tally.refused(self.requests[index].team);
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
        let delay = self.delay(engine, index);
        self.after(
            delay,
            Event::Sent {
                engine,
                request: index,
            },
        );
        true
    }

    fn delay(&self, engine: usize, request: usize) -> Duration {
        let same = engine % DOMAINS == self.requests[request].instance % DOMAINS;
        if same {
            Duration::from_micros(300)
        } else {
            self.mix.far
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
        let open = |i: &usize| {
            let id = self.ids[*i];
            let row = table.get(id);
            let room = table.load(id, self.now).requests < self.variant.policy.max_outstanding;
            room && row.is_some_and(limpetsaddle_core::upstreams::Upstream::takes_work)
                && !req.exclude.contains(&id)
        };
        let start = usize::try_from(random % ENGINES as u64).unwrap_or(0);
        let order = (0..ENGINES).map(|i| (i + start) % ENGINES);
        let best = order.filter(open).min_by_key(|i| rank(*i))?;
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
            return self.failed(request, Failure::ConnectFailed);
        }
        let req = &self.requests[request];
        self.engines[engine].enqueue(request, req.priority, req.chain.prompt_tokens());
        self.start_prefill(engine);
    }

    fn start_prefill(&mut self, engine: usize) {
        let Some(request) = self.engines[engine].next() else {
            return;
        };
        let req = &mut self.requests[request];
        req.cached = self.engines[engine].cached(&req.chain);
        let computed = req.chain.prompt_tokens().saturating_sub(req.cached);
        let new = req
            .chain
            .blocks()
            .iter()
            .filter(|b| self.seen.insert(**b))
            .count();
        let tail = req
            .chain
            .prompt_tokens()
            .saturating_sub(req.chain.tokens_in_blocks(req.chain.blocks().len()));
        let unavoidable = req.chain.tokens_in_blocks(new) + tail;
        self.tally
            .computed(req.chain.prompt_tokens(), computed, unavoidable);
        let incarnation = self.engines[engine].incarnation;
        self.after(
            prefill_time(computed),
            Event::Prefilled {
                engine,
                incarnation,
                request,
            },
        );
    }

    fn prefilled(&mut self, engine: usize, request: usize) {
        let model = &mut self.engines[engine];
        model.running = None;
        model.decoding.push(request);
        model.store(&self.requests[request].chain);
        let incarnation = model.incarnation;
        let decode = self.mix.decode / 2
            + self.mix.decode * u32::try_from(self.random.below(100)).unwrap_or(0) / 100;
        self.after(
            decode,
            Event::Decoded {
                engine,
                incarnation,
                request,
            },
        );
        let back = self.delay(engine, request);
        let req = &mut self.requests[request];
        if !req.answered {
            req.answered = true;
            let ttft = self.now.since(req.arrived) + back;
            self.tally.answered(req.team, ttft);
        }
        let instance = &mut self.instances[req.instance];
        if let (Some(choice), Some(ticket)) = (&req.choice, &mut req.ticket) {
            let seen = Identity {
                incarnation: Incarnation(incarnation),
                weights: WeightsVersion(1),
            };
            instance.table.record_identity(ticket, seen, self.now);
            instance.table.record_first_token(ticket);
            let epoch = instance
                .table
                .get(choice.upstream)
                .map_or(choice.epoch, |row| row.epoch);
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
            .retain(|held| *held != request);
        self.finish(request, AttemptOutcome::Responded);
        self.start_prefill(engine);
    }

    fn finish(&mut self, request: usize, end: AttemptOutcome) {
        let random = self.random.next();
        let req = &mut self.requests[request];
        let instance = req.instance;
        if let Some(ticket) = req.ticket.take() {
            self.instances[instance]
                .table
                .finish(ticket, end, self.now, random);
        }
        self.drain(instance);
    }

    fn failed(&mut self, request: usize, failure: Failure) {
        self.finish(request, AttemptOutcome::Unreachable);
        let random = self.random.next();
        let req = &mut self.requests[request];
        req.exclude.extend(req.choice.map(|choice| choice.upstream));
        let budget = &mut self.instances[req.instance].budget;
        match req
            .attempts
            .failed(failure, budget, &self.variant.policy, self.now, random)
        {
            RetryDecision::Retry { after, .. } => self.after(after, Event::Again { request }),
            RetryDecision::GiveUp(_) => self.tally.refused(req.team),
        }
    }

    fn sample(&mut self) {
        if self.part(1, 1) {
            return;
        }
        let report = |e: &Engine| e.up.then(|| (e.report(), e.incarnation));
        let reports = self.engines.iter().map(report).collect();
        self.after(
            REPORT_LAG,
            Event::Report {
                sent: self.now,
                reports,
            },
        );
        self.after(REPORT_EVERY, Event::Sample);
    }

    fn report(&mut self, sent: Time, reports: &[Option<(LoadReport, u64)>]) {
        for instance in 0..INSTANCES {
            let table = &mut self.instances[instance].table;
            for (id, report) in self.ids.iter().zip(reports) {
                let Some((report, incarnation)) = report else {
                    continue;
                };
                let seen = Identity {
                    incarnation: Incarnation(*incarnation),
                    weights: WeightsVersion(1),
                };
                let report = if self.variant.reports {
                    *report
                } else {
                    LoadReport::default()
                };
                table.record_report(*id, report, Some(seen), sent, self.now);
            }
            self.drain(instance);
        }
    }

    fn crash(&mut self) {
        let lost = self.engines[CRASHED].requests();
        self.engines[CRASHED].up = false;
        self.engines[CRASHED].incarnation += 1;
        self.after(RESTART_AFTER, Event::Restart);
        for request in lost {
            self.failed(request, Failure::BrokeMidStream);
        }
    }
}
