//! Counters and latency histograms of a fleet instance.

use std::time::Duration;

use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_http::CallerEnd;
use limpetsaddle_http::CallerEnds;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

use super::unfinished::CutOffCause;
use super::unfinished::IdleCloseCause;
use crate::errors::MetricsError;
use crate::logging;
use crate::metrics;

/// The upper bounds of latency buckets, in seconds, around the target latencies
/// of the users' routes.
const TIME_BUCKETS: [f64; 12] = [
    0.01, 0.02, 0.05, 0.1, 0.15, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 12.0,
];

/// The upper bounds of buckets of the age of newer weights, in seconds, around the usual
/// limits on the use of old ones.
const AGE_BUCKETS: [f64; 9] = [0.5, 1.5, 3.0, 4.0, 5.0, 5.5, 6.0, 8.0, 12.0];

/// The lowest priority that is counted apart.
const LOWEST_PRIORITY: u8 = 9;

/// The metrics of an instance.
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would stop its instruments.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    responses: Counter<u64>,
    cut_offs: Counter<u64>,
    idle_closes: Counter<u64>,
    refusals: Counter<u64>,
    contention_refusals: Counter<u64>,
    retries: Counter<u64>,
    store_calls: Counter<u64>,
    store_restores: Counter<u64>,
    orders: Counter<u64>,
    upstream_marks: Counter<u64>,
    limit_changes: Counter<u64>,
    permits: Counter<u64>,
    withheld_calls: Counter<u64>,
    ignored_notices: Counter<u64>,
    unusable_entries: Counter<u64>,
    passed_on: Counter<u64>,
    peer_requests: Counter<u64>,
    crashes: Counter<u64>,
    life_checks: Counter<u64>,
    part_changes: Counter<u64>,
    request_changes: Counter<u64>,
    pace_changes: Counter<u64>,
    rollout_attempts: Counter<u64>,
    rollout_statuses: Counter<u64>,
    first_event: Histogram<f64>,
    response_time: Histogram<f64>,
    outdated_weights: Histogram<f64>,
}

