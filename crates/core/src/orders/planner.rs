//! The choice of the next orders.

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

/// A `Role` is the part of a request's work that an engine does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
    /// Prompts and generation.
    Both,
}

/// An `Order` is what an engine is told to do.
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
    /// Change the role.
    Role(Role),
}

/// A `DesiredEngine` is the state that an engine is to have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredEngine {
    /// The model.
    pub model: ModelName,
    /// The version of the model's weights.
    pub weights: WeightsVersion,
    /// The role, or `None` to leave it as it is.
    pub role: Option<Role>,
}

/// An `EngineReport` is the state that an engine has reported.
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
    /// When the report was asked for.
    pub requested_at: Time,
}

/// An `EngineView` is one engine as the planner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub upstream: UpstreamName,
    /// Whether the engine rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// The state that the engine is to have.
    pub desired: DesiredEngine,
    /// The last report, if there is one.
    pub report: Option<EngineReport>,
}

/// A `PlannedOrder` is an order to be sent to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// The number of the order within its planner.
    pub number: u64,
    /// The engine.
    pub upstream: UpstreamName,
    /// The number of the held lease under which the order is given.
    pub fencing: FencingNumber,
    /// The order.
    pub order: Order,
    /// The point from which the order must no longer be sent.
    pub send_before: Time,
}

impl PlannedOrder {
    /// Returns whether the order may be sent, to be asked right before its first byte.
    #[must_use]
    pub fn may_send(&self, now: Time) -> bool {
        now < self.send_before
    }
}

/// An `OrderOutcome` is what became of a [`PlannedOrder`].
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

/// The number of the first holder, which has no predecessor.
const FIRST: FencingNumber = FencingNumber(1);

#[derive(Clone, Debug)]
struct Outstanding {
    number: u64,
    order: Order,
    given: Time,
    /// Whether an order of the last holder may still change the engine.
    is_contested: bool,
    accepted: Option<Acceptance>,
}

#[derive(Clone, Copy, Debug)]
struct Acceptance {
    incarnation: Incarnation,
    learned: Time,
}

/// An `OrderPlanner` decides which engine gets which order.
///
/// An order counts as outstanding until a report from after its acceptance shows
/// its effect or a new incarnation, or until the longest life of an order has passed.
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

    /// Returns the number of weight loads that may still be running.
    #[must_use]
    pub fn outstanding_loads(&self) -> usize {
        let loads = |o: &&Outstanding| matches!(o.order, Order::Load { .. });
        self.outstanding.values().filter(loads).count()
    }

    /// Returns the orders to give at `now`, in the order of `engines`.
    ///
    /// Each returned order counts as outstanding from `now` on; what became of
    /// it must come back through [`Self::on_outcome`].
    pub fn plan(
        &mut self,
        held_lease: Option<HeldLease>,
        engines: &[EngineView],
        now: Time,
    ) -> Vec<PlannedOrder> {
        self.drop_ended(engines, now);
        let Some(held_lease) =
            held_lease.filter(|t| now < t.until && self.fenced < Some(t.fencing))
        else {
            return Vec::new();
        };
        let mut loads = self.outstanding_loads() + self.foreign_loads(engines);
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
            orders.push(self.give(engine, order, held_lease, now));
        }
        orders
    }

    fn give(
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
            given: now,
            is_contested: held_lease.fencing > FIRST
                && now < held_lease.since + self.options.order_life(),
            accepted: None,
        };
        self.outstanding
            .insert(engine.upstream.clone(), outstanding);
        PlannedOrder {
            number: self.last_number,
            upstream: engine.upstream.clone(),
            fencing: held_lease.fencing,
            order,
            send_before: held_lease.until.min(now + self.options.order_transit),
        }
    }

    /// Takes in what became of an order.
    pub fn on_outcome(&mut self, order: &PlannedOrder, answer: OrderOutcome, now: Time) {
        if answer == OrderOutcome::Fenced {
            self.fenced = self.fenced.max(Some(order.fencing));
        }
        let Some(outstanding) = self.outstanding.get_mut(&order.upstream) else {
            return;
        };
        if outstanding.number != order.number {
            return;
        }
        match answer {
            OrderOutcome::Accepted(incarnation) => {
                outstanding.accepted = Some(Acceptance {
                    incarnation,
                    learned: now,
                });
            }
            OrderOutcome::Unknown => {}
            OrderOutcome::Fenced | OrderOutcome::NotSent => {
                self.outstanding.remove(&order.upstream);
            }
        }
    }

    fn drop_ended(&mut self, engines: &[EngineView], now: Time) {
        let life = self.options.order_life() + self.options.order_transit;
        self.outstanding.retain(|upstream, o| {
            let view = engines.iter().find(|e| e.upstream == *upstream);
            let report = view.and_then(|e| e.report.as_ref());
            let execution = self.options.order_execution;
            let ended = report.is_some_and(|r| has_ended(o, r, execution));
            !ended && now.since(o.given) < life
        });
    }

    fn foreign_loads(&self, engines: &[EngineView]) -> usize {
        let loading = |e: &&EngineView| e.report.as_ref().is_some_and(|r| r.loading);
        let foreign = |e: &&EngineView| !self.outstanding.contains_key(&e.upstream);
        engines.iter().filter(loading).filter(foreign).count()
    }

    fn order_for(&self, engine: &EngineView, held_lease: HeldLease, now: Time) -> Option<Order> {
        let report = engine.report.as_ref()?;
        let fresh = now.since(report.requested_at) < self.options.report_max_age;
        let busy = report.loading || self.outstanding.contains_key(&engine.upstream);
        // An engine that ignores the fencing number would carry out an order of
        // the last holder after one of this holder.
        let quiet = held_lease.since + self.options.order_life();
        let safe = engine.checks_fencing || now >= quiet;
        if !fresh || busy || !safe {
            return None;
        }
        next_order(&engine.desired, report)
    }
}

/// An order that was not accepted yet may still reach the engine, whatever the
/// engine reports meanwhile.
///
/// While an order of the last holder may still change the engine, the state that
/// this order asks for may have come from that one: the order then counts for as
/// long as it may take, even if the engine reports no load.
fn has_ended(outstanding: &Outstanding, report: &EngineReport, execution: Duration) -> bool {
    let Some(accepted) = outstanding
        .accepted
        .filter(|a| report.requested_at > a.learned)
    else {
        return false;
    };
    let restarted = report.incarnation != accepted.incarnation;
    if outstanding.is_contested && report.requested_at.since(accepted.learned) < execution {
        return restarted;
    }
    let done = match &outstanding.order {
        Order::Load { model, weights } => {
            report.model == *model && report.weights == *weights && !report.loading
        }
        Order::Role(role) => report.role == *role,
    };
    restarted || done
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
