//! What is withheld from upstreams: its review, log lines and record at the platform.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::quarantine::Change;
use limpetsaddle_fleet::quarantine::Entry;
use limpetsaddle_fleet::quarantine::QuarantineRecord;
use limpetsaddle_fleet::quarantine::State;
use limpetsaddle_fleet::quarantine::Subject;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::WriteResult;
use log::info;
use log::warn;
use serde::Serialize;

use super::crashes;
use super::instance::FleetInstance;
use super::unusable;
use crate::clock::millis;
use crate::clock::time_of_day;
use crate::shutdown::Stopping;

/// The name of the only record of withheld parts.
pub const QUARANTINE_NAME: &str = "withheld-parts";

/// The time between two reviews while there is anything to review.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// The time for which an instance leaves the writing of the record to each instance of a lower
/// rank.
const WRITE_DELAY_PER_RANK: Duration = Duration::from_millis(500);

/// The longest time for which an instance leaves the writing to others.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(10);

/// The pause after a failed write.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The record of withheld parts as the platform's store holds it.
#[derive(Default)]
pub struct QuarantineStore {
    revision: Cell<Option<u64>>,
    record: RefCell<QuarantineRecord>,
    /// Whether the record has been looked for since the start. Until then an instance knows of
    /// no part that the fleet withholds.
    pub is_listed: Cell<bool>,
    /// Since when the record lacks something that this instance knows.
    lacking_since: Cell<Option<Time>>,
}

/// Records that the store has been listed, before its records are applied.
pub fn begin_list(instance: &FleetInstance) {
    let store = &instance.quarantine_record;
    store.revision.set(None);
    store.record.replace(QuarantineRecord::default());
    store.is_listed.set(true);
}

/// Applies the record from the store, or its removal.
pub fn apply(instance: &FleetInstance, object: &Object, removed: bool) {
    let store = &instance.quarantine_record;
    store.revision.set((!removed).then_some(object.revision));
    let record = if removed {
        QuarantineRecord::default()
    } else {
        decode(object).unwrap_or_else(|error| {
            let message = "invalid record of withheld parts; keeping the known ones";
            let kind = wire::store::COORDINATION;
            unusable::record(instance, kind, object, &error, message);
            QuarantineRecord::default()
        })
    };
    let now = instance.now();
    let mut quarantine = instance.quarantine.borrow_mut();
    quarantine.apply_record(&record, now);
    store.record.replace(record);
}

fn decode(object: &Object) -> wire::Result<QuarantineRecord> {
    Ok(serde_json::from_str(object.content()?.get())?)
}

/// Reviews the evidence, and writes the record, until the instance stops.
pub async fn run(instance: Rc<FleetInstance>, stopping: Stopping) {
    while stopping.pause(REVIEW_INTERVAL).await {
        crashes::check_silent(&instance);
        review(&instance);
        if is_write_due(&instance) && !write(&instance).await {
            stopping.pause(WRITE_RETRY_PAUSE).await;
        }
    }
}

fn review(instance: &FleetInstance) {
    let now = instance.now();
    let changes = {
        let mut quarantine = instance.quarantine.borrow_mut();
        if !quarantine.is_pending() {
            return;
        }
        let runs = instance.runs.borrow();
        let instances = instance.peers.borrow().peer_counts(now).live;
        quarantine.review(&runs, instances, millis(time_of_day()), now)
    };
    for change in &changes {
        record_change(instance, change);
    }
}

fn record_change(instance: &FleetInstance, change: &Change) {
    let Entry {
        subject,
        generation,
        crashes,
        trials,
        ..
    } = change.entry;
    let source = change.source.code();
    let state = state_code(change.entry.state);
    match subject {
        Subject::Part(_) => instance.metrics.record_part_change(state, source),
        Subject::Request(_) => instance.metrics.record_request_change(state, source),
    }
    match (change.entry.state, subject) {
        (State::Withheld, Subject::Part(part)) => {
            let requests = change.evidence.map(|evidence| evidence.requests);
            let absences = change.evidence.map(|evidence| evidence.absences);
            info!(
                part:display, source, generation, crashes, requests:?, absences:?;
                "prompt part withheld"
            );
        }
        (State::Released, Subject::Part(part)) => {
            info!(part:display, source, generation; "prompt part released");
        }
        (State::Withheld, Subject::Request(key)) if trials > 0 => {
            info!(key:display, source, generation, trials; "withheld request tried");
        }
        (State::Withheld, Subject::Request(key)) => {
            info!(key:display, source, generation, crashes; "request withheld");
        }
        (State::Released, Subject::Request(key)) => {
            info!(key:display, source, generation, trials; "request released");
        }
    }
}

const fn state_code(state: State) -> &'static str {
    match state {
        State::Withheld => "withheld",
        State::Released => "released",
    }
}

/// Returns whether it is this instance's turn to write the record.
fn is_write_due(instance: &FleetInstance) -> bool {
    let store = &instance.quarantine_record;
    let quarantine = instance.quarantine.borrow();
    let record = store.record.borrow();
    let now = instance.now();
    let runs = instance.runs.borrow();
    if !store.is_listed.get() || quarantine.record_to_write(&record, &runs, now).is_none() {
        store.lacking_since.set(None);
        return false;
    }
    let since = store.lacking_since.get().unwrap_or(now);
    store.lacking_since.set(Some(since));
    let rank = instance.peers.borrow().rank(now);
    let delay = WRITE_DELAY_PER_RANK.saturating_mul(rank);
    !instance.store.is_failing() && now.since(since) >= delay.min(MAX_WRITE_DELAY)
}

/// Writes the record, and returns whether it is stored.
async fn write(instance: &FleetInstance) -> bool {
    let store = &instance.quarantine_record;
    let record = {
        let stored = store.record.borrow();
        let runs = instance.runs.borrow();
        let quarantine = instance.quarantine.borrow();
        quarantine.record_to_write(&stored, &runs, instance.now())
    };
    let Some(record) = record else {
        return true;
    };
    let kind = wire::store::COORDINATION;
    let revision = store.revision.get();
    let written = instance.store.put(kind, QUARANTINE_NAME, revision, &record);
    match written.await {
        Ok(WriteResult::Applied(object)) => {
            let (parts, requests) = (record.parts.len(), record.requests.len());
            let revision = object.revision;
            store.revision.set(Some(revision));
            let mut quarantine = instance.quarantine.borrow_mut();
            quarantine.apply_record(&record, instance.now());
            store.record.replace(record);
            info!(parts, requests, revision; "record of withheld parts written");
            true
        }
        Ok(WriteResult::Conflict(Some(object))) => {
            apply(instance, &object, false);
            false
        }
        Ok(WriteResult::Conflict(None) | WriteResult::NotFound) => {
            // The watch brings the present one.
            warn!(revision:?; "record of withheld parts not written: revision conflict");
            false
        }
        Err(error) => {
            warn!(error:display; "record of withheld parts not written");
            false
        }
    }
}

/// What is withheld or was released, for operators.
#[derive(Serialize)]
struct EntryDocument<'a> {
    #[serde(flatten)]
    entry: &'a Entry,
    /// The time since such a request was last refused.
    idle_seconds: u64,
}

/// Returns what is withheld and was released as a JSON document.
pub fn document(instance: &FleetInstance) -> bytes::Bytes {
    let quarantine = instance.quarantine.borrow();
    let entries = quarantine.entries(instance.now());
    let entries = entries.map(|(entry, idle)| EntryDocument {
        entry,
        idle_seconds: idle.as_secs(),
    });
    let entries: Vec<EntryDocument<'_>> = entries.collect();
    crate::responses::json(&entries)
}
