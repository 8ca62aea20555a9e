//! Canary rollouts of the software of services.
//!
//! An order asks that a service's traffic be moved to upstreams of a target version. Each
//! instance sends that version a small share of the requests that it sends itself, all
//! instances judge the sum of the responses, and the holder of the lease records the outcome.

mod evidence;
mod report;
mod rollout;
mod service;
mod versions;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

use self::evidence::Column;
use self::rollout::FleetView;
use self::rollout::MAX_PEERS;
use self::rollout::Rollout;
use self::service::Service;
use crate::Name;
use crate::limits::PeerCounts;
use crate::settings::CanaryBounds;

pub use self::report::BUCKETS;
pub use self::report::CanaryReport;
pub use self::report::MAX_ROUTES;
pub use self::report::RolloutReport;
pub use self::report::RouteReport;
pub use self::report::Tally;

/// The versions between which a rollout decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The version in force, or any other version than the target.
    Base,
    /// The version that an order names.
    Target,
}

/// The progress of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// The target gets a small share, from which it is judged.
    Canary,
    /// The target is good, and the service moves to it.
    Moving,
    /// The target is the version in force.
    Completed,
    /// The target gets no requests.
    RolledBack,
}

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The version.
    pub target: Name,
    /// The time from the write of the order to its deadline.
    pub duration: Duration,
    /// The revision at which the order's content was written. Writes of its status don't change
    /// it.
    pub revision: u64,
    /// The time since that write, as far as it is known; zero otherwise.
    pub age: Duration,
}

/// The status of an order at the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CanaryStatus {
    /// The phase.
    pub phase: Phase,
    /// The version to which it refers.
    pub target: Name,
}

/// An upstream with the version of its software.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamVersion {
    /// The upstream's id.
    pub id: Name,
    /// The version.
    pub version: Name,
    /// The start of its process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// The upstreams that an attempt may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Admission {
    /// The side that the upstreams are on.
    pub side: Side,
    /// The ids of the upstreams in ascending order.
    pub upstreams: Rc<[Name]>,
}

impl Admission {
    /// Returns whether the attempt may use an upstream.
    #[must_use]
    pub fn permits(&self, id: &str) -> bool {
        self.upstreams
            .binary_search_by(|known| (**known).cmp(id))
            .is_ok()
    }
}

/// An attempt that was counted as sent, from [`Canaries::record_sent`] to
/// [`Canaries::record_end`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentAttempt {
    /// The side of the upstream.
    pub side: Side,
    service: Name,
    version: Name,
    /// The hash of the order that was in force.
    order: u64,
    /// The phase of the rollout.
    phase: Phase,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerOutcome {
    /// The upstream failed: an error response, or the end of the connection before the response
    /// was complete.
    Failed,
    /// The upstream answered.
    Answered {
        /// The time from sending to the first byte or event.
        latency: Duration,
    },
}

/// A write of an order's status by the holder of the lease, conditional on the revision that was
/// last applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CanaryWrite {
    /// The service.
    pub service: Name,
    /// The new status.
    pub status: CanaryStatus,
}

/// What operators see of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CanaryState {
    /// The target.
    pub target: Name,
    /// The phase that this instance knows.
    pub phase: Phase,
    /// Whether a verdict against the target is known.
    pub is_bad: bool,
    /// Whether this instance hears enough of its peers to send requests to the target.
    pub is_permitted: bool,
    /// The attempts that this instance has sent to the target since it has read the order.
    pub sent_target: u64,
    /// All attempts that it has sent to the service since then.
    pub sent: u64,
}

/// The time after which an instance without registered peers is alone, rather than one that has
/// just started and has not read the registrations.
const LONE_TIME: Duration = Duration::from_millis(3_500);

/// The maximum number of rollouts in a report.
const MAX_REPORTED: usize = 32;

/// The bytes of a report beyond which no more responses are added.
const MAX_REPORT_BYTES: usize = 3 * 1024;

/// All rollouts that this instance knows.
#[derive(Debug)]
pub struct Canaries {
    bounds: CanaryBounds,
    services: BTreeMap<Name, Service>,
    orders_are_read: bool,
    /// The last time stamp of this instance that each peer is known to have received.
    echoes: HashMap<String, Time>,
    /// The time until which this instance may send requests to target versions.
    permitted_until: Option<Time>,
    /// The time from which no peers were registered.
    alone_since: Option<Time>,
    /// The reports that were made, so that all rollouts get room in turn.
    reports: usize,
}

