//! Requests, and parts of prompts, that are withheld from upstreams, as they end them.
//!
//! Each instance evaluates the crashes reported by all instances. A request is withheld once
//! several processes have crashed while running requests with the same content, with no response
//! to any of them since. A part is suspected as long as engines end shortly after they have begun to
//! answer prompts with it, and none of these answers comes well under way. It is withheld once
//! that is much likelier if the part ends engines than if it was caught in their ends by chance.
//! Crashes that something withheld explains don't count.

mod answers;
mod change;
mod crash;
mod encoding;
mod evidence;
mod news;
mod options;
mod presence;
mod register;
mod repeats;
mod report;
mod reporting;
mod standing;
mod subject;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use self::answers::Answers;
use self::crash::Onset;
use self::evidence::CrashLog;
use self::evidence::Explained;
use self::news::News;
use self::register::Register;
use self::report::CrashReport;
use self::report::time_of;
use crate::part_key::PartKey;
use crate::part_list::PartList;
use crate::request_key::RequestKey;
use crate::runs::CrashedRun;
use crate::runs::RunLog;

pub use self::answers::AnswerSample;
pub use self::answers::SampledPart;
pub use self::change::Change;
pub use self::change::Source;
pub use self::evidence::Evidence;
pub use self::options::QuarantineOptions;
pub use self::options::RequestOptions;
pub use self::register::Entry;
pub use self::register::MAX_ENTRIES;
pub use self::register::QuarantineRecord;
pub use self::register::State;
pub use self::report::QuarantineReport;
pub use self::report::ReportError;
pub use self::standing::Standing;
pub use self::subject::Subject;

/// A crash that this instance has seen or suspects itself, or a sign of life after one.
#[derive(Clone, Debug)]
struct OwnCrash {
    process: u64,
    standing: Standing,
    at: Time,
    runs: Vec<CrashedRun>,
}

/// The parts and requests that are withheld, and the evidence against others.
///
/// ```
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_fleet::part_key::PartKey;
/// use limpetsaddle_fleet::quarantine::Entry;
/// use limpetsaddle_fleet::quarantine::Quarantine;
/// use limpetsaddle_fleet::quarantine::QuarantineOptions;
/// use limpetsaddle_fleet::quarantine::QuarantineRecord;
/// use limpetsaddle_fleet::quarantine::State;
///
/// let part = PartKey::of("5c1e07a2");
/// let entry = Entry {
///     subject: part.into(),
///     generation: 1,
///     state: State::Withheld,
///     crashes: 5,
///     since_ms: 0,
///     trials: 0,
/// };
/// let record = QuarantineRecord { parts: vec![entry], ..QuarantineRecord::default() };
/// let mut quarantine = Quarantine::new(QuarantineOptions::default(), Time::ZERO);
/// quarantine.apply_record(&record, Time::ZERO);
/// assert_eq!(quarantine.withheld(&[PartKey::of("91bd3f06"), part]), Some(part));
/// ```
#[derive(Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    log: CrashLog,
    /// The answers in the record at the platform, and when they were last replaced.
    earlier_answers: AnswerSample,
    sampled: Option<Time>,
    register: Register,
    own_crashes: Vec<News<OwnCrash>>,
    survivals: Vec<News<(Subject, Time)>>,
    entries: Vec<News<Subject>>,
    changes: Vec<Change>,
    /// Whether crashes or entries have changed since the last review.
    is_stale: bool,
    /// When all entries were last repeated.
    repeated: Option<Time>,
}

impl Quarantine {
    /// Returns a quarantine that withholds nothing, of an instance that starts at `now`.
    #[must_use]
    pub fn new(options: QuarantineOptions, now: Time) -> Self {
        Self {
            options,
            log: CrashLog::new(now + options.report_time),
            earlier_answers: AnswerSample::default(),
            sampled: None,
            register: Register::default(),
            own_crashes: Vec::new(),
            survivals: Vec::new(),
            entries: Vec::new(),
            changes: Vec::new(),
            is_stale: false,
            repeated: None,
        }
    }

    /// Returns the first of a prompt's parts that is withheld.
    #[must_use]
    pub fn withheld(&self, parts: &[PartKey]) -> Option<PartKey> {
        let withheld = self.register.withheld_parts();
        if withheld.is_empty() {
            return None;
        }
        parts.iter().copied().find(|part| withheld.contains(part))
    }

    /// Returns whether requests with a content are withheld.
    #[must_use]
    pub fn withholds(&self, key: RequestKey) -> bool {
        self.register.withheld_requests().contains(&key)
    }

