//! Rolling out the weights that operators named.

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
use limpetsaddle_platform_wire::engine::OrderAnswer;
use limpetsaddle_platform_wire::engine::Report;
use limpetsaddle_platform_wire::engine::WeightsOrder;
use limpetsaddle_platform_wire::store::Written;
use log::info;
use log::warn;

use super::call::CallError;
use super::call::call;
use super::follow::TENURE_NAME;
use super::follow::read_tenure;
use super::instance::FleetInstance;
use crate::clock::millis;
use crate::shutdown::Stopping;

/// The time between two looks at what there is to do.
const STEP: Duration = Duration::from_millis(100);

/// The time that an engine gets to answer a report or an order.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(300);

/// The time that an engine takes to load weights, from the users' sheets of
/// their engines.
const LOAD_TIME: Duration = Duration::from_millis(340);

/// The time between two looks at an engine that is being emptied or is loading.
const POLL: Duration = Duration::from_millis(60);

/// The longest time between two looks at an engine that is loading. An engine that
/// carries orders out late is asked by one instance, which has many to ask.
const LONGEST_POLL: Duration = Duration::from_millis(360);

/// The age that a report may have.
const REPORT_AGE: Duration = Duration::from_millis(250);

/// The time for which other instances send nothing to an engine that is being
/// emptied; it is told again with each look.
const AWAY: Duration = Duration::from_millis(400);

/// The longest time for one engine, its running requests included.
const LONGEST_LOAD: Duration = Duration::from_secs(5);

/// Follows what has to be loaded until the instance ends.
pub async fn run(instance: Rc<FleetInstance>, stopping: Stopping) {
    while stopping.pause(STEP).await {
        let now = instance.now();
        let gone = instance.upstreams.borrow_mut().remove_missing(now);
        for upstream in gone {
            info!(upstream:display; "upstream did not appear again after the outage");
        }
        step(&instance, now);
    }
}

fn step(instance: &Rc<FleetInstance>, now: Time) {
    // A stopping instance leaves new orders to the others.
    let wanted = !instance.draining.is_closed() && is_wanted(instance);
    let rank = instance.peers.borrow().rank(now);
    let write = instance.tenure.borrow_mut().due_write(wanted, rank, now);
    if let Some(write) = write {
        monoio::spawn(write_tenure(Rc::clone(instance), write));
    }
    if !wanted || order_time(instance).is_none() {
        return;
    }
    let loads = {
        let upstreams = instance.upstreams.borrow();
        let peers = instance.peers.borrow();
        let named = instance.named.borrow();
        let mut rollout = instance.rollout.borrow_mut();
        rollout.plan(&upstreams, &peers, &named, now)
    };
    for load in loads {
        monoio::spawn(load_weights(Rc::clone(instance), load));
    }
}

fn is_wanted(instance: &FleetInstance) -> bool {
    let named = instance.named.borrow();
    Rollout::is_needed(&instance.upstreams.borrow(), &named)
        || instance.rollout.borrow().is_active()
}

/// Returns the fencing number when an order that is sent now is answered within
/// this instance's tenure.
fn order_time(instance: &FleetInstance) -> Option<u64> {
    let now = instance.now();
    let (fencing, until) = instance.tenure.borrow().active_fencing(now)?;
    (until.since(now) > ENGINE_TIMEOUT).then_some(fencing)
}

async fn write_tenure(instance: Rc<FleetInstance>, write: LeaseWrite) {
    let kind = wire::store::TENURES;
    let written = instance
        .store
        .put(kind, TENURE_NAME, write.expected, &write.record);
    let outcome = written.await;
    let now = instance.now();
    let fencing = write.record.fencing;
    let released = write.record.released;
    let mut tenure = instance.tenure.borrow_mut();
    match outcome {
        Ok(Written::Done(object)) => {
            let revision = object.revision;
            if write.record.renewals == 0 || released || tenure.active_fencing(now).is_none() {
                info!(fencing, revision, released; "tenure written");
            }
            tenure.complete_write(LeaseWriteResult::Written(revision), now);
        }
        Ok(Written::Conflict(held)) => {
            tenure.complete_write(LeaseWriteResult::Conflict, now);
            let held = held.and_then(|o| Some((o.revision, read_tenure(&o).ok()?)));
            if held.is_some() {
                tenure.observe(held, now);
            }
            info!(fencing; "tenure lost to another write");
        }
        Ok(Written::Missing) => tenure.complete_write(LeaseWriteResult::Conflict, now),
        Err(error) => {
            warn!(fencing, error:display; "tenure not written");
            tenure.complete_write(LeaseWriteResult::Unknown, now);
        }
    }
}

