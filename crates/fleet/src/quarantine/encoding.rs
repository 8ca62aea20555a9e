//! The datagrams of reports.
//!
//! Prompts share most of their parts, mostly the first ones. Each list of parts refers to the one
//! before in the same crash for the parts that both begin with.

use serde::Deserialize;
use serde::Serialize;

use super::register::MAX_ENTRIES;
use super::report::CrashReport;
use super::report::EntryReport;
use super::report::MAX_CRASHES;
use super::report::MAX_PLAIN_RUNS;
use super::report::MAX_RUNS;
use super::report::MAX_SURVIVALS;
use super::report::QuarantineReport;
use super::report::ReportError;
use super::report::SurvivalReport;
use super::standing::Standing;
use super::subject::Subject;
use crate::part_key::PartKey;
use crate::part_list::PartList;
use crate::request_key::RequestKey;
use crate::runs::CrashedRun;

/// The version of the datagram's layout. It differs from those of heartbeats and notices,
/// which arrive at the same port.
const LAYOUT: u8 = 133;

/// The size in bytes up to which reports are filled. A UDP datagram can hold 65,507 bytes.
const MAX_BYTES: usize = 48 * 1_024;

/// The most bytes that a crash takes without its suspects.
const CRASH_BYTES: usize = 24;

/// The most bytes that a suspect takes without its parts.
const RUN_BYTES: usize = 48;

/// The most bytes that a part takes.
const PART_BYTES: usize = 10;

/// The most bytes that a survival takes.
const SURVIVAL_BYTES: usize = 48;

/// The most bytes that an entry takes.
const ENTRY_BYTES: usize = 80;

#[derive(Deserialize, Serialize)]
struct EncodedReport {
    layout: u8,
    sender: String,
    crashes: Vec<EncodedCrash>,
    survivals: Vec<SurvivalReport>,
    entries: Vec<EntryReport>,
}

#[derive(Deserialize, Serialize)]
struct EncodedCrash {
    process: u64,
    standing: Standing,
    age_ms: u32,
    runs: Vec<EncodedRun>,
}

#[derive(Deserialize, Serialize)]
struct EncodedRun {
    request: u32,
    key: RequestKey,
    age_ms: u16,
    is_answered: bool,
    begun_ms: Option<u16>,
    /// The number of parts that the list begins with as the one before.
    shared: usize,
    /// The other parts.
    rest: Vec<PartKey>,
}

impl EncodedRun {
    const fn is_plain(&self) -> bool {
        self.shared == 0 && self.rest.is_empty()
    }
}

pub fn is_report(datagram: &[u8]) -> bool {
    datagram.first() == Some(&LAYOUT)
}

pub fn encode(report: &QuarantineReport) -> Result<Vec<u8>, ReportError> {
    let encoded = EncodedReport {
        layout: LAYOUT,
        sender: report.sender.clone(),
        crashes: report.crashes.iter().map(encode_crash).collect(),
        survivals: report.survivals.clone(),
        entries: report.entries.clone(),
    };
    Ok(postcard::to_stdvec(&encoded)?)
}

fn encode_crash(crash: &CrashReport) -> EncodedCrash {
    let mut before: &[PartKey] = &[];
    let mut runs = Vec::with_capacity(crash.runs.len());
    for run in &crash.runs {
        let shared = run.parts.common_prefix(before);
        runs.push(EncodedRun {
            request: run.request,
            key: run.key,
            age_ms: run.age_ms,
            is_answered: run.is_answered,
            begun_ms: run.begun_ms,
            shared,
            rest: run.parts[shared..].to_vec(),
        });
        before = &run.parts;
    }
    EncodedCrash {
        process: crash.process,
        standing: crash.standing,
        age_ms: crash.age_ms,
        runs,
    }
}

/// Decodes a datagram, and checks it before lists of parts take memory.
pub fn decode(datagram: &[u8]) -> Result<QuarantineReport, ReportError> {
    let encoded: EncodedReport = postcard::from_bytes(datagram)?;
    encoded.check_bounds()?;
    let crashes = encoded.crashes.into_iter().map(decode_crash);
    Ok(QuarantineReport {
        sender: encoded.sender,
        crashes: crashes.collect::<Result<_, _>>()?,
        survivals: encoded.survivals,
        entries: encoded.entries,
    })
}

