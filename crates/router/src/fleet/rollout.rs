//! Rollout of the target weights to the engines.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::availability::Availability;
use limpetsaddle_fleet::rollout;
use limpetsaddle_fleet::rollout::LoadEnd;
use limpetsaddle_fleet::rollout::Rollout;
use limpetsaddle_fleet::rollout::SeenEnd;
use limpetsaddle_fleet::rollout::SwitchMode;
use limpetsaddle_fleet::rollout::WeightsLoad;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::engine::OrderResult;
use limpetsaddle_platform_wire::engine::Report;
use limpetsaddle_platform_wire::engine::WeightsOrder;
use log::info;
use log::warn;

use super::call::CallError;
use super::canary;
use super::instance::FleetInstance;
use super::order_lease;
use super::order_lease::ORDER_TIMEOUT;
use super::permits;
use super::response_limits::CallKind;
use super::upstream_calls::Recipient;
use super::upstream_calls::log_changes;
use crate::clock::millis;
use crate::shutdown::Stopping;

/// The time between two rollout steps.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two polls of an engine that is draining or loading.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// The longest time between two polls of an engine that is loading. One
/// instance polls all engines, including those that execute orders late.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(360);

/// The time after which a report that doesn't show an accepted order proves that
/// the engine has lost it.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// The time for which other instances avoid an engine that is draining,
/// renewed with each poll.
const REQUEST_PAUSE: Duration = Duration::from_millis(400);

/// The longest rest of an engine after which its order is still sent. The order of another
/// engine takes the place of one that rests for longer.
const MAX_REST_WAIT: Duration = Duration::from_millis(400);

/// The shortest limit on the time for which an engine drains before its order.
const MIN_DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Loads the target weights until the instance stops.
pub async fn run(instance: Rc<FleetInstance>, stopping: Stopping) {
    while stopping.pause(STEP_INTERVAL).await {
        let now = instance.now();
        let removed = instance.upstreams.borrow_mut().remove_missing(now);
        for upstream in removed {
            info!(upstream:display; "removing upstream that has not registered again after an outage of the store");
        }
        log_changes(&instance, "");
        step(&instance, now);
    }
}

