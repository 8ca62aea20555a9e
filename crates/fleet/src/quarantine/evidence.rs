//! The crashes of engines that the fleet has seen, and what they say of a part.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use super::answers::Answers;
use super::crash::Crash;
use super::crash::Onset;
use super::options::QuarantineOptions;
use super::presence::representatives;
use super::subject::Subject;
use crate::part_key::PartKey;
use crate::part_list::PartList;
use crate::request_key::RequestKey;
use crate::runs::CrashedRun;

/// The largest number of crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// The largest number of parts in the different lists of all suspects. The oldest crashes are
/// forgotten beyond it.
const MAX_PARTS: usize = 128 * 1_024;

/// The largest number of processes whose signs of life are remembered.
const MAX_ALIVE: usize = 256;

/// The time between two answers before a crash that are both told to other instances.
const SURVIVAL_INTERVAL: Duration = Duration::from_secs(1);

/// What is withheld already, and explains the crashes at which it was present.
#[derive(Clone, Copy, Debug)]
pub struct Explained<'a> {
    /// The parts.
    pub parts: &'a BTreeSet<PartKey>,
    /// The requests.
    pub requests: &'a BTreeSet<RequestKey>,
}

/// What the crashes say of a part since an answer on it was last well under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The part.
    pub part: PartKey,
    /// The first of the crashes.
    pub first: Time,
    /// The crashes at which the part was present.
    pub crashes: usize,
    /// Those of them at which the process has certainly ended.
    pub certain: usize,
    /// The moments of all these crashes.
    pub moments: usize,
    /// The requests with the part in these crashes, by their contents.
    pub requests: usize,
    /// The crashes at which the part was absent, from shortly before the first on.
    pub absences: usize,
    /// Whether there are none of these, and this instance has known all prompts since the first
    /// crash.
    is_always_present: bool,
    /// The natural logarithm of how much likelier the crashes are if the part causes them than
    /// if it was only caught in them.
    pub log_likelihood: f64,
    /// Whether answers on the part came well under way shortly before the first crash.
    pub was_answered: bool,
    /// Whether the part was answered, or there are too few answers at all instances to tell.
    pub may_be_busy: bool,
    /// The answers of this instance on other prompts since the first crash.
    pub others: usize,
    /// The logarithm of how unlikely it is by chance that the engines ended at so nearly the same
    /// time after they had got the part, or had begun to answer on it.
    pub regularity: f64,
    /// When the part is taken to end engines.
    onset: Onset,
    /// The place in the prompt.
    depth: usize,
}

impl Evidence {
    /// Orders evidence by its strength. Of two parts that were present at the same crashes, the
    /// one that fewer prompts share has the stronger.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_requests = other.requests.cmp(&self.requests);
        let by_place = (self.depth, self.part).cmp(&(other.depth, other.part));
        let by_likelihood = self.log_likelihood.total_cmp(&other.log_likelihood);
        by_likelihood.then(by_requests).then(by_place)
    }

    /// Returns whether the crashes suffice to withhold the part.
    fn suffices(&self, options: &QuarantineOptions, now: Time) -> bool {
        let requests = self.moments.min(self.requests);
        let is_many = requests >= options.many_requests && !self.may_be_busy;
        let min_log_likelihood =
            if is_many && (self.onset == Onset::Answer || self.is_always_present) {
                options.min_log_likelihood_of_many
            } else {
                options.min_log_likelihood
            };
        let is_regular = self.regularity >= options.min_regularity;
        let is_likely = self.log_likelihood >= min_log_likelihood
            && (!self.may_be_busy || self.others >= options.min_others || is_regular);
        requests.min(self.certain) >= options.min_requests
            && (is_likely || self.regularity >= options.sufficient_regularity)
            && now.since(self.first) >= options.settle_time
    }
}

/// Returns the probability that at least `with_part` of several prompts have a part by chance.
fn by_chance(share: f64, with_part: usize, prompts: usize) -> f64 {
    let prompts = as_f64(prompts);
    let mut exactly = (1.0 - share).powf(prompts);
    let mut fewer = 0.0;
    for number in 0..with_part {
        fewer += exactly;
        let number = as_f64(number);
        exactly *= (prompts - number) / (number + 1.0) * share / (1.0 - share);
    }
    // Rounding may leave less than nothing.
    (1.0 - fewer).max(f64::MIN_POSITIVE)
}

