//! Detection of services whose upstreams this instance doesn't reach.
//!
//! Each call to an upstream is evidence. While a service fails here and peers reach it, requests
//! are passed on, and connections are opened periodically to detect the recovery.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::future::Either;
use futures::stream::FuturesUnordered;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::heartbeat::name_hash;
use limpetsaddle_fleet::runs::RunId;
use limpetsaddle_fleet::service_reach::Reach;
use limpetsaddle_fleet::service_reach::ReachReport;
use limpetsaddle_fleet::service_reach::ServiceReach;
use limpetsaddle_fleet::upstreams::Upstream;
use log::info;
use log::warn;

use super::instance::FleetInstance;
use super::upstream_calls::Recipient;
use crate::shutdown::Stopping;

/// The time after which an upstream that has not begun to answer counts as failed. A sound one
/// may be silent for a second.
const SILENCE: Duration = Duration::from_millis(1_200);

/// The time between two rounds of checks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The time for which a peer may report to reach a service that it doesn't reach any more, its
/// heartbeats included.
const REPORT_AGE: Duration = Duration::from_millis(2_500);

/// The time between two checks of whether this instance is cut off.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The number of upstreams that a check connects to.
const LOOKED_AT: usize = 3;

/// The evidence for each service.
#[derive(Debug, Default)]
pub struct Ways(RefCell<HashMap<Name, ServiceReach>>);

impl Ways {
    fn with<T>(&self, service: &str, operation: impl FnOnce(&mut ServiceReach) -> T) -> Option<T> {
        self.0.borrow_mut().get_mut(service).map(operation)
    }
}

/// Records that an upstream has answered a call that was begun at `begun`.
pub fn record_answer(instance: &FleetInstance, recipient: &Recipient, begun: Time) {
    let Some((service, _)) = service_of(instance, recipient) else {
        return;
    };
    let now = instance.now();
    let mut ways = instance.ways.0.borrow_mut();
    let way = ways.entry(Name::clone(&service)).or_default();
    if way.record_answer(begun, now) {
        info!(service:display; "upstreams reached again");
    }
}

/// Records that bytes of a run's answer have arrived from an upstream of a service.
pub fn record_bytes(instance: &FleetInstance, service: &str, run: RunId) {
    let now = instance.now();
    instance.runs.borrow_mut().record_bytes(run, now);
    instance.ways.with(service, |way| way.record_bytes(now));
}

/// Records that a call that was begun at `begun` could not be established or was broken off
/// before its answer.
pub fn record_failure(instance: &FleetInstance, recipient: &Recipient, begun: Time) {
    record(instance, recipient, begun, ServiceReach::record_failure);
}

/// Records the failure or silence of a call that was begun at `begun`.
fn record(
    instance: &FleetInstance,
    recipient: &Recipient,
    begun: Time,
    kind: fn(&mut ServiceReach, u64, usize, Time, Time) -> bool,
) {
    let Some((service, upstream)) = service_of(instance, recipient) else {
        return;
    };
    let count = {
        let upstreams = instance.upstreams.borrow();
        let all = upstreams.iter();
        all.filter(|row| row.entry.service == service).count()
    };
    let now = instance.now();
    let has_begun = {
        let mut ways = instance.ways.0.borrow_mut();
        let way = ways.entry(Name::clone(&service)).or_default();
        kind(way, upstream, count, begun, now)
    };
    if has_begun {
        let peers_reach = peers_reach(instance, &service);
        warn!(service:display, upstreams = count, peers_reach; "upstreams not reached");
    }
}

/// Waits for the answer to a call, and records the upstream's silence if it lasts long.
pub async fn watch<T>(
    instance: &FleetInstance,
    recipient: &Recipient,
    sent: Time,
    answer: impl Future<Output = T>,
) -> T {
    let answer = std::pin::pin!(answer);
    let silence = std::pin::pin!(monoio::time::sleep(SILENCE));
    match futures::future::select(answer, silence).await {
        Either::Left((answer, _)) => answer,
        Either::Right(((), answer)) => {
            record(instance, recipient, sent, ServiceReach::record_silence);
            answer.await
        }
    }
}

/// Returns the service of an upstream and the hash of its id.
fn service_of(instance: &FleetInstance, recipient: &Recipient) -> Option<(Name, u64)> {
    let Recipient::Upstream { incarnation, .. } = recipient else {
        return None;
    };
    let upstreams = instance.upstreams.borrow();
    let row = upstreams.get(&incarnation.upstream)?;
    let is_configured = instance
        .configuration()
        .is_some_and(|c| c.service(&row.entry.service).is_some());
    is_configured.then(|| (Name::clone(&row.entry.service), row.hash))
}

