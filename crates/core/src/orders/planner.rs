//! Planning of orders to engines.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::OrderOptions;
use super::lease::HeldLease;
use crate::names::ModelName;
use crate::names::UpstreamName;
use crate::units::FencingNumber;
use crate::units::Incarnation;
use crate::units::Time;
use crate::units::WeightsVersion;

/// A `Role` is the phase of requests that an engine executes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill only.
    Prefill,
    /// Decoding only.
    Decode,
    /// Prefill and decoding.
    Both,
}

/// An `Order` is an instruction to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load the weights of a model.
    Load {
        /// The model.
        model: ModelName,
        /// The version of its weights.
        weights: WeightsVersion,
    },
    /// Change the role of the engine.
    Role(Role),
}

/// A `DesiredEngine` is the target state of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredEngine {
    /// The model.
    pub model: ModelName,
    /// The version of the model's weights.
    pub weights: WeightsVersion,
    /// The role, or `None` to leave it unchanged.
    pub role: Option<Role>,
}

/// An `EngineReport` is the state reported by an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// The incarnation of the engine.
    pub incarnation: Incarnation,
    /// The model that the engine serves.
    pub model: ModelName,
    /// The version of the weights that the engine holds.
    pub weights: WeightsVersion,
    /// The role.
    pub role: Role,
    /// Whether the engine is loading weights.
    pub loading: bool,
    /// The time at which the report was requested.
    pub requested_at: Time,
}

/// An `EngineView` contains the planner's input for one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub upstream: UpstreamName,
    /// Whether the engine rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// The target state of the engine.
    pub desired: DesiredEngine,
    /// The latest report, if any.
    pub report: Option<EngineReport>,
}

/// A `PlannedOrder` is an order to be sent to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// The sequence number of the order within its planner.
    pub number: u64,
    /// The engine.
    pub upstream: UpstreamName,
    /// The fencing number of the lease under which the order is issued.
    pub fencing: FencingNumber,
    /// The order.
    pub order: Order,
    /// The time from which the order must no longer be sent.
    pub send_before: Time,
}

impl PlannedOrder {
    /// Returns whether the order may be sent; to be checked right before its first byte.
    #[must_use]
    pub fn may_send(&self, now: Time) -> bool {
        now < self.send_before
    }
}

/// An `OrderOutcome` is the outcome of sending a [`PlannedOrder`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine accepted the order in this incarnation.
    Accepted(Incarnation),
    /// The engine has seen a larger fencing number.
    Fenced,
    /// No byte of the order was sent.
    NotSent,
    /// The engine may have received the order.
    Unknown,
}

/// The fencing number of the first holder, which has no predecessor.
const FIRST: FencingNumber = FencingNumber(1);

#[derive(Clone, Debug)]
struct Outstanding {
    number: u64,
    order: Order,
    planned: Time,
    /// Whether an order of the previous holder may still change the engine.
    is_contested: bool,
    accepted: Option<Acceptance>,
}

#[derive(Clone, Copy, Debug)]
struct Acceptance {
    incarnation: Incarnation,
    received: Time,
}

/// An `OrderPlanner` decides which order to send to which engine.
///
/// An order is outstanding until a report requested after its acceptance shows its
/// effect or a new incarnation, or until the maximum lifetime of an order has passed.
///
/// ```
/// use limpetsaddle_core::orders::OrderOptions;
/// use limpetsaddle_core::orders::OrderPlanner;
/// use limpetsaddle_core::units::Time;
///
/// let mut planner = OrderPlanner::new(OrderOptions::default());
/// assert!(planner.plan(None, &[], Time::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct OrderPlanner {
    options: OrderOptions,
    outstanding: BTreeMap<UpstreamName, Outstanding>,
    fenced: Option<FencingNumber>,
    last_number: u64,
}

impl OrderPlanner {
    /// Returns a planner without outstanding orders.
    #[must_use]
    pub const fn new(options: OrderOptions) -> Self {
        Self {
            options,
            outstanding: BTreeMap::new(),
            fenced: None,
            last_number: 0,
        }
    }

    /// Returns the number of weight loads that may still be in progress.
    #[must_use]
    pub fn outstanding_loads(&self) -> usize {
        let loads = |o: &&Outstanding| matches!(o.order, Order::Load { .. });
        self.outstanding.values().filter(loads).count()
    }

