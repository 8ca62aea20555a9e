//! Status records of the instance at the platform.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use limpetsaddle_core::units::Revision;
use limpetsaddle_platform::Collection;
use limpetsaddle_platform::InstanceStatus;
use limpetsaddle_platform::RecordName;
use limpetsaddle_platform::RecordPut;

use super::exchange::jittered;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::shutdown::Stopping;
use crate::unusable;
use crate::unusable::UnusableEntry;

/// The kind of status records.
const STATUS: &str = "status";

/// The interval between status records.
const PERIOD: Duration = Duration::from_secs(5);

/// The time after which the platform removes a status record.
const TIME_TO_LIVE: Duration = Duration::from_mins(1);

/// Writes status records until the instance stops.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    loop {
        write(&instance).await;
        if !stopping.pause(jittered(&instance, PERIOD)).await {
            return;
        }
    }
}

/// Returns the current status.
pub fn status(instance: &Instance) -> InstanceStatus {
    let now = instance.now();
    let board = instance.board.borrow();
    let own = board.members.own();
    let confirmed = board.store.confirmation();
    let refusals: BTreeMap<Arc<str>, u64> = instance
        .metrics
        .refusals()
        .map(|(reason, count)| (reason.code().into(), count))
        .collect();
    InstanceStatus {
        instance: own.name.clone(),
        domain: own.domain.clone(),
        incarnation: own.incarnation,
        phase: own.phase,
        revision: confirmed.map_or(Revision::ABSENT, |c| c.revision),
        preset: board.store.presets().active,
        platform_age: board
            .store
            .confirmation_age(now)
            .unwrap_or(now.since_origin()),
        refusals,
    }
}

/// Writes the status record. No other instance writes it, so a conflict is resolved
/// by overwriting the current revision.
pub async fn write(instance: &Rc<Instance>) {
    let name = RecordName::from(&instance.settings.name);
    let value = status(instance);
    let mut expected = instance.status_revision.get();
    instance.unusable_entries.borrow_mut().begin(STATUS, None);
    for _ in 0..2 {
        let put = instance.platform.put_record(
            Collection::Status,
            &name,
            expected,
            &value,
            Some(TIME_TO_LIVE),
        );
        let put = put.await;
        instance.record_platform_call(put.is_ok());
        match put {
            Ok(RecordPut::Written(revision)) => {
                instance.status_revision.set(revision);
                instance.unusable_entries.borrow_mut().end(STATUS, None);
                return;
            }
            Ok(RecordPut::Conflict(current)) => {
                expected = current.map_or(Revision::ABSENT, |record| record.revision);
            }
            Ok(RecordPut::Unreadable(revision)) => {
                record_unreadable(instance);
                expected = revision;
            }
            Err(_) => return,
        }
    }
}

fn record_unreadable(instance: &Instance) {
    instance.metrics.count(Event::StatusInvalid);
    let entry = UnusableEntry {
        kind: STATUS,
        name: instance.settings.name.as_str(),
        reason: "its content cannot be decoded",
    };
    let message = "replacing an unreadable status record";
    unusable::record(&instance.unusable_entries, &entry, message, instance.now());
}
