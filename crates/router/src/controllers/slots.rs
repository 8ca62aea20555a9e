//! Slots: who mints the limits of the failure domain.

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

/// The time between two looks at the slots.
const PERIOD: Duration = Duration::from_secs(1);

/// The time without contact after which the platform is asked instead of peers.
const CONTACT_AGE: Duration = Duration::from_millis(1_500);

/// Claims, takes over and gives up slots, and keeps contact where no peer does.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    while stopping.pause(jittered(&instance, PERIOD)).await {
        if instance.contact_age() > CONTACT_AGE {
            confirm(&instance).await;
        }
        let proposal = instance.board.borrow_mut().slot_proposal(instance.now());
        if let Some(write) = proposal {
            put(&instance, write).await;
        }
    }
}

/// Reads the slots from the platform, which is a contact as good as a peer's.
async fn confirm(instance: &Rc<Instance>) {
    let Ok(name) = instance.settings.domain.as_str().parse() else {
        return;
    };
    let id = ObjectId {
        kind: Kind::Slots,
        name,
    };
    let sent = instance.now();
    let read = instance.platform.get(&id).await;
    instance.note_platform(read.is_ok());
    let Ok(object) = read else {
        return;
    };
    merge(instance, object.into_iter().collect());
    instance.contact(sent);
}

async fn put(instance: &Rc<Instance>, write: SlotWrite) {
    let spec = Spec::Slots(write.table);
    let sent = instance.now();
    let written = instance
        .platform
        .put(&write.id, write.expected, Some(&spec))
        .await;
    instance.note_platform(written.is_ok());
    match written {
        Ok(Put::Written(object)) => {
            instance.metrics.count(Event::SlotsWritten);
            merge(instance, vec![object]);
            instance.contact(sent);
            let owned = instance.board.borrow().ledger.slots_owned();
            info!(owned = owned; "the owners of slots changed");
        }
        Ok(Put::Conflict(current)) => {
            instance.metrics.count(Event::SlotsLost);
            merge(instance, current.into_iter().collect());
        }
        // The next look reads what came of a write whose answer was lost.
        Err(_) => confirm(instance).await,
    }
}

/// Gives up all slots at a planned stop.
pub async fn release(instance: &Rc<Instance>) {
    let release = instance.board.borrow_mut().slot_release(instance.now());
    if let Some(write) = release {
        put(instance, write).await;
    }
}
