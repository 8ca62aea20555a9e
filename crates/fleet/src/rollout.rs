//! The order in which engines load new weights.
//!
//! An engine rejects requests while it loads, and more than a few concurrent loads slow
//! each other down. The number of concurrent loads follows the pace that ended loads show.
//! The engines with the oldest weights load first, among these the least loaded ones.

mod switch_mode;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;
use crate::availability::Incarnation;
use crate::load_pace::LoadPace;
use crate::load_pace::LoadTime;
use crate::peers::Peers;
use crate::upstreams::Upstream;
use crate::upstreams::Upstreams;
use crate::weights::TargetWeights;

pub use self::switch_mode::SwitchMode;
pub use self::switch_mode::switch_mode;

/// An engine that is to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsLoad {
    /// The engine's id.
    pub upstream: Name,
    /// The engine's address.
    pub address: SocketAddr,
    /// The start of the engine's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The model.
    pub model: Name,
    /// The version to load.
    pub version: u64,
}

impl WeightsLoad {
    /// Returns the incarnation of the engine.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            upstream: Name::clone(&self.upstream),
            born_ms: self.born_ms,
        }
    }
}

/// One in this many engines of a model may load at the same time.
const CONCURRENT_LOADS_DIVISOR: usize = 5;

/// One in this many engines of a model loads at the same time before loads have ended.
const FIRST_LOADS_DIVISOR: usize = 10;

/// The minimum number of concurrent loads, unless a backlog slows loads down.
const MIN_CONCURRENT_LOADS: usize = 2;

/// One in this many engines of a model may have orders without a response while there is
/// time, as all of these orders may be executed at the same moment.
const UNCONFIRMED_DIVISOR: usize = 3;

/// The average backlog per engine, in prompt tokens, from which fewer engines load at
/// once: its prefill takes about a tenth of a second.
const LARGE_BACKLOG_TOKENS: u64 = 4_000;

/// The least slack, as a part of the time that loads are expected to take, with which they
/// are slowed down for a backlog.
const BACKLOG_SLACK: f64 = 0.25;

/// The pause after a failed load of an engine.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// The time after its end for which a load counts in the concurrency of others.
const SPAN_RETENTION: Duration = Duration::from_secs(30);

/// The rollout's bounds in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RolloutOptions {
    /// The time after a new target version from which engines with old weights get no
    /// requests.
    pub max_weights_age: Duration,
}

impl Default for RolloutOptions {
    fn default() -> Self {
        Self {
            max_weights_age: Duration::from_secs(6),
        }
    }
}

/// The engines that are draining or loading.
#[derive(Debug, Default)]
pub struct Rollout {
    options: RolloutOptions,
    engines: BTreeMap<Name, Stage>,
    paused: BTreeMap<Name, Time>,
    /// The engines with an order to load once their running requests have ended, which may have
    /// got no response, and the time of that order.
    awaiting_runs: BTreeMap<Name, Time>,
    plans: BTreeMap<Name, Plan>,
    paces: BTreeMap<Name, LoadPace>,
    spans: VecDeque<LoadSpan>,
}

/// The bounds on a model's loads, as of the last plan.
#[derive(Clone, Copy, Debug)]
struct Plan {
    concurrent: usize,
    /// The number of engines with orders without a response from which no more are ordered.
    max_unconfirmed: usize,
    is_urgent: bool,
}

/// The progress of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Draining,
    /// An order got no response. The engine may execute it late.
    Unconfirmed,
    /// An order is being sent for the first time, or the engine executes one.
    Loading {
        until: Time,
    },
}

/// The time in which an engine has loaded weights.
#[derive(Clone, Debug)]
struct LoadSpan {
    upstream: Name,
    start: Time,
    /// The expected end while the load runs, and then the observed one.
    end: Time,
    is_running: bool,
}

/// The reports between which a load ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenEnd {
    /// The moment of the last report without the weights, or of the order.
    pub after: Time,
    /// The moment of the first report with the weights.
    pub by: Time,
}

/// The way in which a load ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadEnd {
    /// The engine has the weights.
    Loaded {
        /// The reports around the end, if the load began as soon as it was ordered.
        seen: Option<SeenEnd>,
    },
    /// The engine doesn't have the weights.
    Failed,
}