impl Canaries {
    /// Returns the state of an instance that has not read any order yet.
    #[must_use]
    pub fn new(bounds: CanaryBounds) -> Self {
        Self {
            bounds,
            services: BTreeMap::new(),
            orders_are_read: false,
            echoes: HashMap::new(),
            permitted_until: None,
            alone_since: None,
            reports: 0,
        }
    }

    /// Records that all orders have been read once. Until then, services with upstreams of
    /// several versions get no requests, as the version in force is unknown.
    pub const fn record_orders_read(&mut self) {
        self.orders_are_read = true;
    }

    /// Applies an order and its status as the store holds them.
    pub fn apply_order(&mut self, order: Order, status: Option<&CanaryStatus>, now: Time) {
        let share = self.bounds.exposure_share;
        let name = Name::clone(&order.service);
        let service = self.services.entry(name).or_default();
        let known = service
            .rollout
            .as_mut()
            .filter(|rollout| rollout.is_of(&order));
        if let Some(rollout) = known {
            let before = rollout.phase;
            rollout.order = order;
            rollout.apply_status(status, now);
            service.follow_phase(before, share);
            return;
        }
        service.drop_rollout();
        match status {
            Some(status) if status.phase == Phase::Completed => {
                service.versions.complete(&status.target);
            }
            Some(status) if status.target != order.target => {
                service.versions.reject(&status.target);
            }
            Some(_) | None => {}
        }
        let mut rollout = Rollout::new(order, now);
        rollout.apply_status(status, now);
        service.rollout = Some(rollout);
        (service.sent, service.sent_target) = (0, 0);
        service.update(share);
    }

    /// Applies the removal of a service's order.
    pub fn withdraw_order(&mut self, service: &str, _now: Time) {
        if let Some(service) = self.services.get_mut(service) {
            service.drop_rollout();
            service.update(self.bounds.exposure_share);
        }
    }

    /// Replaces the known upstreams of a service. The list is complete, whatever the health and
    /// availability of the upstreams.
    pub fn observe_upstreams(&mut self, service: &str, upstreams: &[UpstreamVersion]) {
        let service = self.services.entry(service.into()).or_default();
        if service.versions.set_upstreams(upstreams) {
            service.update(self.bounds.exposure_share);
        }
    }

    /// Returns whether recent heartbeats of enough peers would have reported a verdict.
    fn is_permitted(&self, now: Time) -> bool {
        self.permitted_until.is_some_and(|until| now < until)
    }

    /// Returns the upstreams that the next attempt may use, or `None` if all may be used.
    ///
    /// Retries, probes, hedged requests and resumed streams are attempts too. An admission
    /// without upstreams permits none.
    #[must_use]
    pub fn admit(&self, service: &str, now: Time) -> Option<Admission> {
        let base = self.admit_base(service)?;
        let service = self.services.get(service)?;
        let target = service.admits_target(self.is_permitted(now), now);
        let target = target
            .filter(|_| self.orders_are_read)
            .map(|selection| Admission {
                side: Side::Target,
                upstreams: Rc::clone(&selection.upstreams),
            });
        Some(target.unwrap_or(base))
    }

    /// Returns the upstreams of the base version, for an attempt which none of those that
    /// [`Self::admit`] returned can take, or `None` if all may be used.
    #[must_use]
    pub fn admit_base(&self, service: &str) -> Option<Admission> {
        let service = self.services.get(service)?;
        if service.has_only_base() {
            return None;
        }
        let is_known = self.orders_are_read || service.versions.is_uniform();
        Some(Admission {
            side: Side::Base,
            upstreams: if is_known {
                service.base_upstreams()
            } else {
                [].into()
            },
        })
    }

