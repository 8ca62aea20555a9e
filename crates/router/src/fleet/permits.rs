//! Requests for permits, and their issue, for upstreams that limit all instances together.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::channel::mpsc::UnboundedReceiver;
use futures::channel::mpsc::UnboundedSender;
use futures::channel::mpsc::unbounded;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::availability::Availability;
use limpetsaddle_fleet::availability::Incarnation;
use limpetsaddle_fleet::availability::Source;
use limpetsaddle_fleet::limited_demand::LimitedDemand;
use limpetsaddle_fleet::outage::Outage;
use limpetsaddle_fleet::peers::Issuer;
use limpetsaddle_fleet::permit_issuer::IssueContext;
use limpetsaddle_fleet::permit_issuer::PermitIssuer;
use limpetsaddle_fleet::permit_messages::LimitReport;
use limpetsaddle_fleet::permit_messages::PermitAnswer;
use limpetsaddle_fleet::permit_messages::PermitBody;
use limpetsaddle_fleet::permit_messages::PermitMessage;
use limpetsaddle_fleet::permit_messages::PermitRequest;
use limpetsaddle_fleet::permits::Permit;
use limpetsaddle_fleet::upstreams::Upstream;
use log::warn;
use serde::Serialize;

use super::instance::FleetInstance;
use super::upstream_calls::log_changes;
use crate::clock::millis;

/// A datagram with its recipient.
pub type Outgoing = (SocketAddr, Vec<u8>);

/// The priority of reports and orders, on which later requests depend.
const CONTROL_PRIORITY: u8 = 0;

/// What an instance shares of permits between its tasks.
pub struct PermitDesk {
    /// The permits that this instance issues.
    pub issuer: RefCell<PermitIssuer>,
    demands: RefCell<HashMap<Name, LimitedDemand>>,
    datagrams: UnboundedSender<Outgoing>,
    unsent: RefCell<Option<UnboundedReceiver<Outgoing>>>,
}

impl Default for PermitDesk {
    fn default() -> Self {
        let (datagrams, unsent) = unbounded();
        Self {
            issuer: RefCell::default(),
            demands: RefCell::default(),
            datagrams,
            unsent: RefCell::new(Some(unsent)),
        }
    }
}

impl PermitDesk {
    /// Returns the datagrams to be sent; only the first call does.
    pub fn take_datagrams(&self) -> Option<UnboundedReceiver<Outgoing>> {
        self.unsent.borrow_mut().take()
    }

    fn with_demand<T>(&self, service: &Name, change: impl FnOnce(&mut LimitedDemand) -> T) -> T {
        let mut demands = self.demands.borrow_mut();
        change(demands.entry(Name::clone(service)).or_default())
    }
}

/// Requests a permit for a limited upstream of a service on behalf of a caller's request of
/// this priority, and returns whether this instance has issued it itself. Permits are requested
/// for one upstream at a time, as an unused one is lost to all instances.
pub fn seek(
    instance: &FleetInstance,
    service: &str,
    priority: u8,
    is_usable: impl Fn(&Upstream) -> bool,
) -> bool {
    let (now, random) = (instance.now(), instance.random.draw());
    let process = {
        let upstreams = instance.upstreams.borrow();
        upstreams.permit_candidate(service, is_usable, random, now)
    };
    process.is_some_and(|process| request_permits(instance, process, priority))
}

/// Waits until a report or an order may be sent to an upstream, for `limit` at most.
pub async fn wait_for_permit(instance: &FleetInstance, incarnation: &Incarnation, limit: Duration) {
    let started = instance.now();
    loop {
        let now = instance.now();
        let state = instance.upstreams.borrow().availability(incarnation, now);
        let Availability::Limited { until } = state else {
            return;
        };
        if now.since(started) >= limit {
            return;
        }
        request_permits(instance, incarnation.process(), CONTROL_PRIORITY);
        monoio::time::sleep(until.since(now)).await;
    }
}