impl Rollout {
    /// Returns a rollout without loads.
    #[must_use]
    pub fn new(options: RolloutOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns whether any engine has older weights than the target.
    #[must_use]
    pub fn is_needed(upstreams: &Upstreams, targets: &[TargetWeights]) -> bool {
        targets
            .iter()
            .any(|n| outdated(upstreams, n).next().is_some())
    }

    /// Returns the engines that start to drain now, so that they are ready when others have
    /// loaded.
    pub fn plan(
        &mut self,
        upstreams: &Upstreams,
        peers: &Peers,
        targets: &[TargetWeights],
        now: Time,
    ) -> Vec<WeightsLoad> {
        let drain_time = peers.informed_time();
        self.paused.retain(|_, until| now < *until);
        self.spans
            .retain(|span| span.is_running || now.since(span.end) < SPAN_RETENTION);
        let mut loads = Vec::new();
        for target in targets {
            let plan = self.plan_model(upstreams, peers, target, now);
            self.plans.insert(Name::clone(&target.model), plan);
            // Draining takes a while, so engines begin before the running loads end.
            let occupied = |s: &&Stage| match s {
                Stage::Draining => true,
                Stage::Unconfirmed => false,
                Stage::Loading { until } => now + drain_time < *until,
            };
            let occupied = self.engines.values().filter(occupied).count();
            let pace = self.pace(&target.model);
            let free = pace
                .with_unreported(plan.concurrent)
                .saturating_sub(occupied)
                .min(plan.max_unconfirmed.saturating_sub(self.unconfirmed()));
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
                    born_ms: row.entry.born_ms,
                    model: Name::clone(&target.model),
                    version: target.newest(),
                });
            }
        }
        loads
    }

    /// Returns the bounds on a model's loads.
    ///
    /// During a backlog, missing engines hurt most, so fewer load at once while the expected
    /// time leaves room for that. If the time is short, more engines than usual load at once
    /// until loads are known to slow each other down.
    fn plan_model(
        &self,
        upstreams: &Upstreams,
        peers: &Peers,
        target: &TargetWeights,
        now: Time,
    ) -> Plan {
        let serving = upstreams
            .iter()
            .filter(|row| row.weights(&target.model).is_some())
            .count();
        let max = serving
            .div_ceil(CONCURRENT_LOADS_DIVISOR)
            .max(MIN_CONCURRENT_LOADS);
        let start = serving
            .div_ceil(FIRST_LOADS_DIVISOR)
            .max(MIN_CONCURRENT_LOADS);
        let pace = self.pace(&target.model);
        let concurrent = pace.concurrent(start, max);
        let slack = self.slack(upstreams, target, concurrent, now);
        if slack.is_some_and(|slack| slack < 0.0) {
            return Plan {
                concurrent: if pace.knows_knee() {
                    concurrent
                } else {
                    max * 2
                },
                max_unconfirmed: serving,
                is_urgent: true,
            };
        }
        let is_early = slack.is_some_and(|slack| slack > BACKLOG_SLACK);
        let is_slow = is_early
            && backlog_tokens(upstreams, peers, &target.model, now) >= LARGE_BACKLOG_TOKENS;
        Plan {
            concurrent: if is_slow {
                concurrent.div_ceil(2)
            } else {
                concurrent
            },
            max_unconfirmed: if self.needs_more_orders(upstreams, target, concurrent, now) {
                serving
            } else {
                serving.div_ceil(UNCONFIRMED_DIVISOR).max(max)
            },
            is_urgent: false,
        }
    }

    /// Returns the least time that is left after an engine's expected load and before its old
    /// weights become unusable, as a part of the expected time; `None` if all have the
    /// newest weights.
    fn slack(
        &self,
        upstreams: &Upstreams,
        target: &TargetWeights,
        concurrent: usize,
        now: Time,
    ) -> Option<f64> {
        let ages = outdated_times(upstreams, target, now);
        let pace = self.pace(&target.model);
        let slacks = ages.iter().enumerate().map(|(index, age)| {
            let needed = pace.expected_total(index + 1, concurrent).as_secs_f64();
            let left = self.options.max_weights_age.as_secs_f64() - age.as_secs_f64();
            (left - needed) / needed.max(f64::EPSILON)
        });
        slacks.min_by(f64::total_cmp)
    }

    /// Returns whether old weights are expected to become unusable before all engines have
    /// loaded, if as many orders as before get no response.
    fn needs_more_orders(
        &self,
        upstreams: &Upstreams,
        target: &TargetWeights,
        concurrent: usize,
        now: Time,
    ) -> bool {
        let ages = outdated_times(upstreams, target, now);
        let pace = self.pace(&target.model);
        let needed = pace.order_delay(ages.len()) + pace.expected_total(ages.len(), concurrent);
        let oldest = ages.first().copied().unwrap_or_default();
        oldest + needed > self.options.max_weights_age
    }

    /// Returns whether an engine may be ordered to load once its running requests have ended.
    ///
    /// Such an order cannot be revoked, however long the requests run, so half of the
    /// concurrent loads wait at most.
    #[must_use]
    pub fn has_room_to_await(&self, load: &WeightsLoad) -> bool {
        let concurrent = self.plans.get(&load.model).map(|plan| plan.concurrent);
        let max = concurrent.unwrap_or(MIN_CONCURRENT_LOADS) / 2;
        self.awaiting_runs.contains_key(&load.upstream) || self.awaiting_runs.len() < max.max(1)
    }

    /// Returns whether an engine whose weights have been outdated for `age` has the time to wait
    /// for its running requests before it loads.
    ///
    /// A wait of unknown length is expected to last as long again as it has lasted.
    #[must_use]
    pub fn has_time_to_await(&self, model: &str, age: Duration, now: Time) -> bool {
        let waits = self.awaiting_runs.values().map(|since| now.since(*since));
        let wait = waits.max().unwrap_or_default() * 2;
        let load = self.pace(model).expected(1).unwrap_or_default();
        age + wait + load < self.options.max_weights_age
    }

    /// Returns whether engines with old weights are expected to become unusable before all
    /// have loaded, by the last plan.
    #[must_use]
    pub fn is_urgent(&self, model: &str) -> bool {
        self.plans.get(model).is_some_and(|plan| plan.is_urgent)
    }

    /// Returns whether another engine may start to load a model, by the last plan.
    ///
    /// A load counts until it is reported to have ended, so that loads which take longer
    /// than expected don't add up.
    #[must_use]
    pub fn may_load(&self, model: &str) -> bool {
        let loading = |stage: &&Stage| matches!(stage, Stage::Loading { .. });
        let loading = self.engines.values().filter(loading).count();
        let concurrent = self.plans.get(model).map(|plan| plan.concurrent);
        let concurrent = concurrent.unwrap_or(MIN_CONCURRENT_LOADS);
        loading < self.pace(model).with_unreported(concurrent)
    }

    /// Returns the number of engines with an order without a response.
    fn unconfirmed(&self) -> usize {
        let unconfirmed = |stage: &&Stage| **stage == Stage::Unconfirmed;
        self.engines.values().filter(unconfirmed).count()
    }

    /// Returns the pace of a model's loads.
    #[must_use]
    pub fn pace(&self, model: &str) -> LoadPace {
        self.paces.get(model).copied().unwrap_or_default()
    }

    /// Marks an engine as loading until [`Rollout::finish_load`], which is expected at
    /// `until`.
    pub fn mark_loading(&mut self, upstream: &str, until: Time) {
        if let Some(stage) = self.engines.get_mut(upstream) {
            *stage = Stage::Loading { until };
        }
        let span = self
            .spans
            .iter_mut()
            .find(|s| s.is_running && &*s.upstream == upstream);
        if let Some(span) = span {
            span.end = until;
        }
    }

    /// Records that an order got no response after `took`. The engine doesn't count as loading
    /// until it is known to, so that others are ordered meanwhile.
    pub fn mark_unconfirmed(&mut self, load: &WeightsLoad, took: Duration) {
        if let Some(stage) = self.engines.get_mut(&load.upstream) {
            *stage = Stage::Unconfirmed;
        }
        let pace = self.paces.entry(Name::clone(&load.model)).or_default();
        pace.record_order(false, took);
    }

    /// Records that an engine is ordered to load once its running requests have ended.
    pub fn mark_awaiting_runs(&mut self, upstream: &Name, now: Time) {
        let name = Name::clone(upstream);
        self.awaiting_runs.entry(name).or_insert(now);
    }

    /// Records that an order got a response after `took`.
    pub fn record_response(&mut self, load: &WeightsLoad, took: Duration) {
        let pace = self.paces.entry(Name::clone(&load.model)).or_default();
        pace.record_order(true, took);
    }

    /// Records that an engine has accepted an order at `now`, and returns the time that its
    /// load is expected to take, or `None` before loads have ended.
    pub fn start_load(&mut self, load: &WeightsLoad, now: Time) -> Option<Duration> {
        let is_loading = |span: &&LoadSpan| span.is_running && now < span.end;
        let concurrent = self.spans.iter().filter(is_loading).count() + 1;
        self.spans
            .retain(|s| !s.is_running || s.upstream != load.upstream);
        let expected = self.pace(&load.model).expected(concurrent);
        self.spans.push_back(LoadSpan {
            upstream: Name::clone(&load.upstream),
            start: now,
            end: now + expected.unwrap_or(self.options.max_weights_age),
            is_running: true,
        });
        expected
    }

    /// Records the time after which a report showed an order that was accepted.
    pub fn record_report_delay(&mut self, model: &Name, delay: Duration) {
        let pace = self.paces.entry(Name::clone(model)).or_default();
        pace.record_report_delay(delay);
    }

    /// Records that a load has ended.
    pub fn finish_load(&mut self, load: &WeightsLoad, end: LoadEnd, now: Time) {
        let was_planned = self.engines.remove(&load.upstream).is_some();
        self.awaiting_runs.remove(&load.upstream);
        match end {
            LoadEnd::Failed => {
                self.spans
                    .retain(|s| !s.is_running || s.upstream != load.upstream);
                if was_planned {
                    let until = now + RETRY_PAUSE;
                    self.paused.insert(Name::clone(&load.upstream), until);
                }
            }
            LoadEnd::Loaded { seen } => self.end_span(load, seen),
        }
    }

    /// Ends the span of a load and learns from it.
    fn end_span(&mut self, load: &WeightsLoad, seen: Option<SeenEnd>) {
        let running = |s: &LoadSpan| s.is_running && s.upstream == load.upstream;
        let Some(at) = self.spans.iter().position(running) else {
            return;
        };
        let Some(seen) = seen else {
            self.spans.remove(at);
            return;
        };
        let pace = self.pace(&load.model);
        let delay = pace.report_delay().unwrap_or_default();
        let start = self.spans[at].start;
        let until = |at: Time| at.since(start).saturating_sub(delay);
        let took = LoadTime {
            min: until(seen.after),
            max: until(seen.by),
        };
        let end = start + took.max;
        self.spans[at].end = end;
        self.spans[at].is_running = false;
        if took.max.is_zero() {
            return;
        }
        let concurrent = self.mean_concurrency(start, end);
        let pace = self.paces.entry(Name::clone(&load.model)).or_default();
        pace.record_load(took, concurrent);
    }

    /// Returns the average number of loads that ran in a time.
    fn mean_concurrency(&self, start: Time, end: Time) -> f64 {
        let overlap = |span: &LoadSpan| {
            let from = span.start.max(start);
            span.end.min(end).since(from).as_secs_f64()
        };
        let sum: f64 = self.spans.iter().map(overlap).sum();
        sum / end.since(start).as_secs_f64()
    }

    /// Returns whether any engine is draining or loading.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.engines.is_empty()
    }

    /// Returns the engines with old weights that may start to drain: first those that another
    /// instance has drained or ordered to load, then the oldest weights, and among equals the
    /// least loaded engine.
    fn pending<'a>(
        &self,
        upstreams: &'a Upstreams,
        peers: &Peers,
        target: &'a TargetWeights,
        now: Time,
    ) -> Vec<&'a Upstream> {
        let is_pending = |row: &&Upstream| {
            !self.engines.contains_key(&row.entry.id)
                && !self.paused.contains_key(&row.entry.id)
                && row.availability(now).is_serving()
        };
        let loads = peers.remote_loads(now);
        let mut pending: Vec<&Upstream> = outdated(upstreams, target).filter(is_pending).collect();
        pending.sort_by_cached_key(|row| {
            let remote = loads.get(&row.hash).map_or(0, |load| load.requests);
            let version = row.weights(&target.model).unwrap_or_default();
            let avoided = upstreams.is_avoided(row, now);
            let requests = row.local_load.requests + remote;
            (avoided, !row.is_away(now), version, requests)
        });
        pending
    }
}

/// Returns the average number of waiting prompt tokens per engine.
fn backlog_tokens(upstreams: &Upstreams, peers: &Peers, model: &str, now: Time) -> u64 {
    let serving = upstreams.iter().filter(|row| {
        row.weights(model).is_some()
            && row.availability(now).is_serving()
            && !upstreams.is_avoided(row, now)
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

/// Returns the times for which engines have had outdated weights, the longest one first.
fn outdated_times(upstreams: &Upstreams, target: &TargetWeights, now: Time) -> Vec<Duration> {
    let outdated_time = |row: &Upstream| target.outdated_for(row.weights(&target.model)?, now);
    let mut times: Vec<Duration> = outdated(upstreams, target)
        .filter_map(outdated_time)
        .collect();
    times.sort_by_key(|time| Reverse(*time));
    times
}

fn outdated<'a>(
    upstreams: &'a Upstreams,
    target: &'a TargetWeights,
) -> impl Iterator<Item = &'a Upstream> {
    let is_outdated = |row: &&Upstream| {
        let version = row.weights(&target.model);
        let is_older = match version {
            Some(version) => version < target.newest(),
            None => upstreams.may_serve(row, &target.model),
        };
        row.stays() && is_older
    };
    upstreams.iter().filter(is_outdated)
}
