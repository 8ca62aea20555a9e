//! Interleavings of two candidates that give orders, checked by their history.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::orders::DesiredEngine;
use limpetsaddle_core::orders::EngineReport;
use limpetsaddle_core::orders::EngineView;
use limpetsaddle_core::orders::LeaseAction;
use limpetsaddle_core::orders::LeaseHolder;
use limpetsaddle_core::orders::LeaseKeeper;
use limpetsaddle_core::orders::LeaseWrite;
use limpetsaddle_core::orders::LeaseWriteResult;
use limpetsaddle_core::orders::Order;
use limpetsaddle_core::orders::OrderOptions;
use limpetsaddle_core::orders::OrderOutcome;
use limpetsaddle_core::orders::OrderPlanner;
use limpetsaddle_core::orders::PlannedOrder;
use limpetsaddle_core::orders::Role;
use limpetsaddle_core::orders::VersionedLease;
use limpetsaddle_core::units::FencingNumber;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::WeightsVersion;
use proptest::prelude::*;

const ACTORS: usize = 2;
const ENGINES: usize = 4;
const CASES: u32 = 2_000;
const MAX_OPS: usize = 60;
const SETTLE_STEPS: usize = 120;

#[derive(Clone, Copy, Debug)]
enum Fate {
    Delivered,
    LostBefore,
    LostAfter,
    /// The answer comes with the next call of the actor.
    AnsweredLate,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    /// One call to the platform, then a plan.
    Run(usize, Fate),
    /// The planned orders leave, each after this transit time in percent.
    Send(usize, u32),
    Advance(Duration),
    Desire(u64),
    Restart(usize),
}

struct Engine {
    checks: bool,
    incarnation: u64,
    weights: WeightsVersion,
    seen: FencingNumber,
    load: Option<(WeightsVersion, FencingNumber, Time)>,
}

struct Actor {
    keeper: LeaseKeeper,
    planner: OrderPlanner,
    planned: Vec<PlannedOrder>,
    late: Option<LeaseWriteResult>,
}

struct World {
    now: Time,
    options: OrderOptions,
    desired: WeightsVersion,
    revision: u64,
    lease: Option<VersionedLease>,
    actors: Vec<Actor>,
    engines: BTreeMap<String, Engine>,
    network: Vec<(Time, usize, PlannedOrder)>,
}

