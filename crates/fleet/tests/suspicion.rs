//! Upstreams that are suspected to have ended, as connections to them were lost.

mod support;

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::part_key::PartKey;
use limpetsaddle_fleet::quarantine::Quarantine;
use limpetsaddle_fleet::quarantine::QuarantineOptions;
use limpetsaddle_fleet::runs::CrashedRun;
use limpetsaddle_fleet::runs::RunEnd;
use limpetsaddle_fleet::runs::RunLog;
use support::request_key;
use support::run_of;

const HARMFUL: &str = "bad";

/// The longest silence of a sound upstream, in milliseconds.
const MAX_SILENCE: u64 = 1_200;

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(100_000 + millis))
}

fn part(id: &str) -> PartKey {
    PartKey::of(id)
}

struct Instance {
    runs: RunLog,
    quarantine: Quarantine,
}

impl Instance {
    /// Returns an instance that has got many answers, each on a part of its own.
    fn new() -> Self {
        let mut runs = RunLog::default();
        for number in 0..100 {
            let sent = Time::from_origin(Duration::from_millis(99_000 + number));
            let parts = [part(&format!("a{number}"))];
            let run = runs.start(1, &run_of(0, Some(&parts)), sent);
            runs.record_first_event(run, sent);
            runs.end(run, RunEnd::Complete, sent + Duration::from_millis(600));
        }
        let quarantine = Quarantine::new(QuarantineOptions::default(), Time::ZERO);
        Self { runs, quarantine }
    }

    /// Loses the connection of a harmful prompt of its own to each upstream in turn, 300 ms apart.
    fn lose(&mut self, upstreams: u32) {
        for number in 0..upstreams {
            let runs = vec![CrashedRun {
                request: number,
                key: request_key(number),
                age_ms: 40,
                is_answered: false,
                begun_ms: None,
                parts: [part(HARMFUL)].into(),
            }];
            let (process, lost) = (100 + u64::from(number), at(300 * u64::from(number)));
            self.quarantine.record_suspicion(process, lost, runs);
        }
    }

    fn review(&mut self, millis: u64) {
        self.quarantine.review(&self.runs, 9, 7, at(millis));
    }

    fn withholds(&self) -> bool {
        self.quarantine.withheld(&[part(HARMFUL)]).is_some()
    }

    fn permits_repeat(&self, millis: u64) -> bool {
        let parts = [part(HARMFUL)];
        self.quarantine
            .permits_repeat(request_key(9), &parts, at(millis))
    }

    /// Sends the reports of this instance to another.
    fn tell(&mut self, other: &mut Self, millis: u64) {
        let now = at(millis);
        loop {
            let reports = self.quarantine.take_reports("a-1", None, now);
            if reports.is_empty() {
                break;
            }
            for report in reports {
                other.quarantine.apply_report(&report, &mut other.runs, now);
            }
        }
    }

    /// Lets an upstream answer a request that was sent at a time.
    fn answer(&mut self, process: u64, sent: u64, head: u64) {
        let run = self.runs.start(process, &run_of(50, None), at(sent));
        self.runs.record_head(run, at(head));
        self.runs.end(run, RunEnd::Complete, at(head));
    }
}

/// Guards against ends that count for nothing, as no refused connection has confirmed them.
#[test]
fn verify_upstreams_that_stay_silent_count_as_ended() {
    let mut instance = Instance::new();
    instance.lose(5);
    // Only the first has been silent for longer than a sound one may be.
    instance.review(MAX_SILENCE + 10);
    assert!(!instance.withholds());
    instance.review(MAX_SILENCE + 1_210);
    assert!(instance.withholds());
}

#[test]
fn verify_a_suspicion_keeps_prompts_from_further_upstreams_at_once() {
    let mut instance = Instance::new();
    instance.lose(1);
    assert!(instance.permits_repeat(10));
    instance.lose(2);
    assert!(!instance.permits_repeat(310));
}

/// Guards against parts that are withheld for connections that were reset alone.
#[test]
fn verify_an_answer_withdraws_a_suspicion_everywhere() {
    let mut instance = Instance::new();
    let mut other = Instance::new();
    instance.lose(5);
    instance.tell(&mut other, 1_210);
    assert!(!other.permits_repeat(1_210));
    // Sent before the other knew of the loss, and answered since.
    for process in 100..105 {
        other.answer(process, 1_205, 1_215);
    }
    other.review(1_220);
    other.tell(&mut instance, 1_230);
    for millis in [1_240, 3_000, 9_000] {
        for one in [&mut instance, &mut other] {
            one.review(millis);
            assert!(!one.withholds());
            assert!(one.permits_repeat(millis));
        }
    }
}

/// Guards against an instance with little processor time that reads what was sent before an end
/// after it has noticed the end, and takes that for a sign of life.
#[test]
fn verify_an_answer_from_before_the_loss_withdraws_nothing() {
    let mut instance = Instance::new();
    instance.lose(5);
    for process in 100..105 {
        // What was sent before the end is read shortly afterwards.
        let lost = 300 * (process - 100);
        let run = instance
            .runs
            .start(process, &run_of(50, None), at(0).min(at(lost)));
        instance.runs.record_head(run, at(lost + 200));
    }
    instance.review(4_000);
    assert!(instance.withholds());
}

