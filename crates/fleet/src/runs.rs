//! The recent runs of requests at upstreams, as this instance has observed them.
//!
//! When an upstream ends, they tell which requests it had just begun to answer, and which
//! requests and parts of prompts upstreams have answered before and since.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::part_key::PartKey;
use crate::part_list::PartList;
use crate::part_list::PartLists;
use crate::request_key::RequestKey;

/// Options for how runs are judged and remembered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunOptions {
    /// The time after the first event from which on a prompt no longer counts as the cause of
    /// its engine's end.
    pub under_way_after: Duration,
    /// The time for which ended runs are remembered.
    pub memory_time: Duration,
    /// The largest number of ended runs that are remembered.
    pub max_ended: usize,
    /// The largest number of parts of all prompts among them. The longer prompts are, the fewer
    /// of them are remembered, each with all its parts.
    pub max_ended_parts: usize,
    /// The longest time between the end of an engine and its notice.
    pub max_notice_delay: Duration,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            under_way_after: Duration::from_millis(500),
            memory_time: Duration::from_secs(30),
            max_ended: 1_024,
            max_ended_parts: 512 * 1_024,
            max_notice_delay: Duration::from_secs(1),
        }
    }
}

/// The largest number of ended processes that are remembered.
const MAX_CRASHED: usize = 256;

/// The largest number of answers whose requests are remembered.
const MAX_ANSWERED: usize = 4_096;

/// The time by which instances may differ on when a process has ended.
const TIME_TOLERANCE: Duration = Duration::from_millis(50);

/// The time for which bytes that a process has sent before its end may take to be read, by an
/// instance that gets little processor time.
const READ_DELAY: Duration = Duration::from_millis(250);

/// The number of a run on this instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunId(u64);

/// How a run ended for this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The answer was complete.
    Complete,
    /// The engine closed the connection before.
    Broken,
    /// The run was given up, or has never begun.
    Other,
}

/// What is sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct RunContent<'a> {
    /// The hash of the request's id.
    pub request: u32,
    /// The key of the request's content.
    pub key: RequestKey,
    /// The parts of the prompt that other prompts share, or `None` if it is no prompt.
    pub parts: Option<&'a [PartKey]>,
}

/// A request that an upstream had not answered, or not answered well into, when it ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// The hash of the request's id.
    pub request: u32,
    /// The key of the request's content.
    pub key: RequestKey,
    /// The time from the sending of the request to the end of the upstream in milliseconds.
    pub age_ms: u16,
    /// Whether the answer was complete.
    pub is_answered: bool,
    /// The time from the beginning of the answer to the end of the upstream in milliseconds, if it
    /// had begun to answer.
    pub begun_ms: Option<u16>,
    /// The parts of the prompt in order, but the last one; none if it is no prompt.
    pub parts: PartList,
}

impl CrashedRun {
    /// Returns whether the request is one of `keys`, and was not answered.
    #[must_use]
    pub fn is_cause(&self, keys: &BTreeSet<RequestKey>) -> bool {
        !self.is_answered && keys.contains(&self.key)
    }

    /// Returns the time from the beginning of the answer, or else the sending of the request, to
    /// the end of the upstream in milliseconds.
    pub(crate) fn since_progress_ms(&self) -> u16 {
        self.begun_ms.unwrap_or(self.age_ms)
    }

    /// Takes the end of the upstream to have been `earlier` by this time. Returns whether the
    /// request had been sent by then, as far as instances agree on the time.
    pub(crate) fn move_end(&mut self, earlier: Duration) -> bool {
        let age = Duration::from_millis(u64::from(self.age_ms));
        let left = age.saturating_sub(earlier).as_millis();
        self.age_ms = u16::try_from(left).unwrap_or(u16::MAX);
        age + TIME_TOLERANCE >= earlier
    }
}

