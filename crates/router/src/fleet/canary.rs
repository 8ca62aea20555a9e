//! Rollouts of the software of services: which upstreams an attempt may use, what its outcome
//! shows about their version, and the reports to other instances and to the platform.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::canary::Admission;
use limpetsaddle_fleet::canary::AnswerOutcome;
use limpetsaddle_fleet::canary::Canaries;
use limpetsaddle_fleet::canary::CanaryReport;
use limpetsaddle_fleet::canary::Phase;
use limpetsaddle_fleet::canary::SentAttempt;
use limpetsaddle_fleet::canary::Side;
use limpetsaddle_fleet::canary::UpstreamVersion;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::SectionKind;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_fleet::runs::RunId;
use limpetsaddle_fleet::settings::CanaryBounds;
use log::info;
use log::warn;

use super::forward::Forwarder;
use super::instance::FleetInstance;
use super::rollout_orders;
use super::rollout_orders::StoredOrders;
use crate::shutdown::Stopping;

/// The time between two judgements.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// What an instance keeps of rollouts between its tasks.
pub struct CanaryDesk {
    /// The decisions.
    pub canaries: RefCell<Canaries>,
    /// The orders as the store holds them.
    pub orders: RefCell<StoredOrders>,
    /// The attempts that were sent and have not ended.
    runs: RefCell<HashMap<RunId, Run>>,
    /// The attempts at target versions that are connecting, with their services.
    connecting: RefCell<HashMap<RunId, Name>>,
    /// The outcomes of this instance's attempts since the order was read.
    outcomes: RefCell<HashMap<Name, Outcomes>>,
    /// The states of rollouts as they were last logged.
    logged: RefCell<HashMap<Name, LoggedState>>,
}

/// The part of a rollout's state whose changes are logged.
#[derive(Clone, Eq, PartialEq)]
struct LoggedState {
    target: Name,
    phase: Phase,
    is_bad: bool,
    is_permitted: bool,
}

/// The outcomes of attempts, as the evidence in logs.
#[derive(Clone, Copy, Default)]
struct Outcomes {
    answered: u64,
    failed: u64,
    base_answered: u64,
    base_failed: u64,
}

/// An attempt that was sent.
struct Run {
    attempt: SentAttempt,
    service: Name,
    route: Name,
    sent: Time,
    /// The time which callers of the route want a response in.
    target_latency: Duration,
    has_outcome: bool,
}

impl CanaryDesk {
    /// Returns the state of an instance that has not read any order yet.
    pub fn new(bounds: CanaryBounds) -> Self {
        Self {
            canaries: RefCell::new(Canaries::new(bounds)),
            orders: RefCell::default(),
            runs: RefCell::default(),
            connecting: RefCell::default(),
            outcomes: RefCell::default(),
            logged: RefCell::default(),
        }
    }

    /// Returns whether an attempt that is connecting will use up what the target version may get
    /// now. Others would be withheld once they have connected, and lose time.
    fn is_turn_taken(&self, service: &str, now: Time) -> bool {
        let connecting = self.connecting.borrow();
        connecting.values().any(|name| &**name == service)
            && !self.canaries.borrow().moves_streams(service, now)
    }
}

/// Judges the running rollouts until the instance stops.
pub async fn run(instance: Rc<FleetInstance>, stopping: Stopping) {
    while stopping.pause(STEP_INTERVAL).await {
        // Upstreams also leave the table without a change at the platform.
        observe_upstreams(&instance);
        rollout_orders::step(&instance);
        log_changes(&instance);
    }
}

/// Logs the rollouts whose state has changed.
fn log_changes(instance: &FleetInstance) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let now = instance.now();
    let services = desk.orders.borrow().ordered_services();
    for service in services {
        let Some(state) = desk.canaries.borrow().state(&service, now) else {
            continue;
        };
        let logged = LoggedState {
            target: Name::clone(&state.target),
            phase: state.phase,
            is_bad: state.is_bad,
            is_permitted: state.is_permitted,
        };
        let earlier = desk
            .logged
            .borrow_mut()
            .insert(Name::clone(&service), logged.clone());
        if earlier.as_ref() == Some(&logged) {
            continue;
        }
        let mut outcomes = desk.outcomes.borrow_mut();
        if earlier.is_none_or(|earlier| earlier.target != logged.target) {
            outcomes.remove(&service);
        }
        let outcomes = outcomes.get(&service).copied().unwrap_or_default();
        info!(
            service:display, target:display = state.target, phase:? = state.phase,
            is_bad = state.is_bad, is_permitted = state.is_permitted,
            sent = state.sent, sent_target = state.sent_target,
            answered = outcomes.answered, failed = outcomes.failed,
            base_answered = outcomes.base_answered, base_failed = outcomes.base_failed;
            "rollout changed"
        );
    }
}