/// The latest crash and response of a suspect.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspectTimes {
    /// The crashes at which it was present since it was last answered, or more.
    crashes: usize,
    /// The number of the last of them.
    counted: Option<u64>,
    /// The last crash at which it was present.
    pub last_crash: Time,
    /// The last time at which it was answered: an answer on the part came well under way, or
    /// the request got one.
    pub last_survival: Option<Time>,
}

impl SuspectTimes {
    /// Returns whether the last crash has not been outlived.
    fn is_open(&self) -> bool {
        self.last_survival < Some(self.last_crash)
    }

    fn record_crash(&mut self, crash: &Crash) {
        self.last_crash = self.last_crash.max(crash.at);
        if Some(crash.at) > self.last_survival && self.counted != Some(crash.number) {
            self.crashes += 1;
            self.counted = Some(crash.number);
        }
    }

    fn record_survival(&mut self, at: Time) {
        self.last_survival = Some(at);
        if !self.is_open() {
            self.crashes = 0;
            self.counted = None;
        }
    }
}

/// The recent crashes, and when their suspects were answered.
#[derive(Debug, Default)]
pub struct CrashLog {
    pub crashes: VecDeque<Crash>,
    /// The number of the next crash.
    next: u64,
    pub suspects: HashMap<Subject, SuspectTimes>,
    /// The processes that have shown a sign of life after a crash, with the last one.
    alive: VecDeque<(u64, Time)>,
    /// From when on the absence of a part from a crash tells something: prompts that ran before
    /// this instance started may be unknown.
    complete_from: Time,
}

impl CrashLog {
    /// Returns a log without crashes, with all runs known from `complete_from` on.
    pub fn new(complete_from: Time) -> Self {
        Self {
            complete_from,
            ..Self::default()
        }
    }

    /// Records the end of a process, or further suspects of it. Returns whether the log has
    /// changed.
    pub fn record(
        &mut self,
        process: u64,
        at: Time,
        runs: Vec<CrashedRun>,
        is_confirmed: bool,
    ) -> bool {
        let alive = self.alive_at(process);
        if !is_confirmed && alive >= Some(at) {
            return false;
        }
        let mut crashes = self.crashes.iter();
        // A process that was alive in between has ended again.
        let is_known = |crash: &Crash| {
            let has_lived = alive > Some(crash.at.min(at)) && alive < Some(crash.at.max(at));
            crash.process == process && !has_lived
        };
        let index = match crashes.position(is_known) {
            Some(index) => index,
            None if runs.is_empty() => return false,
            None => {
                if self.crashes.len() == MAX_CRASHES {
                    self.crashes.pop_front();
                }
                self.next += 1;
                self.crashes.push_back(Crash {
                    number: self.next,
                    process,
                    at,
                    is_confirmed,
                    runs: Vec::new(),
                });
                self.crashes.len() - 1
            }
        };
        let crash = &mut self.crashes[index];
        crash.is_confirmed |= is_confirmed;
        if crash.merge(at, runs) {
            let parts = lists(&crash.runs).flat_map(|parts| parts.iter());
            let parts = parts.map(|part| Subject::Part(*part));
            let requests = crash.runs.iter().filter(|run| !run.is_answered);
            let requests = requests.map(|run| Subject::Request(run.key));
            for subject in parts.chain(requests) {
                self.suspects
                    .entry(subject)
                    .or_default()
                    .record_crash(crash);
            }
            self.forget_excess();
        }
        true
    }

    /// Removes the oldest crashes whose suspects have too many parts, but the last one.
    fn forget_excess(&mut self) {
        let parts = |crashes: &VecDeque<Crash>| -> usize {
            let runs = crashes.iter().flat_map(|crash| &crash.runs);
            lists(runs).map(|parts| parts.len()).sum()
        };
        while self.crashes.len() > 1 && parts(&self.crashes) > MAX_PARTS {
            self.crashes.pop_front();
        }
    }

    /// Records that a process lived at `at`: it had not ended before, if it was suspected to.
    /// Returns whether such a crash was known.
    pub fn record_life(&mut self, process: u64, at: Time) -> bool {
        if self.alive_at(process) >= Some(at) {
            return false;
        }
        self.alive.retain(|(known, _)| *known != process);
        if self.alive.len() == MAX_ALIVE {
            self.alive.pop_front();
        }
        self.alive.push_back((process, at));
        let known = self.crashes.len();
        self.crashes
            .retain(|crash| crash.is_confirmed || crash.process != process || crash.at >= at);
        self.crashes.len() < known
    }

