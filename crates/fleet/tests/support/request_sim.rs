//! A simulated fleet before upstreams that end under one request, which comes again at any
//! instance.

use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::quarantine::Quarantine;
use limpetsaddle_fleet::quarantine::QuarantineOptions;
use limpetsaddle_fleet::quarantine::QuarantineRecord;
use limpetsaddle_fleet::quarantine::QuarantineReport;
use limpetsaddle_fleet::quarantine::Subject;
use limpetsaddle_fleet::runs::RunEnd;
use limpetsaddle_fleet::runs::RunId;
use limpetsaddle_fleet::runs::RunLog;

use super::request_key;
use super::run_of;

const STEP: Duration = Duration::from_millis(10);

/// The time at which a simulation begins.
const START: Time = Time::from_origin(Duration::from_secs(100));

/// The time after which the harmful request comes for the first time.
const CALM_TIME: Duration = Duration::from_secs(3);

const CRASH_DELAY: Duration = Duration::from_millis(80);

const OUTAGE: Duration = Duration::from_millis(2_500);

/// The time between two reports, and between two reviews.
const REPORT_INTERVAL: Duration = Duration::from_millis(120);

/// The contents of the harmful and of the hot request; others have larger numbers.
const HARMFUL: u32 = 0;
const HOT: u32 = 1;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub instances: usize,
    pub replicas: usize,
    /// The time between two harmful requests; none come without it.
    pub interval: Option<Duration>,
    /// The share of reports that get lost.
    pub loss: f64,
    /// Whether two halves of the fleet hear nothing of each other, but reach the platform.
    pub is_cut: bool,
    /// Whether single processes end by themselves.
    pub has_ordinary_crashes: bool,
}

pub const SCENARIO: Scenario = Scenario {
    seed: 0,
    instances: 9,
    replicas: 3,
    interval: Some(Duration::from_millis(400)),
    loss: 0.02,
    is_cut: false,
    has_ordinary_crashes: false,
};

/// What happened.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The harmful requests sent later than 3 s after the third crash under them.
    pub late: usize,
    pub crashes: usize,
    /// The sound requests that any instance has withheld.
    pub sound_withheld: Vec<Subject>,
    /// The sound requests from 6 s after the third crash on, and those of them that were served.
    pub sound: (usize, usize),
}

struct Instance {
    runs: RunLog,
    quarantine: Quarantine,
}

struct Run {
    instance: usize,
    content: u32,
    replica: usize,
    process: u64,
    id: RunId,
    ends: Time,
    attempts: u32,
    sent: Time,
}

struct Sim {
    scenario: Scenario,
    random: u64,
    now: Time,
    instances: Vec<Instance>,
    /// The process of each replica, and from when on it is up.
    replicas: Vec<(u64, Time)>,
    processes: u64,
    requests: u32,
    runs: Vec<Run>,
    /// Reports on their way, with their recipient and arrival.
    reports: Vec<(Time, usize, QuarantineReport)>,
    stored: QuarantineRecord,
    harmful_sent: Vec<Time>,
    harmful_crashes: Vec<Time>,
    sound: Vec<(Time, bool)>,
    outcome: Outcome,
}

/// Plays 30 s.
pub fn run(scenario: Scenario) -> Outcome {
    let instance = |_| Instance {
        runs: RunLog::default(),
        quarantine: Quarantine::new(QuarantineOptions::default(), START),
    };
    let mut sim = Sim {
        scenario,
        random: mix(scenario.seed + 1),
        now: START,
        instances: (0..scenario.instances).map(instance).collect(),
        replicas: (0..scenario.replicas).map(|n| (n as u64, START)).collect(),
        processes: scenario.replicas as u64,
        requests: 10,
        runs: Vec::new(),
        reports: Vec::new(),
        stored: QuarantineRecord::default(),
        harmful_sent: Vec::new(),
        harmful_crashes: Vec::new(),
        sound: Vec::new(),
        outcome: Outcome::default(),
    };
    for step in 0..3_000 {
        sim.step(step);
    }
    sim.finish()
}

impl Sim {
    fn below(&mut self, bound: usize) -> usize {
        self.random = mix(self.random.wrapping_add(0x9e37_79b9_7f4a_7c15));
        usize::try_from(self.random % bound as u64).unwrap()
    }

    fn happens(&mut self, probability: f64) -> bool {
        let draw = u32::try_from(self.below(1_000_000)).unwrap();
        f64::from(draw) < probability * 1e6
    }

    fn is_due(step: u32, interval: Duration) -> bool {
        let steps = u32::try_from(interval.as_millis() / STEP.as_millis()).unwrap();
        step.is_multiple_of(steps)
    }

    fn step(&mut self, step: u32) {
        self.now = self.now + STEP;
        let elapsed = self.now.since(START);
        if Self::is_due(step, Duration::from_millis(40)) {
            self.requests += 1;
            let is_hot = self.below(3) == 0;
            let content = if is_hot { HOT } else { self.requests };
            let instance = self.below(self.instances.len());
            self.send(instance, content, 1, self.now);
        }
        if elapsed > CALM_TIME
            && self
                .scenario
                .interval
                .is_some_and(|i| Self::is_due(step, i))
        {
            let instance = self.below(self.instances.len());
            self.send(instance, HARMFUL, 1, self.now);
        }
        if self.scenario.has_ordinary_crashes && Self::is_due(step, Duration::from_millis(700)) {
            let replica = self.below(self.replicas.len());
            self.crash(replica);
        }
        self.end_runs();
        self.deliver_reports();
        if Self::is_due(step, REPORT_INTERVAL) {
            self.review();
        }
    }