impl World {
    fn new() -> Self {
        let options = OrderOptions::default();
        let actors = (0..ACTORS).map(|i| Actor::new(i, options)).collect();
        let engine = |i: usize| Engine {
            checks: i.is_multiple_of(2),
            incarnation: 0,
            weights: WeightsVersion(0),
            seen: FencingNumber(0),
            load: None,
        };
        Self {
            now: Time::ZERO,
            options,
            desired: WeightsVersion(1),
            revision: 0,
            lease: None,
            actors,
            engines: (0..ENGINES).map(|i| (format!("e{i}"), engine(i))).collect(),
            network: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) -> Result<(), TestCaseError> {
        match op {
            Op::Run(who, fate) => self.run(who, fate),
            Op::Send(who, percent) => self.send(who, percent),
            Op::Advance(span) => self.advance(span)?,
            Op::Desire(version) => self.desired = WeightsVersion(version),
            Op::Restart(who) => {
                let engine = self.engines.get_mut(&format!("e{who}")).unwrap();
                engine.incarnation += 1;
                engine.load = None;
                engine.seen = FencingNumber(0);
            }
        }
        let now = self.now;
        let tenures = self
            .actors
            .iter()
            .filter(|a| a.keeper.held_lease(now).is_some());
        prop_assert!(tenures.count() <= 1, "two holders at once");
        Ok(())
    }

    fn put(&mut self, write: LeaseWrite) -> LeaseWriteResult {
        let current = self.lease.as_ref().map_or(Revision::ABSENT, |l| l.revision);
        if current != write.expected {
            return LeaseWriteResult::Conflict(self.lease.clone());
        }
        self.revision += 1;
        self.lease = Some(VersionedLease {
            revision: Revision(self.revision),
            record: write.record,
        });
        LeaseWriteResult::Written(Revision(self.revision))
    }

    fn run(&mut self, who: usize, fate: Fate) {
        let now = self.now;
        if let Some(answer) = self.actors[who].late.take() {
            self.actors[who].keeper.on_write(answer, now);
        }
        match self.actors[who].keeper.poll(now) {
            Some(LeaseAction::Read) if matches!(fate, Fate::Delivered) => {
                let lease = self.lease.clone();
                self.actors[who].keeper.on_read(lease, now);
            }
            Some(LeaseAction::Write(write)) => self.write(who, write, fate),
            Some(LeaseAction::Read) | None => {}
        }
        let views: Vec<_> = self.engines.iter().map(|(n, e)| self.view(n, e)).collect();
        let actor = &mut self.actors[who];
        let held_lease = actor.keeper.held_lease(now);
        actor
            .planned
            .extend(actor.planner.plan(held_lease, &views, now));
    }

    fn write(&mut self, who: usize, write: LeaseWrite, fate: Fate) {
        let answer = match fate {
            Fate::LostBefore => LeaseWriteResult::Failed,
            Fate::Delivered | Fate::LostAfter | Fate::AnsweredLate => self.put(write),
        };
        let actor = &mut self.actors[who];
        match fate {
            Fate::AnsweredLate => actor.late = Some(answer),
            Fate::LostAfter => actor.keeper.on_write(LeaseWriteResult::Failed, self.now),
            Fate::Delivered | Fate::LostBefore => actor.keeper.on_write(answer, self.now),
        }
    }

    fn view(&self, name: &str, engine: &Engine) -> EngineView {
        EngineView {
            upstream: name.parse().unwrap(),
            checks_fencing: engine.checks,
            desired: DesiredEngine {
                model: "lm".parse().unwrap(),
                weights: self.desired,
                role: None,
            },
            report: Some(EngineReport {
                incarnation: Incarnation(engine.incarnation),
                model: "lm".parse().unwrap(),
                weights: engine.weights,
                role: Role::Both,
                // The engines do not report a load in progress.
                loading: false,
                requested_at: self.now,
            }),
        }
    }

    fn send(&mut self, who: usize, percent: u32) {
        let transit = self.options.order_transit * percent / 100;
        for order in std::mem::take(&mut self.actors[who].planned) {
            if order.may_send(self.now) {
                self.network.push((self.now + transit, who, order));
            } else {
                let planner = &mut self.actors[who].planner;
                planner.on_outcome(&order, OrderOutcome::NotSent, self.now);
            }
        }
    }

    /// Moves time on, carrying out what falls due in its order.
    fn advance(&mut self, span: Duration) -> Result<(), TestCaseError> {
        let end = self.now + span;
        self.network.sort_by_key(|(due, ..)| *due);
        while self.network.first().is_some_and(|(due, ..)| *due <= end) {
            let (due, who, order) = self.network.remove(0);
            self.now = due.max(self.now);
            self.end_loads();
            let answer = self.arrive(&order)?;
            self.actors[who]
                .planner
                .on_outcome(&order, answer, self.now);
        }
        self.now = end;
        self.end_loads();
        Ok(())
    }

    fn end_loads(&mut self) {
        for engine in self.engines.values_mut() {
            if let Some((weights, _, _)) = engine.load.filter(|(.., end)| *end <= self.now) {
                engine.weights = weights;
                engine.load = None;
            }
        }
    }

    fn arrive(&mut self, order: &PlannedOrder) -> Result<OrderOutcome, TestCaseError> {
        let end = self.now + self.options.order_execution;
        let engine = self.engines.get_mut(order.upstream.as_str()).unwrap();
        if engine.checks && order.fencing < engine.seen {
            return Ok(OrderOutcome::Fenced);
        }
        prop_assert!(
            order.fencing >= engine.seen,
            "an old order came after a new one"
        );
        if let Some((_, fencing, _)) = engine.load {
            let outlived = engine.checks || fencing >= order.fencing;
            prop_assert!(outlived, "an old order was still running");
        }
        engine.seen = order.fencing;
        let incarnation = Incarnation(engine.incarnation);
        if let Order::Load { weights, .. } = &order.order {
            engine.load = Some((*weights, order.fencing, end));
        }
        let running = self.engines.values().filter_map(|e| e.load);
        let loads = running.filter(|(_, f, _)| *f == order.fencing).count();
        prop_assert!(loads <= self.options.max_loads, "{loads} loads at once");
        Ok(OrderOutcome::Accepted(incarnation))
    }
}

impl Actor {
    fn new(index: usize, options: OrderOptions) -> Self {
        let holder = LeaseHolder {
            instance: format!("entry-{index}").parse().unwrap(),
            incarnation: Incarnation(index as u64),
        };
        Self {
            keeper: LeaseKeeper::new(holder, options),
            planner: OrderPlanner::new(options),
            planned: Vec::new(),
            late: None,
        }
    }
}

fn fates() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Delivered),
        1 => Just(Fate::LostBefore),
        1 => Just(Fate::LostAfter),
        2 => Just(Fate::AnsweredLate),
    ]
}

fn ops() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0..ACTORS, fates()).prop_map(|(who, fate)| Op::Run(who, fate)),
        6 => (0..ACTORS, 0..=100_u32).prop_map(|(who, percent)| Op::Send(who, percent)),
        8 => (0..2_500_u64).prop_map(|ms| Op::Advance(Duration::from_millis(ms))),
        2 => Just(Op::Advance(Duration::from_secs(8))),
        1 => (1..4_u64).prop_map(Op::Desire),
        1 => (0..ENGINES).prop_map(Op::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_orders_come_from_one_place(schedule in prop::collection::vec(ops(), 1..MAX_OPS)) {
        let mut world = World::new();
        for op in schedule {
            world.apply(op)?;
        }
        // One candidate that is left alone brings every engine to its state.
        for _ in 0..SETTLE_STEPS {
            world.apply(Op::Run(0, Fate::Delivered))?;
            world.apply(Op::Send(0, 10))?;
            world.apply(Op::Advance(Duration::from_secs(1)))?;
        }
        let desired = world.desired;
        prop_assert!(world.engines.values().all(|e| e.weights == desired));
    }
}

/// The engine has the state that the new holder asks for from the last holder's
/// order, so that the new order must not count as carried out by that.
#[test]
fn verify_an_inherited_state_ends_no_order() {
    let schedule = [
        Op::Run(1, Fate::Delivered),
        Op::Run(1, Fate::Delivered),
        Op::Run(0, Fate::Delivered),
        Op::Send(1, 0),
        Op::Advance(Duration::from_secs(8)),
        Op::Run(0, Fate::AnsweredLate),
        Op::Run(0, Fate::Delivered),
        Op::Advance(Duration::from_millis(244)),
        Op::Advance(Duration::from_millis(756)),
        Op::Send(0, 61),
    ];
    let settle = (0..SETTLE_STEPS).flat_map(|_| {
        [
            Op::Run(0, Fate::Delivered),
            Op::Send(0, 10),
            Op::Advance(Duration::from_secs(1)),
        ]
    });
    let mut world = World::new();
    for op in schedule.into_iter().chain(settle) {
        world.apply(op).expect("orders come from one place");
    }
}