/// Passes the versions of all upstreams to the decisions.
pub fn observe_upstreams(instance: &FleetInstance) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let mut services: HashMap<Name, Vec<UpstreamVersion>> = HashMap::new();
    for service in desk.orders.borrow_mut().take_services() {
        services.insert(service, Vec::new());
    }
    for row in instance.upstreams.borrow().iter() {
        let entry = &row.entry;
        let versions = services.entry(Name::clone(&entry.service)).or_default();
        versions.push(UpstreamVersion {
            id: Name::clone(&entry.id),
            // Upstreams that state none are of one version.
            version: entry.software.clone().unwrap_or_else(|| "".into()),
            born_ms: entry.born_ms,
        });
    }
    let mut canaries = desk.canaries.borrow_mut();
    for (service, versions) in &services {
        canaries.observe_upstreams(service, versions);
    }
    services.retain(|_, versions| !versions.is_empty());
    desk.orders.borrow_mut().keep_services(services.into_keys());
}

/// Selects an upstream with `place` among those that the next attempt may use. An attempt that
/// no upstream of the target version can take goes to the version in force.
pub fn place<T>(
    instance: &FleetInstance,
    service: &str,
    place: impl Fn(Option<&Admission>) -> Result<T, Refusal>,
) -> Result<T, Refusal> {
    let Some(desk) = &instance.canary else {
        return place(None);
    };
    let now = instance.now();
    let admission = if desk.is_turn_taken(service, now) {
        desk.canaries.borrow().admit_base(service)
    } else {
        desk.canaries.borrow().admit(service, now)
    };
    let placed = place(admission.as_ref());
    if placed.is_ok() || admission.is_none_or(|admission| admission.side == Side::Base) {
        return placed;
    }
    let base = desk.canaries.borrow().admit_base(service);
    let Some(base) = base else {
        return placed;
    };
    place(Some(&base))
}

/// Returns whether an attempt may use an upstream as far as its version is concerned, now or in
/// its turn.
pub fn may_use(instance: &FleetInstance, service: &str, upstream: &str) -> bool {
    let Some(desk) = &instance.canary else {
        return true;
    };
    let now = instance.now();
    let canaries = desk.canaries.borrow();
    let permits = |admission: Option<Admission>| admission.is_none_or(|a| a.permits(upstream));
    permits(canaries.admit(service, now)) || permits(canaries.admit_base(service))
}

/// Returns the upstreams of a service that no attempt may use now.
pub fn barred(instance: &FleetInstance, service: &str) -> Vec<Name> {
    if instance.canary.is_none() {
        return Vec::new();
    }
    let upstreams = instance.upstreams.borrow();
    let rows = upstreams
        .iter()
        .filter(|row| &*row.entry.service == service);
    let ids = rows.map(|row| &row.entry.id);
    let barred = ids.filter(|id| !may_use(instance, service, id));
    barred.map(Name::clone).collect()
}

/// Records that an attempt connects to its upstream.
pub fn begin_connecting(forwarder: &Forwarder<'_>, placement: &Placement, run: RunId) {
    let Some(desk) = &forwarder.instance.canary else {
        return;
    };
    let service = &forwarder.service;
    let base = desk.canaries.borrow().admit_base(service);
    if base.is_some_and(|base| !base.permits(&placement.upstream)) {
        desk.connecting
            .borrow_mut()
            .insert(run, Name::clone(service));
    }
}

/// Counts an attempt that is sent now, and returns whether it may be sent.
pub fn begin(forwarder: &Forwarder<'_>, placement: &Placement, run: RunId) -> bool {
    let instance = forwarder.instance;
    let Some(desk) = &instance.canary else {
        return true;
    };
    desk.connecting.borrow_mut().remove(&run);
    let sent = instance.now();
    let attempt = {
        let mut canaries = desk.canaries.borrow_mut();
        canaries.record_sent(&forwarder.service, &placement.upstream, sent)
    };
    let Some(attempt) = attempt else {
        instance.metrics.record_rollout_attempt("none", "withheld");
        return false;
    };
    instance
        .metrics
        .record_rollout_attempt(side_code(attempt.side), "sent");
    let route = &forwarder.accepted.route;
    let begun = Run {
        attempt,
        service: Name::clone(&forwarder.service),
        route: Name::clone(&route.name),
        sent,
        target_latency: route.target_latency,
        has_outcome: false,
    };
    desk.runs.borrow_mut().insert(run, begun);
    true
}

/// Records that an upstream has answered an attempt, at least with the first event of a stream.
pub fn record_response(instance: &FleetInstance, run: RunId, is_success: bool) {
    let now = instance.now();
    record(instance, run, |run| {
        let latency = now.since(run.sent);
        Some(if is_success {
            AnswerOutcome::Answered { latency }
        } else {
            AnswerOutcome::Failed
        })
    });
}

/// Records that an attempt has failed.
pub fn record_failure(instance: &FleetInstance, run: RunId, failure: Failure) {
    if !failure.was_sent() {
        record_unsent(instance, run);
        return;
    }
    // A rejected request is no evidence against the version: the upstream may be full, or the
    // request may have been misdirected.
    let blames_upstream = failure.outcome().is_some();
    record(instance, run, |_| {
        blames_upstream.then_some(AnswerOutcome::Failed)
    });
}