/// Has one engine load weights.
async fn load_weights(instance: Rc<FleetInstance>, load: WeightsLoad) {
    let started = instance.now();
    let loaded = match empty(&instance, &load).await {
        Some(mode) => order_load(&instance, &load, mode).await,
        None => false,
    };
    let now = instance.now();
    let took_ms = millis(now.since(started));
    let version = load.version;
    info!(upstream:display = load.upstream, version, loaded, took_ms; "load ended");
    let mut rollout = instance.rollout.borrow_mut();
    rollout.finish_load(&load.upstream, loaded, now);
}

/// Keeps new requests from an engine until its load can begin, and returns what
/// becomes of its running requests.
async fn empty(instance: &FleetInstance, load: &WeightsLoad) -> Option<SwitchMode> {
    let started = instance.now();
    loop {
        order_time(instance)?;
        let now = instance.now();
        let waited = now.since(started);
        let (requests, fragile, service) = {
            let mut upstreams = instance.upstreams.borrow_mut();
            upstreams.pause_requests(&load.upstream, AWAY, now);
            let row = upstreams.get(&load.upstream)?;
            let elsewhere = instance.peers.borrow().remote_load(row.hash, now);
            let requests = row.local_load.requests + elsewhere.requests;
            let fragile = row.local_load.fragile + elsewhere.fragile;
            (requests, fragile, row.entry.service.clone())
        };
        // Other instances have heard of it after an interval or two.
        let known = waited >= instance.peers.borrow().interval() * 2;
        let (turn, urgent) = {
            let upstreams = instance.upstreams.borrow();
            let named = instance.named.borrow();
            let named = named.iter().find(|n| n.model == load.model)?;
            let urgent = rollout::is_urgent(&upstreams, named, now);
            let turn = instance.rollout.borrow().may_load(&load.model, now);
            (turn, urgent)
        };
        let left = instance.retries_left(&service);
        let mode = rollout::switch_mode(requests, fragile, left, waited, urgent);
        if let Some(mode) = mode.filter(|_| turn && known) {
            let until = now + LONGEST_LOAD;
            instance
                .rollout
                .borrow_mut()
                .mark_loading(&load.upstream, until);
            return Some(mode);
        }
        if waited > LONGEST_LOAD {
            return None;
        }
        monoio::time::sleep(POLL).await;
    }
}