impl EncodedReport {
    fn check_bounds(&self) -> Result<(), ReportError> {
        let runs = |are_plain: bool| {
            let crashes = self.crashes.iter();
            let runs = crashes.map(|crash| {
                let runs = crash.runs.iter();
                runs.filter(|run| run.is_plain() == are_plain).count()
            });
            runs.max().unwrap_or_default()
        };
        let of_requests = |entry: &&EntryReport| matches!(entry.subject(), Subject::Request(_));
        let requests = self.entries.iter().filter(of_requests).count();
        let parts = self.entries.len() - requests;
        let bounds = [
            (self.crashes.len(), MAX_CRASHES, "crashes"),
            (runs(false), MAX_RUNS, "prompts of a crash"),
            (runs(true), MAX_PLAIN_RUNS, "other suspects of a crash"),
            (self.survivals.len(), MAX_SURVIVALS, "survivals"),
            (parts, MAX_ENTRIES, "entries"),
            (requests, MAX_ENTRIES, "entries of requests"),
        ];
        match bounds.iter().find(|(items, max, _)| items > max) {
            Some(&(items, _, kind)) => Err(ReportError::Oversized { items, kind }),
            None => Ok(()),
        }
    }
}

fn decode_crash(crash: EncodedCrash) -> Result<CrashReport, ReportError> {
    let mut before = PartList::default();
    let mut runs = Vec::with_capacity(crash.runs.len());
    for run in crash.runs {
        let shared = before.get(..run.shared).ok_or(ReportError::InvalidList {
            shared: run.shared,
            length: before.len(),
        })?;
        let parts: PartList = shared.iter().copied().chain(run.rest).collect();
        before = parts.clone();
        runs.push(CrashedRun {
            request: run.request,
            key: run.key,
            age_ms: run.age_ms,
            is_answered: run.is_answered,
            begun_ms: run.begun_ms,
            parts,
        });
    }
    Ok(CrashReport {
        process: crash.process,
        standing: crash.standing,
        age_ms: crash.age_ms,
        runs,
    })
}

/// Returns the most bytes that some suspects of a crash take.
pub fn runs_bytes(runs: &[CrashedRun]) -> usize {
    let mut before: &[PartKey] = &[];
    let mut bytes = CRASH_BYTES;
    for run in runs {
        bytes += run_bytes(run, before);
        before = &run.parts;
    }
    bytes
}

fn run_bytes(run: &CrashedRun, before: &[PartKey]) -> usize {
    let rest = run.parts.len() - run.parts.common_prefix(before);
    RUN_BYTES + rest * PART_BYTES
}

/// Splits a report into those that each fit into a datagram.
pub fn split(report: QuarantineReport) -> Vec<QuarantineReport> {
    let mut datagrams = Datagrams {
        full: Vec::new(),
        last: QuarantineReport::new(&report.sender),
        bytes: 0,
    };
    for crash in report.crashes {
        datagrams.add_crash(crash);
    }
    for survival in report.survivals {
        datagrams.reserve(SURVIVAL_BYTES).survivals.push(survival);
    }
    for entry in report.entries {
        datagrams.reserve(ENTRY_BYTES).entries.push(entry);
    }
    let mut all = datagrams.full;
    all.extend(Some(datagrams.last).filter(|last| !last.is_empty()));
    all
}

struct Datagrams {
    full: Vec<QuarantineReport>,
    last: QuarantineReport,
    bytes: usize,
}

impl Datagrams {
    /// Returns the report that has room for so many bytes more.
    fn reserve(&mut self, bytes: usize) -> &mut QuarantineReport {
        if self.bytes + bytes > MAX_BYTES && !self.last.is_empty() {
            let next = QuarantineReport::new(&self.last.sender);
            self.full.push(std::mem::replace(&mut self.last, next));
            self.bytes = 0;
        }
        self.bytes += bytes;
        &mut self.last
    }

    fn add_crash(&mut self, mut crash: CrashReport) {
        let runs = std::mem::take(&mut crash.runs);
        self.reserve(CRASH_BYTES).crashes.push(crash.clone());
        let mut before = PartList::default();
        for run in runs.iter().flat_map(pieces) {
            let bytes = run_bytes(&run, &before);
            if self.bytes + bytes > MAX_BYTES {
                // The next report has no list before.
                let bytes = CRASH_BYTES + run_bytes(&run, &[]);
                self.reserve(bytes).crashes.push(crash.clone());
            } else {
                self.bytes += bytes;
            }
            before = run.parts.clone();
            if let Some(last) = self.last.crashes.last_mut() {
                last.runs.push(run);
            }
        }
    }
}

/// Returns a suspect in pieces that each fit into a datagram.
fn pieces(run: &CrashedRun) -> Vec<CrashedRun> {
    const MAX_PARTS: usize = (MAX_BYTES - CRASH_BYTES - RUN_BYTES) / PART_BYTES;
    if run.parts.len() <= MAX_PARTS {
        return vec![run.clone()];
    }
    let pieces = run.parts.chunks(MAX_PARTS).map(|parts| CrashedRun {
        parts: parts.iter().copied().collect(),
        ..run.clone()
    });
    pieces.collect()
}
