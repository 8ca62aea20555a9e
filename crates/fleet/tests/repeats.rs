//! Requests that come again with the same content, and are withheld from upstreams.

mod support;

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::part_key::PartKey;
use limpetsaddle_fleet::quarantine::MAX_ENTRIES;
use limpetsaddle_fleet::quarantine::Quarantine;
use limpetsaddle_fleet::quarantine::QuarantineOptions;
use limpetsaddle_fleet::quarantine::QuarantineRecord;
use limpetsaddle_fleet::quarantine::QuarantineReport;
use limpetsaddle_fleet::quarantine::Source;
use limpetsaddle_fleet::quarantine::State;
use limpetsaddle_fleet::quarantine::Subject;
use limpetsaddle_fleet::runs::CrashedRun;
use limpetsaddle_fleet::runs::RunEnd;
use limpetsaddle_fleet::runs::RunLog;
use support::request_key;
use support::run_of;

/// The content of the request under test.
const REPEATED: u32 = 7;

/// The instances of the fleet.
const INSTANCES: usize = 9;

/// A time in milliseconds of a test that begins at 100 s.
fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(100_000 + millis))
}

fn suspect(content: u32, parts: &[&str]) -> CrashedRun {
    CrashedRun {
        request: content,
        key: request_key(content),
        age_ms: 80,
        is_answered: false,
        begun_ms: None,
        parts: parts.iter().map(|id| PartKey::of(id)).collect(),
    }
}

struct Instance {
    runs: RunLog,
    quarantine: Quarantine,
    processes: u64,
}

impl Instance {
    fn new() -> Self {
        Self {
            runs: RunLog::default(),
            quarantine: Quarantine::new(QuarantineOptions::default(), Time::ZERO),
            processes: 0,
        }
    }

    /// Ends a process beside requests with these contents.
    fn crash(&mut self, contents: &[u32], millis: u64) {
        let runs = contents.iter().map(|content| suspect(*content, &[]));
        self.crash_under(runs.collect(), millis);
    }

    fn crash_under(&mut self, runs: Vec<CrashedRun>, millis: u64) {
        self.processes += 1;
        self.quarantine
            .record_crash(self.processes, at(millis), runs);
    }

    /// Lets an upstream answer a request.
    fn answer(&mut self, content: u32, millis: u64) {
        let run = self.runs.start(1, &run_of(content, None), at(millis));
        self.runs.record_first_event(run, at(millis));
        self.runs.end(run, RunEnd::Complete, at(millis));
    }

    /// Returns what has changed, with the cause.
    fn review(&mut self, millis: u64) -> Vec<(Subject, State, Source)> {
        let now = at(millis);
        let changes = self.quarantine.review(&self.runs, INSTANCES, 7, now);
        let changes = changes.into_iter();
        let changes = changes.map(|c| (c.entry.subject, c.entry.state, c.source));
        changes.collect()
    }

    fn withholds(&self, content: u32) -> bool {
        self.quarantine.withholds(request_key(content))
    }

    fn report(&mut self, millis: u64) -> Option<QuarantineReport> {
        let mut reports = self.quarantine.take_reports("a-1", None, at(millis));
        assert!(reports.len() <= 1);
        reports.pop()
    }

    fn apply(&mut self, report: &QuarantineReport, millis: u64) {
        self.quarantine
            .apply_report(report, &mut self.runs, at(millis));
    }

    /// Returns the ranks of the instances that may try the request.
    fn ranks_of_trial(record: &QuarantineRecord, millis: u64) -> Vec<usize> {
        let may_try = |rank: &usize| {
            let mut other = Self::new();
            other.quarantine.apply_record(record, at(0));
            let key = request_key(REPEATED);
            other
                .quarantine
                .begin_trial(key, *rank, INSTANCES, at(millis))
        };
        (0..INSTANCES).filter(may_try).collect()
    }
}

