//! Prompts with many parts: what instances report and record of them.

mod support;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::directory::CacheUpdate;
use limpetsaddle_fleet::directory::Certainty;
use limpetsaddle_fleet::directory::ChainedPart;
use limpetsaddle_fleet::directory::PrefixDirectory;
use limpetsaddle_fleet::directory::chain;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::part_key::PartKey;
use limpetsaddle_fleet::part_list::PartList;
use limpetsaddle_fleet::prompt::CacheSalt;
use limpetsaddle_fleet::prompt::Part;
use limpetsaddle_fleet::prompt::Prompt;
use limpetsaddle_fleet::quarantine::Quarantine;
use limpetsaddle_fleet::quarantine::QuarantineOptions;
use limpetsaddle_fleet::quarantine::QuarantineRecord;
use limpetsaddle_fleet::quarantine::QuarantineReport;
use limpetsaddle_fleet::runs::CrashedRun;
use limpetsaddle_fleet::runs::RunEnd;
use limpetsaddle_fleet::runs::RunLog;
use proptest::prelude::*;
use support::at;
use support::request_key;
use support::run_of;

/// The most bytes that a UDP datagram can hold.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// The time between two reports of an instance.
const REPORT_INTERVAL_MS: u64 = 120;

const HARMFUL: &str = "bad";

/// Returns so many parts that are in no prompt with another `name`.
fn parts_of(name: u64, count: u64) -> Vec<PartKey> {
    let ids = (0..count).map(|n| format!("{:x}", (name << 32) + n));
    ids.map(|id| PartKey::of(&id)).collect()
}

fn suspect(request: u32, parts: PartList) -> CrashedRun {
    CrashedRun {
        request,
        key: request_key(request),
        age_ms: 100,
        is_answered: false,
        begun_ms: Some(80),
        parts,
    }
}

struct Instance {
    runs: RunLog,
    quarantine: Quarantine,
}

impl Instance {
    fn new() -> Self {
        Self {
            runs: RunLog::default(),
            quarantine: Quarantine::new(QuarantineOptions::default(), Time::ZERO),
        }
    }

    /// Lets an engine answer a prompt that is sent at a time.
    fn answer(&mut self, parts: &[PartKey], millis: u64) {
        let run = self.runs.start(1, &run_of(0, Some(parts)), at(millis));
        self.runs.record_first_event(run, at(millis));
        self.runs.end(run, RunEnd::Complete, at(millis + 600));
    }

    fn crash(&mut self, process: u64, runs: Vec<CrashedRun>, millis: u64) {
        self.quarantine.record_crash(process, at(millis), runs);
    }

    fn review(&mut self, millis: u64) {
        self.quarantine.review(&self.runs, 9, 7, at(millis));
    }

    fn withholds(&self, part: PartKey) -> bool {
        self.quarantine.withheld(&[part]).is_some()
    }

    /// Sends what is due to another instance, and returns the number of datagrams.
    fn tell(&mut self, other: &mut Self, millis: u64) -> usize {
        let reports = self.quarantine.take_reports("a-1", None, at(millis));
        for report in &reports {
            let datagram = report.encode().unwrap();
            assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
            let report = QuarantineReport::decode(&datagram).unwrap();
            let now = at(millis);
            other.quarantine.apply_report(&report, &mut other.runs, now);
        }
        reports.len()
    }
}

/// Guards against reports that exceed a datagram, so that other instances don't receive a crash,
/// and against lists that lose parts on the way.
#[test]
fn verify_crashes_of_long_prompts_reach_other_instances() {
    const PROMPTS: u64 = 8;
    let mut sees = Instance::new();
    let mut hears = Instance::new();
    for number in 0..100 {
        hears.answer(&parts_of(1_000 + number, 4), number);
    }
    let harmful = PartKey::of(HARMFUL);
    for crash in 0..6 {
        let millis = 5_000 + 300 * crash;
        let prompt = |number: u64| {
            let request = crash * PROMPTS + number;
            let mut parts = parts_of(2_000 + request, 1_000);
            if number == 3 {
                parts[700] = harmful;
            }
            suspect(u32::try_from(request).unwrap(), parts.into())
        };
        let prompts = (0..PROMPTS).map(prompt).collect();
        sees.crash(100 + crash, prompts, millis);
        let datagrams = sees.tell(&mut hears, millis + REPORT_INTERVAL_MS);
        assert!((2..=8).contains(&datagrams), "{datagrams}");
    }
    hears.review(7_200);
    assert!(hears.withholds(harmful));
    assert!(!hears.withholds(parts_of(2_003, 1)[0]));
}

