//! The order in which engines load new weights.
//!
//! A loading engine turns requests away, and loads slow each other down beyond
//! a few at once. Engines with the least work go first.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;
use crate::peers::Peers;
use crate::upstreams::Upstream;
use crate::upstreams::Upstreams;
use crate::weights::TargetWeights;

/// A `WeightsLoad` is one engine that is to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsLoad {
    /// The engine's id.
    pub upstream: Name,
    /// The engine's address.
    pub address: SocketAddr,
    /// The model.
    pub model: Name,
    /// The version to be loaded.
    pub version: u64,
}

/// A `SwitchMode` is what becomes of an engine's running requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwitchMode {
    /// The engine loads once its requests have ended.
    AfterRuns,
    /// The engine breaks its requests off; streams go on elsewhere.
    CutRuns,
    /// The engine goes on with its requests on the new weights. What it makes of
    /// them from then on is of little use, but it takes new requests at once.
    KeepRuns,
}

/// Decides what becomes of the running requests of an engine that is to load.
///
/// Requests are broken off only where all of them can go on elsewhere and the
/// budget covers that. `waited` is the time for which the engine has got no new
/// requests; `None` means that waiting a little longer is better. When it is
/// urgent, an engine that waits for its requests would be missed more than they.
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
    let patient = fragile > 0 && waited < MAX_DRAIN_TIME;
    (!patient).then_some(SwitchMode::AfterRuns)
}

/// The longest time for which an engine gets no new requests so that those which
/// cannot be continued elsewhere end first.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(900);

/// The part of a service's engines that load at once.
const CONCURRENT_LOADS_DIVISOR: usize = 5;

/// The least number of engines that load at once.
const MIN_CONCURRENT_LOADS: usize = 2;

/// The prompt tokens that wait at an engine on the average from which engines
/// load one by one: they take about a tenth of a second to be read.
const LARGE_BACKLOG_TOKENS: u64 = 4_000;

/// The time after the naming of weights for which there is no hurry. One by one,
/// ten engines take about as long again.
const UNHURRIED_PERIOD: Duration = Duration::from_millis(2_500);

/// The time after the naming of weights from which more engines load at once than
/// is quickest for each: soon they cannot be used any more as they are.
const URGENT_AFTER: Duration = Duration::from_millis(3_800);

/// The pause before an engine that did not load gets another order.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// A `Rollout` keeps track of the engines that are being emptied or loading.
#[derive(Debug, Default)]
pub struct Rollout {
    engines: BTreeMap<Name, Stage>,
    paused: BTreeMap<Name, Time>,
    /// How many engines may load at once by model, as of the last plan.
    max_concurrent: BTreeMap<Name, usize>,
}

/// Returns whether engines without the newest weights cannot be used much longer.
#[must_use]
pub fn is_urgent(upstreams: &Upstreams, target: &TargetWeights, now: Time) -> bool {
    longest_outdated(upstreams, target, now) >= URGENT_AFTER
}

fn longest_outdated(upstreams: &Upstreams, target: &TargetWeights, now: Time) -> Duration {
    let waits = |row: &Upstream| target.outdated_for(row.weights(&target.model)?, now);
    upstreams.iter().filter_map(waits).max().unwrap_or_default()
}

/// How far an engine is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Draining,
    Loading { until: Time },
}

impl Rollout {
    /// Returns whether any engine lacks the newest weights.
    #[must_use]
    pub fn is_needed(upstreams: &Upstreams, targets: &[TargetWeights]) -> bool {
        targets
            .iter()
            .any(|n| outdated(upstreams, n).next().is_some())
    }

    /// Returns the engines that are to be emptied now, so that there is always
    /// one ready when another has loaded.
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
            let room = max_concurrent.saturating_sub(draining.count());
            for row in self
                .pending(upstreams, peers, target, now)
                .into_iter()
                .take(room)
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

    /// Returns whether another engine of a model may begin to load, by the backlog
    /// at the last plan.
    #[must_use]
    pub fn may_load(&self, model: &str, now: Time) -> bool {
        let loading = |stage: &&Stage| matches!(stage, Stage::Loading { until } if now < *until);
        let loading = self.engines.values().filter(loading).count();
        let max_concurrent = self.max_concurrent.get(model).copied();
        loading < max_concurrent.unwrap_or(MIN_CONCURRENT_LOADS)
    }

    /// Counts an engine as loading until `until`, or until its load has ended.
    pub fn mark_loading(&mut self, upstream: &str, until: Time) {
        if let Some(stage) = self.engines.get_mut(upstream) {
            *stage = Stage::Loading { until };
        }
    }

    /// Records that a load has ended, with the weights in place or not.
    pub fn finish_load(&mut self, upstream: &str, loaded: bool, now: Time) {
        if let Some((id, _)) = self.engines.remove_entry(upstream)
            && !loaded
        {
            self.paused.insert(id, now + RETRY_PAUSE);
        }
    }

    /// Returns whether any load has not ended.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.engines.is_empty()
    }

    /// Returns the engines that lack the weights, those with the oldest ones first
    /// and among these those with the least work.
    fn pending<'a>(
        &self,
        upstreams: &'a Upstreams,
        peers: &Peers,
        target: &'a TargetWeights,
        now: Time,
    ) -> Vec<&'a Upstream> {
        let idle = |row: &&Upstream| {
            !self.engines.contains_key(&row.entry.id) && !self.paused.contains_key(&row.entry.id)
        };
        let loads = peers.remote_loads(now);
        let mut waiting: Vec<&Upstream> = outdated(upstreams, target).filter(idle).collect();
        waiting.sort_by_cached_key(|row| {
            let remote = loads.get(&row.hash).map_or(0, |load| load.requests);
            let version = row.weights(&target.model).unwrap_or_default();
            let avoided = upstreams.is_avoided(row, now);
            (avoided, version, row.local_load.requests + remote)
        });
        waiting
    }
}

/// Returns how many engines are emptied, and how many load, at the same time.
///
/// Engines that take no requests are missed most when the others have a
/// backlog; then they go one by one as long as there is time for that.
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
    let longest = longest_outdated(upstreams, target, now);
    if longest >= URGENT_AFTER {
        return max_loads * 2;
    }
    let backlog = backlog_tokens(upstreams, peers, &target.model, now);
    if backlog >= LARGE_BACKLOG_TOKENS && longest < UNHURRIED_PERIOD {
        return max_loads.div_ceil(2);
    }
    max_loads
}

/// Returns the prompt tokens that wait at an engine on the average.
fn backlog_tokens(upstreams: &Upstreams, peers: &Peers, model: &str, now: Time) -> u64 {
    let serving = upstreams.iter().filter(|row| {
        row.weights(model).is_some() && row.accepts_requests() && !upstreams.is_avoided(row, now)
    });
    let loads = peers.remote_loads(now);
    let waiting = |row: &Upstream| {
        let remote = loads.get(&row.hash).map_or(0, |load| load.waiting_tokens);
        u64::from(row.local_load.waiting_tokens) + u64::from(remote)
    };
    let (sum, count) = serving.fold((0, 0), |(sum, count), row| (sum + waiting(row), count + 1));
    sum / u64::max(count, 1)
}

fn outdated<'a>(
    upstreams: &'a Upstreams,
    target: &'a TargetWeights,
) -> impl Iterator<Item = &'a Upstream> {
    let lacks = |row: &&Upstream| {
        let version = row.weights(&target.model);
        row.accepts_requests() && version.is_some_and(|v| v < target.newest())
    };
    upstreams.iter().filter(lacks)
}