    /// Returns whether this instance sends a withheld request once as a trial. `rank` is this instance's among all `instances`, which are few enough at first that
    /// only one sends it.
    pub fn begin_trial(
        &mut self,
        key: RequestKey,
        rank: usize,
        instances: usize,
        now: Time,
    ) -> bool {
        // Another instance begins with each request.
        let place = key.shifted(rank, instances);
        let options = &self.options.requests;
        let Some(entry) = self.register.begin_trial(key, place, options, now) else {
            return false;
        };
        self.announce(entry.subject);
        self.record_change(entry, Source::Trial, None, now);
        true
    }

    /// Records that a request was refused for something withheld.
    pub fn record_refusal(&mut self, subject: Subject, now: Time) {
        // Others that get no such requests would release it.
        if self.register.touch(subject, now) {
            self.announce(subject);
        }
    }

    /// Returns whether a request beside which an upstream has just ended may be sent to another:
    /// not if several have ended beside the same content or one of its parts, and no answer on
    /// it has come well under way.
    #[must_use]
    pub fn permits_repeat(&self, key: RequestKey, parts: &[PartKey], now: Time) -> bool {
        let explained = self.explained();
        let requests = self
            .log
            .request_evidence(key, explained, &self.options, now);
        let max_crashes = self.options.requests.max_repeated_crashes;
        if requests.is_some_and(|e| !e.was_answered && e.crashes > max_crashes) {
            return false;
        }
        let least = 1 + self
            .options
            .max_repeated_moments
            .min(self.options.max_repeated_moments_of_arrival);
        !self.log.present(parts, least).into_iter().any(|part| {
            let answers = Answers::default();
            Onset::ALL.into_iter().any(|onset| {
                let evidence =
                    self.log
                        .evidence(part, onset, explained, &answers, &self.options, now);
                let max_moments = match onset {
                    Onset::Answer => self.options.max_repeated_moments,
                    Onset::Arrival => self.options.max_repeated_moments_of_arrival,
                };
                evidence.is_some_and(|e| e.moments > max_moments && !e.was_answered)
            })
        })
    }

