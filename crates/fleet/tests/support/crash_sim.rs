//! A simulated fleet before engines that crash, on which the decisions of a quarantine are
//! played without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::part_key::PartKey;
use limpetsaddle_fleet::quarantine::Quarantine;
use limpetsaddle_fleet::quarantine::QuarantineOptions;
use limpetsaddle_fleet::quarantine::QuarantineRecord;
use limpetsaddle_fleet::quarantine::QuarantineReport;
use limpetsaddle_fleet::quarantine::State;
use limpetsaddle_fleet::quarantine::Subject;
use limpetsaddle_fleet::runs::RunEnd;
use limpetsaddle_fleet::runs::RunId;
use limpetsaddle_fleet::runs::RunLog;

use super::crash_scenario::AfterEnd;
use super::crash_scenario::OrdinaryCrashes;
use super::crash_scenario::Scenario;
use super::request_key;
use super::run_of;

/// The length of a step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// The time at which a simulation begins.
const START: Time = Time::from_origin(Duration::from_secs(100));

/// The time between two instances' turns to write the record, as the next ranks wait.
const WRITE_DELAY_PER_RANK: Duration = Duration::from_millis(500);

/// The time from the beginning of an answer on a harmful part to the end of its engine.
const CRASH_DELAY_MS: u64 = 80;

/// The most by which the time to the end of an engine differs from its mean.
const CRASH_SPREAD_MS: u64 = 15;

/// The platform's `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The crashes after which a harmful part must be withheld.
const KNOWN_AFTER: usize = 5;

/// The most bytes that a UDP datagram can hold.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// The time after which an instance suspects an engine that doesn't answer.
const DOUBT_TIME: Duration = Duration::from_millis(30);

/// The outcome of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// The parts and requests that any instance has withheld at any time.
    pub withheld: BTreeSet<Subject>,
    /// The sound ones among these, with the time for which each was withheld.
    pub sound_withheld: Vec<(Subject, Duration)>,
    /// For each harmful part, the prompts that were sent later than the bound.
    pub late: Vec<usize>,
    /// All crashes.
    pub crashes: usize,
}

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0) % bound
    }

    fn index(&mut self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).unwrap()
    }
}

/// Returns a report as others receive it.
fn transmitted(report: &QuarantineReport) -> QuarantineReport {
    let datagram = report.encode().unwrap();
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
    QuarantineReport::decode(&datagram).unwrap()
}

struct Instance {
    runs: RunLog,
    quarantine: Quarantine,
    /// Since when the record has lacked something that this instance knows.
    lacking_since: Option<Time>,
}

/// What an instance is about to notice of an engine.
#[derive(Clone, Copy, Debug)]
enum Notice {
    /// It has ended, after connections were lost at this time.
    Ended(Time),
    /// It may have ended.
    Suspected(Time),
    /// It lives on.
    Alive,
}

struct Engine {
    process: u64,
    up_at: Time,
    ends_at: Option<Time>,
}

/// A request at an engine.
struct Run {
    instance: usize,
    engine: usize,
    id: RunId,
    request: u32,
    parts: Vec<PartKey>,
    harmful: Option<usize>,
    attempts: u32,
    head: Time,
    first_event: Time,
    end: Time,
    /// When the engine ends before the head of the answer.
    crash: Option<Time>,
    has_head: bool,
    has_event: bool,
}

struct Sim {
    scenario: Scenario,
    random: Random,
    now: Time,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    /// What instances are about to notice of processes, with the times.
    notices: Vec<(Time, usize, u64, Notice)>,
    in_flight: Vec<(Time, usize, QuarantineReport)>,
    requests: u32,
    processes: u64,
    /// For each harmful part, the times of its crashes and of its arrivals at engines.
    crashes: Vec<Vec<Time>>,
    arrivals: Vec<Vec<Time>>,
    all_crashes: usize,
    held: Vec<(Subject, Duration)>,
    /// The record at the platform.
    stored: QuarantineRecord,
}

fn harmful_key(index: usize) -> PartKey {
    PartKey::of(&format!("bad{index}"))
}