    /// Counts an attempt that is sent to an upstream now, unless it is not permitted any more:
    /// then returns `None`, and nothing may be sent.
    pub fn record_sent(&mut self, service: &str, id: &str, now: Time) -> Option<SentAttempt> {
        let is_permitted = self.is_permitted(now);
        let orders_are_read = self.orders_are_read;
        let Some((name, service)) = self.services.get_key_value(service) else {
            return Some(SentAttempt {
                side: Side::Base,
                service: service.into(),
                version: "".into(),
                order: 0,
                phase: Phase::Canary,
            });
        };
        let name = Name::clone(name);
        let version = Name::clone(service.versions.of(id)?);
        let side = if service.versions.base() == Some(&version) {
            Side::Base
        } else {
            let selection = service.admits_target(is_permitted, now)?;
            selection.contains(id).then_some(Side::Target)?
        };
        if !orders_are_read && !service.versions.is_uniform() {
            return None;
        }
        let share = service.share(now);
        let service = self.services.get_mut(&name)?;
        let mut order = 0;
        let mut phase = Phase::Canary;
        if let Some(rollout) = service.rollout.as_mut().filter(|r| r.is_running()) {
            rollout.record_sent(side, share);
            order = rollout.key;
            phase = rollout.phase;
            service.sent += 1;
            service.sent_target += u64::from(side == Side::Target);
        }
        *service.running.entry(Name::clone(&version)).or_default() += 1;
        Some(SentAttempt {
            side,
            service: name,
            version,
            order,
            phase,
        })
    }

    /// Records that an attempt certainly has not reached its upstream: it counts for no share.
    /// [`Self::record_end`] is still to be called.
    pub fn record_unsent(&mut self, attempt: &SentAttempt, now: Time) {
        let Some(service) = self.services.get_mut(&attempt.service) else {
            return;
        };
        let share = service.share(now);
        let rollout = service.rollout.as_mut();
        if let Some(rollout) =
            rollout.filter(|r| r.key == attempt.order && r.phase == attempt.phase)
        {
            rollout.record_unsent(attempt.side, share);
            service.sent = service.sent.saturating_sub(1);
            let target = u64::from(attempt.side == Side::Target);
            service.sent_target = service.sent_target.saturating_sub(target);
        }
    }

    /// Records the response to an attempt, or that there will be none.
    ///
    /// The base version is compared over the times in which the target can get requests too.
    pub fn record_answer(
        &mut self,
        attempt: &SentAttempt,
        route: &str,
        outcome: AnswerOutcome,
        now: Time,
    ) {
        let is_permitted = self.is_permitted(now);
        let Some(service) = self.services.get_mut(&attempt.service) else {
            return;
        };
        let is_comparable = is_permitted && service.target(now).is_some();
        let has_fewer = service.target_has_fewer();
        let rollout = service.rollout.as_mut();
        let Some(rollout) = rollout.filter(|rollout| rollout.key == attempt.order) else {
            return;
        };
        let latency = match outcome {
            AnswerOutcome::Failed => None,
            AnswerOutcome::Answered { latency } => Some(latency),
        };
        let column = match (attempt.side, attempt.phase) {
            (Side::Base, _) if !is_comparable => return,
            (Side::Base, Phase::Canary) => Column::Base,
            (Side::Base, _) => Column::Remaining,
            (Side::Target, Phase::Canary) => Column::Target,
            (Side::Target, _) => Column::Moved,
        };
        // Fewer upstreams than before get more load each, and may be slow for that reason.
        let is_timed = column != Column::Moved || !has_fewer;
        rollout.evidence.record(column, route, latency, is_timed);
    }