/// Returns an instance that withholds the request.
fn withholding() -> Instance {
    let mut instance = Instance::new();
    for crash in 0..3 {
        instance.crash(&[REPEATED, 100 + crash], 200 * u64::from(crash));
    }
    let withheld = (
        request_key(REPEATED).into(),
        State::Withheld,
        Source::Evidence,
    );
    assert_eq!(instance.review(500), [withheld]);
    instance
}

#[test]
fn verify_a_request_is_withheld_after_three_crashes_without_an_answer() {
    let mut instance = Instance::new();
    instance.crash(&[REPEATED], 0);
    instance.crash(&[REPEATED], 200);
    instance.review(1_000);
    assert!(!instance.withholds(REPEATED));
    instance.crash(&[REPEATED, 8], 1_100);
    instance.review(1_200);
    assert!(instance.withholds(REPEATED));
    assert!(!instance.withholds(8));
}

/// An instance that was suspended notices an end long after others.
#[test]
fn verify_the_end_of_one_process_counts_once() {
    let mut instance = Instance::new();
    for (process, millis) in [(1, 0), (2, 200), (1, 2_500), (2, 4_000)] {
        let runs = vec![suspect(REPEATED, &[])];
        instance.quarantine.record_crash(process, at(millis), runs);
    }
    instance.review(5_000);
    assert!(!instance.withholds(REPEATED));
}

/// Hosts accept connections for processes that have ended, and close them.
#[test]
fn verify_requests_sent_after_the_end_of_a_process_are_no_suspects() {
    let mut sees = Instance::new();
    let mut hears = Instance::new();
    for process in 0..3 {
        let millis = 10 * process;
        let ended = sees.runs.start(process, &run_of(100, None), at(millis));
        sees.runs.end(ended, RunEnd::Broken, at(millis + 5));
        let (runs, end) = sees.runs.record_crash(process, at(millis + 6));
        sees.quarantine.record_crash(process, end, runs);
        for instance in [&mut sees, &mut hears] {
            let sent = at(1_500 + millis);
            let run = instance.runs.start(process, &run_of(REPEATED, None), sent);
            instance.runs.end(run, RunEnd::Broken, sent);
            let (runs, end) = instance.runs.record_crash(process, sent);
            instance.quarantine.record_crash(process, end, runs);
        }
    }
    sees.apply(&hears.report(1_600).unwrap(), 1_600);
    sees.review(5_000);
    assert!(!sees.withholds(REPEATED));
}

#[test]
fn verify_answers_at_any_instance_clear_a_request() {
    let mut sees = Instance::new();
    let mut hears = Instance::new();
    sees.crash(&[REPEATED], 0);
    sees.crash(&[REPEATED], 100);
    hears.apply(&sees.report(110).unwrap(), 120);
    hears.answer(REPEATED, 200);
    hears.review(250);
    sees.apply(&hears.report(260).unwrap(), 270);
    sees.crash(&[REPEATED], 300);
    sees.review(1_000);
    assert!(!sees.withholds(REPEATED));
}

#[test]
fn verify_an_error_of_an_upstream_clears_a_request() {
    let mut instance = Instance::new();
    instance.crash(&[REPEATED], 0);
    instance.crash(&[REPEATED], 100);
    let run = instance.runs.start(1, &run_of(REPEATED, None), at(150));
    instance.runs.end(run, RunEnd::Complete, at(200));
    instance.review(210);
    instance.crash(&[REPEATED], 300);
    instance.review(1_000);
    assert!(!instance.withholds(REPEATED));
}

/// All upstreams of a small service end together, and a hot request is present at each.
#[test]
fn verify_a_hot_request_at_upstreams_that_end_together_is_not_withheld() {
    let mut instance = Instance::new();
    instance.answer(REPEATED, 0);
    for process in 0..9 {
        instance.crash(&[REPEATED], 500 + 5 * process);
    }
    for process in 0..9 {
        instance.crash(&[REPEATED], 4_500 + 5 * process);
    }
    instance.review(6_000);
    assert!(!instance.withholds(REPEATED));
}

