//! Counters and latency histograms of an instance of a fleet.

use std::time::Duration;

use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::refusal::Reason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

use crate::errors::MetricsError;
use crate::logging;
use crate::metrics;

/// Upper bounds of the buckets for times, in seconds. They lie around the
/// latencies that the users' routes aim at.
const TIME_BUCKETS: [f64; 12] = [
    0.01, 0.02, 0.05, 0.1, 0.15, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 12.0,
];

/// A `Metrics` counts what an instance does.
pub struct Metrics {
    registry: Registry,
    // The provider ends its instruments when it is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    store_calls: Counter<u64>,
    orders: Counter<u64>,
    first_event: Histogram<f64>,
    answer_time: Histogram<f64>,
}

impl Metrics {
    /// Returns metrics that nothing has been counted in.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Exporter`] when the exporter cannot be registered.
    pub fn new() -> Result<Self, MetricsError> {
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
        Ok(Self {
            requests: meter.u64_counter("limpetsaddle_requests").build(),
            answers: meter.u64_counter("limpetsaddle_answers").build(),
            refusals: meter.u64_counter("limpetsaddle_refusals").build(),
            retries: meter.u64_counter("limpetsaddle_retries").build(),
            store_calls: meter.u64_counter("limpetsaddle_store_calls").build(),
            orders: meter.u64_counter("limpetsaddle_orders").build(),
            first_event: times("limpetsaddle_first_event_seconds"),
            answer_time: times("limpetsaddle_answer_seconds"),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that has been read.
    pub fn request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts an upstream's answer that was passed on.
    pub fn answered(&self, complete: bool, span: Duration) {
        self.answers.add(1, &[KeyValue::new("complete", complete)]);
        self.answer_time.record(span.as_secs_f64(), &[]);
    }

    /// Records the time from a request's arrival to its first event.
    pub fn first_event(&self, span: Duration) {
        self.first_event.record(span.as_secs_f64(), &[]);
    }

    /// Counts a refusal by its reason.
    pub fn refused(&self, reason: Reason) {
        let reason = KeyValue::new("reason", reason.code());
        self.refusals.add(1, &[reason]);
    }

    /// Counts a retry by the failure that it follows.
    pub fn retried(&self, after: Failure) {
        self.retries.add(1, &[KeyValue::new("after", after.code())]);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, succeeded: bool) {
        let succeeded = KeyValue::new("succeeded", succeeded);
        self.store_calls.add(1, &[succeeded]);
    }

    /// Counts an order by the engine's answer.
    pub fn order(&self, answer: &'static str) {
        self.orders.add(1, &[KeyValue::new("answer", answer)]);
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
