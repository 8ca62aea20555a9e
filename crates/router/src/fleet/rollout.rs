//! Rollout of the target weights to the engines.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::lease::LeaseWrite;
use limpetsaddle_fleet::lease::LeaseWriteResult;
use limpetsaddle_fleet::rollout;
use limpetsaddle_fleet::rollout::Rollout;
use limpetsaddle_fleet::rollout::SwitchMode;
use limpetsaddle_fleet::rollout::WeightsLoad;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::engine::OrderResult;
use limpetsaddle_platform_wire::engine::Report;
use limpetsaddle_platform_wire::engine::WeightsOrder;
use limpetsaddle_platform_wire::store::WriteResult;
use log::info;
use log::warn;

use super::call::CallError;
use super::call::call;
use super::instance::FleetInstance;
use super::watch::LEASE_NAME;
use super::watch::decode_lease;
use crate::clock::millis;
use crate::shutdown::Stopping;

/// The time between two rollout steps.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout for reports and orders.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(300);

/// The time that an engine takes to load weights, from the users' engine data
/// sheets.
const LOAD_TIME: Duration = Duration::from_millis(340);

/// The time between two polls of an engine that is draining or loading.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// The longest time between two polls of an engine that is loading. One
/// instance polls all engines, including those that execute orders late.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(360);

/// The longest delay with which a report reflects the engine's state.
const MAX_REPORT_AGE: Duration = Duration::from_millis(250);

/// The time for which other instances avoid an engine that is draining,
/// renewed with each poll.
const REQUEST_PAUSE: Duration = Duration::from_millis(400);

/// The longest time for one engine, including its running requests.
const LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Loads the target weights until the instance stops.
pub async fn run(instance: Rc<FleetInstance>, stopping: Stopping) {
    while stopping.pause(STEP_INTERVAL).await {
        let now = instance.now();
        let removed = instance.upstreams.borrow_mut().remove_missing(now);
        for upstream in removed {
            info!(upstream:display; "removing upstream that has not registered again after an outage of the store");
        }
        step(&instance, now);
    }
}

fn step(instance: &Rc<FleetInstance>, now: Time) {
    // A stopping instance leaves new orders to its peers.
    let needed = !instance.draining.is_closed() && is_needed(instance);
    let rank = instance.peers.borrow().rank(now);
    let write = instance.lease.borrow_mut().due_write(needed, rank, now);
    if let Some(write) = write {
        monoio::spawn(write_lease(Rc::clone(instance), write));
    }
    if !needed || order_fencing(instance).is_none() {
        return;
    }
    let loads = {
        let upstreams = instance.upstreams.borrow();
        let peers = instance.peers.borrow();
        let targets = instance.target_weights.borrow();
        let mut rollout = instance.rollout.borrow_mut();
        rollout.plan(&upstreams, &peers, &targets, now)
    };
    for load in loads {
        monoio::spawn(load_weights(Rc::clone(instance), load));
    }
}

fn is_needed(instance: &FleetInstance) -> bool {
    let targets = instance.target_weights.borrow();
    Rollout::is_needed(&instance.upstreams.borrow(), &targets)
        || instance.rollout.borrow().is_active()
}

/// Returns the fencing number if the timeout of an order that is sent now ends
/// within this instance's lease.
fn order_fencing(instance: &FleetInstance) -> Option<u64> {
    let now = instance.now();
    let (fencing, until) = instance.lease.borrow().active_fencing(now)?;
    (until.since(now) > ENGINE_TIMEOUT).then_some(fencing)
}

async fn write_lease(instance: Rc<FleetInstance>, write: LeaseWrite) {
    let kind = wire::store::LEASES;
    let call = instance
        .store
        .put(kind, LEASE_NAME, write.expected, &write.record);
    let result = call.await;
    let now = instance.now();
    let fencing = write.record.fencing;
    let released = write.record.released;
    let mut lease = instance.lease.borrow_mut();
    match result {
        Ok(WriteResult::Applied(object)) => {
            let revision = object.revision;
            if write.record.renewals == 0 || released || lease.active_fencing(now).is_none() {
                info!(fencing, revision, released; "lease written");
            }
            lease.complete_write(LeaseWriteResult::Written(revision), now);
        }
        Ok(WriteResult::Conflict(stored)) => {
            lease.complete_write(LeaseWriteResult::Conflict, now);
            let stored = stored.and_then(|o| Some((o.revision, decode_lease(&o).ok()?)));
            if stored.is_some() {
                lease.observe(stored, now);
            }
            info!(fencing; "lease lost to a concurrent write");
        }
        Ok(WriteResult::NotFound) => lease.complete_write(LeaseWriteResult::Conflict, now),
        Err(error) => {
            warn!(fencing, error:display; "cannot write lease");
            lease.complete_write(LeaseWriteResult::Unknown, now);
        }
    }
}