    fn alive_at(&self, process: u64) -> Option<Time> {
        let mut alive = self.alive.iter();
        alive
            .find(|(known, _)| *known == process)
            .map(|(_, at)| *at)
    }

    /// Removes expired crashes, and suspects without any crash left.
    pub fn forget(&mut self, options: &QuarantineOptions, now: Time) {
        self.crashes
            .retain(|crash| now.since(crash.at) < options.memory_time);
        let oldest = self.crashes.iter().map(|crash| crash.at).min();
        self.suspects
            .retain(|_, times| oldest.is_some_and(|oldest| times.last_crash >= oldest));
    }

    /// Records a response to a suspect. Returns whether other instances need to be told: not
    /// after an earlier response since the last crash.
    pub fn record_survival(&mut self, subject: Subject, at: Time) -> bool {
        let times = self.suspects.get_mut(&subject);
        let Some(times) = times.filter(|times| times.is_open()) else {
            return false;
        };
        let is_later = |known: Time| at >= times.last_crash || at.since(known) >= SURVIVAL_INTERVAL;
        let is_news = times
            .last_survival
            .is_none_or(|known| at > known && is_later(known));
        if is_news {
            times.record_survival(at);
        }
        is_news
    }

    /// Records responses to a suspect at the times in these lists, each in ascending order, one
    /// after the other as [`record_survival`](Self::record_survival) does. Returns the last one
    /// to report to other instances.
    pub fn record_survivals(&mut self, subject: Subject, lists: &[&[Time]]) -> Option<Time> {
        let mut news = None;
        loop {
            let suspect = self.suspects.get(&subject)?;
            let after = suspect.last_survival.map_or(Time::ZERO, |known| {
                suspect.last_crash.min(known + SURVIVAL_INTERVAL)
            });
            let next =
                |times: &&[Time]| times.get(times.partition_point(|at| *at < after)).copied();
            match lists.iter().filter_map(next).min() {
                Some(at) if self.record_survival(subject, at) => news = Some(at),
                _ => return news,
            }
        }
    }

    /// Returns whether a part was present at a crash that has not been outlived.
    pub fn is_open(&self, part: PartKey) -> bool {
        let times = self.suspects.get(&Subject::Part(part));
        times.is_some_and(SuspectTimes::is_open)
    }

    /// Forgets the crashes at which a subject was present, as it is released: they say nothing
    /// of the parts beside it either.
    pub fn dismiss(&mut self, subject: Subject, now: Time) {
        match subject {
            Subject::Part(_) => _ = self.record_survival(subject, now),
            Subject::Request(_) => _ = self.suspects.remove(&subject),
        }
        let is_present = |crash: &Crash| match subject {
            Subject::Part(part) => crash.involves(part, Onset::Arrival),
            Subject::Request(key) => crash.involves_request(&BTreeSet::from([key])),
        };
        self.crashes.retain(|crash| !is_present(crash));
    }

    /// Returns the parts that were present at so many crashes which have not been outlived. Some of
    /// them may have been present at fewer.
    fn open_parts(&self, crashes: usize) -> impl Iterator<Item = PartKey> {
        let open = self.suspects.iter().filter(|(_, times)| times.is_open());
        let open = open.filter(move |(_, times)| times.crashes >= crashes);
        open.filter_map(|(subject, _)| match subject {
            Subject::Part(part) => Some(*part),
            Subject::Request(_) => None,
        })
    }

    /// Returns which of these parts may have been present at so many crashes since they were last
    /// answered, and of parts that were present at the same ones a single one.
    pub fn present(&self, parts: &[PartKey], crashes: usize) -> Vec<PartKey> {
        let is_present = |part: &&PartKey| {
            let times = self.suspects.get(&Subject::Part(**part));
            times.is_some_and(|times| times.crashes >= crashes)
        };
        let present: Vec<PartKey> = parts.iter().filter(is_present).copied().collect();
        representatives(self, &Answers::default(), present)
    }

    /// Returns when a part was last answered, as far as that matters for it as a suspect.
    pub fn last_survival(&self, part: PartKey) -> Option<Time> {
        self.suspects.get(&Subject::Part(part))?.last_survival
    }

    /// Returns whether anything was present at a crash that has not been outlived.
    pub fn has_open_suspects(&self) -> bool {
        self.suspects.values().any(SuspectTimes::is_open)
    }