fn record_unsent(instance: &FleetInstance, run: RunId) {
    let Some(desk) = &instance.canary else {
        return;
    };
    if let Some(run) = desk.runs.borrow().get(&run) {
        let now = instance.now();
        desk.canaries.borrow_mut().record_unsent(&run.attempt, now);
        let side = side_code(run.attempt.side);
        instance.metrics.record_rollout_attempt(side, "unsent");
    }
}

/// Records the end of an attempt.
///
/// One that ends without an answer has been given up by the caller or for another upstream. If
/// it took longer than callers of its route want to wait, its time counts as far as it is known:
/// otherwise the attempts at a slow version that are hedged would show nothing.
pub fn record_end(instance: &FleetInstance, run: RunId) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let now = instance.now();
    let is_long =
        |run: &Run| !run.target_latency.is_zero() && now.since(run.sent) >= run.target_latency;
    record(instance, run, |run| {
        let latency = now.since(run.sent);
        (!run.has_outcome && is_long(run)).then_some(AnswerOutcome::Answered { latency })
    });
    desk.connecting.borrow_mut().remove(&run);
    let ended = desk.runs.borrow_mut().remove(&run);
    if let Some(ended) = ended {
        desk.canaries.borrow_mut().record_end(ended.attempt);
    }
}

fn record(
    instance: &FleetInstance,
    run: RunId,
    outcome: impl FnOnce(&Run) -> Option<AnswerOutcome>,
) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let mut runs = desk.runs.borrow_mut();
    let Some(run) = runs.get_mut(&run) else {
        return;
    };
    let outcome = outcome(run);
    // The end of an attempt that has failed in any way is no answer.
    run.has_outcome = true;
    let Some(outcome) = outcome else {
        return;
    };
    let mut outcomes = desk.outcomes.borrow_mut();
    let outcomes = outcomes.entry(Name::clone(&run.service)).or_default();
    let (event, count) = match (outcome, run.attempt.side) {
        (AnswerOutcome::Failed, Side::Target) => ("failed", &mut outcomes.failed),
        (AnswerOutcome::Failed, Side::Base) => ("failed", &mut outcomes.base_failed),
        (AnswerOutcome::Answered { .. }, Side::Target) => ("answered", &mut outcomes.answered),
        (AnswerOutcome::Answered { .. }, Side::Base) => ("answered", &mut outcomes.base_answered),
    };
    *count += 1;
    let side = side_code(run.attempt.side);
    instance.metrics.record_rollout_attempt(side, event);
    let mut canaries = desk.canaries.borrow_mut();
    canaries.record_answer(&run.attempt, &run.route, outcome, instance.now());
}

/// Returns whether a stream at an upstream of the old version must be resumed now at one of the
/// new version, as the route and the budget of retries permit.
pub fn must_move(forwarder: &Forwarder<'_>, run: RunId) -> bool {
    let instance = forwarder.instance;
    let Some(desk) = &instance.canary else {
        return false;
    };
    let is_base = {
        let runs = desk.runs.borrow();
        let side = runs.get(&run).map(|run| run.attempt.side);
        side == Some(Side::Base)
    };
    is_base
        && forwarder.last_event.borrow().is_some()
        && desk
            .canaries
            .borrow()
            .moves_streams(&forwarder.service, instance.now())
        && forwarder.attempts.get().may_move(instance.now())
        && instance.available_retries(&forwarder.service) >= 1.0
        && forwarder.permits_repeat()
}

/// Returns whether the holder of the lease has a status to write.
pub fn needs_lease(instance: &FleetInstance) -> bool {
    let desk = instance.canary.as_ref();
    desk.is_some_and(|desk| desk.canaries.borrow().needs_lease())
}

/// Adds the report on the running rollouts to a heartbeat.
pub fn add_report(instance: &FleetInstance, heartbeat: &mut Heartbeat) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let report = desk.canaries.borrow_mut().report(instance.now());
    if report.rollouts.is_empty() {
        return;
    }
    if let Err(error) = heartbeat.sections.add(SectionKind::Canary, &report) {
        warn!(error:display; "cannot report on rollouts");
    }
}

/// Applies what a peer reports on rollouts.
pub fn observe_peer(instance: &FleetInstance, heartbeat: &Heartbeat, echo_ms: Option<u64>) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let sender = heartbeat.sender.as_str();
    let report = match heartbeat.sections.get(SectionKind::Canary) {
        Ok(report) => report.unwrap_or_default(),
        Err(error) => {
            warn!(from = sender, error:display; "ignoring an invalid report on rollouts");
            CanaryReport::default()
        }
    };
    let echoed = echo_ms.map(|ms| Time::from_origin(Duration::from_millis(ms)));
    let now = instance.now();
    desk.canaries
        .borrow_mut()
        .observe(sender, heartbeat.incarnation, &report, echoed, now);
}

/// Returns the code of a side in metrics.
const fn side_code(side: Side) -> &'static str {
    match side {
        Side::Base => "base",
        Side::Target => "target",
    }
}