/// Orders a load and returns whether the weights are in place.
async fn order_load(instance: &FleetInstance, load: &WeightsLoad, mode: SwitchMode) -> bool {
    let started = instance.now();
    let mut ordered = None;
    let mut poll = POLL;
    while instance.now().since(started) < LONGEST_LOAD {
        let report = match report(instance, load).await {
            Ok(report) => report,
            Err(error) => {
                warn!(upstream:display = load.upstream, error:display; "no report");
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
        if take_report(instance, load, &report) {
            return true;
        }
        if report.is_busy || is_outdated(&report, ordered, instance.now()) {
            instance
                .upstreams
                .borrow_mut()
                .pause_requests(&load.upstream, AWAY, instance.now());
            monoio::time::sleep(poll).await;
            poll = LONGEST_POLL.min(poll * 2);
            continue;
        }
        let Some(fencing) = order_time(instance) else {
            return false;
        };
        match order(instance, load, &report, mode, fencing).await {
            Some(OrderAnswer::Accepted) => {
                ordered = Some((report.orders, instance.now()));
                accepted(instance, load, mode);
                poll = POLL;
                monoio::time::sleep(LOAD_TIME).await;
            }
            Some(OrderAnswer::InPlace) => {
                saw(instance, load, load.version);
                return true;
            }
            Some(OrderAnswer::Conflict) | None => monoio::time::sleep(POLL).await,
            Some(OrderAnswer::Misdirected) => {
                instance
                    .upstreams
                    .borrow_mut()
                    .mark_replaced(&load.upstream);
                return false;
            }
            Some(OrderAnswer::Fenced | OrderAnswer::Unknown) => return false,
        }
    }
    false
}

/// Returns whether a report comes from another process than the one that is to
/// load: it started at the same address after that one had ended.
fn is_successor(instance: &FleetInstance, load: &WeightsLoad, report: &Report) -> bool {
    let upstreams = instance.upstreams.borrow();
    let known = upstreams.get(&load.upstream).map(|row| row.entry.born_ms);
    // A report without a start says nothing of it.
    report.born_ms != 0 && known != Some(report.born_ms)
}

/// Returns whether a report is from before the order that was accepted last.
fn is_outdated(report: &Report, ordered: Option<(u64, Time)>, now: Time) -> bool {
    ordered.is_some_and(|(orders, at)| {
        report.orders <= orders && now.since(at) < LOAD_TIME + REPORT_AGE
    })
}

/// Lets the next engine begin when this one is expected to have loaded.
fn accepted(instance: &FleetInstance, load: &WeightsLoad, mode: SwitchMode) {
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

fn saw(instance: &FleetInstance, load: &WeightsLoad, version: u64) {
    let mut upstreams = instance.upstreams.borrow_mut();
    upstreams.observe_weights(&load.upstream, &load.model, version);
}

/// Takes a report and returns whether the weights are in place.
fn take_report(instance: &FleetInstance, load: &WeightsLoad, report: &Report) -> bool {
    let held = report.weights.iter().find(|w| w.model == load.model);
    let Some(held) = held else {
        return false;
    };
    if held.version >= load.version {
        saw(instance, load, held.version);
    }
    held.version >= load.version
}

async fn report(instance: &FleetInstance, load: &WeightsLoad) -> Result<Report, CallError> {
    let req = wire::engine::report_request(&load.upstream)?;
    let (status, body) = call(&instance.upstream_client, load.address, req, ENGINE_TIMEOUT).await?;
    Ok(wire::engine::report(status, &body)?)
}

/// Gives an order and returns the engine's answer, if one came.
async fn order(
    instance: &FleetInstance,
    load: &WeightsLoad,
    report: &Report,
    mode: SwitchMode,
    fencing: u64,
) -> Option<OrderAnswer> {
    let order = WeightsOrder {
        upstream: &load.upstream,
        model: &load.model,
        version: load.version,
        mode,
        holder: &instance.settings.name,
        fencing,
        orders: report.orders,
    };
    let answer = give(instance, load, &order).await;
    let version = load.version;
    let upstream = &load.upstream;
    match answer {
        Ok((status, answer)) => {
            let status = status.as_u16();
            let answer_code = answer.code();
            instance.metrics.order(answer_code);
            info!(
                upstream:display, version, mode:debug, fencing, orders = report.orders, status,
                answer = answer_code;
                "order given"
            );
            Some(answer)
        }
        Err(error) => {
            // The engine may still carry it out; the number of orders that it
            // must have accepted keeps a late one from undoing a newer one.
            instance.metrics.order("none");
            warn!(upstream:display, version, fencing, error:display; "order not answered");
            None
        }
    }
}

async fn give(
    instance: &FleetInstance,
    load: &WeightsLoad,
    order: &WeightsOrder<'_>,
) -> Result<(StatusCode, OrderAnswer), CallError> {
    let req = wire::engine::order_request(order)?;
    let (status, _) = call(&instance.upstream_client, load.address, req, ENGINE_TIMEOUT).await?;
    Ok((status, wire::engine::order_answer(status)?))
}
