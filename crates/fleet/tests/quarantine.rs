//! Parts of prompts that are withheld from engines.

mod support;

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::part_key::PartKey;
use limpetsaddle_fleet::quarantine::AnswerSample;
use limpetsaddle_fleet::quarantine::Entry;
use limpetsaddle_fleet::quarantine::MAX_ENTRIES;
use limpetsaddle_fleet::quarantine::Quarantine;
use limpetsaddle_fleet::quarantine::QuarantineOptions;
use limpetsaddle_fleet::quarantine::QuarantineRecord;
use limpetsaddle_fleet::quarantine::QuarantineReport;
use limpetsaddle_fleet::quarantine::SampledPart;
use limpetsaddle_fleet::quarantine::Source;
use limpetsaddle_fleet::quarantine::State;
use limpetsaddle_fleet::runs::CrashedRun;
use limpetsaddle_fleet::runs::RunEnd;
use limpetsaddle_fleet::runs::RunLog;
use proptest::prelude::*;
use support::request_key;
use support::run_of;

const HARMFUL: &str = "bad";

/// A time in milliseconds of a test that begins at 100 s.
fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(100_000 + millis))
}

fn part(id: &str) -> PartKey {
    PartKey::of(id)
}

fn suspect(request: u32, parts: &[&str]) -> CrashedRun {
    CrashedRun {
        request,
        key: request_key(request),
        age_ms: 100,
        is_answered: false,
        begun_ms: Some(80),
        parts: parts.iter().map(|id| part(id)).collect(),
    }
}

/// An instance with a history of sound answers, each with parts of its own.
struct Instance {
    runs: RunLog,
    quarantine: Quarantine,
}

impl Instance {
    fn new() -> Self {
        let mut instance = Self::restarted();
        for number in 0..100 {
            instance.answer(&[&format!("a{number}")], number);
        }
        instance
    }

    /// Returns an instance that has got no answer yet.
    fn restarted() -> Self {
        Self {
            runs: RunLog::default(),
            quarantine: Quarantine::new(QuarantineOptions::default(), Time::ZERO),
        }
    }

    fn record_to_write(&self, stored: &QuarantineRecord, millis: u64) -> Option<QuarantineRecord> {
        let now = at(millis);
        self.quarantine.record_to_write(stored, &self.runs, now)
    }

    /// Lets an engine answer a prompt at a time before the test or in it.
    fn answer(&mut self, parts: &[&str], millis: u64) {
        let parts: Vec<PartKey> = parts.iter().map(|id| part(id)).collect();
        let now = Time::from_origin(Duration::from_millis(99_000 + millis));
        let run = self.runs.start(1, &run_of(0, Some(&parts)), now);
        self.runs.record_first_event(run, now);
        let end = now + Duration::from_millis(600);
        self.runs.end(run, RunEnd::Complete, end);
    }

    /// Ends an engine, 300 ms after the one with the number before.
    fn crash(&mut self, number: u32, parts: &[&str]) {
        let now = at(300 * u64::from(number));
        let runs = vec![suspect(number, parts)];
        self.quarantine
            .record_crash(100 + u64::from(number), now, runs);
    }

    fn review(&mut self, millis: u64) {
        self.quarantine.review(&self.runs, 9, 7, at(millis));
    }