/// Drains one engine and orders it to load weights.
async fn load_weights(instance: Rc<FleetInstance>, load: WeightsLoad) {
    let started = instance.now();
    let loaded = match drain(&instance, &load).await {
        Some(mode) => order_load(&instance, &load, mode).await,
        None => false,
    };
    let now = instance.now();
    let took_ms = millis(now.since(started));
    let version = load.version;
    info!(upstream:display = load.upstream, version, loaded, took_ms; "weights load ended");
    let mut rollout = instance.rollout.borrow_mut();
    rollout.finish_load(&load.upstream, loaded, now);
}

/// Keeps new requests away from an engine until its load can begin, and returns
/// how the load treats running requests.
async fn drain(instance: &FleetInstance, load: &WeightsLoad) -> Option<SwitchMode> {
    let started = instance.now();
    loop {
        order_fencing(instance)?;
        let now = instance.now();
        let waited = now.since(started);
        let (requests, fragile, service) = {
            let mut upstreams = instance.upstreams.borrow_mut();
            upstreams.pause_requests(&load.upstream, REQUEST_PAUSE, now);
            let row = upstreams.get(&load.upstream)?;
            let peers_load = instance.peers.borrow().remote_load(row.hash, now);
            let requests = row.local_load.requests + peers_load.requests;
            let fragile = row.local_load.fragile + peers_load.fragile;
            (requests, fragile, row.entry.service.clone())
        };
        // Heartbeats have reached the peers after one or two intervals.
        let peers_informed = waited >= instance.peers.borrow().heartbeat_interval() * 2;
        let (may_load, urgent) = {
            let upstreams = instance.upstreams.borrow();
            let targets = instance.target_weights.borrow();
            let target = targets.iter().find(|t| t.model == load.model)?;
            let urgent = rollout::is_urgent(&upstreams, target, now);
            let may_load = instance.rollout.borrow().may_load(&load.model, now);
            (may_load, urgent)
        };
        let retries = instance.available_retries(&service);
        let mode = rollout::switch_mode(requests, fragile, retries, waited, urgent);
        if let Some(mode) = mode.filter(|_| may_load && peers_informed) {
            let until = now + LOAD_TIMEOUT;
            instance
                .rollout
                .borrow_mut()
                .mark_loading(&load.upstream, until);
            return Some(mode);
        }
        if waited > LOAD_TIMEOUT {
            return None;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Orders a load, waits for it and returns whether the engine has the weights.
async fn order_load(instance: &FleetInstance, load: &WeightsLoad, mode: SwitchMode) -> bool {
    let started = instance.now();
    let mut ordered = None;
    let mut poll = POLL_INTERVAL;
    while instance.now().since(started) < LOAD_TIMEOUT {
        let report = match fetch_report(instance, load).await {
            Ok(report) => report,
            Err(error) => {
                warn!(upstream:display = load.upstream, error:display; "cannot get the engine's report");
                return false;
            }
        };
        if is_successor(instance, load, &report) {
            instance
                .upstreams
                .borrow_mut()
                .mark_replaced(&load.upstream);
            return false;
        }
        if has_loaded(instance, load, &report) {
            return true;
        }
        if report.is_busy || is_outdated(&report, ordered, instance.now()) {
            instance.upstreams.borrow_mut().pause_requests(
                &load.upstream,
                REQUEST_PAUSE,
                instance.now(),
            );
            monoio::time::sleep(poll).await;
            poll = MAX_POLL_INTERVAL.min(poll * 2);
            continue;
        }
        let Some(fencing) = order_fencing(instance) else {
            return false;
        };
        match send_order(instance, load, &report, mode, fencing).await {
            Some(OrderResult::Accepted) => {
                ordered = Some((report.accepted_orders, instance.now()));
                on_accepted(instance, load, mode);
                poll = POLL_INTERVAL;
                monoio::time::sleep(LOAD_TIME).await;
            }
            Some(OrderResult::AlreadyLoaded) => {
                record_weights(instance, load, load.version);
                return true;
            }
            Some(OrderResult::Conflict) | None => monoio::time::sleep(POLL_INTERVAL).await,
            Some(OrderResult::Misdirected) => {
                instance
                    .upstreams
                    .borrow_mut()
                    .mark_replaced(&load.upstream);
                return false;
            }
            Some(OrderResult::Fenced | OrderResult::UnknownWeights) => return false,
        }
    }
    false
}

/// Returns whether a report comes from a process that has replaced the engine at
/// its address.
fn is_successor(instance: &FleetInstance, load: &WeightsLoad, report: &Report) -> bool {
    let upstreams = instance.upstreams.borrow();
    let known = upstreams.get(&load.upstream).map(|row| row.entry.born_ms);
    // A report without a start time proves nothing.
    report.born_ms != 0 && known != Some(report.born_ms)
}

/// Returns whether a report may be older than the last accepted order.
fn is_outdated(report: &Report, ordered: Option<(u64, Time)>, now: Time) -> bool {
    ordered.is_some_and(|(orders, at)| {
        report.accepted_orders <= orders && now.since(at) < LOAD_TIME + MAX_REPORT_AGE
    })
}

/// Lets the next engine begin at the expected end of this load.
fn on_accepted(instance: &FleetInstance, load: &WeightsLoad, mode: SwitchMode) {
    if mode == SwitchMode::AfterRuns {
        return;
    }
    let now = instance.now();
    let mut upstreams = instance.upstreams.borrow_mut();
    upstreams.pause_requests(&load.upstream, LOAD_TIME, now);
    upstreams.observe_weights(&load.upstream, &load.model, load.version);
    let mut rollout = instance.rollout.borrow_mut();
    rollout.mark_loading(&load.upstream, now + LOAD_TIME);
}

fn record_weights(instance: &FleetInstance, load: &WeightsLoad, version: u64) {
    let mut upstreams = instance.upstreams.borrow_mut();
    upstreams.observe_weights(&load.upstream, &load.model, version);
}

/// Returns whether an engine reports the target weights, and records them.
fn has_loaded(instance: &FleetInstance, load: &WeightsLoad, report: &Report) -> bool {
    let weights = report.weights.iter().find(|w| w.model == load.model);
    let Some(weights) = weights else {
        return false;
    };
    if weights.version >= load.version {
        record_weights(instance, load, weights.version);
    }
    weights.version >= load.version
}

async fn fetch_report(instance: &FleetInstance, load: &WeightsLoad) -> Result<Report, CallError> {
    let req = wire::engine::report_request(&load.upstream)?;
    let (status, body) = call(&instance.upstream_client, load.address, req, ENGINE_TIMEOUT).await?;
    Ok(wire::engine::decode_report(status, &body)?)
}

/// Sends an order and returns its result if the engine responds.
async fn send_order(
    instance: &FleetInstance,
    load: &WeightsLoad,
    report: &Report,
    mode: SwitchMode,
    fencing: u64,
) -> Option<OrderResult> {
    let order = WeightsOrder {
        upstream: &load.upstream,
        model: &load.model,
        version: load.version,
        mode,
        holder: &instance.settings.name,
        fencing,
        expected_orders: report.accepted_orders,
    };
    let result = call_engine(instance, load, &order).await;
    let version = load.version;
    let upstream = &load.upstream;
    match result {
        Ok((status, result)) => {
            let status = status.as_u16();
            let result_code = result.code();
            instance.metrics.record_order(result_code);
            info!(
                upstream:display, version, mode:debug, fencing, orders = report.accepted_orders, status,
                answer = result_code;
                "order sent"
            );
            Some(result)
        }
        Err(error) => {
            // The engine may still execute it; the precondition on the number of
            // accepted orders keeps a delayed order from undoing a newer one.
            instance.metrics.record_order("none");
            warn!(upstream:display, version, fencing, error:display; "no response to order");
            None
        }
    }
}

async fn call_engine(
    instance: &FleetInstance,
    load: &WeightsLoad,
    order: &WeightsOrder<'_>,
) -> Result<(StatusCode, OrderResult), CallError> {
    let req = wire::engine::order_request(order)?;
    let (status, _) = call(&instance.upstream_client, load.address, req, ENGINE_TIMEOUT).await?;
    Ok((status, wire::engine::order_result(status)?))
}
