//! Canary rollouts of the software of services.
//!
//! An order asks that a service's traffic be moved to upstreams of a target version. Each
//! instance sends that version a small share of the requests that it sends itself, all
//! instances judge the sum of the responses, and the holder of the lease records the outcome.

mod report;

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

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

/// All rollouts that this instance knows.
#[derive(Debug)]
pub struct Canaries {
    bounds: CanaryBounds,
}

impl Canaries {
    /// Returns the state of an instance that has not read any order yet.
    #[must_use]
    pub const fn new(bounds: CanaryBounds) -> Self {
        Self { bounds }
    }

    /// Records that all orders have been read once. Until then, services with upstreams of
    /// several versions get no requests, as the version in force is unknown.
    pub fn record_orders_read(&mut self) {}

    /// Applies an order and its status as the store holds them.
    pub fn apply_order(&mut self, _order: Order, _status: Option<CanaryStatus>, _now: Time) {}

    /// Applies the removal of a service's order.
    pub fn withdraw_order(&mut self, _service: &str, _now: Time) {}

    /// Replaces the known upstreams of a service. The list is complete, whatever the health and
    /// availability of the upstreams.
    pub fn observe_upstreams(&mut self, _service: &str, _upstreams: &[UpstreamVersion]) {}

    /// Returns the upstreams that the next attempt may use, or `None` if all may be used.
    ///
    /// Retries, probes, hedged requests and resumed streams are attempts too. An admission
    /// without upstreams permits none.
    pub fn admit(&mut self, _service: &str, _now: Time) -> Option<Admission> {
        None
    }

    /// Returns the upstreams of the base version, for an attempt which none of those that
    /// [`Self::admit`] returned can take.
    pub fn admit_base(&mut self, _service: &str, _now: Time) -> Option<Admission> {
        None
    }

    /// Counts an attempt that is sent to an upstream now, unless it is not permitted any more:
    /// then returns `None`, and nothing may be sent.
    pub fn record_sent(&mut self, service: &str, _id: &str, _now: Time) -> Option<SentAttempt> {
        Some(SentAttempt {
            side: Side::Base,
            service: service.into(),
            version: "".into(),
            order: 0,
        })
    }

    /// Records that an attempt certainly has not reached its upstream: it counts for no share.
    /// [`Self::record_end`] is still to be called.
    pub fn record_unsent(&mut self, _attempt: &SentAttempt) {}

    /// Records the response to an attempt, or that there will be none.
    pub fn record_answer(
        &mut self,
        _attempt: &SentAttempt,
        _route: &str,
        _outcome: AnswerOutcome,
        _now: Time,
    ) {
    }

    /// Records that an attempt has ended.
    pub fn record_end(&mut self, _attempt: SentAttempt) {}

    /// Returns whether streams at upstreams of the base version, which can be resumed, are to be
    /// moved to the target now.
    #[must_use]
    pub fn moves_streams(&self, _service: &str, _now: Time) -> bool {
        false
    }

    /// Returns the report for the next heartbeat.
    pub fn report(&mut self, _now: Time) -> CanaryReport {
        CanaryReport::default()
    }

    /// Applies a peer's heartbeat, with an empty report if it has none. `echoed` is the last time
    /// stamp of this instance that the peer had received, so that heartbeats which were read late
    /// don't count as recent ones.
    pub fn observe(
        &mut self,
        _sender: &str,
        _incarnation: u64,
        _report: &CanaryReport,
        _echoed: Option<Time>,
        _now: Time,
    ) {
    }

    /// Judges, and returns what the holder of the lease has to write; nothing for others. To be
    /// called at each heartbeat.
    pub fn step(&mut self, _holds_lease: bool, _peers: PeerCounts, _now: Time) -> Vec<CanaryWrite> {
        Vec::new()
    }

    /// Returns whether the holder of the lease has something to write soon, so that one is
    /// needed.
    #[must_use]
    pub fn needs_lease(&self) -> bool {
        false
    }
}
