//! Confirmation that the current configuration is the newest one.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::peers::CONFIRM_INTERVAL;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Consistency;
use log::info;
use log::warn;

use super::RECHECK_INTERVAL;
use super::configuration;
use crate::clock::millis;
use crate::fleet::call::CallError;
use crate::fleet::instance::FleetInstance;
use crate::shutdown::Stopping;

/// The time between two confirmations of an instance that doesn't know its peers
/// yet.
const UNSETTLED_CONFIRM_INTERVAL: Duration = Duration::from_millis(1_800);

/// Reads the configuration periodically if this instance is one of the
/// confirmers or its peers report no recent confirmation.
///
/// A watch without changes proves nothing, since a lagging store node may have
/// answered it. A linearizable read shows everything that was acknowledged
/// before it was sent.
pub async fn confirm(instance: Rc<FleetInstance>, stopping: Stopping) {
    while !stopping.is_closed() {
        if !reads_store_itself(&instance) {
            stopping.pause(RECHECK_INTERVAL).await;
            continue;
        }
        let sent = instance.now();
        let result = read(&instance).await;
        instance.record_store_call(&result, sent);
        if result.is_ok() {
            instance.store_polls.borrow_mut().record_success();
            stopping.pause(confirm_interval(&instance)).await;
        } else {
            let random = instance.random.draw();
            let now = instance.now();
            instance
                .store_polls
                .borrow_mut()
                .record_failure(sent, now, random);
            wait_for_store(&instance, &stopping).await;
        }
    }
}

fn confirm_interval(instance: &FleetInstance) -> Duration {
    if instance.peers.borrow().is_settled(instance.now()) {
        CONFIRM_INTERVAL
    } else {
        UNSETTLED_CONFIRM_INTERVAL
    }
}

fn reads_store_itself(instance: &FleetInstance) -> bool {
    let now = instance.now();
    let peers = instance.peers.borrow();
    let freshness = instance.freshness.borrow();
    let max_age = freshness.max_peer_age(peers.max_confirmation_age());
    let is_recent = freshness.age(now).is_some_and(|age| age < max_age);
    !is_recent || instance.store.is_failing() || peers.is_confirmer(now)
}

/// Reads the configuration, and records that it was the newest one when the call
/// was sent.
async fn read(instance: &FleetInstance) -> Result<(), CallError> {
    let sent = instance.now();
    let kind = wire::store::CONFIGURATION;
    let list = instance.store.list(kind, Consistency::Linearizable).await?;
    for object in &list.objects {
        configuration::apply(instance, object);
    }
    let version = instance.configuration().map_or(0, |c| c.version);
    let newer = instance.newer_versions.borrow().newest();
    if let Some(reported) = newer {
        // A store that has returned from an older copy confirms nothing.
        warn!(version, reported; "store holds an older configuration than a peer has applied");
        return Ok(());
    }
    instance.freshness.borrow_mut().confirm(sent);
    Ok(())
}

/// Waits before the next call to a store that failed, until the backoff ends or peers show
/// that the store answers.
async fn wait_for_store(instance: &FleetInstance, stopping: &Stopping) {
    let failed = instance.now();
    loop {
        let now = instance.now();
        // The role changes when pollers fail.
        let role = instance.peers.borrow().poll_role(now);
        let polls = *instance.store_polls.borrow();
        let wait = polls.wait(role, now);
        if wait.is_zero() {
            let failures = polls.failures();
            let waited_ms = millis(now.since(failed));
            let answers_peers = polls.answers_peers();
            info!(failures, role:? = role, waited_ms, answers_peers; "polling the store again");
            return;
        }
        if !stopping.pause(wait.min(RECHECK_INTERVAL)).await {
            return;
        }
    }
}