/// Returns whether this instance fails to reach a service.
pub fn is_failing(instance: &FleetInstance, service: &str) -> bool {
    let now = instance.now();
    instance.ways.with(service, |way| way.reach(now)) == Some(Reach::Failing)
}

/// Returns whether a request from `since` has been waiting for longer than a sound upstream is
/// silent.
pub fn is_silent_since(instance: &FleetInstance, since: Time) -> bool {
    instance.now().since(since) >= SILENCE
}

/// Starts a trial of a failing service with a request, and returns true if one is due.
pub fn begin_trial(instance: &FleetInstance, service: &str, may_repeat: bool) -> bool {
    let now = instance.now();
    let begun = instance
        .ways
        .with(service, |way| way.begin_trial(may_repeat, now));
    begun == Some(true)
}

/// Returns whether a peer reaches a service.
pub fn peers_reach(instance: &FleetInstance, service: &str) -> bool {
    let peers = instance.peers.borrow();
    peers.reach_service(name_hash(service), instance.now())
}

/// Returns the services that heartbeats report as reached or failing.
pub fn report(instance: &FleetInstance) -> ReachReport {
    let now = instance.now();
    let mut report = ReachReport::default();
    for (service, way) in &*instance.ways.0.borrow() {
        report.add(name_hash(service), way.reach(now));
    }
    report
}

/// Checks failing services periodically until the instance stops.
pub async fn look(instance: Rc<FleetInstance>, stopping: Stopping) {
    while stopping.pause(LOOK_INTERVAL).await {
        forget_removed(&instance);
        let now = instance.now();
        let due: Vec<Name> = {
            let ways = instance.ways.0.borrow();
            let due = ways.iter().filter(|(_, way)| way.is_look_due(now));
            due.map(|(service, _)| Name::clone(service)).collect()
        };
        for service in due {
            let accepts = accepts_connections(&instance, &service).await;
            let now = instance.now();
            instance
                .ways
                .with(&service, |way| way.record_look(accepts, now));
        }
    }
}

/// Forgets services that the configuration doesn't name any more.
fn forget_removed(instance: &FleetInstance) {
    if let Some(configuration) = instance.configuration() {
        let mut ways = instance.ways.0.borrow_mut();
        ways.retain(|service, _| configuration.service(service).is_some());
    }
}

/// Returns whether this instance, rather than the process of an upstream, is the reason why the
/// upstream refuses connections: no other upstream of any service accepts one, and no peer fails
/// to reach the service in the time in which all would notice the end of all upstreams.
pub async fn is_cut_off(instance: &FleetInstance, refused: &Recipient) -> bool {
    let Some((service, _)) = service_of(instance, refused) else {
        return false;
    };
    let address = refused.address();
    let is_other = |row: &Upstream| row.entry.address != address;
    if !instance.upstreams.borrow().iter().any(is_other) {
        return false;
    }
    let end = instance.now() + REPORT_AGE;
    while none_fails(instance, &service) {
        if accept_connections(instance, is_other).await {
            return false;
        }
        if instance.now() >= end {
            return true;
        }
        monoio::time::sleep(CUT_CHECK_INTERVAL).await;
    }
    false
}

/// Returns whether there are peers and none of them fails to reach a service.
fn none_fails(instance: &FleetInstance, service: &str) -> bool {
    let peers = instance.peers.borrow();
    peers.none_fails(name_hash(service), instance.now())
}

/// Returns whether one of a few upstreams of a service accepts a connection.
async fn accepts_connections(instance: &FleetInstance, service: &str) -> bool {
    accept_connections(instance, |row| &*row.entry.service == service).await
}

/// Returns whether one of a few upstreams accepts a connection.
async fn accept_connections(
    instance: &FleetInstance,
    is_candidate: impl Fn(&Upstream) -> bool,
) -> bool {
    let recipients: Vec<Recipient> = {
        let upstreams = instance.upstreams.borrow();
        let rows = upstreams.iter().filter(|row| is_candidate(row));
        let rows: Vec<&Upstream> = rows.collect();
        let first = usize::try_from(instance.random.draw() % 1_024).unwrap_or(0);
        let rows = rows.iter().cycle().skip(first % rows.len().max(1));
        let recipient = |row: &&Upstream| Recipient::Upstream {
            incarnation: row.entry.incarnation(),
            address: row.entry.address,
        };
        rows.take(LOOKED_AT).map(recipient).collect()
    };
    let reach = |recipient| instance.upstream_client.reaches(instance, recipient);
    let mut reached: FuturesUnordered<_> = recipients.iter().map(reach).collect();
    // A host that drops connections must not hold up the others.
    while let Some(is_reached) = reached.next().await {
        if is_reached {
            return true;
        }
    }
    false
}