#[test]
fn verify_a_request_that_was_sound_before_is_withheld_after_more_crashes() {
    let mut instance = Instance::new();
    instance.answer(REPEATED, 0);
    for crash in 0..3 {
        instance.crash(&[REPEATED], 500 + 100 * crash);
    }
    instance.review(4_000);
    assert!(!instance.withholds(REPEATED));
    for crash in 0..2 {
        instance.crash(&[REPEATED], 4_500 + 100 * crash);
    }
    instance.review(4_700);
    assert!(instance.withholds(REPEATED));
}

/// Other requests break off at the same crashes, one of them at all.
#[test]
fn verify_only_the_request_that_is_run_for_a_regular_time_is_withheld() {
    let mut instance = Instance::new();
    for (crash, age_ms) in [(0, 5), (1, 190), (2, 60)] {
        let caught = CrashedRun {
            age_ms,
            ..suspect(9, &[])
        };
        let runs = vec![suspect(REPEATED, &[]), caught, suspect(100 + crash, &[])];
        instance.crash_under(runs, 200 * u64::from(crash));
    }
    instance.review(1_000);
    assert!(instance.withholds(REPEATED));
    assert!(!instance.withholds(9));
}

#[test]
fn verify_the_parts_of_a_withheld_prompt_stay_in_service() {
    let mut instance = Instance::new();
    for crash in 0..6_u32 {
        let runs = vec![suspect(REPEATED, &["f0", "5e"])];
        instance.crash_under(runs, 300 * u64::from(crash));
        instance.review(300 * u64::from(crash) + 200);
    }
    assert!(instance.withholds(REPEATED));
    let parts = [PartKey::of("f0"), PartKey::of("5e")];
    assert_eq!(instance.quarantine.withheld(&parts), None);
}

/// Each prompt is withheld for itself, and they have nothing else in common.
#[test]
fn verify_a_part_of_several_withheld_prompts_is_withheld() {
    let mut instance = Instance::new();
    for number in 0..200 {
        let parts = [PartKey::of(&format!("a{number}"))];
        let content = run_of(1_000 + number, Some(&parts));
        let run = instance.runs.start(1, &content, at(0));
        instance.runs.record_first_event(run, at(0));
        instance.runs.end(run, RunEnd::Complete, at(600));
    }
    for crash in 0..18_u32 {
        let runs = vec![suspect(crash / 3, &["bad"])];
        let millis = 1_000 + 300 * u64::from(crash);
        instance.crash_under(runs, millis);
        instance.review(millis + 250);
    }
    let withheld = instance.quarantine.withheld(&[PartKey::of("bad")]);
    assert_eq!(withheld, Some(PartKey::of("bad")));
}

#[test]
fn verify_a_request_is_not_sent_again_after_two_crashes() {
    let mut instance = Instance::new();
    let key = request_key(REPEATED);
    instance.crash(&[REPEATED], 0);
    assert!(instance.quarantine.permits_repeat(key, &[], at(10)));
    instance.crash(&[REPEATED], 100);
    assert!(!instance.quarantine.permits_repeat(key, &[], at(110)));
    assert!(
        instance
            .quarantine
            .permits_repeat(request_key(8), &[], at(110))
    );
}

#[test]
fn verify_other_instances_hear_of_a_withheld_request() {
    let mut instance = withholding();
    let mut other = Instance::new();
    let mut without_crashes = instance.report(600).unwrap();
    without_crashes.crashes.clear();
    other.apply(&without_crashes, 650);
    let withheld = (request_key(REPEATED).into(), State::Withheld, Source::Peer);
    assert_eq!(other.review(700), [withheld]);
}

#[test]
fn verify_a_restarted_instance_knows_the_withheld_requests() {
    let instance = withholding();
    let stored = QuarantineRecord::default();
    let record = instance
        .quarantine
        .record_to_write(&stored, &instance.runs, at(600))
        .unwrap();
    assert_eq!(record.requests.len(), 1);
    let text = serde_json::to_string(&record).unwrap();
    let mut restarted = Instance::new();
    restarted
        .quarantine
        .apply_record(&serde_json::from_str(&text).unwrap(), at(900));
    assert!(restarted.withholds(REPEATED));
}