    const fn explained(&self) -> Explained<'_> {
        Explained {
            parts: self.register.withheld_parts(),
            requests: self.register.withheld_requests(),
        }
    }

    /// Records the end of an upstream that this instance has seen, with the requests that may be
    /// the cause.
    pub fn record_crash(&mut self, process: u64, at: Time, runs: Vec<CrashedRun>) {
        self.record(process, at, runs, Standing::Confirmed);
    }

    /// Records that this instance suspects an upstream to have ended, as
    /// [`record_crash`](Self::record_crash) does. That keeps requests from being sent to another
    /// upstream. Nothing is withheld unless some upstreams have ended, or been silent for longer
    /// than a sound one.
    pub fn record_suspicion(&mut self, process: u64, at: Time, runs: Vec<CrashedRun>) {
        self.record(process, at, runs, Standing::Suspected);
    }

    fn record(&mut self, process: u64, at: Time, runs: Vec<CrashedRun>, standing: Standing) {
        let is_confirmed = standing == Standing::Confirmed;
        if self.log.record(process, at, runs.clone(), is_confirmed) {
            self.is_stale = true;
            let runs = self.runs_to_report(runs);
            self.report(OwnCrash {
                process,
                standing,
                at,
                runs,
            });
        }
    }

    /// Records that a process lived at `at`, and withdraws the suspicion that it had ended before.
    pub fn record_life(&mut self, process: u64, at: Time) {
        if self.log.record_life(process, at) {
            self.is_stale = true;
            self.own_crashes
                .retain(|News { item, .. }| item.process != process || item.at >= at);
            self.report(OwnCrash {
                process,
                standing: Standing::Withdrawn,
                at,
                runs: Vec::new(),
            });
        }
    }

    /// Takes over what another instance reports. [`review`](Self::review) returns the changes.
    pub fn apply_report(&mut self, report: &QuarantineReport, runs: &mut RunLog, now: Time) {
        for crash in &report.crashes {
            self.apply_crash(crash, runs, now);
        }
        for survival in &report.survivals {
            let at = time_of(survival.age_ms, now);
            self.log.record_survival(survival.subject, at);
        }
        for report in &report.entries {
            let (needed, since) = (time_of(report.idle_ms, now), time_of(report.held_ms, now));
            self.merge(report.entry(), needed, since, Source::Peer, now);
        }
    }

    fn apply_crash(&mut self, crash: &CrashReport, runs: &mut RunLog, now: Time) {
        let (process, at) = (crash.process, time_of(crash.age_ms, now));
        let is_confirmed = crash.standing == Standing::Confirmed;
        match crash.standing {
            Standing::Withdrawn => self.is_stale |= self.log.record_life(process, at),
            Standing::Suspected if runs.alive_since(process, at).is_some() => (),
            Standing::Suspected | Standing::Confirmed => {
                let own = runs.record_reported_crash(process, at);
                if !own.is_empty() {
                    self.record(process, at, own, crash.standing);
                }
                let mut reported = crash.runs.clone();
                for run in &mut reported {
                    run.parts = runs.intern(&run.parts);
                }
                self.is_stale |= self.log.record(process, at, reported, is_confirmed);
            }
        }
    }

    /// Takes over the record at the platform. [`review`](Self::review) returns the changes.
    pub fn apply_record(&mut self, record: &QuarantineRecord, now: Time) {
        for entry in record.entries() {
            self.merge(entry.clone(), now, now, Source::Record, now);
        }
        let answers = record.answers.bounded();
        if answers.answers > 0 && answers != self.earlier_answers {
            self.earlier_answers = answers;
            self.sampled = Some(now);
        }
    }

    fn merge(&mut self, entry: Entry, needed: Time, since: Time, source: Source, now: Time) {
        if self.register.merge(entry.clone(), needed, since) {
            self.record_change(entry, source, None, now);
        }
    }

    /// Judges the crashes by the runs of this instance, and returns all changes since the last
    /// call. `instances` is the number of live ones, and `unix_ms` the time in milliseconds since the Unix epoch.
    pub fn review(
        &mut self,
        runs: &RunLog,
        instances: usize,
        unix_ms: u64,
        now: Time,
    ) -> Vec<Change> {
        self.log.forget(&self.options, now);
        self.collect_life(runs);
        self.collect_survivals(runs, now);
        self.release_answered(runs, now);
        while let Some(best) = self.log.best_request(self.explained(), &self.options, now) {
            self.withhold(best.key.into(), best.crashes, None, unix_ms, now);
        }
        while let Some(best) = self.best(runs, instances, now) {
            self.withhold(best.part.into(), best.crashes, Some(best), unix_ms, now);
        }
        if std::mem::take(&mut self.is_stale) {
            self.release_explained(now);
        }
        for subject in self.register.unneeded(self.options.release_time, now) {
            self.release(subject, Source::Unneeded, now);
        }
        self.register.forget_released(self.options.memory_time, now);
        std::mem::take(&mut self.changes)
    }

    fn withhold(
        &mut self,
        subject: Subject,
        crashes: usize,
        evidence: Option<Evidence>,
        unix_ms: u64,
        now: Time,
    ) {
        let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
        let entry = self.register.withhold(subject, crashes, unix_ms, now);
        self.announce(subject);
        self.record_change(entry, Source::Evidence, evidence, now);
        // Their crashes would have them withheld again, in place of others.
        for displaced in self.register.take_displaced() {
            self.log.dismiss(displaced, now);
        }
    }

    /// Releases the requests that were answered since they were withheld: by a trial, or by an
    /// upstream that had got one before.
    fn release_answered(&mut self, runs: &RunLog, now: Time) {
        let withheld = self.register.withheld_requests().iter();
        let answered = withheld.copied().filter(|key| {
            let since = self.register.since(Subject::Request(*key));
            runs.answered_at(*key) >= since.map(|since| since.min(now))
        });
        let answered: Vec<RequestKey> = answered.collect();
        for key in answered {
            self.release(key.into(), Source::Answer, now);
        }
    }

    /// Returns the part that explains the crashes best, if one suffices to be withheld.
    fn best(&self, runs: &RunLog, instances: usize, now: Time) -> Option<Evidence> {
        let min_answers = self.options.min_answers;
        let answers = || {
            let own = runs.answered(now);
            Answers::new(own, &self.earlier_answers, min_answers, instances)
        };
        self.log.best(self.explained(), answers, &self.options, now)
    }

    /// Returns whether a review may change something by the passing of time.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        !self.changes.is_empty() || self.log.has_open_suspects() || !self.register.is_empty()
    }

    /// Records which processes this instance's answers show to have lived on, or to have come
    /// back, after a crash.
    fn collect_life(&mut self, runs: &RunLog) {
        let crashes = self.log.crashes.iter();
        let alive = crashes.filter_map(|c| Some((c.process, runs.alive_since(c.process, c.at)?)));
        let alive: Vec<(u64, Time)> = alive.collect();
        for (process, at) in alive {
            self.record_life(process, at);
        }
    }

    /// Records which suspects this instance's answers clear, and tells others what they may not
    /// know.
    fn collect_survivals(&mut self, runs: &RunLog, now: Time) {
        if !self.log.has_open_suspects() {
            return;
        }
        let survivals: Vec<(PartList, Vec<Time>)> = runs.survivals(now).collect();
        let mut answered: BTreeMap<PartKey, Vec<&[Time]>> = BTreeMap::new();
        for (parts, times) in &survivals {
            for part in parts.iter().filter(|part| self.log.is_open(**part)) {
                answered.entry(*part).or_default().push(times);
            }
        }
        let mut news: Vec<(Subject, Time)> = Vec::new();
        for (part, times) in answered {
            let at = self.log.record_survivals(part.into(), &times);
            news.extend(at.map(|at| (part.into(), at)));
        }
        let requests = self.log.open_requests();
        let answered = requests.filter_map(|key| Some((key, runs.answered_at(key)?)));
        let answered: Vec<(RequestKey, Time)> = answered.chain(runs.under_way(now)).collect();
        for (key, at) in answered {
            if self.log.record_survival(key.into(), at) {
                news.push((key.into(), at));
            }
        }
        for (subject, at) in news {
            self.report_survival(subject, at);
        }
    }

    /// Releases the parts on which answers came well under way before they were withheld, if
    /// another withheld part explains these crashes by now.
    fn release_explained(&mut self, now: Time) {
        let Explained { parts, requests } = self.explained();
        let needed = self.options.min_requests;
        let answers = Answers::default();
        let evidence = |part: PartKey, parts: &BTreeSet<PartKey>| {
            let explained = Explained { parts, requests };
            self.log.evidence(
                part,
                Onset::Arrival,
                explained,
                &answers,
                &self.options,
                now,
            )
        };
        let moments = |part, explained: &BTreeSet<PartKey>| {
            evidence(part, explained).map_or(0, |evidence| evidence.moments)
        };
        let is_explained = |part: &&PartKey| {
            let this = BTreeSet::from([**part]);
            let others: BTreeSet<PartKey> = parts.difference(&this).copied().collect();
            let all = evidence(**part, &BTreeSet::new());
            all.is_some_and(|all| all.was_answered && all.moments >= needed)
                && moments(**part, &others) < needed
                && others.iter().any(|other| moments(*other, &this) >= needed)
        };
        let explained: Vec<PartKey> = parts.iter().filter(is_explained).copied().collect();
        for part in explained {
            self.release(part.into(), Source::Evidence, now);
        }
    }

    fn release(&mut self, subject: Subject, source: Source, now: Time) {
        if let Some(entry) = self.register.release(subject, now) {
            self.announce(subject);
            self.record_change(entry, source, None, now);
        }
    }

    fn record_change(
        &mut self,
        entry: Entry,
        source: Source,
        evidence: Option<Evidence>,
        now: Time,
    ) {
        self.is_stale = true;
        if entry.state == State::Released {
            self.log.dismiss(entry.subject, now);
        }
        self.changes.push(Change {
            entry,
            source,
            evidence,
        });
    }

    /// Returns the entries with the time since each was last needed.
    pub fn entries(&self, now: Time) -> impl Iterator<Item = (&Entry, Duration)> {
        let all = self.register.iter(now);
        all.map(|(entry, idle, _)| (entry, idle))
    }

    /// Returns the record to be written to the platform in place of `stored`, or `None` if that
    /// lacks nothing. `runs` are those of this instance.
    #[must_use]
    pub fn record_to_write(
        &self,
        stored: &QuarantineRecord,
        runs: &RunLog,
        now: Time,
    ) -> Option<QuarantineRecord> {
        let newer_answers = self.newer_answers(stored, runs, now);
        if newer_answers.is_none() && !self.register.exceeds(stored) {
            return None;
        }
        let answers = newer_answers.unwrap_or_else(|| stored.answers.clone());
        Some(self.register.to_record(answers))
    }

    /// Returns the answers of this instance if they are to replace the recorded ones.
    fn newer_answers(
        &self,
        stored: &QuarantineRecord,
        runs: &RunLog,
        now: Time,
    ) -> Option<AnswerSample> {
        let age = self.sampled.map(|at| now.since(at));
        let is_old = age.is_none_or(|age| age >= self.options.sample_time);
        let needed = if is_old {
            self.options.min_answers
        } else {
            let recorded = stored.answers.answers;
            let grown = recorded.saturating_mul(self.options.sample_growth);
            grown.max(self.options.min_answers)
        };
        // Saves the count most of the time. The few runs in progress don't matter.
        if runs.ended_count() < needed {
            return None;
        }
        let sample = AnswerSample::of(runs.answered(now).map(|(parts, _)| parts));
        (sample.answers >= needed).then_some(sample)
    }
}