#[derive(Clone, Debug)]
struct Run {
    process: u64,
    request: u32,
    key: RequestKey,
    parts: Option<PartList>,
    sent: Time,
    head: Option<Time>,
    first_event: Option<Time>,
    /// When more of the answer was last read.
    read: Option<Time>,
    is_complete: bool,
}

impl Run {
    /// Returns the time at which the process certainly lived after `at`, if the answer shows one.
    fn alive_since(&self, at: Time) -> Option<Time> {
        if self.sent > at {
            return self.head.map(|_| self.sent);
        }
        self.read.filter(|read| *read >= at + READ_DELAY)
    }

    /// Returns when the answer was well under way, if more of it was read since or it is complete.
    fn under_way_at(&self, options: &RunOptions) -> Option<Time> {
        let at = self.first_event? + options.under_way_after;
        (self.is_complete || self.read >= Some(at)).then_some(at)
    }

    fn to_crashed(&self, at: Time, is_answered: bool) -> CrashedRun {
        let millis = |since| u16::try_from(at.since(since).as_millis()).unwrap_or(u16::MAX);
        CrashedRun {
            request: self.request,
            key: self.key,
            age_ms: millis(self.sent),
            is_answered,
            begun_ms: self.head.map(millis),
            parts: self.parts.clone().unwrap_or_default(),
        }
    }
}

#[derive(Debug)]
struct EndedRun {
    run: Run,
    at: Time,
    end: RunEnd,
}

/// When each request was last answered, of the latest ones.
#[derive(Debug, Default)]
struct AnsweredRequests {
    last: HashMap<RequestKey, Time>,
    order: VecDeque<(RequestKey, Time)>,
}

impl AnsweredRequests {
    fn record(&mut self, key: RequestKey, now: Time) {
        self.last.insert(key, now);
        self.order.push_back((key, now));
        if self.order.len() > MAX_ANSWERED
            && let Some((oldest, at)) = self.order.pop_front()
            && self.last(oldest) == Some(at)
        {
            self.last.remove(&oldest);
        }
    }

    fn last(&self, key: RequestKey) -> Option<Time> {
        self.last.get(&key).copied()
    }
}

/// The runs in progress and those that have ended lately.
///
/// ```
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_fleet::part_key::PartKey;
/// use limpetsaddle_fleet::request_key::RequestContent;
/// use limpetsaddle_fleet::request_key::RequestKey;
/// use limpetsaddle_fleet::runs::RunContent;
/// use limpetsaddle_fleet::runs::RunEnd;
/// use limpetsaddle_fleet::runs::RunLog;
///
/// let key = RequestKey::of(&RequestContent {
///     method: "POST",
///     host: "a.example",
///     target: "/chat",
///     team: "",
///     body: b"...",
/// });
/// let parts = [PartKey::of("5c1e")];
/// let content = RunContent { request: 1, key, parts: Some(&parts) };
///
/// let mut runs = RunLog::default();
/// let run = runs.start(7, &content, Time::ZERO);
/// runs.record_head(run, Time::ZERO);
/// runs.end(run, RunEnd::Broken, Time::ZERO);
/// let (crashed, at) = runs.record_crash(7, Time::ZERO);
/// assert_eq!((crashed.len(), at), (1, Time::ZERO));
/// assert_eq!(crashed[0].begun_ms, Some(0));
/// ```
#[derive(Debug, Default)]
pub struct RunLog {
    options: RunOptions,
    started: u64,
    running: HashMap<RunId, Run>,
    /// The lists of parts in use.
    lists: PartLists,
    /// The ended runs of prompts.
    ended: VecDeque<EndedRun>,
    /// The number of parts of all ended runs.
    ended_parts: usize,
    /// The ended runs of other requests, until the end of their upstreams would be known.
    ended_plain: VecDeque<EndedRun>,
    answered: AnsweredRequests,
    /// The engines whose end was noticed lately, with the time of their end.
    crashed: VecDeque<(u64, Time)>,
}

