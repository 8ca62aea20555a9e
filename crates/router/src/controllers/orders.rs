//! Orders to engines, their lease and the engines' reports.
//!
//! One instance of a failure domain at a time sends orders to its engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http::header;
use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::PoolKind;
use limpetsaddle_core::names::ModelName;
use limpetsaddle_core::names::ObjectName;
use limpetsaddle_core::names::UpstreamName;
use limpetsaddle_core::orders::DesiredEngine;
use limpetsaddle_core::orders::EngineReport;
use limpetsaddle_core::orders::EngineView;
use limpetsaddle_core::orders::LeaseAction;
use limpetsaddle_core::orders::LeaseHolder;
use limpetsaddle_core::orders::LeaseKeeper;
use limpetsaddle_core::orders::LeaseWriteResult;
use limpetsaddle_core::orders::Order;
use limpetsaddle_core::orders::OrderOptions;
use limpetsaddle_core::orders::OrderOutcome;
use limpetsaddle_core::orders::OrderPlanner;
use limpetsaddle_core::orders::PlannedOrder;
use limpetsaddle_core::orders::Role;
use limpetsaddle_core::units::FencingNumber;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::WeightsVersion;
use limpetsaddle_http::Request;
use limpetsaddle_platform::Error as PlatformError;
use log::info;
use serde::Deserialize;
use serde::Serialize;

use super::exchange::jittered;
use super::loads::fetch;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::shutdown::Stopping;
use crate::unusable;
use crate::unusable::UnusableEntry;

/// The kind of lease records.
const LEASES: &str = "leases";

/// The interval between rounds.
const PERIOD: Duration = Duration::from_secs(1);

/// The interval in rounds at which engines are asked for reports while all are in
/// the desired state.
const SETTLED_INTERVAL_ROUNDS: u32 = 4;

/// The time after which an order without a response counts as unknown.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum length of an engine's response in bytes.
const MAX_RESPONSE_BYTES: usize = 4_096;

/// The time after which a request for a report is abandoned.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of the task that sends orders.
struct OrderController {
    instance: Rc<Instance>,
    lease: ObjectName,
    keeper: LeaseKeeper,
    planner: OrderPlanner,
    holds_lease: bool,
    round: u32,
    is_settled: bool,
    last_desired: Vec<DesiredState>,
}

/// The desired state of an upstream, for comparison with the last round.
#[derive(Eq, PartialEq)]
struct DesiredState {
    upstream: UpstreamName,
    desired: DesiredEngine,
}

/// An engine of this failure domain.
struct Target {
    name: UpstreamName,
    address: SocketAddr,
    checks_fencing: bool,
    desired: DesiredEngine,
}

impl Target {
    fn desired_state(&self) -> DesiredState {
        DesiredState {
            upstream: self.name.clone(),
            desired: self.desired.clone(),
        }
    }
}

/// The fields of an engine's response to `GET /load` that orders need.
#[derive(Debug, Deserialize)]
struct Report {
    incarnation: Incarnation,
    model: ModelName,
    weights: WeightsVersion,
    #[serde(default = "both")]
    role: Role,
    #[serde(default)]
    loading: bool,
}

const fn both() -> Role {
    Role::Both
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fencing: FencingNumber,
    order: &'a Order,
}

#[derive(Deserialize)]
struct OrderReceipt {
    incarnation: Incarnation,
}

/// Acquires the lease and sends orders while this instance holds it.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    let Ok(lease) = format!("orders.{}", instance.settings.domain).parse() else {
        return;
    };
    let holder = LeaseHolder {
        instance: instance.settings.name.clone(),
        incarnation: instance.incarnation(),
    };
    let options = OrderOptions::default();
    let mut controller = OrderController {
        lease,
        keeper: LeaseKeeper::new(holder, options),
        planner: OrderPlanner::new(options),
        holds_lease: false,
        round: 0,
        is_settled: false,
        last_desired: Vec::new(),
        instance,
    };
    while stopping.pause(jittered(&controller.instance, PERIOD)).await {
        if controller.instance.draining.is_closed() {
            controller.keeper.release();
        }
        controller.keep_lease().await;
        controller.send_orders().await;
    }
}

impl OrderController {
    async fn keep_lease(&mut self) {
        let instance = Rc::clone(&self.instance);
        let Some(action) = self.keeper.poll(instance.now()) else {
            return;
        };
        match action {
            LeaseAction::Read => match instance.platform.read_lease(&self.lease).await {
                Ok(current) => {
                    let mut unusable = instance.unusable_entries.borrow_mut();
                    unusable.remove(LEASES, self.lease.as_str());
                    drop(unusable);
                    self.keeper.on_read(current, instance.now());
                }
                Err(PlatformError::UnreadableRecord { revision }) => {
                    self.record_unreadable();
                    self.keeper.on_unreadable(revision, instance.now());
                }
                Err(_) => {}
            },
            LeaseAction::Write(write) => {
                let result = instance.platform.write_lease(&self.lease, &write).await;
                if matches!(result, LeaseWriteResult::Unreadable(_)) {
                    self.record_unreadable();
                }
                self.keeper.on_write(result, instance.now());
            }
        }
        let held_lease = self.keeper.held_lease(instance.now());
        if held_lease.is_some() != self.holds_lease {
            self.holds_lease = held_lease.is_some();
            let fencing = held_lease.map_or(0, |lease| lease.fencing.0);
            info!(holds = self.holds_lease, fencing = fencing; "order lease changed");
        }
    }

    fn record_unreadable(&self) {
        let instance = &self.instance;
        let entry = UnusableEntry {
            kind: LEASES,
            name: self.lease.as_str(),
            reason: "its content cannot be decoded",
        };
        let message = "replacing an unreadable lease";
        if unusable::record(&instance.unusable_entries, &entry, message, instance.now()) {
            instance.metrics.count(Event::LeaseInvalid);
        }
    }

