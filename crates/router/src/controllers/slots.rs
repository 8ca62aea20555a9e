//! Ownership of the slots that issue the tokens of the failure domain's limits.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::blackboard::SlotWrite;
use limpetsaddle_core::config::Kind;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Spec;
use limpetsaddle_platform::Put;
use log::info;

use super::exchange::jittered;
use super::watch::merge;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::shutdown::Stopping;

/// The interval at which slots are checked.
const PERIOD: Duration = Duration::from_secs(1);

/// The time without contact to peers after which the platform is asked instead.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(1_500);

/// Claims, takes over and releases slots, and contacts the platform if there is no
/// contact to peers.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    while stopping.pause(jittered(&instance, PERIOD)).await {
        if instance.time_since_contact() > MAX_CONTACT_AGE {
            read_slots(&instance).await;
        }
        let proposal = instance.board.borrow_mut().slot_proposal(instance.now());
        if let Some(write) = proposal {
            write_slots(&instance, write).await;
        }
    }
}

/// Reads the slots from the platform, which counts as contact like a peer's reply.
async fn read_slots(instance: &Rc<Instance>) {
    let Ok(name) = instance.settings.domain.as_str().parse() else {
        return;
    };
    let id = ObjectId {
        kind: Kind::Slots,
        name,
    };
    let sent = instance.now();
    let read = instance.platform.get(&id).await;
    instance.record_platform_call(read.is_ok());
    let Ok(object) = read else {
        return;
    };
    merge(instance, object.into_iter().collect());
    instance.record_contact(sent);
}

async fn write_slots(instance: &Rc<Instance>, write: SlotWrite) {
    let spec = Spec::Slots(write.table);
    let sent = instance.now();
    let written = instance
        .platform
        .put(&write.id, write.expected, Some(&spec))
        .await;
    instance.record_platform_call(written.is_ok());
    match written {
        Ok(Put::Written(object)) => {
            instance.metrics.count(Event::SlotsWritten);
            merge(instance, vec![object]);
            instance.record_contact(sent);
            let owned = instance.board.borrow().ledger.slots_owned();
            info!(owned = owned; "slot owners changed");
        }
        Ok(Put::Conflict(current)) => {
            instance.metrics.count(Event::SlotsLost);
            merge(instance, current.into_iter().collect());
        }
        // Reads the outcome of a write whose response was lost.
        Err(_) => read_slots(instance).await,
    }
}

/// Releases all slots at a planned stop.
pub async fn release(instance: &Rc<Instance>) {
    let release = instance.board.borrow_mut().slot_release(instance.now());
    if let Some(write) = release {
        write_slots(instance, write).await;
    }
}