    /// Returns the orders to send at `now`, in the sequence of `engines`.
    ///
    /// Each returned order is outstanding from `now` on; its outcome must be passed to
    /// [`Self::on_outcome`].
    pub fn plan(
        &mut self,
        held_lease: Option<HeldLease>,
        engines: &[EngineView],
        now: Time,
    ) -> Vec<PlannedOrder> {
        self.remove_finished(engines, now);
        let Some(held_lease) =
            held_lease.filter(|l| now < l.expires && self.fenced < Some(l.fencing))
        else {
            return Vec::new();
        };
        let mut loads = self.outstanding_loads() + self.loads_by_others(engines);
        let mut orders = Vec::new();
        for engine in engines {
            let Some(order) = self.order_for(engine, held_lease, now) else {
                continue;
            };
            let is_load = matches!(order, Order::Load { .. });
            if is_load && loads >= self.options.max_loads {
                continue;
            }
            loads += usize::from(is_load);
            orders.push(self.plan_order(engine, order, held_lease, now));
        }
        orders
    }

    fn plan_order(
        &mut self,
        engine: &EngineView,
        order: Order,
        held_lease: HeldLease,
        now: Time,
    ) -> PlannedOrder {
        self.last_number += 1;
        let outstanding = Outstanding {
            number: self.last_number,
            order: order.clone(),
            planned: now,
            is_contested: held_lease.fencing > FIRST
                && now < held_lease.acquired + self.options.order_lifetime(),
            accepted: None,
        };
        self.outstanding
            .insert(engine.upstream.clone(), outstanding);
        PlannedOrder {
            number: self.last_number,
            upstream: engine.upstream.clone(),
            fencing: held_lease.fencing,
            order,
            send_before: held_lease.expires.min(now + self.options.order_transit),
        }
    }

    /// Records the outcome of an order.
    pub fn on_outcome(&mut self, order: &PlannedOrder, outcome: OrderOutcome, now: Time) {
        if outcome == OrderOutcome::Fenced {
            self.fenced = self.fenced.max(Some(order.fencing));
        }
        let Some(outstanding) = self.outstanding.get_mut(&order.upstream) else {
            return;
        };
        if outstanding.number != order.number {
            return;
        }
        match outcome {
            OrderOutcome::Accepted(incarnation) => {
                outstanding.accepted = Some(Acceptance {
                    incarnation,
                    received: now,
                });
            }
            OrderOutcome::Unknown => {}
            OrderOutcome::Fenced | OrderOutcome::NotSent => {
                self.outstanding.remove(&order.upstream);
            }
        }
    }

    fn remove_finished(&mut self, engines: &[EngineView], now: Time) {
        let lifetime = self.options.order_lifetime() + self.options.order_transit;
        self.outstanding.retain(|upstream, o| {
            let view = engines.iter().find(|e| e.upstream == *upstream);
            let report = view.and_then(|e| e.report.as_ref());
            let execution = self.options.order_execution;
            let finished = report.is_some_and(|r| is_finished(o, r, execution));
            !finished && now.since(o.planned) < lifetime
        });
    }

    fn loads_by_others(&self, engines: &[EngineView]) -> usize {
        let loading = |e: &&EngineView| e.report.as_ref().is_some_and(|r| r.loading);
        let by_others = |e: &&EngineView| !self.outstanding.contains_key(&e.upstream);
        engines.iter().filter(loading).filter(by_others).count()
    }

    fn order_for(&self, engine: &EngineView, held_lease: HeldLease, now: Time) -> Option<Order> {
        let report = engine.report.as_ref()?;
        let fresh = now.since(report.requested_at) < self.options.report_max_age;
        let busy = report.loading || self.outstanding.contains_key(&engine.upstream);
        // An engine that ignores the fencing number could execute an order of the
        // previous holder after one of this holder.
        let safe_from = held_lease.acquired + self.options.order_lifetime();
        let safe = engine.checks_fencing || now >= safe_from;
        if !fresh || busy || !safe {
            return None;
        }
        next_order(&engine.desired, report)
    }
}

/// Returns whether a report shows that an outstanding order has ended.
///
/// An order that has not been accepted may still reach the engine, regardless of the
/// report. While an order of the previous holder may still change the engine, the
/// reported state may be the effect of that order. The outstanding order then counts
/// for the maximum execution time, even if the engine reports no load.
fn is_finished(outstanding: &Outstanding, report: &EngineReport, execution: Duration) -> bool {
    let Some(accepted) = outstanding
        .accepted
        .filter(|a| report.requested_at > a.received)
    else {
        return false;
    };
    let restarted = report.incarnation != accepted.incarnation;
    if outstanding.is_contested && report.requested_at.since(accepted.received) < execution {
        return restarted;
    }
    let is_done = match &outstanding.order {
        Order::Load { model, weights } => {
            report.model == *model && report.weights == *weights && !report.loading
        }
        Order::Role(role) => report.role == *role,
    };
    restarted || is_done
}

fn next_order(desired: &DesiredEngine, report: &EngineReport) -> Option<Order> {
    if report.weights != desired.weights || report.model != desired.model {
        return Some(Order::Load {
            model: desired.model.clone(),
            weights: desired.weights,
        });
    }
    let role = desired.role.filter(|role| *role != report.role)?;
    Some(Order::Role(role))
}