    async fn send_orders(&mut self) {
        let instance = Rc::clone(&self.instance);
        if self.keeper.held_lease(instance.now()).is_none() {
            self.planner.plan(None, &[], instance.now());
            return;
        }
        let targets = targets(&instance);
        if !self.is_due(&targets) {
            return;
        }
        let views = views(&instance, &targets).await;
        self.is_settled = views.iter().all(has_desired_state);
        self.last_desired = targets.iter().map(Target::desired_state).collect();
        // The lease may have expired while waiting for the reports.
        let now = instance.now();
        let orders = self.planner.plan(self.keeper.held_lease(now), &views, now);
        let addresses: BTreeMap<&UpstreamName, SocketAddr> =
            targets.iter().map(|t| (&t.name, t.address)).collect();
        let sends = orders.iter().map(|order| {
            instance.metrics.count(Event::OrderSent);
            send(&instance, order, addresses.get(&order.upstream).copied())
        });
        let outcomes = futures::future::join_all(sends).await;
        for (order, outcome) in orders.iter().zip(outcomes) {
            if outcome == OrderOutcome::Fenced {
                self.keeper.on_fenced(order.fencing);
            }
            self.planner.on_outcome(order, outcome, instance.now());
        }
    }

    /// Returns whether engines are asked for reports in this round: rarely while all
    /// are in the desired state, and at once when the desired state changes.
    fn is_due(&mut self, targets: &[Target]) -> bool {
        self.round = self.round.wrapping_add(1);
        let desired_states: Vec<DesiredState> = targets.iter().map(Target::desired_state).collect();
        let same = desired_states == self.last_desired;
        !self.is_settled || !same || self.round.is_multiple_of(SETTLED_INTERVAL_ROUNDS)
    }
}

fn has_desired_state(view: &EngineView) -> bool {
    let report = view.report.as_ref();
    report.is_some_and(|r| r.weights == view.desired.weights && r.model == view.desired.model)
}

/// Returns the live engines of this failure domain with their desired states.
fn targets(instance: &Instance) -> Vec<Target> {
    let board = instance.board.borrow();
    let mut targets = Vec::new();
    for model in board.store.models() {
        let Some((pool, spec)) = board.pool_for(model) else {
            continue;
        };
        let PoolKind::Engine { weights, .. } = &spec.kind else {
            continue;
        };
        for (name, upstream) in board.store.upstreams_of(pool) {
            if upstream.domain != instance.settings.domain || upstream.phase != Phase::Live {
                continue;
            }
            targets.push(Target {
                name: name.clone(),
                address: upstream.address,
                checks_fencing: spec.checks_fencing,
                desired: DesiredEngine {
                    model: model.clone(),
                    weights: *weights,
                    role: None,
                },
            });
        }
    }
    targets
}

async fn views(instance: &Rc<Instance>, targets: &[Target]) -> Vec<EngineView> {
    let reports = targets.iter().map(|target| async {
        let requested_at = instance.now();
        let call = report(instance, target.address);
        let response = monoio::time::timeout(REPORT_TIMEOUT, call).await;
        let report = response.ok().flatten().map(|report| EngineReport {
            incarnation: report.incarnation,
            model: report.model,
            weights: report.weights,
            role: report.role,
            loading: report.loading,
            requested_at,
        });
        EngineView {
            upstream: target.name.clone(),
            checks_fencing: target.checks_fencing,
            desired: target.desired.clone(),
            report,
        }
    });
    futures::future::join_all(reports).await
}

async fn report(instance: &Instance, address: SocketAddr) -> Option<Report> {
    let body = fetch(instance, address, "/load").await?;
    serde_json::from_slice(&body).ok()
}

fn request(address: SocketAddr, body: Bytes) -> Option<Request> {
    let mut req = Request::new(body);
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static("/orders");
    let headers = req.headers_mut();
    headers.insert(header::HOST, address.to_string().parse().ok()?);
    let json = header::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    Some(req)
}

async fn send(
    instance: &Instance,
    order: &PlannedOrder,
    address: Option<SocketAddr>,
) -> OrderOutcome {
    let Some(address) = address else {
        return OrderOutcome::NotSent;
    };
    let sent = monoio::time::timeout(SEND_TIMEOUT, send_order(instance, order, address));
    // An engine that does not respond must not delay the renewal of the lease.
    sent.await.unwrap_or(OrderOutcome::Unknown)
}

async fn send_order(
    instance: &Instance,
    order: &PlannedOrder,
    address: SocketAddr,
) -> OrderOutcome {
    let body = crate::responses::json(&OrderBody {
        fencing: order.fencing,
        order: &order.order,
    });
    let Some(req) = request(address, body) else {
        return OrderOutcome::NotSent;
    };
    // After a pause of the process, another holder may have replaced this order.
    if !order.may_send(instance.now()) {
        return OrderOutcome::NotSent;
    }
    let res = match instance.upstream.send(address, req).await {
        Ok(res) => res,
        Err(error) if error.not_sent() => return OrderOutcome::NotSent,
        Err(_) => return OrderOutcome::Unknown,
    };
    if res.head.status == StatusCode::CONFLICT {
        return OrderOutcome::Fenced;
    }
    if res.head.status != StatusCode::OK {
        return OrderOutcome::Unknown;
    }
    let Ok(body) = res.collect(MAX_RESPONSE_BYTES).await else {
        return OrderOutcome::Unknown;
    };
    serde_json::from_slice::<OrderReceipt>(&body).map_or(OrderOutcome::Unknown, |r| {
        OrderOutcome::Accepted(r.incarnation)
    })
}