/// Guards against a part that is never found as its prompt doesn't fit into a datagram.
#[test]
fn verify_a_prompt_that_exceeds_a_datagram_is_reported_in_pieces() {
    const PARTS: u64 = 20_000;
    let mut sees = Instance::new();
    let mut hears = Instance::new();
    for number in 0..100 {
        hears.answer(&parts_of(1_000 + number, 4), number);
    }
    let harmful = PartKey::of(HARMFUL);
    for crash in 0..6 {
        let millis = 5_000 + 300 * crash;
        let mut parts = parts_of(2_000 + crash, PARTS);
        parts.push(harmful);
        let prompt = suspect(u32::try_from(crash).unwrap(), parts.into());
        sees.crash(100 + crash, vec![prompt], millis);
        assert!(sees.tell(&mut hears, millis + REPORT_INTERVAL_MS) > 1);
        sees.tell(&mut hears, millis + 2 * REPORT_INTERVAL_MS);
    }
    hears.review(7_200);
    assert!(hears.withholds(harmful));
}

/// Guards against sound parts that are withheld as only some of those on which an answer came
/// are reported.
#[test]
fn verify_answers_on_all_parts_of_a_long_prompt_reach_other_instances() {
    let common = parts_of(1, 2_000);
    let mut sees = Instance::new();
    let mut hears = Instance::new();
    for crash in 0..3 {
        let mut parts = common.clone();
        parts.push(PartKey::of(&format!("e{crash}")));
        let run = suspect(u32::try_from(crash).unwrap(), parts.into());
        hears.crash(100 + crash, vec![run], 5_000 + 300 * crash);
        while hears.tell(&mut sees, 5_700) > 0 {}
    }
    sees.answer(&common, 5_800);
    sees.review(6_500);
    for round in 0..10 {
        sees.tell(&mut hears, 6_500 + round * REPORT_INTERVAL_MS);
    }
    for number in 0..30 {
        hears.answer(&parts_of(1_000 + number, 4), 7_700);
    }
    for crash in 3..5 {
        let mut parts = common.clone();
        parts.push(PartKey::of(&format!("e{crash}")));
        let run = suspect(u32::try_from(crash).unwrap(), parts.into());
        hears.crash(100 + crash, vec![run], 8_000 + 300 * crash);
    }
    hears.review(10_000);
    let withheld = common.iter().filter(|part| hears.withholds(**part));
    assert_eq!(withheld.count(), 0);
}

/// Guards against a restarted instance that takes a part for common, and never withholds it, as
/// the record holds too few common parts.
#[test]
fn verify_a_restarted_instance_knows_all_common_parts() {
    let common = parts_of(1, 1_000);
    let mut before = Instance::new();
    for number in 0..100 {
        let mut parts = common.clone();
        parts.push(PartKey::of(&format!("e{}", number % 20)));
        before.answer(&parts, number);
    }
    let none = QuarantineRecord::default();
    let now = at(2_000);
    let record = before.quarantine.record_to_write(&none, &before.runs, now);
    let record = record.unwrap();
    let bytes = serde_json::to_vec(&record).unwrap().len();
    assert!(bytes < 100_000, "{bytes}");
    let mut restarted = Instance::new();
    restarted.quarantine.apply_record(&record, at(2_000));
    let harmful = PartKey::of(HARMFUL);
    for crash in 0..6 {
        let mut parts = common.clone();
        parts.push(harmful);
        let run = suspect(u32::try_from(crash).unwrap(), parts.into());
        restarted.crash(100 + crash, vec![run], 3_000 + 300 * crash);
    }
    restarted.review(6_000);
    assert!(restarted.withholds(harmful));
    assert!(common.iter().all(|part| !restarted.withholds(*part)));
}

/// Guards against a crash log that grows with the length of prompts, or that forgets a crash
/// before the next.
#[test]
fn verify_crashes_of_the_longest_prompts_suffice() {
    let mut instance = Instance::new();
    for number in 0..100 {
        instance.answer(&parts_of(1_000 + number, 4), number);
    }
    let harmful = PartKey::of(HARMFUL);
    for crash in 0..200_u64 {
        let prompt = |number: u64| {
            let request = crash * 50 + number;
            let mut parts = parts_of(2_000 + request, 2_000);
            if number == 0 && crash >= 195 {
                parts[1_500] = harmful;
            }
            suspect(u32::try_from(request).unwrap(), parts.into())
        };
        let prompts = (0..if crash < 150 { 2 } else { 8 }).map(prompt).collect();
        instance.crash(100 + crash, prompts, 5_000 + 300 * crash);
    }
    instance.review(66_000);
    assert!(instance.withholds(harmful));
}