    /// Records that an attempt has ended.
    pub fn record_end(&mut self, attempt: SentAttempt) {
        let SentAttempt {
            service, version, ..
        } = attempt;
        let Some(service) = self.services.get_mut(&service) else {
            return;
        };
        if let Some(running) = service.running.get_mut(&version) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                service.running.remove(&version);
            }
        }
    }

    /// Returns whether streams at upstreams of the base version, which can be resumed, are to be
    /// moved to the target now.
    #[must_use]
    pub fn moves_streams(&self, service: &str, now: Time) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.moves_all(now) && self.is_permitted(now))
    }

    /// Returns the state of a service's rollout.
    #[must_use]
    pub fn state(&self, service: &str, now: Time) -> Option<CanaryState> {
        let service = self.services.get(service)?;
        let rollout = service.rollout.as_ref()?;
        Some(CanaryState {
            target: Name::clone(&rollout.order.target),
            phase: rollout.phase,
            is_bad: rollout.is_bad,
            is_permitted: self.is_permitted(now),
            sent_target: service.sent_target,
            sent: service.sent,
        })
    }

    /// Returns the report for the next heartbeat.
    pub fn report(&mut self, now: Time) -> CanaryReport {
        let services = self.services.values();
        let known: Vec<(&Service, &Rollout)> = services
            .filter_map(|service| Some((service, service.rollout.as_ref()?)))
            .collect();
        let first = self.reports % known.len().max(1);
        self.reports = self.reports.wrapping_add(1);
        let mut rollouts: Vec<RolloutReport> = Vec::new();
        let mut bytes = 0;
        for (service, rollout) in known[first..].iter().chain(&known[..first]) {
            if rollouts.len() == MAX_REPORTED {
                break;
            }
            let routes: &[_] = if rollout.is_running() {
                rollout.evidence.own()
            } else {
                &[]
            };
            let length = postcard::to_stdvec(routes).map_or(usize::MAX, |encoded| encoded.len());
            let has_room = length <= MAX_REPORT_BYTES.saturating_sub(bytes);
            let routes = if has_room { routes } else { &[] };
            bytes += if has_room { length } else { 0 };
            rollouts.push(rollout.report(routes, service.base_running(), now));
        }
        CanaryReport { rollouts }
    }

    /// Applies a peer's heartbeat, with an empty report if it has none. `echoed` is the last time
    /// stamp of this instance that the peer had received, so that heartbeats which were read late
    /// don't count as recent ones.
    pub fn observe(
        &mut self,
        sender: &str,
        incarnation: u64,
        report: &CanaryReport,
        echoed: Option<Time>,
        now: Time,
    ) {
        if let Some(echoed) = echoed.map(|echoed| echoed.min(now)) {
            if let Some(last) = self.echoes.get_mut(sender) {
                *last = echoed.max(*last);
            } else if self.echoes.len() < MAX_PEERS {
                self.echoes.insert(sender.to_owned(), echoed);
            }
        }
        let share = self.bounds.exposure_share;
        for service in self.services.values_mut() {
            let Some(rollout) = &mut service.rollout else {
                continue;
            };
            let mut reports = report.rollouts.iter().take(MAX_REPORTED);
            let Some(report) = reports.find(|report| report.order == rollout.key) else {
                continue;
            };
            let before = rollout.phase;
            rollout.observe(sender, incarnation, report, now);
            service.follow_phase(before, share);
        }
    }

    /// Renews the permission to send requests to target versions, which lasts while at least half
    /// of the peers have been heard from. A verdict reaches this instance through them.
    fn renew_permission(&mut self, peers: PeerCounts, now: Time) {
        let validity = self.bounds.rollback / 2;
        self.echoes
            .retain(|_, echoed| now.since(*echoed) < validity);
        let others = peers.registered.max(peers.live).saturating_sub(1);
        if others > 0 {
            self.alone_since = None;
            let quorum = others.div_ceil(2);
            let mut echoes: Vec<Time> = self.echoes.values().copied().collect();
            self.permitted_until = (quorum <= echoes.len()).then(|| {
                let (_, oldest, _) =
                    echoes.select_nth_unstable_by_key(quorum - 1, |echoed| Reverse(*echoed));
                *oldest + validity
            });
        } else {
            let since = *self.alone_since.get_or_insert(now);
            let is_alone = now.since(since) >= LONE_TIME;
            self.permitted_until = is_alone.then(|| now + validity);
        }
    }

    /// Judges, and returns what the holder of the lease has to write; nothing for others. To be
    /// called every 0.1 s, also where heartbeats are sent less often.
    pub fn step(&mut self, holds_lease: bool, peers: PeerCounts, now: Time) -> Vec<CanaryWrite> {
        self.renew_permission(peers, now);
        let is_permitted = self.is_permitted(now);
        let mut writes = Vec::new();
        for (name, service) in &mut self.services {
            let is_drained = service.base_running() == 0;
            let moves_all = service.moves_all(now);
            let Some(rollout) = &mut service.rollout else {
                continue;
            };
            rollout.judge(now);
            if !holds_lease {
                continue;
            }
            let fleet = FleetView {
                live: peers.live,
                is_permitted,
                is_drained,
                moves_all,
            };
            let phase = rollout.next_write(&service.versions, fleet, now);
            if let Some(phase) = phase {
                let target = Name::clone(&rollout.order.target);
                writes.push(CanaryWrite {
                    service: Name::clone(name),
                    status: CanaryStatus { phase, target },
                });
            }
        }
        writes
    }

    /// Returns whether the holder of the lease has something to write soon, so that one is
    /// needed.
    #[must_use]
    pub fn needs_lease(&self) -> bool {
        let rollouts = self.services.values().filter_map(|s| s.rollout.as_ref());
        rollouts.into_iter().any(Rollout::needs_write)
    }
}