/// Runs a simulation.
pub fn run(scenario: Scenario) -> Outcome {
    let options = QuarantineOptions::default();
    let instance = || Instance {
        runs: RunLog::default(),
        quarantine: Quarantine::new(options, Time::ZERO),
        lacking_since: None,
    };
    let engine = |number: usize| Engine {
        process: number as u64,
        up_at: Time::ZERO,
        ends_at: None,
    };
    let mut sim = Sim {
        random: Random(mix(scenario.seed)),
        now: START,
        instances: (0..scenario.instances).map(|_| instance()).collect(),
        engines: (0..scenario.engines).map(engine).collect(),
        runs: Vec::new(),
        notices: Vec::new(),
        in_flight: Vec::new(),
        requests: 0,
        processes: 1_000,
        crashes: vec![Vec::new(); scenario.harmful_parts],
        arrivals: vec![Vec::new(); scenario.harmful_parts],
        all_crashes: 0,
        held: Vec::new(),
        stored: QuarantineRecord::default(),
        scenario,
    };
    let steps = scenario.duration.as_millis() / STEP.as_millis();
    for step in 0..u64::try_from(steps).unwrap() {
        sim.step(step);
        sim.now = sim.now + STEP;
    }
    sim.outcome()
}

impl Sim {
    fn step(&mut self, step: u64) {
        let scenario = self.scenario;
        if self.random.below(100) < scenario.sound_rate {
            self.send_new(None);
        }
        if scenario.restart_at == Some(STEP * u32::try_from(step).unwrap()) {
            for instance in &mut self.instances {
                instance.runs = RunLog::default();
                instance.quarantine = Quarantine::new(QuarantineOptions::default(), self.now);
                instance.quarantine.apply_record(&self.stored, self.now);
            }
        }
        let sends_harmful = self.is_harmful_time() || scenario.served_before;
        if scenario.harmful_rate > 0
            && sends_harmful
            && self.random.below(100) < scenario.harmful_rate
        {
            let part = self.random.index(scenario.harmful_parts);
            self.send_new(Some(part));
        }
        self.progress();
        self.crash_ordinarily(step);
        self.end_engines();
        self.reset_connection();
        self.notice();
        self.exchange(step);
    }

    /// Returns whether harmful parts do harm.
    fn is_harmful_time(&self) -> bool {
        self.now.since(START) >= self.scenario.harmful_from
    }

    fn send_new(&mut self, harmful: Option<usize>) {
        let scenario = self.scenario;
        // Half of the prompts share the first of the first parts.
        let first = self.random.below(2 * scenario.first_parts);
        let first = first.saturating_sub(scenario.first_parts);
        let second = self.random.below(scenario.second_parts);
        let mut parts = vec![
            PartKey::of(&format!("f{first:x}")),
            PartKey::of(&format!("e{second:x}")),
        ];
        if let Some(harmful) = harmful {
            parts.insert(scenario.place, harmful_key(harmful));
        }
        self.requests += 1;
        let common = (0..scenario.common_parts).map(|n| format!("c{n:x}"));
        let own = (0..scenario.own_parts).map(|n| format!("d{:x}{n:04x}", self.requests));
        let preceding = common.chain(own).map(|id| PartKey::of(&id));
        let parts = preceding.chain(parts).collect();
        let instance = self.random.index(scenario.instances);
        self.send(instance, self.requests, parts, harmful, 1);
    }

