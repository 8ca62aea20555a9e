//! Counters, histograms and gauges of the daemon.
//!
//! Labels come from closed sets only, so that the number of time series does
//! not grow with keys, prompts or teams.

use std::cell::Cell;
use std::time::Duration;

use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::retry::RetryReason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::errors::MetricsError;

/// Upper bounds of the buckets for times, in seconds.
const TIME_BUCKETS_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.2, 0.3, 0.44, 0.6, 1.0, 2.0, 5.0, 10.0,
];

/// Events that are counted without further labels.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller disconnected before its response was complete.
    CallerDisconnected,
    /// A stream was resumed on another upstream.
    StreamResumed,
    /// A stream ended with an error event.
    StreamBroken,
    /// An engine sent an event twice.
    DuplicateToken,
    /// An engine sent an event of another request.
    ForeignToken,
    /// An engine skipped events.
    TokenGap,
    /// A configuration object was applied.
    ConfigApplied,
    /// An invalid configuration object was ignored.
    ConfigInvalid,
    /// An entry of the platform's list of instances cannot be used.
    InstanceInvalid,
    /// The status record of this instance could not be decoded.
    StatusInvalid,
    /// The record of a lease could not be decoded.
    LeaseInvalid,
    /// A watch of the platform was opened.
    WatchOpened,
    /// A revision gap in a watch caused a full list.
    WatchGap,
    /// A call to the platform failed.
    PlatformFailed,
    /// A call to the platform succeeded.
    PlatformOk,
    /// A call to another instance failed.
    PeerFailed,
    /// A call to another instance succeeded.
    PeerOk,
    /// A request for tokens was sent to another instance.
    GrantRequested,
    /// A request for tokens of another instance was served.
    GrantServed,
    /// The owners of slots were changed.
    SlotsWritten,
    /// A change of the owners of slots failed because of a concurrent one.
    SlotsLost,
    /// A connection was closed because too many were open.
    ConnectionRefused,
    /// An order was sent to an engine.
    OrderSent,
}

impl Event {
    const fn label(self) -> &'static str {
        match self {
            Self::CallerDisconnected => "caller_left",
            Self::StreamResumed => "stream_resumed",
            Self::StreamBroken => "stream_broken",
            Self::DuplicateToken => "duplicate_token",
            Self::ForeignToken => "foreign_token",
            Self::TokenGap => "token_gap",
            Self::ConfigApplied => "config_taken",
            Self::ConfigInvalid => "config_invalid",
            Self::InstanceInvalid => "instance_invalid",
            Self::StatusInvalid => "status_invalid",
            Self::LeaseInvalid => "lease_invalid",
            Self::WatchOpened => "watch_opened",
            Self::WatchGap => "watch_gap",
            Self::PlatformFailed => "platform_failed",
            Self::PlatformOk => "platform_ok",
            Self::PeerFailed => "peer_failed",
            Self::PeerOk => "peer_ok",
            Self::GrantRequested => "grant_asked",
            Self::GrantServed => "grant_served",
            Self::SlotsWritten => "slots_written",
            Self::SlotsLost => "slots_lost",
            Self::ConnectionRefused => "connection_refused",
            Self::OrderSent => "order_given",
        }
    }
}

/// Quantities that are exported as gauges.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GaugeKind {
    /// The revision up to which configuration is in force.
    Revision,
    /// The milliseconds since the platform last confirmed the configuration.
    PlatformAge,
    /// The number of upstreams that accept requests.
    LiveUpstreams,
    /// The number of live instances of this failure domain.
    LivePeers,
    /// The number of requests in progress.
    Running,
    /// The number of requests in the queue.
    Queued,
    /// The number of slots that this instance owns.
    OwnedSlots,
}

impl GaugeKind {
    const fn label(self) -> &'static str {
        match self {
            Self::Revision => "revision",
            Self::PlatformAge => "platform_age_ms",
            Self::LiveUpstreams => "live_upstreams",
            Self::LivePeers => "live_peers",
            Self::Running => "running",
            Self::Queued => "queued",
            Self::OwnedSlots => "owned_slots",
        }
    }
}