    /// Returns the requests that were present at a crash that has not been outlived.
    pub fn open_requests(&self) -> impl Iterator<Item = RequestKey> {
        let open = self.suspects.iter().filter(|(_, times)| times.is_open());
        open.filter_map(|(subject, _)| match subject {
            Subject::Request(key) => Some(*key),
            Subject::Part(_) => None,
        })
    }

    /// Returns what the crashes say of a part that ends engines from an `onset` on, apart from
    /// those that are `explained`, or `None` if there are none.
    pub fn evidence(
        &self,
        part: PartKey,
        onset: Onset,
        explained: Explained<'_>,
        answers: &Answers<'_>,
        options: &QuarantineOptions,
        now: Time,
    ) -> Option<Evidence> {
        let survival = self.suspects.get(&Subject::Part(part))?.last_survival;
        let open = || {
            let crashes = self.crashes.iter().filter(|crash| crash.involves_parts());
            crashes.filter(|crash| !crash.is_explained_by(explained.parts, onset))
        };
        let is_counted = |crash: &&Crash| Some(crash.at) > survival && crash.involves(part, onset);
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in open().filter(is_counted) {
            if crash.adds_to(part, explained.requests, &counted) {
                counted.push(crash);
            }
        }
        let first = counted.iter().map(|crash| crash.at).min()?;
        let is_near = |crash: &&Crash| {
            first.since(crash.at) < options.answered_time && crash.at >= self.complete_from
        };
        // An upstream that is only suspected to have ended is no evidence of another cause.
        let is_absent = |crash: &&Crash| {
            crash.is_certain(options, now)
                && !crash.involves(part, onset)
                && !crash.involves_request(explained.requests)
        };
        let absent = open().filter(is_near).filter(is_absent);
        let absent: Vec<&Crash> = absent.collect();
        let runs = counted.iter().flat_map(|crash| crash.suspects(onset));
        let runs: Vec<&CrashedRun> = runs.filter(|run| run.parts.contains(part)).collect();
        let requests: BTreeSet<RequestKey> = runs.iter().map(|run| run.key).collect();
        let depths = runs
            .iter()
            .map(|run| run.parts.iter().position(|p| *p == part));
        let moments = moments(part, onset, &counted, options.moment);
        let other_cause = other_cause(absent.len(), moments.len());
        let until = time_before(now, options.report_time);
        let others = answers.others(part, first, until);
        let was_answered = survival.is_some_and(|at| first.since(at) < options.answered_time);
        let may_be_busy = was_answered || answers.fleet_count() < as_f64(options.min_answers);
        // If the part was only caught in a crash, its suspects are a sample of all prompts too.
        let mut share = answers.share(part, may_be_busy, survival.is_some());
        let for_presence = |moment: &Moment| {
            let by_chance = by_chance(share.value(), moment.with_part, moment.suspects);
            share.add(moment.with_part, moment.suspects);
            let log = ((1.0 - other_cause) / by_chance + other_cause).ln();
            log.min(options.max_log_likelihood_of_moment)
        };
        let presence: f64 = moments.iter().map(for_presence).sum();
        let absence = other_cause.ln() * as_f64(absent.len());
        let suspects = counted.iter().flat_map(|crash| crash.suspects(onset));
        let longest = suspects.filter_map(|run| onset.elapsed_ms(run)).max();
        let times = moments.iter().filter_map(Moment::regular_ms);
        let regularity = regularity(times, longest.unwrap_or_default());
        Some(Evidence {
            part,
            first,
            crashes: counted.len(),
            certain: counted
                .iter()
                .filter(|crash| crash.is_certain(options, now))
                .count(),
            moments: moments.len(),
            requests: requests.len(),
            absences: absent.len(),
            is_always_present: absent.is_empty() && first >= self.complete_from,
            log_likelihood: presence + absence + regularity + answers.expected(part, others),
            was_answered,
            may_be_busy,
            others,
            regularity,
            onset,
            depth: depths.flatten().max().unwrap_or_default(),
        })
    }