impl Metrics {
    /// Returns metrics whose counters are zero, but for those in `caller_ends`.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Exporter`] when the exporter cannot be registered.
    pub fn new(caller_ends: &CallerEnds) -> Result<Self, MetricsError> {
        let (registry, provider) = metrics::collector()?;
        let meter = provider.meter("limpetsaddle");
        let times = |name: &'static str| {
            let histogram = meter.f64_histogram(name);
            histogram.with_boundaries(TIME_BUCKETS.to_vec()).build()
        };
        meter
            .u64_observable_counter("limpetsaddle_lost_log_lines")
            .with_callback(|observer| observer.observe(logging::lost_lines(), &[]))
            .build();
        let ends = caller_ends.clone();
        meter
            .u64_observable_counter("limpetsaddle_caller_shortages")
            .with_callback(move |observer| {
                for cause in CallerEnd::ALL {
                    observer.observe(ends.get(cause), &[KeyValue::new("cause", cause.code())]);
                }
            })
            .build();
        Ok(Self {
            requests: meter.u64_counter("limpetsaddle_requests").build(),
            responses: meter.u64_counter("limpetsaddle_answers").build(),
            cut_offs: meter.u64_counter("limpetsaddle_cut_off_answers").build(),
            idle_closes: meter.u64_counter("limpetsaddle_idle_closes").build(),
            refusals: meter.u64_counter("limpetsaddle_refusals").build(),
            contention_refusals: meter
                .u64_counter("limpetsaddle_contention_refusals")
                .build(),
            retries: meter.u64_counter("limpetsaddle_retries").build(),
            store_calls: meter.u64_counter("limpetsaddle_store_calls").build(),
            store_restores: meter.u64_counter("limpetsaddle_store_restores").build(),
            orders: meter.u64_counter("limpetsaddle_orders").build(),
            upstream_marks: meter.u64_counter("limpetsaddle_upstream_marks").build(),
            limit_changes: meter.u64_counter("limpetsaddle_limit_changes").build(),
            permits: meter.u64_counter("limpetsaddle_permits").build(),
            withheld_calls: meter.u64_counter("limpetsaddle_withheld_calls").build(),
            ignored_notices: meter.u64_counter("limpetsaddle_ignored_notices").build(),
            unusable_entries: meter.u64_counter("limpetsaddle_unusable_entries").build(),
            passed_on: meter.u64_counter("limpetsaddle_passed_on").build(),
            peer_requests: meter.u64_counter("limpetsaddle_peer_requests").build(),
            crashes: meter.u64_counter("limpetsaddle_upstream_crashes").build(),
            life_checks: meter.u64_counter("limpetsaddle_life_checks").build(),
            part_changes: meter.u64_counter("limpetsaddle_part_changes").build(),
            request_changes: meter.u64_counter("limpetsaddle_request_changes").build(),
            pace_changes: meter.u64_counter("limpetsaddle_pace_changes").build(),
            rollout_attempts: meter.u64_counter("limpetsaddle_rollout_attempts").build(),
            rollout_statuses: meter.u64_counter("limpetsaddle_rollout_statuses").build(),
            first_event: times("limpetsaddle_first_event_seconds"),
            response_time: times("limpetsaddle_answer_seconds"),
            outdated_weights: meter
                .f64_histogram("limpetsaddle_outdated_weights_seconds")
                .with_boundaries(AGE_BUCKETS.to_vec())
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a change of the window of an upstream, by its cause.
    pub fn record_pace_change(&self, cause: &'static str) {
        self.pace_changes.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a received request.
    pub fn record_request(&self) {
        self.requests.add(1, &[]);
    }

    /// Records a relayed response and its time since the request's arrival.
    pub fn record_response(&self, complete: bool, span: Duration) {
        self.responses
            .add(1, &[KeyValue::new("complete", complete)]);
        self.response_time.record(span.as_secs_f64(), &[]);
    }

    /// Counts a response that ended before it was complete, by its cause.
    pub fn record_cut_off(&self, cause: CutOffCause) {
        self.cut_offs
            .add(1, &[KeyValue::new("cause", cause.code())]);
    }

    /// Counts a connection that was closed between two requests, by the cause.
    pub fn record_idle_close(&self, cause: IdleCloseCause) {
        self.idle_closes
            .add(1, &[KeyValue::new("cause", cause.code())]);
    }

    /// Records the time from a request's arrival to its first event.
    pub fn record_first_event(&self, span: Duration) {
        self.first_event.record(span.as_secs_f64(), &[]);
    }

    /// Records for how long the weights on which a request begins have been outdated, and
    /// how that is known.
    pub fn record_outdated_weights(&self, age: Duration, source: &'static str) {
        let source = KeyValue::new("source", source);
        self.outdated_weights.record(age.as_secs_f64(), &[source]);
    }

    /// Counts a refusal by its reason.
    pub fn record_refusal(&self, reason: Reason) {
        let reason = KeyValue::new("reason", reason.code());
        self.refusals.add(1, &[reason]);
    }

    /// Counts a refusal of a request that contended for a limit or for room.
    pub fn record_contention_refusal(&self, reason: Reason, priority: u8) {
        let reason = KeyValue::new("reason", reason.code());
        let priority = KeyValue::new("priority", i64::from(priority.min(LOWEST_PRIORITY)));
        self.contention_refusals.add(1, &[reason, priority]);
    }

    /// Counts a retry by the failure that it follows.
    pub fn record_retry(&self, after: Failure) {
        self.retries.add(1, &[KeyValue::new("after", after.code())]);
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, succeeded: bool) {
        let succeeded = KeyValue::new("succeeded", succeeded);
        self.store_calls.add(1, &[succeeded]);
    }

    /// Counts a return of the store from an older copy.
    pub fn record_store_restore(&self) {
        self.store_restores.add(1, &[]);
    }

    /// Counts an order by its result.
    pub fn record_order(&self, result: &'static str) {
        self.orders.add(1, &[KeyValue::new("answer", result)]);
    }

    /// Counts an upstream that became unavailable, by the cause.
    pub fn record_mark(&self, cause: &'static str) {
        self.upstream_marks.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a limit that an upstream has set or lifted, by how this instance learned of it.
    pub fn record_limit_change(&self, state: &'static str, source: &'static str) {
        let labels = [
            KeyValue::new("state", state),
            KeyValue::new("source", source),
        ];
        self.limit_changes.add(1, &labels);
    }

    /// Counts permits for limited upstreams by their state.
    pub fn record_permits(&self, state: &'static str, count: u16) {
        let state = KeyValue::new("state", state);
        self.permits.add(u64::from(count), &[state]);
    }

    /// Counts a call that was not sent, by the state of its recipient or of the call.
    pub fn record_withheld_call(&self, state: &'static str) {
        self.withheld_calls.add(1, &[KeyValue::new("state", state)]);
    }

    /// Counts an invalid notice in an answer.
    pub fn record_ignored_notice(&self) {
        self.ignored_notices.add(1, &[]);
    }

    /// Counts an entry of the store that cannot be used, by its kind.
    pub fn record_unusable_entry(&self, kind: &'static str) {
        self.unusable_entries.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request that was passed on to a peer, by its result.
    pub fn record_passed_on(&self, result: &'static str) {
        self.passed_on.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request of a peer, by whether it was accepted.
    pub fn record_peer_request(&self, result: &'static str) {
        self.peer_requests
            .add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts an engine whose process has ended beside running prompts.
    pub fn record_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counts a check of an upstream for signs of life, by its result.
    pub fn record_life_check(&self, sign: &'static str) {
        self.life_checks.add(1, &[KeyValue::new("sign", sign)]);
    }

    /// Counts a part of prompts that was withheld or released, by what that rests on.
    pub fn record_part_change(&self, state: &'static str, source: &'static str) {
        let labels = [
            KeyValue::new("state", state),
            KeyValue::new("source", source),
        ];
        self.part_changes.add(1, &labels);
    }

    /// Counts a request that was withheld, tried or released, by what that rests on.
    pub fn record_request_change(&self, state: &'static str, source: &'static str) {
        let labels = [
            KeyValue::new("state", state),
            KeyValue::new("source", source),
        ];
        self.request_changes.add(1, &labels);
    }

    /// Counts an attempt by the side of its upstream's version, and by what became of it.
    pub fn record_rollout_attempt(&self, side: &'static str, event: &'static str) {
        let labels = [KeyValue::new("side", side), KeyValue::new("event", event)];
        self.rollout_attempts.add(1, &labels);
    }

    /// Counts a write of a rollout's status by its result.
    pub fn record_rollout_status(&self, result: &'static str) {
        self.rollout_statuses
            .add(1, &[KeyValue::new("result", result)]);
    }

    /// Returns all samples in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Encode`] when the samples cannot be encoded.
    pub fn render(&self) -> Result<String, MetricsError> {
        metrics::render(&self.registry)
    }
}
