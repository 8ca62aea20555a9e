//! The order in which engines load new weights.
//!
//! An engine rejects requests while it loads, and more than a few concurrent loads slow
//! each other down. The engines with the oldest weights load first, among these the
//! least loaded ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;
use crate::peers::Peers;
use crate::upstreams::Upstream;
use crate::upstreams::Upstreams;
use crate::weights::TargetWeights;

/// An engine that is to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsLoad {
    /// The engine's id.
    pub upstream: Name,
    /// The engine's address.
    pub address: SocketAddr,
    /// The model.
    pub model: Name,
    /// The version to load.
    pub version: u64,
}

/// What happens to an engine's running requests when it loads weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchMode {
    /// The engine loads once its requests have ended.
    AfterRuns,
    /// The engine aborts its requests; streams are resumed at other engines.
    CutRuns,
    /// The engine continues its requests with the new weights. Their further output is of
    /// little use, but the engine accepts new requests at once.
    KeepRuns,
}

/// Decides what happens to the running requests of an engine that is to load weights.
///
/// Returns `None` while the engine should drain a little longer. `requests` run there, of
/// which `fragile` cannot be continued elsewhere; `waited` is the time for which the
/// engine has got no new requests. Requests are aborted only if all of them can be
/// continued elsewhere and the retry budget covers that. When it is urgent, the engine
/// doesn't wait for its requests, as its capacity is needed more than their output.
#[must_use]
pub fn switch_mode(
    requests: u32,
    fragile: u32,
    retries_left: f64,
    waited: Duration,
    urgent: bool,
) -> Option<SwitchMode> {
    if fragile == 0 && f64::from(requests) <= retries_left {
        return Some(SwitchMode::CutRuns);
    }
    if urgent {
        return Some(SwitchMode::KeepRuns);
    }
    let keeps_draining = fragile > 0 && waited < MAX_DRAIN_TIME;
    (!keeps_draining).then_some(SwitchMode::AfterRuns)
}

/// The longest time for which an engine drains requests that cannot be continued
/// elsewhere.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(900);

/// One in this many engines of a service may load at the same time.
const CONCURRENT_LOADS_DIVISOR: usize = 5;

/// The minimum number of concurrent loads, unless a backlog slows loads down.
const MIN_CONCURRENT_LOADS: usize = 2;

/// The average backlog per engine, in prompt tokens, from which fewer engines load at
/// once: its prefill takes about a tenth of a second.
const LARGE_BACKLOG_TOKENS: u64 = 4_000;

/// The time after a new target version in which loads may be slowed down for a backlog.
/// One by one, ten engines take about as long again.
const UNHURRIED_PERIOD: Duration = Duration::from_millis(2_500);

/// The time after a new target version from which twice as many engines load at once,
/// although that slows each load down: engines with old weights soon become unusable.
const URGENT_AFTER: Duration = Duration::from_millis(3_800);

/// The pause after a failed load of an engine.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// The engines that are draining or loading.
#[derive(Debug, Default)]
pub struct Rollout {
    engines: BTreeMap<Name, Stage>,
    paused: BTreeMap<Name, Time>,
    /// The number of concurrent loads by model, as of the last plan.
    max_concurrent: BTreeMap<Name, usize>,
}

/// Returns whether engines with old weights will soon become unusable.
#[must_use]
pub fn is_urgent(upstreams: &Upstreams, target: &TargetWeights, now: Time) -> bool {
    longest_outdated(upstreams, target, now) >= URGENT_AFTER
}

fn longest_outdated(upstreams: &Upstreams, target: &TargetWeights, now: Time) -> Duration {
    let outdated_time = |row: &Upstream| target.outdated_for(row.weights(&target.model)?, now);
    upstreams
        .iter()
        .filter_map(outdated_time)
        .max()
        .unwrap_or_default()
}

/// The progress of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Draining,
    Loading { until: Time },
}

impl Rollout {
    /// Returns whether any engine has older weights than the target.
    #[must_use]
    pub fn is_needed(upstreams: &Upstreams, targets: &[TargetWeights]) -> bool {
        targets
            .iter()
            .any(|n| outdated(upstreams, n).next().is_some())
    }

    /// Returns the engines that start to drain now, so that one is always ready when
    /// another one has loaded.
    pub fn plan(
        &mut self,
        upstreams: &Upstreams,
        peers: &Peers,
        targets: &[TargetWeights],
        now: Time,
    ) -> Vec<WeightsLoad> {
        self.paused.retain(|_, until| now < *until);
        let mut loads = Vec::new();
        for target in targets {
            let max_concurrent = max_concurrent(upstreams, peers, target, now);
            self.max_concurrent
                .insert(Name::clone(&target.model), max_concurrent);
            let draining = self.engines.values().filter(|s| **s == Stage::Draining);
            let free = max_concurrent.saturating_sub(draining.count());
            for row in self
                .pending(upstreams, peers, target, now)
                .into_iter()
                .take(free)
            {
                self.engines
                    .insert(Name::clone(&row.entry.id), Stage::Draining);
                loads.push(WeightsLoad {
                    upstream: Name::clone(&row.entry.id),
                    address: row.entry.address,
                    model: Name::clone(&target.model),
                    version: target.newest(),
                });
            }
        }
        loads
    }

