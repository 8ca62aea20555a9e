//! Rolling out the weights that operators named.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::rollout::Load;
use limpetsaddle_fleet::rollout::Rollout;
use limpetsaddle_fleet::tenure::TenureAnswer;
use limpetsaddle_fleet::tenure::TenureWrite;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::engine::OrderAnswer;
use limpetsaddle_platform_wire::engine::Report;
use limpetsaddle_platform_wire::engine::WeightsOrder;
use limpetsaddle_platform_wire::store::Written;
use log::info;
use log::warn;

use super::follow::TENURE_NAME;
use super::follow::conditional;
use super::follow::read_tenure;
use super::instance::FleetInstance;
use super::upstream::UpstreamError;
use super::upstream::call;
use crate::shutdown::Stopping;

/// The time between two looks at what there is to do.
const STEP: Duration = Duration::from_millis(100);

/// The time that an engine gets to answer a report or an order.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(300);

/// The time from an order to the first look at its outcome: a load takes about
/// as long.
const LOAD_TIME: Duration = Duration::from_millis(340);

/// The time between two looks at an engine that is loading.
const POLL: Duration = Duration::from_millis(120);

/// The longest time for one engine, its running requests included.
const LONGEST_LOAD: Duration = Duration::from_millis(4_000);

/// Follows what has to be loaded until the instance ends.
pub async fn run(instance: Rc<FleetInstance>, stopping: Stopping) {
    while stopping.pause(STEP).await {
        let now = instance.now();
        let gone = instance.upstreams.borrow_mut().drop_missing(now);
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
    Rollout::is_wanted(&instance.upstreams.borrow(), &named) || instance.rollout.borrow().is_busy()
}

/// Returns the fencing number when an order that is sent now is answered within
/// this instance's tenure.
fn order_time(instance: &FleetInstance) -> Option<u64> {
    let now = instance.now();
    let (fencing, until) = instance.tenure.borrow().may_order(now)?;
    (until.since(now) > ENGINE_TIMEOUT).then_some(fencing)
}

async fn write_tenure(instance: Rc<FleetInstance>, write: TenureWrite) {
    let outcome = match serde_json::value::to_raw_value(&write.record) {
        Ok(spec) => {
            let kind = wire::store::TENURES;
            let call = conditional(kind, TENURE_NAME, write.expected, &spec);
            instance.store.write(&call).await
        }
        Err(error) => Err(wire::Error::from(error).into()),
    };
    let now = instance.now();
    let fencing = write.record.fencing;
    let released = write.record.released;
    let mut tenure = instance.tenure.borrow_mut();
    match outcome {
        Ok(Written::Done(object)) => {
            let revision = object.revision;
            if write.record.renewals == 0 || released || tenure.may_order(now).is_none() {
                info!(fencing, revision, released; "tenure written");
            }
            tenure.answered(TenureAnswer::Written(revision), now);
        }
        Ok(Written::Conflict(held)) => {
            tenure.answered(TenureAnswer::Lost, now);
            let held = held.and_then(|o| Some((o.revision, read_tenure(&o).ok()?)));
            if held.is_some() {
                tenure.observe(held, now);
            }
            info!(fencing; "tenure lost to another write");
        }
        Ok(Written::Missing) => tenure.answered(TenureAnswer::Lost, now),
        Err(error) => {
            warn!(fencing, error:display; "tenure not written");
            tenure.answered(TenureAnswer::Unknown, now);
        }
    }
}

/// Has one engine load weights.
async fn load_weights(instance: Rc<FleetInstance>, load: Load) {
    let started = instance.now();
    let mut accepted_at = None;
    let loaded = loop {
        if instance.now().since(started) > LONGEST_LOAD {
            break false;
        }
        let report = match report(&instance, &load).await {
            Ok(report) => report,
            Err(error) => {
                warn!(upstream:display = load.upstream, error:display; "no report");
                break false;
            }
        };
        if take_report(&instance, &load, &report) {
            break true;
        }
        // A report is older than its answer and may not show the order yet.
        let stale = accepted_at.is_some_and(|orders| report.orders <= orders);
        if report.is_busy || stale {
            monoio::time::sleep(POLL).await;
            continue;
        }
        let Some(fencing) = order_time(&instance) else {
            break false;
        };
        match order(&instance, &load, &report, fencing).await {
            Some(OrderAnswer::Accepted) => {
                accepted_at = Some(report.orders);
                monoio::time::sleep(LOAD_TIME).await;
            }
            Some(OrderAnswer::InPlace) => {
                saw(&instance, &load, load.version);
                break true;
            }
            Some(OrderAnswer::Conflict) | None => monoio::time::sleep(POLL).await,
            Some(OrderAnswer::Fenced | OrderAnswer::Unknown | OrderAnswer::Misdirected) => {
                break false;
            }
        }
    };
    let now = instance.now();
    let took_ms = now.since(started).as_millis() as u64;
    let version = load.version;
    info!(upstream:display = load.upstream, version, loaded, took_ms; "load ended");
    let mut rollout = instance.rollout.borrow_mut();
    rollout.ended(&load.upstream, loaded, now);
}

fn saw(instance: &FleetInstance, load: &Load, version: u64) {
    let now = instance.now();
    let mut upstreams = instance.upstreams.borrow_mut();
    upstreams.saw_weights(&load.upstream, &load.model, version, now);
}

/// Takes a report and returns whether the weights are in place.
fn take_report(instance: &FleetInstance, load: &Load, report: &Report) -> bool {
    let held = report.weights.iter().find(|w| w.model == load.model);
    let Some(held) = held else {
        return false;
    };
    if held.version >= load.version {
        saw(instance, load, held.version);
    }
    held.version >= load.version
}

async fn report(instance: &FleetInstance, load: &Load) -> Result<Report, UpstreamError> {
    let req = wire::engine::report_request(&load.upstream)?;
    let (status, body) = call(instance, load.address, req, ENGINE_TIMEOUT).await?;
    Ok(wire::engine::report(status, &body)?)
}

/// Gives an order and returns the engine's answer, if one came.
async fn order(
    instance: &FleetInstance,
    load: &Load,
    report: &Report,
    fencing: u64,
) -> Option<OrderAnswer> {
    let order = WeightsOrder {
        upstream: &load.upstream,
        model: &load.model,
        version: load.version,
        holder: &instance.settings.name,
        fencing,
        orders: report.orders,
    };
    instance
        .upstreams
        .borrow_mut()
        .loading(&load.upstream, instance.now());
    let answer = give(instance, load, &order).await;
    let version = load.version;
    let upstream = &load.upstream;
    match answer {
        Ok((status, answer)) => {
            let status = status.as_u16();
            let answer_code = answer.code();
            instance.metrics.order(answer_code);
            info!(
                upstream:display, version, fencing, orders = report.orders, status,
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
    load: &Load,
    order: &WeightsOrder<'_>,
) -> Result<(StatusCode, OrderAnswer), UpstreamError> {
    let req = wire::engine::order_request(order)?;
    let (status, _) = call(instance, load.address, req, ENGINE_TIMEOUT).await?;
    Ok((status, wire::engine::order_answer(status)?))
}