fn step(instance: &Rc<FleetInstance>, now: Time) {
    // A stopping instance leaves new orders to its peers.
    let needed = !instance.draining.is_closed() && is_needed(instance);
    let rank = instance.peers.borrow().rank(now);
    instance.observe_lease_era();
    let write = instance.lease.borrow_mut().due_write(needed, rank, now);
    if let Some(write) = write {
        monoio::spawn(order_lease::write(Rc::clone(instance), write));
    }
    if !needed || order_lease::fencing(instance).is_none() {
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
        || canary::needs_lease(instance)
}

/// Returns whether the lease still permits an order whose timeout ends at `deadline`.
///
/// The machine may have been suspended since the order was decided on.
fn permits_order(instance: &FleetInstance, fencing: u64, deadline: Time) -> bool {
    let now = instance.now();
    let lease = instance.lease.borrow().active_fencing(now);
    now < deadline && lease.is_some_and(|(held, until)| held == fencing && deadline < until)
}

/// Drains one engine and orders it to load weights.
async fn load_weights(instance: Rc<FleetInstance>, mut load: WeightsLoad) {
    let started = instance.now();
    let end = match drain(&instance, &load).await {
        Some(mode) => order_load(&instance, &mut load, mode).await,
        None => LoadEnd::Failed,
    };
    let now = instance.now();
    let took_ms = millis(now.since(started));
    let version = load.version;
    let loaded = end != LoadEnd::Failed;
    let mut rollout = instance.rollout.borrow_mut();
    rollout.finish_load(&load, end, now);
    let pace = rollout.pace(&load.model);
    let expected_ms = millis(pace.expected(1).unwrap_or_default());
    info!(
        upstream:display = load.upstream, version, loaded, took_ms, expected_ms,
        may_load = rollout.may_load(&load.model);
        "weights load ended"
    );
}

/// Returns the longest time for which an engine drains before its order.
fn max_drain_time(instance: &FleetInstance) -> Duration {
    let bound = instance.settings.bounds.max_weights_age;
    bound.max(MIN_DRAIN_LIMIT)
}

/// Keeps new requests away from an engine until its load can begin, and returns
/// how the load treats running requests.
async fn drain(instance: &FleetInstance, load: &WeightsLoad) -> Option<SwitchMode> {
    let started = instance.now();
    loop {
        order_lease::fencing(instance)?;
        let now = instance.now();
        let waited = now.since(started);
        {
            let mut upstreams = instance.upstreams.borrow_mut();
            upstreams.get(&load.upstream)?;
            upstreams.pause_requests(&load.upstream, REQUEST_PAUSE, now);
        }
        let peers_informed = waited >= instance.peers.borrow().informed_time();
        let may_load = instance.rollout.borrow().may_load(&load.model);
        let mode = switch_mode(instance, load, waited);
        if let Some(mode) = mode.filter(|_| may_load && peers_informed) {
            let until = now + max_drain_time(instance);
            instance
                .rollout
                .borrow_mut()
                .mark_loading(&load.upstream, until);
            return Some(mode);
        }
        if waited > max_drain_time(instance) {
            return None;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns how an order that is sent now treats the requests at its engine, or `None`
/// while these should end first.
fn switch_mode(
    instance: &FleetInstance,
    load: &WeightsLoad,
    waited: Duration,
) -> Option<SwitchMode> {
    let now = instance.now();
    let (requests, fragile, service, version) = {
        let upstreams = instance.upstreams.borrow();
        let row = upstreams.get(&load.upstream)?;
        let peers_load = instance.peers.borrow().remote_load(row.hash, now);
        let requests = row.local_load.requests + peers_load.requests;
        let fragile = row.local_load.fragile + peers_load.fragile;
        let version = row.weights(&load.model);
        (requests, fragile, Name::clone(&row.entry.service), version)
    };
    let age = {
        let targets = instance.target_weights.borrow();
        let target = targets.iter().find(|t| t.model == load.model);
        target
            .zip(version)
            .and_then(|(t, v)| t.outdated_for(v, now))
    };
    let urgent = {
        let rollout = instance.rollout.borrow();
        let may_wait = rollout.has_time_to_await(&load.model, age.unwrap_or_default(), now);
        rollout.is_urgent(&load.model) || !may_wait
    };
    let retries = instance.available_retries(&service);
    let mode = rollout::switch_mode(requests, fragile, retries, waited, urgent)?;
    let has_room = || instance.rollout.borrow().has_room_to_await(load);
    (mode != SwitchMode::AfterRuns || has_room()).then_some(mode)
}

/// An order that an engine has accepted.
struct AcceptedOrder {
    /// The number of orders that the engine had accepted before.
    orders_before: u64,
    at: Time,
    /// Whether the load began at once, as no running requests had to end first.
    starts_at_once: bool,
    /// The moment of the last report without the weights.
    last_without: Time,
}

/// Orders a load, waits until the engine reports the weights and returns how the
/// load ended.
async fn order_load(
    instance: &FleetInstance,
    load: &mut WeightsLoad,
    mut mode: SwitchMode,
) -> LoadEnd {
    let started = instance.now();
    let mut accepted: Option<AcceptedOrder> = None;
    let mut poll = POLL_INTERVAL;
    let mut is_unconfirmed = false;
    let mut reported = started;
    while stays(instance, load) {
        let report = match fetch_report(instance, load).await {
            Ok(report) => report,
            Err(error) => {
                warn!(upstream:display = load.upstream, error:display; "cannot get the engine's report");
                if wait_for_rest(instance, load, accepted.is_some()).await {
                    continue;
                }
                if accepted.is_none() || instance.now().since(reported) > MAX_REPORT_AGE {
                    return LoadEnd::Failed;
                }
                monoio::time::sleep(poll).await;
                continue;
            }
        };
        reported = instance.now();
        let now = instance.now();
        if is_successor(load, &report) {
            instance
                .upstreams
                .borrow_mut()
                .mark_replaced(&load.incarnation(), now);
            return LoadEnd::Failed;
        }
        if let Some(order) = &accepted {
            observe_report_delay(instance, load, &report, order);
        }
        if has_loaded(instance, load, &report) {
            let mut upstreams = instance.upstreams.borrow_mut();
            upstreams.pause_requests(&load.upstream, Duration::ZERO, now);
            let measured = accepted.filter(|order| order.starts_at_once);
            let seen = measured.map(|order| SeenEnd {
                after: order.last_without,
                by: now,
            });
            return LoadEnd::Loaded { seen };
        }
        if let Some(order) = &mut accepted {
            order.last_without = now;
        }
        if report.is_busy || is_outdated(&report, accepted.as_ref(), now) {
            extend_load(instance, load, now);
            monoio::time::sleep(poll).await;
            poll = MAX_POLL_INTERVAL.min(poll * 2);
            continue;
        }
        let Some(fencing) = order_lease::fencing(instance) else {
            return LoadEnd::Failed;
        };
        if is_unconfirmed && !instance.rollout.borrow().may_load(&load.model) {
            monoio::time::sleep(MAX_POLL_INTERVAL).await;
            continue;
        }
        if is_unconfirmed {
            // The engine has got requests since it was drained.
            let Some(current) = switch_mode(instance, load, instance.now().since(started)) else {
                monoio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            mode = current;
        }
        load.version = newest_version(instance, load);
        let result = send_order(instance, load, &report, mode, fencing).await;
        is_unconfirmed = result.is_none();
        match result {
            Some(OrderResult::Accepted) => {
                let at = instance.now();
                accepted = Some(AcceptedOrder {
                    orders_before: report.accepted_orders,
                    at,
                    starts_at_once: starts_at_once(instance, load, mode),
                    last_without: at,
                });
                let wait = on_accepted(instance, load, mode);
                poll = POLL_INTERVAL;
                monoio::time::sleep(wait).await;
            }
            Some(OrderResult::AlreadyLoaded) => {
                record_weights(instance, load, load.version);
                return LoadEnd::Loaded { seen: None };
            }
            Some(OrderResult::Conflict) | None => monoio::time::sleep(POLL_INTERVAL).await,
            Some(OrderResult::Misdirected) => {
                let now = instance.now();
                instance
                    .upstreams
                    .borrow_mut()
                    .mark_replaced(&load.incarnation(), now);
                return LoadEnd::Failed;
            }
            Some(OrderResult::Fenced | OrderResult::UnknownWeights) => return LoadEnd::Failed,
        }
    }
    LoadEnd::Failed
}

/// Returns whether an engine is still one that loads weights.
fn stays(instance: &FleetInstance, load: &WeightsLoad) -> bool {
    let upstreams = instance.upstreams.borrow();
    upstreams
        .get(&load.upstream)
        .is_some_and(|row| row.entry.born_ms == load.born_ms && row.stays())
}

/// Waits until an engine has rested, and returns whether its load goes on. An engine that
/// already loads may rest for longer.
async fn wait_for_rest(instance: &FleetInstance, load: &WeightsLoad, is_loading: bool) -> bool {
    let now = instance.now();
    let state = {
        let upstreams = instance.upstreams.borrow();
        upstreams.availability(&load.incarnation(), now)
    };
    let Availability::Resting { until } = state else {
        return false;
    };
    let limit = if is_loading {
        max_drain_time(instance)
    } else {
        MAX_REST_WAIT
    };
    let rest = until.since(now);
    if rest > limit {
        return false;
    }
    monoio::time::sleep(rest).await;
    true
}

/// Keeps requests away from an engine that still loads, and counts it as loading
/// until the next report.
fn extend_load(instance: &FleetInstance, load: &WeightsLoad, now: Time) {
    let mut upstreams = instance.upstreams.borrow_mut();
    upstreams.pause_requests(&load.upstream, REQUEST_PAUSE, now);
    let mut rollout = instance.rollout.borrow_mut();
    rollout.mark_loading(&load.upstream, now + REQUEST_PAUSE);
}

/// Returns the newest target version, which may have changed while the engine
/// drained.
fn newest_version(instance: &FleetInstance, load: &WeightsLoad) -> u64 {
    let targets = instance.target_weights.borrow();
    let target = targets.iter().find(|t| t.model == load.model);
    target.map_or(load.version, |target| load.version.max(target.newest()))
}

/// Returns whether a load begins as soon as its order is accepted.
fn starts_at_once(instance: &FleetInstance, load: &WeightsLoad, mode: SwitchMode) -> bool {
    if mode != SwitchMode::AfterRuns {
        return true;
    }
    let upstreams = instance.upstreams.borrow();
    let Some(row) = upstreams.get(&load.upstream) else {
        return false;
    };
    let remote = instance
        .peers
        .borrow()
        .remote_load(row.hash, instance.now());
    row.local_load.requests + remote.requests == 0
}

/// Learns the delay of reports from the first one that shows the order.
fn observe_report_delay(
    instance: &FleetInstance,
    load: &WeightsLoad,
    report: &Report,
    order: &AcceptedOrder,
) {
    let mut rollout = instance.rollout.borrow_mut();
    let is_first = rollout.pace(&load.model).report_delay().is_none();
    if is_first && report.accepted_orders > order.orders_before {
        let delay = instance.now().since(order.at);
        rollout.record_report_delay(&load.model, delay);
    }
}

/// Returns whether a report comes from a process that has replaced the engine at
/// its address.
const fn is_successor(load: &WeightsLoad, report: &Report) -> bool {
    // A report without a start time proves nothing.
    report.born_ms != 0 && load.born_ms != report.born_ms
}

/// Returns whether a report may be older than the last accepted order.
fn is_outdated(report: &Report, accepted: Option<&AcceptedOrder>, now: Time) -> bool {
    accepted.is_some_and(|order| {
        report.accepted_orders <= order.orders_before && now.since(order.at) < MAX_REPORT_AGE
    })
}

/// Records that a load has begun, and returns the time until its next report is
/// worth reading.
///
/// The engine gets requests again at the expected end.
fn on_accepted(instance: &FleetInstance, load: &WeightsLoad, mode: SwitchMode) -> Duration {
    let now = instance.now();
    let mut rollout = instance.rollout.borrow_mut();
    let expected = rollout.start_load(load, now);
    let delay = rollout.pace(&load.model).report_delay();
    if mode == SwitchMode::AfterRuns {
        return POLL_INTERVAL;
    }
    let mut upstreams = instance.upstreams.borrow_mut();
    upstreams.observe_weights(&load.upstream, &load.model, load.version);
    let Some((expected, delay)) = expected.zip(delay) else {
        upstreams.pause_requests(&load.upstream, REQUEST_PAUSE, now);
        return POLL_INTERVAL;
    };
    upstreams.pause_requests(&load.upstream, expected, now);
    let reported = expected + delay;
    rollout.mark_loading(&load.upstream, now + reported);
    reported
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

/// Waits until a report or an order may be sent to an engine that limits all instances.
async fn wait_for_permit(instance: &FleetInstance, load: &WeightsLoad) {
    let limit = max_drain_time(instance);
    permits::wait_for_permit(instance, &load.incarnation(), limit).await;
}

async fn call_upstream(
    instance: &FleetInstance,
    load: &WeightsLoad,
    prepare: impl FnOnce() -> Option<Request>,
    kind: CallKind,
) -> Result<(StatusCode, Bytes), CallError> {
    let recipient = Recipient::Upstream {
        incarnation: load.incarnation(),
        address: load.address,
    };
    let client = &instance.upstream_client;
    client
        .call(instance, &recipient, prepare, kind, ORDER_TIMEOUT)
        .await
}

async fn fetch_report(instance: &FleetInstance, load: &WeightsLoad) -> Result<Report, CallError> {
    wait_for_permit(instance, load).await;
    let req = wire::engine::report_request(&load.upstream)?;
    let (status, body) = call_upstream(instance, load, || Some(req), CallKind::Report).await?;
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
    let sent = instance.now();
    if mode == SwitchMode::AfterRuns {
        let mut rollout = instance.rollout.borrow_mut();
        rollout.mark_awaiting_runs(&load.upstream, sent);
    }
    let result = call_engine(instance, load, &order).await;
    let took = instance.now().since(sent);
    let version = load.version;
    let upstream = &load.upstream;
    match result {
        Ok((status, result)) => {
            let status = status.as_u16();
            let result_code = result.code();
            instance.metrics.record_order(result_code);
            instance.rollout.borrow_mut().record_response(load, took);
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
            instance.rollout.borrow_mut().mark_unconfirmed(load, took);
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
    wait_for_permit(instance, load).await;
    let req = wire::engine::order_request(order)?;
    let deadline = instance.now() + ORDER_TIMEOUT;
    let prepare = || permits_order(instance, order.fencing, deadline).then_some(req);
    let (status, _) = call_upstream(instance, load, prepare, CallKind::Order).await?;
    Ok((status, wire::engine::order_result(status)?))
}