    fn withholds(&self, id: &str) -> bool {
        self.quarantine.withheld(&[part(id)]).is_some()
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
}

/// Returns an instance that withholds a part.
fn withholding() -> Instance {
    let mut instance = Instance::new();
    for number in 0..5 {
        instance.crash(number, &["f0", HARMFUL, &format!("e{number}")]);
    }
    instance.review(1_500);
    assert!(instance.withholds(HARMFUL));
    instance
}

#[test]
fn verify_a_part_present_at_crashes_of_several_requests_is_withheld() {
    let mut instance = Instance::new();
    for number in 0..2 {
        instance.crash(number, &[HARMFUL, &format!("e{number}")]);
        instance.review(2_000);
    }
    assert!(!instance.withholds(HARMFUL));
    for number in 2..4 {
        instance.crash(number, &[HARMFUL, &format!("e{number}")]);
    }
    instance.review(2_000);
    assert!(instance.withholds(HARMFUL));
    for number in 0..4 {
        assert!(!instance.withholds(&format!("e{number}")));
    }
}

#[test]
fn verify_one_request_that_is_sent_again_withholds_nothing() {
    let mut instance = Instance::new();
    for number in 0..6 {
        let now = at(300 * number);
        let runs = vec![suspect(1, &[HARMFUL])];
        instance.quarantine.record_crash(number, now, runs);
    }
    instance.review(3_000);
    assert!(!instance.withholds(HARMFUL));
}

#[test]
fn verify_engines_that_end_at_one_moment_withhold_nothing() {
    let mut instance = Instance::new();
    for engine in 0..20 {
        let runs = vec![suspect(engine, &[HARMFUL])];
        let now = at(u64::from(engine));
        instance.quarantine.record_crash(engine.into(), now, runs);
    }
    instance.review(3_000);
    assert!(!instance.withholds(HARMFUL));
}

#[test]
fn verify_a_part_that_is_answered_between_crashes_is_not_withheld() {
    let mut instance = Instance::new();
    for number in 0..20 {
        instance.crash(number, &["f0"]);
        // Well under way 100 ms after the crash.
        instance.answer(&["f0"], 600 + 300 * u64::from(number));
        instance.review(300 * u64::from(number) + 200);
    }
    instance.review(8_000);
    assert!(!instance.withholds("f0"));
}

#[test]
fn verify_a_part_that_all_prompts_share_is_not_withheld_for_its_presence() {
    let mut instance = Instance::new();
    for number in 0..50 {
        instance.answer(&["f0"], 100 + number);
    }
    for number in 0..8 {
        instance.crash(number, &["f0", HARMFUL]);
    }
    instance.review(4_000);
    assert!(instance.withholds(HARMFUL));
    assert!(!instance.withholds("f0"));
}

#[test]
fn verify_a_part_absent_from_most_crashes_is_not_withheld() {
    let mut instance = Instance::new();
    for number in 0..30 {
        let parts: &[&str] = if number % 8 == 0 { &["e0"] } else { &["other"] };
        let parts = [parts[0], &format!("d{number}")];
        instance.crash(number, &parts[usize::from(number % 8 != 0)..]);
    }
    instance.review(10_000);
    assert!(!instance.withholds("e0"));
}

#[test]
fn verify_prompts_are_not_sent_again_after_several_crashes() {
    let mut instance = Instance::new();
    let parts = [part(HARMFUL)];
    instance.crash(0, &[HARMFUL]);
    assert!(
        instance
            .quarantine
            .permits_repeat(request_key(0), &parts, at(10))
    );
    instance.crash(1, &[HARMFUL]);
    assert!(
        !instance
            .quarantine
            .permits_repeat(request_key(0), &parts, at(310))
    );
    // A part that engines answer is no reason.
    instance.answer(&["f0"], 100);
    for number in 2..6 {
        instance.crash(number, &["f0"]);
    }
    instance.review(1_510);
    assert!(
        instance
            .quarantine
            .permits_repeat(request_key(0), &[part("f0")], at(1_510))
    );
}

#[test]
fn verify_other_instances_hear_of_a_withheld_part() {
    let mut decides = withholding();
    let mut hears = Instance::new();
    let report = decides.report(1_500).unwrap();
    hears.apply(&report, 1_600);
    assert!(hears.withholds(HARMFUL));
    // News is repeated a few times, and then no more.
    let repeats = (0..20).filter_map(|n| decides.report(1_600 + n * 120));
    assert_eq!(repeats.count(), 3);
    let all = decides
        .quarantine
        .take_reports("a-1", Some(Duration::from_secs(1)), at(9_000));
    assert_eq!(all.len(), 1);
    assert_eq!(all[0].entries.len(), 1);
}

#[test]
fn verify_crashes_seen_by_several_instances_are_judged_together() {
    let mut instances: Vec<Instance> = (0..5).map(|_| Instance::new()).collect();
    for number in 0..5 {
        let instance = &mut instances[number as usize];
        instance.crash(number, &[HARMFUL, &format!("e{number}")]);
    }
    let reports: Vec<_> = instances.iter_mut().map(|i| i.report(1_300)).collect();
    let mut hears = Instance::new();
    for report in reports.iter().flatten() {
        hears.apply(report, 1_300);
        // A repetition changes nothing.
        hears.apply(report, 1_310);
    }
    hears.review(1_500);
    assert!(hears.withholds(HARMFUL));
    assert!(!hears.withholds("e0"));
}

#[test]
fn verify_an_instance_adds_what_it_ran_at_a_crash_that_another_reports() {
    let mut sees = Instance::new();
    sees.crash(1, &["01"]);
    let report = sees.report(300).unwrap();
    let mut hears = Instance::new();
    let run = hears
        .runs
        .start(101, &run_of(2, Some(&[part(HARMFUL)])), at(200));
    hears.runs.record_first_event(run, at(220));
    hears.runs.end(run, RunEnd::Complete, at(280));
    hears.apply(&report, 320);
    let report = hears.report(330).unwrap();
    assert_eq!(*report.crashes[0].runs[0].parts, [part(HARMFUL)]);
    // The engine has not outlived that answer.
    assert!(
        hears
            .runs
            .survivals(at(2_000))
            .all(|(parts, _)| !parts.contains(part(HARMFUL)))
    );
}

#[test]
fn verify_a_released_part_stays_released_until_engines_end_again() {
    let mut instance = withholding();
    let mut record = instance
        .record_to_write(&QuarantineRecord::default(), 4_000)
        .unwrap();
    record.parts[0].state = State::Released;
    instance.quarantine.apply_record(&record, at(5_000));
    let changes = instance.quarantine.review(&instance.runs, 9, 7, at(5_100));
    let change = changes.last().unwrap();
    assert_eq!(
        (change.entry.state, change.source),
        (State::Released, Source::Record)
    );
    instance.review(9_000);
    assert!(!instance.withholds(HARMFUL));
    for number in 40..45 {
        instance.crash(number, &[HARMFUL, &format!("e{number}")]);
    }
    instance.review(14_000);
    assert!(instance.withholds(HARMFUL));
    let entries: Vec<Entry> = instance
        .quarantine
        .entries(at(14_000))
        .map(|(entry, _)| entry.clone())
        .collect();
    assert_eq!(entries[0].generation, 2);
}

#[test]
fn verify_a_restarted_instance_withholds_what_the_record_has() {
    let instance = withholding();
    let record = instance
        .record_to_write(&QuarantineRecord::default(), 10_000)
        .unwrap();
    let mut restarted = Instance::new();
    restarted.quarantine.apply_record(&record, at(20_000));
    assert!(restarted.withholds(HARMFUL));
    assert!(restarted.record_to_write(&record, 20_000).is_none());
    // A record that the store has lost is written again.
    let lost = QuarantineRecord::default();
    assert!(restarted.record_to_write(&lost, 20_000).is_some());
}

#[test]
fn verify_a_restarted_instance_judges_by_the_recorded_answers() {
    let mut before = Instance::new();
    for number in 0..40 {
        before.answer(&["common", &format!("b{number}")], number);
    }
    let record = before.record_to_write(&QuarantineRecord::default(), 2_000);
    let mut restarted = Instance::restarted();
    restarted
        .quarantine
        .apply_record(&record.unwrap(), at(2_000));
    for number in 10..16 {
        restarted.crash(number, &["common", HARMFUL, &format!("e{number}")]);
    }
    restarted.review(5_000);
    assert!(restarted.withholds(HARMFUL));
    assert!(!restarted.withholds("common"));
}

/// Guards against a part that goes on ending engines while each of several instances has got few
/// answers, though together they have got enough.
#[test]
fn verify_few_answers_at_each_of_several_instances_suffice() {
    for (instances, is_withheld) in [(1, false), (9, true)] {
        let mut instance = Instance::restarted();
        for number in 0..8 {
            instance.answer(&[&format!("a{number}")], number);
        }
        for number in 0..6 {
            instance.crash(number, &[HARMFUL, &format!("e{number}")]);
        }
        let Instance { runs, quarantine } = &mut instance;
        quarantine.review(runs, instances, 7, at(2_500));
        assert_eq!(instance.withholds(HARMFUL), is_withheld);
    }
}

#[test]
fn verify_a_restarted_instance_without_recorded_answers_withholds_no_common_part() {
    let mut restarted = Instance::restarted();
    for number in 10..16 {
        restarted.crash(number, &["common", &format!("e{number}")]);
    }
    restarted.review(5_000);
    assert!(!restarted.withholds("common"));
}

/// Other instances' prompts were caught beside prompts that this one has forgotten.
#[test]
fn verify_crashes_of_runs_from_before_its_start_tell_an_instance_of_no_absence() {
    let mut restarted = Instance::new();
    restarted.quarantine = Quarantine::new(QuarantineOptions::default(), at(0));
    for number in 0..2 {
        restarted.crash(number, &[&format!("e{number}")]);
    }
    for number in 10..13 {
        restarted.crash(number, &[HARMFUL, &format!("e{number}")]);
    }
    let changes = restarted
        .quarantine
        .review(&restarted.runs, 9, 7, at(4_500));
    assert_eq!(changes[0].entry.subject, part(HARMFUL).into());
    assert_eq!(changes[0].evidence.unwrap().absences, 0);
}

#[test]
fn verify_answers_are_recorded_again_once_there_are_more_or_newer_ones() {
    let mut instance = Instance::restarted();
    let none = QuarantineRecord::default();
    for number in 0..19 {
        instance.answer(&["a"], number);
    }
    assert!(instance.record_to_write(&none, 2_000).is_none());
    instance.answer(&["b"], 20);
    let record = instance.record_to_write(&none, 2_000).unwrap();
    assert_eq!(
        (record.answers.answers, record.answers.parts.len()),
        (20, 2)
    );
    instance.quarantine.apply_record(&record, at(2_100));
    assert!(instance.record_to_write(&record, 2_200).is_none());
    for number in 0..20 {
        instance.answer(&["c"], 2_300 + number);
    }
    let more = instance.record_to_write(&record, 4_000).unwrap();
    assert_eq!(more.answers.answers, 40);
    instance.quarantine.apply_record(&more, at(4_100));
    for number in 0..30 {
        instance.answer(&["d"], 100_000 + number);
    }
    assert!(instance.record_to_write(&more, 110_000).is_none());
    let newer = instance.record_to_write(&more, 124_200).unwrap();
    assert_eq!(newer.answers.parts[0].part, part("d"));
    assert_eq!(newer.answers.answers, 30);
}

#[test]
fn verify_edited_answers_do_no_harm() {
    let sampled = |number: usize| SampledPart {
        part: part(&format!("{number:x}")),
        answers: usize::MAX,
    };
    let record = QuarantineRecord {
        answers: AnswerSample {
            answers: usize::MAX,
            parts: (0..10_000).map(sampled).collect(),
            unlisted: usize::MAX,
        },
        ..QuarantineRecord::default()
    };
    let mut instance = Instance::restarted();
    instance.quarantine.apply_record(&record, at(0));
    instance.answer(&["a"], 0);
    for number in 10..16 {
        instance.crash(number, &[HARMFUL, &format!("e{number}")]);
    }
    instance.review(5_000);
    assert!(!instance.withholds("e10"));
    assert!(instance.record_to_write(&record, 5_000).is_none());
}

#[test]
fn verify_the_recorded_answers_are_bounded() {
    let mut instance = Instance::restarted();
    for number in 0..500 {
        instance.answer(&[&format!("a{number}"), &format!("b{}", number % 100)], 0);
    }
    let record = instance.record_to_write(&QuarantineRecord::default(), 2_000);
    let answers = record.unwrap().answers;
    assert_eq!((answers.answers, answers.parts.len()), (500, 64));
    // Each of the parts `b` that is not listed was answered as often as those that are.
    assert_eq!(answers.unlisted, 5);
}

#[test]
fn verify_a_part_that_no_prompt_has_is_released_after_an_hour() {
    let mut instance = withholding();
    let hour = 3_600_000;
    instance
        .quarantine
        .record_refusal(part(HARMFUL).into(), at(hour / 2));
    instance.review(hour + 2_000);
    assert!(instance.withholds(HARMFUL));
    instance.review(hour + hour / 2 + 1);
    assert!(!instance.withholds(HARMFUL));
}

#[test]
fn verify_memory_and_reports_are_bounded() {
    let mut instance = Instance::new();
    for number in 0..2_000 {
        let runs = (0..64).map(|request| {
            let ids: Vec<String> = (0..32)
                .map(|p| format!("{request:x}{number:x}{p:x}"))
                .collect();
            let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            suspect(request, &ids)
        });
        let now = at(number);
        instance
            .quarantine
            .record_crash(number, now, runs.collect());
    }
    let report = instance.report(2_100).unwrap();
    let datagram = report.encode().unwrap();
    assert!(datagram.len() < 32 * 1024, "{} bytes", datagram.len());
    QuarantineReport::decode(&datagram).unwrap();
    let entry = |number: u64| Entry {
        subject: part(&format!("{number:x}")).into(),
        generation: 1,
        state: State::Withheld,
        crashes: 5,
        since_ms: 0,
        trials: 0,
    };
    for number in 0..1_000 {
        let record = QuarantineRecord {
            parts: vec![entry(number)],
            ..QuarantineRecord::default()
        };
        instance
            .quarantine
            .apply_record(&record, at(2_200 + number));
    }
    assert_eq!(instance.quarantine.entries(at(4_000)).count(), MAX_ENTRIES);
}

#[test]
fn verify_reports_that_no_instance_sends_are_rejected() {
    let mut report = QuarantineReport::new("a-1");
    let sound = report.encode().unwrap();
    assert!(QuarantineReport::decode(&sound[..sound.len() - 1]).is_err());
    let mut instance = withholding();
    report.entries = vec![instance.report(1_500).unwrap().entries[0].clone(); MAX_ENTRIES + 1];
    let error = QuarantineReport::decode(&report.encode().unwrap()).unwrap_err();
    assert!(error.to_string().contains("65 entries"), "{error}");
}

proptest! {
    /// However reports are ordered, repeated or lost, instances that have heard of the same
    /// entries agree on them.
    #[test]
    fn verify_entries_converge(
        entries in prop::collection::vec((0_u8..3, 1_u32..4, any::<bool>()), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..30),
    ) {
        let entry = |(id, generation, is_withheld): (u8, u32, bool)| Entry {
            subject: part(&format!("0{id}")).into(),
            trials: 0,
            generation,
            state: if is_withheld { State::Withheld } else { State::Released },
            crashes: 5,
            since_ms: 0,
        };
        let records: Vec<QuarantineRecord> = entries
            .iter()
            .map(|e| QuarantineRecord { parts: vec![entry(*e)], ..QuarantineRecord::default() })
            .collect();
        let states = |order: &mut dyn Iterator<Item = &QuarantineRecord>| {
            let mut quarantine = Quarantine::new(QuarantineOptions::default(), Time::ZERO);
            for record in order {
                quarantine.apply_record(record, at(0));
            }
            let all = quarantine.entries(at(0));
            all.map(|(e, _)| (e.subject, e.generation, e.state)).collect::<Vec<_>>()
        };
        let expected = states(&mut records.iter());
        let shuffled = order.iter().map(|index| index.get(&records));
        let actual = states(&mut shuffled.chain(records.iter().rev()));
        prop_assert_eq!(actual, expected);
    }
}