proptest! {
    /// Lists that share parts in any way are the same after a report.
    #[test]
    fn verify_reports_are_encoded_and_decoded(
        lists in prop::collection::vec((0..60_usize, prop::collection::vec(any::<u32>(), 0..60)), 0..8),
    ) {
        let mut before: Vec<PartKey> = Vec::new();
        let mut runs = Vec::new();
        for (number, (shared, rest)) in (0..).zip(lists) {
            before.truncate(shared);
            before.extend(rest.iter().map(|id| PartKey::of(&format!("{id:x}"))));
            runs.push(suspect(number, before.clone().into()));
        }
        let mut instance = Instance::new();
        instance.crash(7, runs, 1_000);
        for report in instance.quarantine.take_reports("a-1", None, at(1_100)) {
            let datagram = report.encode().unwrap();
            prop_assert_eq!(QuarantineReport::decode(&datagram).unwrap(), report);
        }
    }

    /// Bytes that are no report take no memory beyond their own size, and end nothing.
    #[test]
    fn verify_any_bytes_are_a_report_or_an_error(mut bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let report = QuarantineReport::new("a-1").encode().unwrap();
        let _ = QuarantineReport::decode(&bytes);
        bytes.splice(0..0, report[..report.len() - 3].iter().copied());
        let _ = QuarantineReport::decode(&bytes);
    }
}

/// Guards against memory that grows with the number of prompts of the same parts.
#[test]
fn verify_prompts_with_the_same_parts_share_them() {
    let mut runs = RunLog::default();
    let parts = parts_of(1, 1_000);
    let first = runs.intern(&parts);
    let second = runs.intern(&parts);
    assert!(std::ptr::eq(&raw const *first, &raw const *second));
    for number in 0..10_000 {
        runs.intern(&parts_of(2 + number, 10));
    }
    assert!(std::ptr::eq(
        &raw const *first,
        &raw const *runs.intern(&parts)
    ));
}

/// Returns the shared parts of a prompt that has so many, in no other prompt.
fn chain_of(name: u64, parts: u64) -> Vec<ChainedPart> {
    let part = |part: PartKey| Part {
        id: part.to_string().into(),
        tokens: 10,
    };
    let prompt = Prompt {
        parts: parts_of(name, parts + 1).into_iter().map(part).collect(),
        ..Prompt::default()
    };
    chain(&prompt, &CacheSalt::new("m", 1, None))
}

/// Returns the report that a holder has cached a prompt with so many shared parts of its own.
fn cached(holder: u64, parts: u64) -> CacheUpdate {
    let links = chain_of(holder, parts);
    CacheUpdate {
        holder,
        keys: links.iter().map(|link| link.key).collect(),
        new_tokens: 10,
    }
}

/// Guards against heartbeats that grow with the length of prompts until they exceed a datagram.
#[test]
fn verify_heartbeats_fit_into_a_datagram_however_long_prompts_are() {
    const KEYS: usize = 4_096;
    let mut directory = PrefixDirectory::default();
    directory.record_read(cached(0, 10_000), at(0));
    for holder in 1..20 {
        directory.record_read(cached(holder, 1_000), at(0));
    }
    let mut holders = Vec::new();
    loop {
        let mut heartbeat = Heartbeat::new("a-1", 1, 1);
        heartbeat.cached = directory.take_updates(KEYS);
        if heartbeat.cached.is_empty() {
            break;
        }
        let datagram = heartbeat.encode().unwrap().for_recipient(Some(1)).unwrap();
        assert!(
            datagram.len() <= MAX_DATAGRAM_BYTES / 2,
            "{}",
            datagram.len()
        );
        holders.extend(heartbeat.cached.iter().map(|update| update.holder));
    }
    assert_eq!(holders, (0..20).collect::<Vec<u64>>());
    for holder in 0..1_000 {
        directory.record_read(cached(holder, 1_000), at(0));
    }
    // What waits is bounded.
    let waiting = directory.take_updates(usize::MAX);
    assert!(waiting.len() < 100, "{}", waiting.len());
    assert_eq!(waiting.last().unwrap().holder, 999);
}

/// Guards against memory that grows with the length of prompts.
#[test]
fn verify_the_keys_of_cached_parts_are_bounded() {
    const MAX_KEYS: usize = 256 * 1_024;
    let mut directory = PrefixDirectory::default();
    for number in 0..1_000 {
        directory.apply_update(&cached(number, 1_000), at(number));
    }
    assert!(directory.len() <= MAX_KEYS, "{}", directory.len());
    // The last ones are known.
    assert!(directory.len() >= MAX_KEYS / 4, "{}", directory.len());
    let links = chain_of(999, 1_000);
    let depth = directory.depth(999, &links, 1_000_000, Certainty::Likely, at(1_000));
    assert_eq!(depth, 1_000);
}