/// Requests permits for a process if a request is due, and returns whether this instance has
/// issued some itself.
fn request_permits(instance: &FleetInstance, process: u64, priority: u8) -> bool {
    // The stamp identifies the request in its reply, so the pool uses the same resolution.
    let stamp_ms = millis(instance.now().since_origin());
    let requested = Time::from_origin(Duration::from_millis(stamp_ms));
    let begun = instance
        .upstreams
        .borrow_mut()
        .begin_request(process, requested);
    let Some((wanted, limit)) = begun else {
        return false;
    };
    let req = PermitRequest {
        stamp_ms,
        limit: Some(limit),
        wanted,
        priority,
        lifted: None,
    };
    let now = instance.now();
    let issuer = instance.peers.borrow().issuer(process, now);
    match issuer {
        Issuer::Own => {
            let answer = decide(instance, process, &req);
            apply_answer(instance, process, requested, &answer);
            matches!(answer, PermitAnswer::Granted { .. })
        }
        Issuer::Peer(address) => {
            send(instance, address, process, PermitBody::Request(req));
            false
        }
        Issuer::Unknown => false,
    }
}

fn apply_answer(instance: &FleetInstance, process: u64, requested: Time, answer: &PermitAnswer) {
    let now = instance.now();
    match answer {
        PermitAnswer::Granted { count, .. } => instance.metrics.record_permits("received", *count),
        PermitAnswer::Denied { .. } => instance.metrics.record_permits("denied", 1),
        PermitAnswer::Unlimited { .. } => {}
    }
    let mut upstreams = instance.upstreams.borrow_mut();
    upstreams.apply_answer(process, requested, answer, now);
    drop(upstreams);
    log_changes(instance, "permit");
}

/// Returns the reply to a request for permits of a process.
fn decide(instance: &FleetInstance, process: u64, req: &PermitRequest) -> PermitAnswer {
    let cx = IssueContext {
        peers: &instance.peers.borrow(),
        upstreams: &instance.upstreams.borrow(),
        incarnation: instance.incarnation,
        now: instance.now(),
    };
    let answer = instance
        .permits
        .issuer
        .borrow_mut()
        .answer(process, req, &cx);
    if let PermitAnswer::Granted { count, .. } = answer {
        instance.metrics.record_permits("issued", count);
    }
    answer
}

/// Handles a message of another instance.
pub fn handle(instance: &FleetInstance, message: &PermitMessage) {
    let address = instance.peers.borrow().address(&message.sender);
    let Some(address) = address else {
        return;
    };
    let process = message.process;
    match &message.body {
        PermitBody::Request(req) => {
            learn(instance, process, req);
            if req.wanted > 0 {
                let answer = decide(instance, process, req);
                let echo_ms = req.stamp_ms;
                let reply = PermitBody::Reply { echo_ms, answer };
                send(instance, address, process, reply);
            }
        }
        PermitBody::Reply { echo_ms, answer } => {
            let requested = Time::from_origin(Duration::from_millis(*echo_ms));
            apply_answer(instance, process, requested, answer);
        }
        PermitBody::Limit(report) => apply_report(instance, process, report),
    }
}

/// Applies the limit or the end of one that a permit request reports.
fn learn(instance: &FleetInstance, process: u64, req: &PermitRequest) {
    let now = instance.now();
    let mut upstreams = instance.upstreams.borrow_mut();
    upstreams.apply_permit_request(process, req, instance.incarnation, now);
    drop(upstreams);
    log_changes(instance, "permit");
}

fn apply_report(instance: &FleetInstance, process: u64, report: &LimitReport) {
    let now = instance.now();
    let mut upstreams = instance.upstreams.borrow_mut();
    upstreams.apply_limit_report(process, report, now);
    drop(upstreams);
    log_changes(instance, "permit");
}

/// Announces a limit that this instance did not know before: the issuer to all instances, any
/// other instance to the issuer if it has learned the limit from an answer.
pub fn announce(instance: &FleetInstance, incarnation: &Incarnation, source: Source) {
    let now = instance.now();
    let process = incarnation.process();
    let Some(limit) = instance.upstreams.borrow().limit_record(process).named() else {
        return;
    };
    let report = LimitReport::new(&limit, now);
    let peers = instance.peers.borrow();
    match peers.issuer(process, now) {
        Issuer::Own => {
            for (address, _) in peers.heartbeat_targets(now) {
                send(instance, address, process, PermitBody::Limit(report));
            }
        }
        Issuer::Peer(address) if source == Source::Answer => {
            send(
                instance,
                address,
                process,
                PermitBody::Request(PermitRequest::report(Some(report), None)),
            );
        }
        Issuer::Peer(_) | Issuer::Unknown => {}
    }
}