/// The metrics of an instance.
pub struct Metrics {
    registry: Registry,
    // Dropping the provider shuts down its instruments.
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    gauges: Gauge<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    refusal_counts: [Cell<u64>; Reason::ALL.len()],
}

impl Metrics {
    /// Returns metrics without samples.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Exporter`] if the exporter cannot be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let (registry, provider) = collector()?;
        let meter = provider.meter("limpetsaddle");
        Ok(Self {
            events: meter.u64_counter("limpetsaddle_events").build(),
            gauges: meter.u64_gauge("limpetsaddle_level").build(),
            refusals: meter.u64_counter("limpetsaddle_refusals").build(),
            retries: meter.u64_counter("limpetsaddle_retries").build(),
            requests: meter.u64_counter("limpetsaddle_requests").build(),
            tokens: meter.u64_counter("limpetsaddle_tokens").build(),
            first_token: time_histogram(&meter, "limpetsaddle_first_token_seconds"),
            between_tokens: time_histogram(&meter, "limpetsaddle_between_tokens_seconds"),
            refusal_counts: [const { Cell::new(0) }; Reason::ALL.len()],
            registry,
            _provider: provider,
        })
    }

    /// Counts an event.
    pub fn count(&self, event: Event) {
        self.events.add(1, &[KeyValue::new("event", event.label())]);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: GaugeKind, value: u64) {
        self.gauges
            .record(value, &[KeyValue::new("of", gauge.label())]);
    }

    /// Counts a request that has been read.
    pub fn request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a refused request by its reason.
    pub fn refused(&self, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.code())]);
        if let Some(i) = Reason::ALL.iter().position(|r| *r == reason) {
            let count = &self.refusal_counts[i];
            count.set(count.get() + 1);
        }
    }

    /// Returns the number of refused requests by reason, without zero counts.
    pub fn refusals(&self) -> impl Iterator<Item = (Reason, u64)> {
        let counts = self.refusal_counts.iter().map(Cell::get);
        Reason::ALL
            .into_iter()
            .zip(counts)
            .filter(|(_, count)| *count > 0)
    }

    /// Counts a retry by its reason.
    pub fn retried(&self, reason: RetryReason) {
        self.retries
            .add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts the prompt tokens of a response, cached and computed.
    pub fn prompt_tokens(&self, cached: u64, computed: u64) {
        self.tokens.add(cached, &[KeyValue::new("kind", "cached")]);
        self.tokens
            .add(computed, &[KeyValue::new("kind", "computed")]);
    }

    /// Records the time from a request's arrival to its first token.
    pub fn first_token(&self, span: Duration) {
        self.first_token.record(span.as_secs_f64(), &[]);
    }

    /// Records the time between two tokens of a response.
    pub fn between_tokens(&self, span: Duration) {
        self.between_tokens.record(span.as_secs_f64(), &[]);
    }

    /// Returns all samples in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Encode`] if the samples cannot be encoded.
    pub fn render(&self) -> Result<String, MetricsError> {
        render(&self.registry)
    }
}

/// Returns a registry and the meter provider that exports to it.
///
/// # Errors
///
/// Returns [`MetricsError::Exporter`] if the exporter cannot be registered.
pub(crate) fn collector() -> Result<(Registry, SdkMeterProvider), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok((registry, provider))
}

/// Returns all samples of a registry in the Prometheus text format.
///
/// # Errors
///
/// Returns [`MetricsError::Encode`] if the samples cannot be encoded.
pub(crate) fn render(registry: &Registry) -> Result<String, MetricsError> {
    Ok(TextEncoder::new().encode_to_string(&registry.gather())?)
}

fn time_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_boundaries(TIME_BUCKETS_SECONDS.to_vec())
        .build()
}