    fn send(
        &mut self,
        instance: usize,
        request: u32,
        parts: Vec<PartKey>,
        harmful: Option<usize>,
        attempts: u32,
    ) {
        let now = self.now;
        if self.instances[instance]
            .quarantine
            .withheld(&parts)
            .is_some()
        {
            return;
        }
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|e| self.engines[*e].up_at <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.index(up.len())];
        if let Some(part) = harmful {
            self.arrivals[part].push(now);
        }
        let process = self.engines[engine].process;
        let id = self.instances[instance]
            .runs
            .start(process, &run_of(request, Some(&parts)), now);
        let crash = self.scenario.harm.after_arrival_ms(request);
        let crash = crash.filter(|_| harmful.is_some() && self.is_harmful_time());
        let mut millis =
            |least, most| Duration::from_millis(least + self.random.below(most - least + 1));
        let mut head = now + millis(10, 250);
        let mut first_event = head + millis(0, 30);
        let least = if harmful.is_some() {
            2 * CRASH_DELAY_MS
        } else {
            20
        };
        let mut end = first_event + millis(least, 700);
        let crash =
            crash.map(|delay| now + millis(delay - CRASH_SPREAD_MS, delay + CRASH_SPREAD_MS));
        if let Some(at) = crash {
            self.engines[engine].ends_at.get_or_insert(at);
            head = at + STEP;
            first_event = head;
            end = head;
        }
        self.runs.push(Run {
            instance,
            engine,
            id,
            request,
            parts,
            harmful,
            attempts,
            head,
            first_event,
            end,
            crash,
            has_head: false,
            has_event: false,
        });
    }

    /// Lets the runs at engines go on.
    fn progress(&mut self) {
        let now = self.now;
        let is_harmful_time = self.is_harmful_time();
        let mut runs = std::mem::take(&mut self.runs);
        for run in &mut runs {
            let log = &mut self.instances[run.instance].runs;
            if !run.has_head && run.head <= now {
                run.has_head = true;
                log.record_head(run.id, now);
                if run.harmful.is_some() && is_harmful_time {
                    let delay = CRASH_DELAY_MS - 15 + self.random.below(31);
                    let at = now + Duration::from_millis(delay);
                    self.engines[run.engine].ends_at.get_or_insert(at);
                }
            }
            if !run.has_event && run.first_event <= now {
                run.has_event = true;
                log.record_first_event(run.id, now);
            }
            if run.has_event {
                log.record_bytes(run.id, now);
            }
            if run.end <= now {
                log.end(run.id, RunEnd::Complete, now);
            }
        }
        runs.retain(|run| run.end > now);
        self.runs = runs;
    }

    fn crash_ordinarily(&mut self, step: u64) {
        let now = self.now;
        match self.scenario.ordinary {
            OrdinaryCrashes::OneIn(steps) if self.random.below(steps) == 0 => {
                let engine = self.random.index(self.engines.len());
                self.engines[engine].ends_at = Some(now);
            }
            OrdinaryCrashes::All(steps) if step % steps == steps - 1 => {
                for engine in &mut self.engines {
                    engine.ends_at = Some(now);
                }
            }
            OrdinaryCrashes::Rolling(apart) if step >= 600 && step.is_multiple_of(apart) => {
                let turn = usize::try_from((step - 600) / apart).unwrap();
                if let Some(engine) = self.engines.get_mut(turn) {
                    engine.ends_at = Some(now);
                }
            }
            _ => {}
        }
    }

    /// Ends the engines whose time has come, with all their runs.
    fn end_engines(&mut self) {
        let now = self.now;
        for engine in 0..self.engines.len() {
            if self.engines[engine].ends_at.is_none_or(|at| at > now) {
                continue;
            }
            self.engines[engine].ends_at = None;
            if self.engines[engine].up_at > now {
                continue;
            }
            let process = self.engines[engine].process;
            self.processes += 1;
            self.all_crashes += 1;
            let outage = 2_500 + self.random.below(1_000);
            self.engines[engine].process = self.processes;
            self.engines[engine].up_at = now + Duration::from_millis(outage);
            let (ended, kept) = std::mem::take(&mut self.runs)
                .into_iter()
                .partition(|run: &Run| run.engine == engine);
            self.runs = kept;
            self.end_runs(process, ended);
        }
    }

    fn end_runs(&mut self, process: u64, ended: Vec<Run>) {
        let now = self.now;
        let parts: BTreeSet<usize> = ended
            .iter()
            .filter(|run| run.has_head || run.crash.is_some_and(|at| at <= now))
            .filter_map(|run| run.harmful)
            .collect();
        for part in parts {
            self.crashes[part].push(now);
        }
        let seen: BTreeSet<usize> = ended.iter().map(|run| run.instance).collect();
        for run in &ended {
            let log = &mut self.instances[run.instance].runs;
            log.end(run.id, RunEnd::Broken, now);
        }
        for instance in seen {
            let (delay, notice) = match self.scenario.after_end {
                AfterEnd::Refuses => (0, Notice::Ended(now)),
                AfterEnd::Accepts => (0, Notice::Suspected(now)),
                AfterEnd::Answers(most) => (self.random.below(most + 1), Notice::Ended(now)),
            };
            let due = now + Duration::from_millis(delay);
            self.notices.push((due, instance, process, notice));
        }
        self.notice();
        for run in ended {
            let quarantine = &self.instances[run.instance].quarantine;
            if run.attempts < 2
                && quarantine.permits_repeat(request_key(run.request), &run.parts, now)
            {
                let attempts = run.attempts + 1;
                self.send(run.instance, run.request, run.parts, run.harmful, attempts);
            }
        }
    }

    /// Resets the connection of a prompt at a silent engine that lives on, now and then.
    fn reset_connection(&mut self) {
        let (now, resets) = (self.now, self.scenario.resets);
        if resets == 0 || self.runs.is_empty() || self.random.below(resets) > 0 {
            return;
        }
        let index = self.random.index(self.runs.len());
        let run = self.runs.swap_remove(index);
        let process = self.engines[run.engine].process;
        let log = &mut self.instances[run.instance].runs;
        log.end(run.id, RunEnd::Broken, now);
        let silence = Duration::from_millis(self.random.below(1_000));
        let suspected = (now + DOUBT_TIME, Notice::Suspected(now));
        for (due, notice) in [suspected, (now + DOUBT_TIME + silence, Notice::Alive)] {
            self.notices.push((due, run.instance, process, notice));
        }
    }

    /// Lets instances notice what is due.
    fn notice(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.notices).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = all.partition(|(at, ..)| *at <= now);
        self.notices = later;
        for (_, instance, process, notice) in due {
            let Instance {
                runs, quarantine, ..
            } = &mut self.instances[instance];
            match notice {
                Notice::Ended(lost) => {
                    let (runs, at) = runs.record_crash_after(process, lost, now);
                    quarantine.record_crash(process, at, runs);
                }
                Notice::Suspected(lost) => {
                    let (runs, at) = runs.record_crash_after(process, lost, now);
                    quarantine.record_suspicion(process, at, runs);
                }
                Notice::Alive => quarantine.record_life(process, now),
            }
        }
    }

    fn exchange(&mut self, step: u64) {
        let now = self.now;
        let scenario = self.scenario;
        for index in 0..self.instances.len() {
            if (step + index as u64).is_multiple_of(10) {
                let Instance {
                    runs, quarantine, ..
                } = &mut self.instances[index];
                quarantine.review(runs, scenario.instances, 0, now);
            }
            if !(step + index as u64).is_multiple_of(scenario.report_steps) {
                continue;
            }
            let name = format!("a-{index}");
            let repeat = (index < 3).then_some(Duration::from_secs(1));
            let quarantine = &mut self.instances[index].quarantine;
            for report in quarantine.take_reports(&name, repeat, now) {
                let report = transmitted(&report);
                for receiver in (0..self.instances.len()).filter(|r| *r != index) {
                    if self.random.below(scenario.loss) > 0 {
                        let delay = Duration::from_millis(1 + self.random.below(30));
                        self.in_flight.push((now + delay, receiver, report.clone()));
                    }
                }
            }
        }
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        let due: Vec<(Time, usize, QuarantineReport)> = due;
        for (_, receiver, report) in due {
            let Instance {
                runs, quarantine, ..
            } = &mut self.instances[receiver];
            quarantine.apply_report(&report, runs, now);
        }
        if step.is_multiple_of(10) {
            self.write_record();
            self.note_withheld();
        }
    }

    /// Lets the instance whose turn it is write the record.
    fn write_record(&mut self) {
        let now = self.now;
        for (rank, instance) in (0..).zip(&mut self.instances) {
            let Instance {
                runs, quarantine, ..
            } = instance;
            let Some(record) = quarantine.record_to_write(&self.stored, runs, now) else {
                instance.lacking_since = None;
                continue;
            };
            let since = *instance.lacking_since.get_or_insert(now);
            if now.since(since) >= WRITE_DELAY_PER_RANK * rank {
                self.stored = record;
                break;
            }
        }
        for instance in &mut self.instances {
            instance.quarantine.apply_record(&self.stored, now);
        }
    }

    /// Notes which parts the first instance withholds.
    fn note_withheld(&mut self) {
        let now = self.now;
        for instance in &self.instances {
            for (entry, _) in instance.quarantine.entries(now) {
                let known = self
                    .held
                    .iter_mut()
                    .find(|(subject, _)| *subject == entry.subject);
                match known {
                    Some((_, span)) if entry.state == State::Withheld => *span += STEP * 10,
                    None => self.held.push((entry.subject, Duration::ZERO)),
                    Some(_) => {}
                }
            }
        }
    }

    fn outcome(self) -> Outcome {
        let harmful = (0..self.scenario.harmful_parts).map(|part| harmful_key(part).into());
        let harmful: Vec<Subject> = harmful.collect();
        let is_sound = |(subject, _): &&(Subject, Duration)| !harmful.contains(subject);
        let late = self.crashes.iter().zip(&self.arrivals);
        let late = late.map(|(crashes, arrivals)| {
            let Some(fifth) = crashes.get(KNOWN_AFTER - 1) else {
                return 0;
            };
            let bound = *fifth + STABLE_WINDOW;
            arrivals.iter().filter(|at| **at > bound).count()
        });
        Outcome {
            withheld: self.held.iter().map(|(subject, _)| *subject).collect(),
            sound_withheld: self.held.iter().filter(is_sound).copied().collect(),
            late: late.collect(),
            crashes: self.all_crashes,
        }
    }
}