    /// Returns whether another engine may start to load a model, by the backlog at the last
    /// plan.
    #[must_use]
    pub fn may_load(&self, model: &str, now: Time) -> bool {
        let loading = |stage: &&Stage| matches!(stage, Stage::Loading { until } if now < *until);
        let loading = self.engines.values().filter(loading).count();
        let max_concurrent = self.max_concurrent.get(model).copied();
        loading < max_concurrent.unwrap_or(MIN_CONCURRENT_LOADS)
    }

    /// Marks an engine as loading until the given time or [`Rollout::finish_load`].
    pub fn mark_loading(&mut self, upstream: &str, until: Time) {
        if let Some(stage) = self.engines.get_mut(upstream) {
            *stage = Stage::Loading { until };
        }
    }

    /// Records that a load has ended; `loaded` states whether it succeeded.
    pub fn finish_load(&mut self, upstream: &str, loaded: bool, now: Time) {
        if let Some((id, _)) = self.engines.remove_entry(upstream)
            && !loaded
        {
            self.paused.insert(id, now + RETRY_PAUSE);
        }
    }

    /// Returns whether any engine is draining or loading.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.engines.is_empty()
    }

    /// Returns the engines with old weights that may start to drain, the oldest weights first
    /// and among equals the least loaded engine.
    fn pending<'a>(
        &self,
        upstreams: &'a Upstreams,
        peers: &Peers,
        target: &'a TargetWeights,
        now: Time,
    ) -> Vec<&'a Upstream> {
        let is_pending = |row: &&Upstream| {
            !self.engines.contains_key(&row.entry.id) && !self.paused.contains_key(&row.entry.id)
        };
        let loads = peers.remote_loads(now);
        let mut pending: Vec<&Upstream> = outdated(upstreams, target).filter(is_pending).collect();
        pending.sort_by_cached_key(|row| {
            let remote = loads.get(&row.hash).map_or(0, |load| load.requests);
            let version = row.weights(&target.model).unwrap_or_default();
            let avoided = upstreams.is_avoided(row, now);
            (avoided, version, row.local_load.requests + remote)
        });
        pending
    }
}

/// Returns the number of engines that may drain, and that may load, at the same time.
///
/// During a backlog, missing engines hurt most; as long as there is time, fewer load at
/// once then.
fn max_concurrent(
    upstreams: &Upstreams,
    peers: &Peers,
    target: &TargetWeights,
    now: Time,
) -> usize {
    let serving = upstreams
        .iter()
        .filter(|row| row.weights(&target.model).is_some());
    let max_loads = serving
        .count()
        .div_ceil(CONCURRENT_LOADS_DIVISOR)
        .max(MIN_CONCURRENT_LOADS);
    let longest_time = longest_outdated(upstreams, target, now);
    if longest_time >= URGENT_AFTER {
        return max_loads * 2;
    }
    let backlog = backlog_tokens(upstreams, peers, &target.model, now);
    if backlog >= LARGE_BACKLOG_TOKENS && longest_time < UNHURRIED_PERIOD {
        return max_loads.div_ceil(2);
    }
    max_loads
}

/// Returns the average number of waiting prompt tokens per engine.
fn backlog_tokens(upstreams: &Upstreams, peers: &Peers, model: &str, now: Time) -> u64 {
    let serving = upstreams.iter().filter(|row| {
        row.weights(model).is_some() && row.accepts_requests() && !upstreams.is_avoided(row, now)
    });
    let loads = peers.remote_loads(now);
    let waiting_tokens = |row: &Upstream| {
        let remote = loads.get(&row.hash).map_or(0, |load| load.waiting_tokens);
        u64::from(row.local_load.waiting_tokens) + u64::from(remote)
    };
    let (sum, count) = serving.fold((0, 0), |(sum, count), row| {
        (sum + waiting_tokens(row), count + 1)
    });
    sum / u64::max(count, 1)
}

fn outdated<'a>(
    upstreams: &'a Upstreams,
    target: &'a TargetWeights,
) -> impl Iterator<Item = &'a Upstream> {
    let is_outdated = |row: &&Upstream| {
        let version = row.weights(&target.model);
        row.accepts_requests() && version.is_some_and(|v| v < target.newest())
    };
    upstreams.iter().filter(is_outdated)
}
