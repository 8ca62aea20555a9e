//! One rollout: its share, its phase and what the holder of the lease records.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::hash::stable_hash;
use limpetsaddle_core::units::Time;

use super::CanaryStatus;
use super::Order;
use super::Phase;
use super::Side;
use super::evidence::Evidence;
use super::evidence::Judgement;
use super::report::RolloutReport;
use super::report::RouteReport;
use super::versions::OrderEffect;
use super::versions::Selection;
use super::versions::Versions;
use super::versions::as_f64;

/// The part of the permitted share that is used. The rest covers attempts that are counted here
/// and never arrive.
const USED_SHARE: f64 = 0.9;

/// The largest share in a canary, so that some requests are left for the comparison.
const MAX_SHARE: f64 = 0.5;

/// The most attempts to the target that are saved up. After a time without upstreams of the
/// target, more would arrive there at once and make it slow.
const MAX_CREDIT: f64 = 1.0;

/// The fractions of the order's duration at which a version may be accepted, is decided on
/// whatever is known, gets all requests, and is completed though old requests still run.
const ACCEPT: f64 = 0.667;
const DECIDE: f64 = 0.85;
const MOVE_ALL: f64 = 0.8;
const COMPLETE: f64 = 0.95;

/// The steps in which requests move to the target, and the fraction of the duration that they
/// take. With more steps, the target's requests would be later ones than those of the base
/// version, so that a common cause would look like a fault.
const MOVE_STEPS: f64 = 2.0;
const MOVE_TIME: f64 = 0.06;

/// The time between the first write of the phase [`Phase::Moving`] and that of
/// [`Phase::Completed`], in which the other instances learn of it, also after the deadline.
const MIN_MOVING_TIME: Duration = Duration::from_secs(1);

/// The snapshots of the evidence in the order's duration.
const SNAPSHOTS: u32 = 8;

/// The pause after which a write that has not shown in the status is returned again.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

/// The time for which what a peer has reported on its running requests is relied on.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of peers whose reports are kept.
pub const MAX_PEERS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct PeerState {
    heard: Time,
    /// Whether the peer moves and no request runs at upstreams of other versions.
    has_moved: bool,
}

/// The state of the fleet as seen by the holder of the lease.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// The number of live instances.
    pub live: usize,
    /// Whether the holder hears enough of them to judge for all.
    pub is_permitted: bool,
    /// Whether none of the holder's own requests runs at upstreams of other versions.
    pub is_drained: bool,
    /// Whether the holder's own new requests all go to the target.
    pub moves_all: bool,
}

/// An order that is in force, or has been.
#[derive(Debug)]
pub struct Rollout {
    pub order: Order,
    /// The hash of the order in reports.
    pub key: u64,
    pub phase: Phase,
    /// Whether a verdict against the target is known. It is never revoked.
    pub is_bad: bool,
    pub evidence: Evidence,
    /// The phase in the status at the store.
    stored: Option<Phase>,
    started: Time,
    moving_since: Option<Time>,
    /// The attempts that may be sent to the target, as each attempt of this instance earns the
    /// share. It starts from nothing, so that no number of instances or restarts adds to the share.
    credit: f64,
    peers: HashMap<String, PeerState>,
    snapshots: u32,
    last_suspicion: Option<Time>,
    last_write: Option<(Phase, Time)>,
}

impl Rollout {
    /// Returns the state of an order that has just been read.
    pub fn new(order: Order, now: Time) -> Self {
        let age = order.age.min(now.since_origin());
        let parts: [&[u8]; 4] = [
            b"rollout",
            order.service.as_bytes(),
            order.target.as_bytes(),
            &order.revision.to_le_bytes(),
        ];
        Self {
            // 0 is reserved for reports without an order.
            key: stable_hash(&parts).max(1),
            order,
            phase: Phase::Canary,
            is_bad: false,
            evidence: Evidence::default(),
            stored: None,
            started: Time::from_origin(now.since_origin().saturating_sub(age)),
            moving_since: None,
            credit: 0.0,
            peers: HashMap::new(),
            snapshots: 0,
            last_suspicion: None,
            last_write: None,
        }
    }

    /// Returns whether this is the rollout of an order.
    pub fn is_of(&self, order: &Order) -> bool {
        self.order.target == order.target && self.order.revision == order.revision
    }