#[test]
fn verify_a_late_report_does_not_revive_a_withdrawn_suspicion() {
    let mut instance = Instance::new();
    let mut other = Instance::new();
    instance.lose(5);
    other.quarantine.record_life(104, at(1_300));
    for process in 100..104 {
        other.quarantine.record_life(process, at(1_300));
    }
    instance.tell(&mut other, 1_310);
    other.review(4_000);
    assert!(!other.withholds());
}

#[test]
fn verify_a_confirmed_end_is_not_withdrawn() {
    let mut instance = Instance::new();
    instance.lose(5);
    for number in 0..5_u32 {
        let process = 100 + u64::from(number);
        let lost = at(300 * u64::from(number));
        instance.quarantine.record_crash(process, lost, Vec::new());
        // It was started again.
        instance.answer(process, 3_000, 3_010);
    }
    instance.review(3_100);
    assert!(instance.withholds());
}

/// Guards against an upstream whose second end counts as a late notice of its first.
#[test]
fn verify_an_upstream_that_answers_again_can_end_again() {
    let mut instance = Instance::new();
    let parts = [part(HARMFUL)];
    for number in 0..5_u32 {
        let sent = 3_000 * u64::from(number);
        instance.answer(7, sent, sent + 5);
        let run = run_of(60 + number, Some(&parts));
        let run = instance.runs.start(7, &run, at(sent + 10));
        instance.runs.end(run, RunEnd::Broken, at(sent + 50));
        let (runs, ended) = instance.runs.record_crash(7, at(sent + 60));
        assert_eq!(ended, at(sent + 50));
        assert_eq!(runs.len(), 1);
        instance.review(sent + 55);
        instance.quarantine.record_crash(7, ended, runs);
    }
    instance.review(13_000);
    assert!(instance.withholds());
}

/// Guards against an upstream that closes its connections, answers for a while, and ends: the
/// prompt that has ended it is no suspect then.
#[test]
fn verify_suspects_include_requests_whose_connections_were_lost_before() {
    let mut runs = RunLog::default();
    let harmful = runs.start(7, &run_of(1, Some(&[part(HARMFUL)])), at(0));
    runs.end(harmful, RunEnd::Broken, at(40));
    let sound = runs.start(7, &run_of(2, Some(&[part("f0")])), at(1_000));
    runs.record_head(sound, at(1_010));
    runs.end(sound, RunEnd::Broken, at(2_040));
    let (suspects, ended) = runs.record_crash_after(7, at(41), at(2_045));
    assert_eq!(ended, at(2_040));
    let requests: Vec<u32> = suspects.iter().map(|run| run.request).collect();
    assert_eq!(requests, [1, 2]);
    assert_eq!(suspects[0].age_ms, 2_040);
}

#[test]
fn verify_a_process_is_alive_only_by_what_was_sent_after() {
    let mut runs = RunLog::default();
    let old = runs.start(7, &run_of(1, None), at(0));
    runs.record_head(old, at(110));
    let new = runs.start(7, &run_of(2, None), at(120));
    assert_eq!(runs.alive_since(7, at(100)), None);
    assert!(!runs.has_continued(7, at(100)));
    runs.record_head(new, at(130));
    assert_eq!(runs.alive_since(7, at(100)), Some(at(120)));
    assert!(!runs.has_continued(7, at(100)));
    runs.record_bytes(old, at(340));
    assert!(!runs.has_continued(7, at(100)));
    runs.record_bytes(old, at(360));
    assert_eq!(runs.alive_since(7, at(100)), Some(at(360)));
    assert!(runs.has_continued(7, at(100)));
    assert_eq!(runs.running_since(7, at(100)), 1);
}

#[test]
fn verify_a_process_is_silent_only_if_nothing_arrives_from_it() {
    let silence = Duration::from_millis(MAX_SILENCE);
    let mut runs = RunLog::default();
    let waiting = runs.start(7, &run_of(1, None), at(0));
    let other = runs.start(8, &run_of(2, None), at(0));
    assert!(runs.silent(silence, at(1_190)).is_empty());
    assert_eq!(runs.silent(silence, at(1_210)).len(), 2);
    runs.record_head(other, at(1_205));
    assert!(runs.silent(silence, at(1_210)).contains(&7));
    assert!(!runs.silent(silence, at(1_210)).contains(&8));
    // An answer to a later request shows that the process lives, though the first one waits.
    let later = runs.start(7, &run_of(3, None), at(1_500));
    runs.record_head(later, at(1_520));
    assert!(!runs.silent(silence, at(1_600)).contains(&7));
    runs.end(later, RunEnd::Complete, at(1_530));
    assert!(runs.silent(silence, at(2_800)).contains(&7));
    runs.end(waiting, RunEnd::Complete, at(2_810));
    assert!(!runs.silent(silence, at(2_820)).contains(&7));
}