    /// Returns the part that explains the crashes best, if one suffices to be withheld.
    /// `answers` returns those that this instance knows of.
    pub fn best<'a>(
        &self,
        explained: Explained<'_>,
        answers: impl FnOnce() -> Answers<'a>,
        options: &QuarantineOptions,
        now: Time,
    ) -> Option<Evidence> {
        let parts = self.open_parts(options.min_requests);
        let parts: Vec<PartKey> = parts
            .filter(|part| !explained.parts.contains(part))
            .collect();
        if parts.is_empty() {
            return None;
        }
        let answers = answers();
        let parts = representatives(self, &answers, parts).into_iter();
        let all = parts.flat_map(|part| Onset::ALL.map(|onset| (part, onset)));
        let all = all.filter_map(|(part, onset)| {
            self.evidence(part, onset, explained, &answers, options, now)
        });
        all.filter(|evidence| evidence.suffices(options, now))
            .max_by(Evidence::cmp)
    }
}

/// Returns the different lists of parts of some runs.
fn lists<'a>(runs: impl IntoIterator<Item = &'a CrashedRun>) -> impl Iterator<Item = &'a PartList> {
    let runs = runs.into_iter();
    let lists: HashMap<_, _> = runs.map(|run| (run.parts.identity(), &run.parts)).collect();
    lists.into_values()
}

/// Returns the estimated probability that a crash has another cause than a part that was
/// present at some moments and absent from other crashes.
fn other_cause(absences: usize, moments: usize) -> f64 {
    (as_f64(absences) + 0.5) / (as_f64(absences) + as_f64(moments) + 1.0)
}

/// Returns the time `span` before `time`.
fn time_before(time: Time, span: Duration) -> Time {
    Time::from_origin(time.since_origin().saturating_sub(span))
}

pub fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the logarithm of how unlikely it is that most of these times are as close to each
/// other by chance, where each could lie anywhere up to `longest`.
///
/// Times close to zero count for nothing: short answers are caught at short times.
fn regularity(times_ms: impl Iterator<Item = u16>, longest: u16) -> f64 {
    let mut times: Vec<f64> = times_ms.map(f64::from).collect();
    times.sort_by(f64::total_cmp);
    if times.len() < MIN_TIMES {
        return 0.0;
    }
    // A quarter may be of prompts that were caught beside another cause.
    let others = times.len() / 4;
    let most = times.len() - others;
    let spans = times.windows(most).filter_map(|near| {
        let span = near[most - 1] - near[0];
        (span <= near[0]).then_some(span)
    });
    let least = spans.fold(f64::INFINITY, f64::min);
    let spread = (least + TIME_PRECISION_MS) / (f64::from(longest) + TIME_PRECISION_MS);
    let most = as_f64(most);
    // The number of ways to choose the times that are close, and the first of them.
    let ways = (0..others).map(as_f64);
    let ways = ways.map(|n| ((most + as_f64(others) - n) / (n + 1.0)).ln());
    let ways = ways.sum::<f64>() + most.ln();
    ((1.0 - most) * spread.ln() - ways).max(0.0)
}

/// The least number of times that are compared.
const MIN_TIMES: usize = 4;

/// The precision in milliseconds with which an instance sees the beginning of an answer and the
/// end of its engine.
const TIME_PRECISION_MS: f64 = 10.0;

/// One or several crashes that are close to each other.
struct Moment {
    at: Time,
    /// The suspects.
    suspects: usize,
    /// The suspects with a part.
    with_part: usize,
    /// The time from the onset on the part to the end of the engine.
    elapsed_ms: Option<u16>,
}

impl Moment {
    /// Returns the time from the onset on the part to the end of the engine, unless several
    /// prompts had it: the longest of several times is closer to others by chance.
    fn regular_ms(&self) -> Option<u16> {
        self.elapsed_ms.filter(|_| self.with_part <= 2)
    }
}

/// Returns the moments of some crashes, which are at least `span` apart.
fn moments(part: PartKey, onset: Onset, crashes: &[&Crash], span: Duration) -> Vec<Moment> {
    let mut crashes = crashes.to_vec();
    crashes.sort_by_key(|crash| crash.at);
    let mut moments: Vec<Moment> = Vec::new();
    for crash in crashes {
        let has_part = |run: &&CrashedRun| run.parts.contains(part);
        let suspects = crash.suspects(onset).count();
        let with_part = crash.suspects(onset).filter(has_part).count();
        let elapsed_ms = crash.suspects(onset).filter(has_part);
        let elapsed_ms = elapsed_ms.filter_map(|run| onset.elapsed_ms(run)).max();
        match moments.last_mut() {
            Some(last) if crash.at.since(last.at) < span => {
                last.suspects += suspects;
                last.with_part += with_part;
            }
            _ => moments.push(Moment {
                at: crash.at,
                suspects,
                with_part,
                elapsed_ms,
            }),
        }
    }
    moments
}