    /// Returns whether the order has neither been completed nor rolled back.
    pub const fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Canary | Phase::Moving)
    }

    /// Returns what the order means for the version in force.
    pub const fn effect(&self) -> OrderEffect<'_> {
        match self.phase {
            Phase::Canary | Phase::Moving => OrderEffect::Running(&self.order.target),
            Phase::RolledBack => OrderEffect::RolledBack(&self.order.target),
            Phase::Completed => OrderEffect::None,
        }
    }

    /// Applies the status at the store. A status that lags or was lost doesn't undo what is known.
    pub fn apply_status(&mut self, status: Option<&CanaryStatus>, now: Time) {
        let status = status.filter(|status| status.target == self.order.target);
        self.stored = status.map(|status| status.phase);
        if let Some(status) = status {
            self.advance(status.phase, now);
        }
    }

    /// Applies a phase that was recorded at the store.
    fn advance(&mut self, phase: Phase, now: Time) {
        let is_later = match (self.phase, phase) {
            (Phase::Canary, _) => phase != Phase::Canary,
            (Phase::Moving, _) => matches!(phase, Phase::Completed | Phase::RolledBack),
            (Phase::Completed | Phase::RolledBack, _) => false,
        };
        if !is_later {
            return;
        }
        self.phase = phase;
        self.credit = 0.0;
        match phase {
            Phase::Moving => {
                self.moving_since = Some(now);
                self.evidence.begin_move();
            }
            Phase::RolledBack => self.is_bad = true,
            Phase::Canary | Phase::Completed => {}
        }
    }

    fn elapsed(&self, now: Time) -> Duration {
        now.since(self.started)
    }

    /// Returns the elapsed fraction of the order's duration.
    fn progress(&self, now: Time) -> f64 {
        let duration = self.order.duration.as_secs_f64().max(0.001);
        self.elapsed(now).as_secs_f64() / duration
    }

    /// Returns the upstreams that the target's requests may use, and the share of it.
    pub fn selection(&self, versions: &Versions, exposure_share: f64) -> Selection {
        let share = (exposure_share * USED_SHARE).clamp(0.0, MAX_SHARE);
        match self.phase {
            Phase::Canary => versions.select(&self.order.target, share),
            Phase::Moving | Phase::Completed | Phase::RolledBack => Selection {
                upstreams: versions.upstreams(&self.order.target),
                share: 1.0,
            },
        }
    }

    /// Returns the share of the requests that move to `new` upstreams of the target from `old`
    /// ones. Until shortly before the deadline, none gets more than an old one has had.
    fn moving_share(&self, old: usize, new: usize, now: Time) -> f64 {
        if self.progress(now) >= MOVE_ALL || old == 0 {
            return 1.0;
        }
        let span = self.order.duration.as_secs_f64().max(0.001) * MOVE_TIME;
        let moving = self
            .moving_since
            .map_or(0.0, |at| now.since(at).as_secs_f64());
        let step = ((moving / span * MOVE_STEPS).floor() + 1.0) / MOVE_STEPS;
        step.min(as_f64(new) / as_f64(old)).min(1.0)
    }

    /// Returns the share of the requests that the target gets now, beside `old` upstreams of the
    /// base version.
    pub fn share(&self, selection: &Selection, old: usize, now: Time) -> f64 {
        match self.phase {
            Phase::Canary => selection.share,
            Phase::Moving => self.moving_share(old, selection.upstreams.len(), now),
            Phase::Completed | Phase::RolledBack => 0.0,
        }
    }

    /// Returns whether one more attempt may be sent to the target now, which gets a `share` of
    /// all. `is_permitted` states whether recent heartbeats would have reported a verdict.
    pub fn admits_target(&self, share: f64, is_permitted: bool) -> bool {
        self.is_running() && !self.is_bad && is_permitted && self.credit + share >= 1.0
    }

    /// Counts an attempt while the target gets a `share` of all.
    pub fn record_sent(&mut self, side: Side, share: f64) {
        let used = if side == Side::Target { 1.0 } else { 0.0 };
        self.credit = (self.credit + share - used).min(MAX_CREDIT);
    }

    /// Takes back an attempt that has not reached its upstream.
    pub fn record_unsent(&mut self, side: Side, share: f64) {
        let used = if side == Side::Target { 1.0 } else { 0.0 };
        self.credit = (self.credit - share + used).min(MAX_CREDIT);
    }

    /// Returns whether all new requests go to the target, which gets a `share` of all.
    pub fn moves_all(&self, share: f64) -> bool {
        self.phase == Phase::Moving && !self.is_bad && share >= 1.0
    }

    /// Returns what this instance reports. `routes` is empty if the report has no room for them.
    pub fn report(&self, routes: &[RouteReport], base_running: u32, now: Time) -> RolloutReport {
        let elapsed = self.elapsed(now).as_millis();
        RolloutReport {
            order: self.key,
            phase: self.phase,
            is_bad: self.is_bad,
            elapsed_ms: u32::try_from(elapsed).unwrap_or(u32::MAX),
            base_running,
            routes: routes.to_vec(),
        }
    }

    /// Applies the report of a peer on the same order.
    pub fn observe(&mut self, sender: &str, incarnation: u64, report: &RolloutReport, now: Time) {
        let elapsed = Duration::from_millis(report.elapsed_ms.into());
        let started = now.since_origin().saturating_sub(elapsed);
        self.started = self.started.min(Time::from_origin(started));
        self.is_bad |= report.is_bad;
        self.advance(report.phase, now);
        let state = PeerState {
            heard: now,
            has_moved: report.phase != Phase::Canary && report.base_running == 0,
        };
        if let Some(known) = self.peers.get_mut(sender) {
            *known = state;
        } else if self.peers.len() < MAX_PEERS {
            self.peers.insert(sender.to_owned(), state);
        }
        if self.evidence.peers() < MAX_PEERS || self.evidence.knows(sender) {
            self.evidence.observe(sender, incarnation, &report.routes);
        }
    }

    /// Judges the target. Returns whether it has just been found bad.
    pub fn judge(&mut self, now: Time) -> bool {
        if !self.is_running() || self.is_bad {
            return false;
        }
        let snapshot_time = self.order.duration / SNAPSHOTS;
        if self.elapsed(now) >= snapshot_time * (self.snapshots + 1) {
            self.snapshots += 1;
            self.evidence.take_snapshot();
        }
        let judgement = self.evidence.judge();
        if judgement == Judgement::Suspicious {
            self.last_suspicion = Some(now);
        }
        self.is_bad = judgement == Judgement::Bad;
        self.is_bad
    }

    /// Returns whether the status at the store differs from what is known, or will.
    pub fn needs_write(&self) -> bool {
        self.is_running() || self.stored != Some(self.phase)
    }

    /// Returns the phase that the holder of the lease has to record now, if any.
    pub fn next_write(
        &mut self,
        versions: &Versions,
        fleet: FleetView,
        now: Time,
    ) -> Option<Phase> {
        let next = self.next_phase(versions, fleet, now);
        if self.stored == Some(next) {
            self.last_write = None;
            return None;
        }
        let is_repeated = |(phase, at): (Phase, Time)| phase == next && now.since(at) < WRITE_PAUSE;
        if self.last_write.is_some_and(is_repeated) {
            return None;
        }
        self.last_write = Some((next, now));
        Some(next)
    }

    fn next_phase(&self, versions: &Versions, fleet: FleetView, now: Time) -> Phase {
        match self.phase {
            Phase::Completed | Phase::RolledBack => self.phase,
            Phase::Canary | Phase::Moving if self.is_bad => Phase::RolledBack,
            Phase::Moving if self.is_complete(fleet, now) => Phase::Completed,
            Phase::Moving => Phase::Moving,
            Phase::Canary => self.decide(versions, fleet.is_permitted, now),
        }
    }

    /// Returns whether the move is over, or can't wait any longer.
    fn is_complete(&self, fleet: FleetView, now: Time) -> bool {
        let moving = self.moving_since.map_or(Duration::ZERO, |at| now.since(at));
        let is_done = fleet.is_permitted
            && fleet.is_drained
            && fleet.moves_all
            && self.have_peers_moved(fleet.live, now);
        // Instances without recent heartbeats read the phase from the status.
        self.stored == Some(Phase::Moving)
            && moving >= MIN_MOVING_TIME.min(self.order.duration / 20)
            && (is_done || self.progress(now) >= COMPLETE)
    }

    /// Returns the phase that follows the canary. An instance that hears few of its peers leaves
    /// the decision to the next holder of the lease until shortly before the deadline.
    fn decide(&self, versions: &Versions, is_permitted: bool, now: Time) -> Phase {
        let progress = self.progress(now);
        if progress < ACCEPT || (!is_permitted && progress < COMPLETE) {
            return Phase::Canary;
        }
        if !is_permitted {
            return Phase::RolledBack;
        }
        let has_upstreams = !versions.upstreams(&self.order.target).is_empty();
        let is_in_force = versions.base() == Some(&self.order.target);
        let responds = is_in_force || self.evidence.has_target_response();
        // The evidence varies; it is not accepted at the first moment at which it is low.
        let suspicion = self.last_suspicion.map(|at| now.since(at));
        let is_suspected = suspicion.is_some_and(|since| since < self.order.duration / SNAPSHOTS);
        match self.evidence.judge() {
            Judgement::Good if has_upstreams && !is_suspected => Phase::Moving,
            _ if progress < DECIDE => Phase::Canary,
            // Its upstreams may still start.
            _ if !has_upstreams && progress < COMPLETE => Phase::Canary,
            Judgement::Good | Judgement::Unclear if has_upstreams && responds => Phase::Moving,
            _ => Phase::RolledBack,
        }
    }

    fn have_peers_moved(&self, live: usize, now: Time) -> bool {
        let recent = self.peers.values();
        let recent = recent.filter(|peer| now.since(peer.heard) < PEER_TIMEOUT);
        let (moved, all) = recent.fold((0, 0), |(moved, all), peer| {
            (moved + usize::from(peer.has_moved), all + 1)
        });
        moved == all && moved + 1 >= live
    }
}
