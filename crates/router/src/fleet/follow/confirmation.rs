//! Confirming that the configuration in force is the newest one.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Age;

use super::LONGEST_PAUSE;
use super::RECHECK;
use super::configuration;
use super::pause;
use crate::fleet::call::CallError;
use crate::fleet::instance::FleetInstance;
use crate::shutdown::Stopping;

/// The time between two confirmations. Keys are trusted for a few seconds after
/// the last one, which an outage of the store may follow at any moment.
const CONFIRM_EVERY: Duration = Duration::from_millis(800);

/// The age of the last confirmation from which an instance asks the store itself
/// instead of going by others.
const CONFIRM_AFTER: Duration = Duration::from_secs(2);

/// The longest pause after a failed call where other instances tell when the
/// store is back. It ends before the store counts as settled again, which takes
/// four seconds.
const LONGEST_PAUSE_OF_OTHERS: Duration = Duration::from_secs(3);

/// Reads the configuration again and again, where this instance does so for
/// others or hears of no confirmation from them.
///
/// Watches are no help here: one without changes may be answered from a part of
/// the store that lags. A plain read shows everything that was acknowledged
/// before it was sent.
pub async fn confirm(instance: Rc<FleetInstance>, stopping: Stopping) {
    let mut failures = 0;
    while !stopping.is_closed() {
        if !asks_itself(&instance) {
            stopping.pause(RECHECK).await;
            continue;
        }
        let outcome = read(&instance).await;
        instance.note_store_call(&outcome);
        if outcome.is_ok() {
            failures = 0;
            stopping.pause(CONFIRM_EVERY).await;
        } else {
            failures += 1;
            wait_for_store(&instance, &stopping, failures).await;
        }
    }
}

fn asks_itself(instance: &FleetInstance) -> bool {
    let now = instance.now();
    let age = instance.freshness.borrow().age(now);
    let heard = age.is_some_and(|age| age < CONFIRM_AFTER);
    !heard || instance.store.is_failing() || instance.peers.borrow().is_confirmer(now)
}

/// Reads the configuration, and records that it was the newest one when the call
/// was sent.
async fn read(instance: &FleetInstance) -> Result<(), CallError> {
    let sent = instance.now();
    let kind = wire::store::CONFIGURATION;
    let (objects, _) = instance.store.list(kind, Age::Newest).await?;
    for object in &objects {
        configuration::take(instance, object);
    }
    instance.freshness.borrow_mut().confirm(sent);
    Ok(())
}

/// Waits before the next call of a store that did not answer: as long as other
/// instances make sure that its return is noticed, or until they tell of it.
async fn wait_for_store(instance: &FleetInstance, stopping: &Stopping, failures: u32) {
    let is_confirmer = instance.peers.borrow().is_confirmer(instance.now());
    let longest = if is_confirmer {
        LONGEST_PAUSE
    } else {
        LONGEST_PAUSE_OF_OTHERS
    };
    let end = instance.now() + pause(longest, failures, instance.random.draw());
    // Where others were served already before the call failed, the store is back
    // for them only.
    let told_before = instance.is_told_of_store();
    loop {
        let left = end.since(instance.now());
        let told = !told_before && instance.is_told_of_store();
        if left.is_zero() || told || !stopping.pause(left.min(RECHECK)).await {
            return;
        }
    }
}