/// Reports to the issuer that the answer to a request with this permit named no limit.
pub fn report_lifted(instance: &FleetInstance, incarnation: &Incarnation, permit: Permit) {
    let process = incarnation.process();
    let issuer = instance.peers.borrow().issuer(process, instance.now());
    if let Issuer::Peer(address) = issuer {
        let body = PermitBody::Request(PermitRequest::report(None, Some(permit.issue)));
        send(instance, address, process, body);
    }
}

fn send(instance: &FleetInstance, address: SocketAddr, process: u64, body: PermitBody) {
    let message = PermitMessage::new(&instance.settings.name, process, body);
    match message.encode() {
        // Without a recipient the instance stops, and needs no more permits.
        Ok(datagram) => {
            let _ = instance
                .permits
                .datagrams
                .unbounded_send((address, datagram));
        }
        Err(error) => warn!(error:display; "cannot encode message about permits"),
    }
}

/// A request that waits for a permit, until this is dropped.
pub struct PermitWait<'a> {
    instance: &'a FleetInstance,
    service: &'a Name,
}

impl<'a> PermitWait<'a> {
    /// Begins a wait, or returns `None` if enough requests wait already.
    pub fn begin(instance: &'a FleetInstance, service: &'a Name) -> Option<Self> {
        let permits = received(instance, service);
        let begins = instance.permits.with_demand(service, |demand| {
            let may_wait = demand.may_wait(permits);
            if may_wait {
                demand.begin_wait();
            }
            may_wait
        });
        begins.then_some(Self { instance, service })
    }
}

impl Drop for PermitWait<'_> {
    fn drop(&mut self) {
        let desk = &self.instance.permits;
        desk.with_demand(self.service, LimitedDemand::end_wait);
    }
}

/// Records a request that is refused without a permit, and returns the expected time until
/// the recently refused callers could have been served.
pub fn record_refusal(instance: &FleetInstance, service: &Name, outage: &Outage) -> Duration {
    let now = instance.now();
    let Some(first) = outage.first_permit else {
        return Duration::ZERO;
    };
    let permits = received(instance, service);
    instance.permits.with_demand(service, |demand| {
        demand.record_refusal(now);
        demand.retry_after(first.since(now), permits, now)
    })
}

fn received(instance: &FleetInstance, service: &str) -> u32 {
    let upstreams = instance.upstreams.borrow();
    upstreams.received_permits(service, instance.now())
}

/// Removes the state of processes for which this instance issues no permits any more.
pub fn release(instance: &FleetInstance) {
    let now = instance.now();
    let peers = instance.peers.borrow();
    let mut issuer = instance.permits.issuer.borrow_mut();
    issuer.retain(|process| peers.issuer(process, now) == Issuer::Own, now);
}

/// A limit of an upstream, for operators.
#[derive(Serialize)]
struct LimitDocument<'a> {
    upstream: &'a str,
    born_ms: u64,
    /// The requests per second for all instances together.
    per_second: f64,
    since_seconds: f64,
    heard_seconds: f64,
    learned_by: &'static str,
    /// Whether this instance issues the permits.
    issues: bool,
    /// The permits that this instance may use now.
    held: usize,
    /// The permits that this instance received in the last second.
    received: u32,
}

/// Returns the limits in force as a JSON document.
pub fn document(instance: &FleetInstance) -> bytes::Bytes {
    let now = instance.now();
    let upstreams = instance.upstreams.borrow();
    let peers = instance.peers.borrow();
    let limited = upstreams.iter().filter_map(|row| {
        let limit = row.limit()?;
        let process = row.entry.incarnation().process();
        Some(LimitDocument {
            upstream: &row.entry.id,
            born_ms: row.entry.born_ms,
            per_second: limit.rate.as_per_second(),
            since_seconds: now.since(limit.since).as_secs_f64(),
            heard_seconds: now.since(limit.heard).as_secs_f64(),
            learned_by: limit.source.code(),
            issues: peers.issuer(process, now) == Issuer::Own,
            held: row.permits.held(now),
            received: row.permits.received(now),
        })
    });
    let limits: Vec<LimitDocument<'_>> = limited.collect();
    crate::responses::json(&limits)
}