    fn send(&mut self, instance: usize, content: u32, attempts: u32, sent: Time) {
        let now = self.now;
        let key = request_key(content);
        let up = |(_, up_at): &(u64, Time)| *up_at <= now;
        let up: Vec<usize> = (0..self.replicas.len())
            .filter(|replica| up(&self.replicas[*replica]))
            .collect();
        if self.instances[instance].quarantine.withholds(key) || up.is_empty() {
            if content != HARMFUL {
                self.sound.push((sent, false));
            }
            return;
        }
        let replica = up[self.below(up.len())];
        let process = self.replicas[replica].0;
        if content == HARMFUL {
            self.harmful_sent.push(now);
        }
        let spread = u64::try_from(self.below(80)).unwrap();
        let took = match content {
            HARMFUL => CRASH_DELAY,
            _ => Duration::from_millis(10 + spread),
        };
        let runs = &mut self.instances[instance].runs;
        self.runs.push(Run {
            instance,
            content,
            replica,
            process,
            id: runs.start(process, &run_of(content, None), now),
            ends: now + took,
            attempts,
            sent,
        });
    }

    fn end_runs(&mut self) {
        let now = self.now;
        while let Some(index) = self.runs.iter().position(|run| run.ends <= now) {
            let run = self.runs.swap_remove(index);
            if run.content == HARMFUL {
                let replica = run.replica;
                self.runs.push(Run {
                    ends: now + Duration::from_hours(1),
                    ..run
                });
                self.harmful_crashes.push(now);
                self.crash(replica);
                continue;
            }
            let runs = &mut self.instances[run.instance].runs;
            runs.record_first_event(run.id, now);
            runs.end(run.id, RunEnd::Complete, now);
            self.sound.push((run.sent, true));
        }
    }

    /// Ends the process of a replica; those who wait for it notice at once, and try another.
    fn crash(&mut self, replica: usize) {
        let now = self.now;
        let (process, up_at) = self.replicas[replica];
        if up_at > now {
            return;
        }
        self.outcome.crashes += 1;
        self.processes += 1;
        self.replicas[replica] = (self.processes, now + OUTAGE);
        let all = std::mem::take(&mut self.runs);
        let (lost, kept) = all.into_iter().partition(|run| run.process == process);
        self.runs = kept;
        let lost: Vec<Run> = lost;
        for run in &lost {
            let runs = &mut self.instances[run.instance].runs;
            runs.end(run.id, RunEnd::Broken, now);
        }
        for run in &lost {
            let instance = &mut self.instances[run.instance];
            let (suspects, at) = instance.runs.record_crash(process, now);
            instance.quarantine.record_crash(process, at, suspects);
        }
        for run in lost {
            let quarantine = &self.instances[run.instance].quarantine;
            let key = request_key(run.content);
            if run.attempts < 2 && quarantine.permits_repeat(key, &[], now) {
                self.send(run.instance, run.content, run.attempts + 1, run.sent);
            } else if run.content != HARMFUL {
                self.sound.push((run.sent, false));
            }
        }
    }

    fn deliver_reports(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.reports);
        let (due, later) = all.into_iter().partition(|(at, ..)| *at <= now);
        self.reports = later;
        let due: Vec<(Time, usize, QuarantineReport)> = due;
        for (_, to, report) in due {
            let Instance { runs, quarantine } = &mut self.instances[to];
            quarantine.apply_report(&report, runs, now);
        }
    }

    fn are_connected(&self, a: usize, b: usize) -> bool {
        let half = self.instances.len() / 2;
        !self.scenario.is_cut || (a < half) == (b < half)
    }

    fn review(&mut self) {
        let now = self.now;
        let instances = self.instances.len();
        for number in 0..instances {
            let Instance { runs, quarantine } = &mut self.instances[number];
            if quarantine.is_pending() {
                quarantine.review(runs, instances, 7, now);
            }
            for report in quarantine.take_reports("a", None, now) {
                for to in 0..instances {
                    if to != number
                        && self.are_connected(number, to)
                        && !self.happens(self.scenario.loss)
                    {
                        let delay = u64::try_from(self.below(40)).unwrap();
                        let at = now + Duration::from_millis(5 + delay);
                        self.reports.push((at, to, report.clone()));
                    }
                }
            }
        }
        self.write_record();
    }

    /// Lets one instance of each side write the record, which all read.
    fn write_record(&mut self) {
        let now = self.now;
        let mut has_changed = false;
        for number in [0, self.instances.len() - 1] {
            let Instance { runs, quarantine } = &self.instances[number];
            if let Some(record) = quarantine.record_to_write(&self.stored, runs, now) {
                self.stored = record;
                has_changed = true;
            }
        }
        if has_changed {
            for instance in &mut self.instances {
                instance.quarantine.apply_record(&self.stored, now);
            }
        }
        for instance in &self.instances {
            for (entry, _) in instance.quarantine.entries(now) {
                let is_known = self.outcome.sound_withheld.contains(&entry.subject);
                if entry.subject != request_key(HARMFUL).into() && !is_known {
                    self.outcome.sound_withheld.push(entry.subject);
                }
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let known = self.harmful_crashes.get(2).copied();
        if let Some(known) = known {
            let bound = known + Duration::from_secs(3);
            self.outcome.late = self.harmful_sent.iter().filter(|at| **at > bound).count();
        }
        let from = known.unwrap_or(START) + Duration::from_secs(6);
        let sound = self.sound.iter().filter(|(at, _)| *at >= from);
        let served = sound.clone().filter(|(_, is_served)| *is_served).count();
        self.outcome.sound = (sound.count(), served);
        self.outcome
    }
}