impl RunLog {
    /// Returns a log without runs.
    #[must_use]
    pub fn new(options: RunOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records that a request is sent to the upstream with the hash `process`; see
    /// [`process_hash`](crate::heartbeat::process_hash).
    pub fn start(&mut self, process: u64, content: &RunContent<'_>, now: Time) -> RunId {
        self.forget(now);
        self.started += 1;
        let id = RunId(self.started);
        let run = Run {
            process,
            request: content.request,
            key: content.key,
            parts: content.parts.map(|parts| self.lists.intern(parts)),
            sent: now,
            head: None,
            first_event: None,
            read: None,
            is_complete: false,
        };
        self.running.insert(id, run);
        id
    }

    /// Records that the engine has sent the head of its answer.
    pub fn record_head(&mut self, id: RunId, now: Time) {
        if let Some(run) = self.running.get_mut(&id) {
            run.head.get_or_insert(now);
            run.read = Some(now);
        }
    }

    /// Records that the engine has sent the first event of its answer.
    pub fn record_first_event(&mut self, id: RunId, now: Time) {
        if let Some(run) = self.running.get_mut(&id) {
            run.head.get_or_insert(now);
            run.first_event.get_or_insert(now);
            run.read = Some(now);
        }
    }

    /// Records that more of an answer was read.
    pub fn record_bytes(&mut self, id: RunId, now: Time) {
        if let Some(run) = self.running.get_mut(&id) {
            run.read = Some(now);
        }
    }

    /// Records the end of a run. A run that has ended stays as it is.
    pub fn end(&mut self, id: RunId, end: RunEnd, now: Time) {
        if let Some(mut run) = self.running.remove(&id) {
            if end == RunEnd::Complete {
                run.read = Some(now);
                run.is_complete = true;
            }
            let under_way_at = run.under_way_at(&self.options);
            if end == RunEnd::Complete || under_way_at.is_some_and(|at| at <= now) {
                self.answered.record(run.key, now);
            }
            let ended = match &run.parts {
                Some(parts) => {
                    self.ended_parts += parts.len();
                    &mut self.ended
                }
                None => &mut self.ended_plain,
            };
            ended.push_back(EndedRun { run, at: now, end });
        }
        self.forget(now);
    }

    /// Records that an upstream's process has ended, and returns the requests that may have been
    /// the cause, and the time of its end.
    pub fn record_crash(&mut self, process: u64, now: Time) -> (Vec<CrashedRun>, Time) {
        self.record_crash_after(process, now, now)
    }

    /// Records that an upstream's process has ended, as [`record_crash`](Self::record_crash)
    /// does. The first of its connections was lost at `lost`; the process may have lived on since.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::runs::RunLog;
    ///
    /// let lost = Time::from_origin(Duration::from_secs(1));
    /// let now = Time::from_origin(Duration::from_secs(3));
    /// let (_, at) = RunLog::default().record_crash_after(7, lost, now);
    /// assert_eq!(at, lost);
    /// ```
    pub fn record_crash_after(
        &mut self,
        process: u64,
        lost: Time,
        now: Time,
    ) -> (Vec<CrashedRun>, Time) {
        // A host may accept connections for a process that has ended. What is sent over them
        // has not ended it.
        let at = self.ended_since(process).unwrap_or_else(|| {
            let has_lived_on = self.alive_since(process, lost).is_some();
            let noticed = if has_lived_on { now } else { lost };
            let is_recent =
                |ended: &&EndedRun| noticed.since(ended.at) < self.options.max_notice_delay;
            let ended = self.ended_at(process).filter(is_recent);
            let broken = ended.filter(|ended| ended.end == RunEnd::Broken);
            let broken = broken.map(|ended| ended.at);
            let last_alive = |at: &Time| self.alive_since(process, *at).is_none();
            broken.filter(last_alive).min().unwrap_or(noticed)
        });
        (self.suspects(process, at, lost), at)
    }

    /// Returns when a process has ended, if that was recorded and it has not answered since.
    fn ended_since(&self, process: u64) -> Option<Time> {
        let mut known = self.crashed.iter().rev();
        let known = known.find(|(known, _)| *known == process)?.1;
        self.alive_since(process, known).is_none().then_some(known)
    }

    /// Returns the last time after `at` at which a process certainly lived, if its answers show
    /// one: to a request that was sent later, or over a connection from before on which more was
    /// read.
    #[must_use]
    pub fn alive_since(&self, process: u64, at: Time) -> Option<Time> {
        let running = self.running.values().filter(|run| run.process == process);
        let ended = self.ended_at(process).map(|ended| &ended.run);
        running
            .chain(ended)
            .filter_map(|run| run.alive_since(at))
            .max()
    }

    /// Returns whether a connection to a process from before `at` has delivered more of an answer
    /// since.
    #[must_use]
    pub fn has_continued(&self, process: u64, at: Time) -> bool {
        let running = self.running.values().filter(|run| run.process == process);
        let mut running = running.filter(|run| run.sent <= at);
        running.any(|run| run.alive_since(at).is_some())
    }

    /// Returns the processes that owe an answer and have shown no sign of life for `silence`.
    #[must_use]
    pub fn silent(&self, silence: Duration, now: Time) -> BTreeSet<u64> {
        let running = self.running.values();
        let waiting = running.filter(|run| {
            let progress = run.read.map_or(run.sent, |read| read.max(run.sent));
            now.since(progress) >= silence
        });
        let processes: BTreeSet<u64> = waiting.map(|run| run.process).collect();
        let since = Time::from_origin(now.since_origin().saturating_sub(silence));
        let is_silent = |process: &u64| self.alive_since(*process, since).is_none();
        processes.into_iter().filter(is_silent).collect()
    }

    /// Returns the number of requests in progress at a process that were sent until `at`.
    #[must_use]
    pub fn running_since(&self, process: u64, at: Time) -> usize {
        let running = self.running.values().filter(|run| run.process == process);
        running.filter(|run| run.sent <= at).count()
    }

    /// Returns the ended runs at a process.
    fn ended_at(&self, process: u64) -> impl Iterator<Item = &EndedRun> {
        let all = self.ended.iter().chain(&self.ended_plain);
        all.filter(move |ended| ended.run.process == process)
    }

    /// Records that another instance has seen the end of an upstream's process at `at`, and
    /// returns the requests of this instance that may have been the cause. There are none if the
    /// end was known.
    pub fn record_reported_crash(&mut self, process: u64, at: Time) -> Vec<CrashedRun> {
        if self.ended_since(process).is_some() {
            return Vec::new();
        }
        self.suspects(process, at, at)
    }

    /// Records the end of a process, and returns the requests that may have been the cause: also
    /// those whose connections were lost from `lost` on.
    fn suspects(&mut self, process: u64, at: Time, lost: Time) -> Vec<CrashedRun> {
        let options = self.options;
        let is_near = |ended: &&EndedRun| {
            let apart = at.since(ended.at).max(ended.at.since(at));
            let was_lost = ended.end == RunEnd::Broken
                && lost.since(ended.at) < TIME_TOLERANCE
                && ended.at <= at;
            apart < options.max_notice_delay || was_lost
        };
        let is_suspect = |run: &Run, end: Time| {
            let under_way_at = run.under_way_at(&options);
            run.sent <= at && under_way_at.is_none_or(|time| time > end)
        };
        let end_of = |ended: &EndedRun| match ended.end {
            RunEnd::Broken => ended.at.min(at),
            RunEnd::Complete | RunEnd::Other => at,
        };
        let ended = self.ended_at(process).filter(is_near);
        let ended = ended.filter(|ended| match ended.end {
            RunEnd::Broken => true,
            // The engine may have ended as it sent the end of the answer.
            RunEnd::Complete => ended.run.first_event.is_some() && ended.run.parts.is_some(),
            RunEnd::Other => false,
        });
        let ended = ended.map(|ended| (&ended.run, end_of(ended), ended.end == RunEnd::Complete));
        // The end of these has not been read yet.
        let running = self.running.values().filter(|run| run.process == process);
        let all = ended.chain(running.map(|run| (run, at, false)));
        let crashed = all
            .filter(|(run, end, _)| is_suspect(run, *end))
            .map(|(run, _, is_answered)| run.to_crashed(at, is_answered));
        let crashed = crashed.collect();
        if self.ended_since(process).is_none() {
            self.crashed.push_back((process, at));
        }
        if self.crashed.len() > MAX_CRASHED {
            self.crashed.pop_front();
        }
        crashed
    }

    /// Returns when a request with this content was last answered, as far as that is remembered.
    #[must_use]
    pub fn answered_at(&self, key: RequestKey) -> Option<Time> {
        self.answered.last(key)
    }

    /// Returns the requests in progress whose answers are well under way, with the time since
    /// when.
    pub fn under_way(&self, now: Time) -> impl Iterator<Item = (RequestKey, Time)> {
        let running = self.running.values();
        let running = running.filter_map(|run| Some((run.key, run.under_way_at(&self.options)?)));
        running.filter(move |(_, at)| *at <= now)
    }

    /// Returns the number of ended runs of prompts that are remembered.
    #[must_use]
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Returns the lists of parts of prompts whose answers came well under way, each with the
    /// times in ascending order.
    pub fn survivals(&self, now: Time) -> impl Iterator<Item = (PartList, Vec<Time>)> {
        let mut survivals: HashMap<*const (), (PartList, Vec<Time>)> = HashMap::new();
        for (parts, at) in self.answered(now) {
            let new = || (parts.clone(), Vec::new());
            let (_, times) = survivals.entry(parts.identity()).or_insert_with(new);
            times.push(at);
        }
        survivals.into_values().map(|(parts, mut times)| {
            times.sort_unstable();
            (parts, times)
        })
    }

    /// Returns the stored list of these parts, which runs of prompts with the same ones share.
    pub fn intern(&mut self, parts: &[PartKey]) -> PartList {
        self.lists.intern(parts)
    }

    /// Returns the parts of each prompt whose answer came well under way, with the time.
    pub fn answered(&self, now: Time) -> impl Iterator<Item = (&PartList, Time)> {
        let ended = self.ended.iter().map(|ended| (&ended.run, Some(ended)));
        let running = self.running.values().map(|run| (run, None));
        ended.chain(running).filter_map(move |(run, ended)| {
            let at = run.under_way_at(&self.options)?;
            let was_running = ended.is_none_or(|e| e.end == RunEnd::Complete || e.at >= at);
            let crashed_before = self.crashed.iter().any(|(process, crashed)| {
                *process == run.process && run.first_event <= Some(*crashed) && *crashed < at
            });
            let parts = run.parts.as_ref()?;
            (was_running && !crashed_before && at <= now).then_some((parts, at))
        })
    }

    fn forget(&mut self, now: Time) {
        let is_old = |at: Time| now.since(at) >= self.options.memory_time;
        while self.ended.len() > self.options.max_ended
            || self.ended_parts > self.options.max_ended_parts
            || self.ended.front().is_some_and(|ended| is_old(ended.at))
        {
            let ended = self.ended.pop_front();
            let parts = ended.and_then(|ended| ended.run.parts);
            self.ended_parts -= parts.map_or(0, |parts| parts.len());
        }
        let is_settled = |at: Time| now.since(at) >= self.options.max_notice_delay * 2;
        while self.ended_plain.len() > self.options.max_ended
            || self
                .ended_plain
                .front()
                .is_some_and(|ended| is_settled(ended.at))
        {
            self.ended_plain.pop_front();
        }
        while self.crashed.front().is_some_and(|(_, at)| is_old(*at)) {
            self.crashed.pop_front();
        }
    }
}