#[test]
fn verify_one_instance_tries_a_withheld_request_and_more_later() {
    let instance = withholding();
    let stored = QuarantineRecord::default();
    let record = instance
        .quarantine
        .record_to_write(&stored, &instance.runs, at(600))
        .unwrap();
    let trials = |millis| Instance::ranks_of_trial(&record, millis).len();
    assert_eq!(trials(59_000), 0);
    assert_eq!(trials(61_000), 1);
    assert_eq!(trials(71_000), 2);
    assert_eq!(trials(101_000), 9);
}

#[test]
fn verify_a_withheld_request_is_tried_twice_at_most() {
    let mut instance = withholding();
    let key = request_key(REPEATED);
    let mut tried = Vec::new();
    for second in 0..100_000 {
        let now = at(second * 1_000);
        if instance.quarantine.begin_trial(key, 0, 1, now) {
            tried.push(second);
            instance.crash(&[REPEATED], second * 1_000 + 80);
        }
        instance.quarantine.record_refusal(key.into(), now);
        instance.review(second * 1_000 + 100);
        assert!(instance.withholds(REPEATED));
    }
    assert_eq!(tried, [61, 661]);
}

#[test]
fn verify_an_answered_trial_releases_a_request_everywhere() {
    let mut instance = withholding();
    let mut other = Instance::new();
    other.apply(&instance.report(600).unwrap(), 650);
    let key = request_key(REPEATED);
    assert!(instance.quarantine.begin_trial(key, 0, 1, at(70_000)));
    instance.answer(REPEATED, 70_100);
    let released = (key.into(), State::Released, Source::Answer);
    let changes = instance.review(70_200);
    assert_eq!(changes.last(), Some(&released));
    other.apply(&instance.report(70_300).unwrap(), 70_350);
    assert!(!other.withholds(REPEATED));
    // Two more crashes aren't enough to withhold it again.
    instance.crash(&[REPEATED], 80_000);
    instance.crash(&[REPEATED], 80_200);
    instance.review(81_000);
    assert!(!instance.withholds(REPEATED));
}

#[test]
fn verify_a_released_request_that_crashes_upstreams_is_withheld_again() {
    let mut instance = withholding();
    let mut record = instance
        .quarantine
        .record_to_write(&QuarantineRecord::default(), &instance.runs, at(600))
        .unwrap();
    record.requests[0].state = State::Released;
    instance.quarantine.apply_record(&record, at(1_000));
    assert!(!instance.withholds(REPEATED));
    for crash in 0..3 {
        instance.crash(&[REPEATED], 2_000 + 200 * crash);
    }
    instance.review(3_000);
    assert!(instance.withholds(REPEATED));
}

#[test]
fn verify_a_caller_with_many_contents_fills_no_memory() {
    let mut instance = Instance::new();
    for content in 0..500_u32 {
        for crash in 0..3 {
            let contents: Vec<u32> = (0..100).map(|other| 1_000 * other + content).collect();
            instance.crash(&contents, u64::from(1_000 * content + 100 * crash));
        }
        instance.review(u64::from(1_000 * content + 900));
    }
    assert!(instance.quarantine.entries(at(600_000)).count() <= MAX_ENTRIES);
    let report = instance.report(600_000).unwrap();
    let datagram = report.encode().unwrap();
    assert!(datagram.len() < 32 * 1024, "{} bytes", datagram.len());
    QuarantineReport::decode(&datagram).unwrap();
}

#[test]
fn verify_reports_with_too_many_suspects_are_rejected() {
    let mut instance = Instance::new();
    instance.crash(&[REPEATED], 0);
    let mut report = instance.report(10).unwrap();
    report.crashes[0].runs = vec![suspect(REPEATED, &[]); 17];
    let error = QuarantineReport::decode(&report.encode().unwrap()).unwrap_err();
    assert!(error.to_string().contains("17 other suspects"), "{error}");
}
