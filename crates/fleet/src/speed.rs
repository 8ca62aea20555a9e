//! The observed speed of upstreams.
//!
//! A sample is the time of a unit of work: of a prefilled token, or of a plain request.
//! Samples are summed as logarithms, so that a time twice as long weighs as much as one
//! half as long. All instances share their samples in heartbeats and judge the sums alike.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

/// The kinds of work whose speed is observed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// Prefill of prompts; the unit is a token.
    Prefill,
    /// Plain requests; the unit is a request.
    Plain,
}

impl WorkKind {
    /// Every kind.
    pub const ALL: [Self; 2] = [Self::Prefill, Self::Plain];

    /// Returns the name in logs.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Plain => "plain",
        }
    }

    /// Returns the position in arrays by kind.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// The work until a request's first event, to which its time is attributed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The kind of work.
    pub kind: WorkKind,
    /// The units of the request itself.
    pub own: f64,
    /// The units that were known to wait at the upstream before the request.
    pub found: f64,
    /// The expected time for anything else, such as fetches.
    pub overhead: Duration,
    /// How much the sample counts, from 0 to 1.
    pub confidence: f64,
}

/// The part of a request's own work in all work ahead of its first event from which the time
/// is attributed to the upstream's speed: with more, the time depends on queueing, of which
/// instances know little.
const MIN_OWN_PART: f64 = 0.25;

/// The part of the time that remains at least after the overhead.
const MIN_WORK_TIME_PART: f64 = 0.25;

/// The range of the time of a unit in milliseconds; what is beyond is clamped.
const UNIT_TIME_RANGE_MS: (f64, f64) = (1e-4, 1e6);

impl Work {
    /// Returns the sample for a first event after `span`, if the time says something of the
    /// upstream's speed.
    #[must_use]
    pub fn sample(&self, span: Duration) -> Option<Evidence> {
        let all = self.own + self.found;
        if self.own <= 0.0 || self.own < all * MIN_OWN_PART || self.confidence <= 0.0 {
            return None;
        }
        let span = span.as_secs_f64() * 1_000.0;
        let overhead = self.overhead.as_secs_f64() * 1_000.0;
        let work_ms = (span - overhead).max(span * MIN_WORK_TIME_PART);
        let (least, most) = UNIT_TIME_RANGE_MS;
        let log_time = (work_ms / all).clamp(least, most).ln();
        let weight = self.confidence.min(1.0) * self.own / all;
        Some(Evidence {
            weight,
            sum: weight * log_time,
            squares: weight * log_time * log_time,
        })
    }
}

/// The weighted sums of logarithms of unit times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The sum of weights; a sample of certain attribution weighs 1.
    pub weight: f64,
    sum: f64,
    squares: f64,
}

/// The greatest weight of evidence. Beyond it, older samples count less: some hundred are
/// enough to tell upstreams apart, and an upstream whose speed changes is soon known.
const MAX_WEIGHT: f64 = 128.0;

/// The time in which the weight of evidence halves.
const HALF_LIFE: Duration = Duration::from_secs(30);

impl Evidence {
    /// Adds other evidence.
    pub fn add(&mut self, other: &Self) {
        self.weight += other.weight;
        self.sum += other.sum;
        self.squares += other.squares;
        if self.weight > MAX_WEIGHT {
            self.scale(MAX_WEIGHT / self.weight);
        }
    }

    fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
        self.squares *= factor;
    }

    fn mean(&self) -> f64 {
        self.sum / self.weight
    }

    fn variance(&self) -> f64 {
        (self.squares / self.weight - self.mean().powi(2)).max(0.0)
    }

    fn decay(&mut self, span: Duration) {
        self.scale(0.5_f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64()));
    }
}

/// The evidence for one kind of work of one incarnation.
#[derive(Clone, Copy, Debug, Default)]
struct KindRecord {
    /// The samples of all instances.
    pooled: Evidence,
    /// The samples of this instance that it has not reported yet.
    pending: Evidence,
    updated: Option<Time>,
}

/// What is known of the speed of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedRecord {
    kinds: [KindRecord; 2],
    /// The estimates by which requests are placed.
    estimates: [Option<Estimate>; 2],
}

/// The estimated speed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The time of a unit of work in milliseconds.
    pub unit_ms: f64,
    /// That time relative to the mean of the service's upstreams.
    pub relative: f64,
}

/// The growth of the evidence from which it is reported again.
const REPORTED_GROWTH: f64 = 0.05;

impl SpeedRecord {
    /// Records a sample of this instance.
    pub fn record(&mut self, kind: WorkKind, sample: &Evidence, now: Time) {
        self.kinds[kind.index()].pending.add(sample);
        self.observe(kind, sample, now);
    }

    /// Records samples of another instance.
    pub fn observe(&mut self, kind: WorkKind, samples: &Evidence, now: Time) {
        let record = &mut self.kinds[kind.index()];
        if let Some(updated) = record.updated {
            record.pooled.decay(now.since(updated));
        }
        record.updated = Some(now);
        record.pooled.add(samples);
    }

    /// Returns the evidence of all instances.
    #[must_use]
    pub fn evidence(&self, kind: WorkKind, now: Time) -> Evidence {
        let record = &self.kinds[kind.index()];
        let mut evidence = record.pooled;
        if let Some(updated) = record.updated {
            evidence.decay(now.since(updated));
        }
        evidence
    }

    /// Returns how urgently the unreported samples have to be reported, if they change the
    /// estimate notably.
    #[must_use]
    pub fn urgency(&self, kind: WorkKind) -> Option<f64> {
        let record = &self.kinds[kind.index()];
        let growth = record.pending.weight / record.pooled.weight.max(1.0);
        (growth >= REPORTED_GROWTH && record.pending.weight > 0.0).then_some(growth)
    }

    /// Returns the samples that were not reported yet, and counts them as reported.
    pub fn take_pending(&mut self, kind: WorkKind) -> Evidence {
        std::mem::take(&mut self.kinds[kind.index()].pending)
    }

    /// Sets the estimate by which requests are placed.
    pub const fn set_estimate(&mut self, kind: WorkKind, estimate: Option<Estimate>) {
        self.estimates[kind.index()] = estimate;
    }

    /// Returns the estimate, or `None` as long as the service's upstreams are equal as far as
    /// is known.
    #[must_use]
    pub const fn estimate(&self, kind: WorkKind) -> Option<Estimate> {
        self.estimates[kind.index()]
    }
}

/// The weight of evidence from which an upstream is compared with others.
const MIN_COMPARED_WEIGHT: f64 = 4.0;

/// The variance of samples that is assumed at least.
const MIN_SAMPLE_VARIANCE: f64 = 0.01;

/// The part of the uncertainty that doesn't decrease with more samples: the times at upstreams
/// of the same speed differ as much by queues of which nothing is known. With 0.04, sixty equal
/// upstreams under herding (80 instances, heartbeats each 0.3 s) were taken for uneven.
const SYSTEMATIC_DEVIATION: f64 = 0.12;

/// The deviation among upstreams, as a fraction, from which they count as uneven, and the one
/// below which they count as equal again. The gap keeps placement from alternating.
const UNEVEN_DEVIATION: f64 = 0.16;
const EQUAL_DEVIATION: f64 = 0.08;

/// The range of an upstream's time relative to its service's, whatever is reported of it.
const RELATIVE_RANGE: (f64, f64) = (0.25, 8.0);

/// How the upstreams of a service differ in one kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The logarithm of the mean time of a unit.
    mean: f64,
    /// The variance of the logarithms among upstreams.
    between: f64,
    /// The variance of the samples of one upstream.
    within: f64,
}

impl Spread {
    /// Returns how the upstreams with this evidence differ, or `None` if they are equal within
    /// the uncertainty.
    ///
    /// The sum of squared differences, each relative to its uncertainty, is about the number
    /// of upstreams if they are equal.
    #[must_use]
    pub fn of(evidence: &[Evidence], was_uneven: bool) -> Option<Self> {
        let compared = || {
            let all = evidence.iter();
            all.filter(|e| e.weight >= MIN_COMPARED_WEIGHT)
        };
        let count = u32::try_from(compared().count()).unwrap_or(u32::MAX);
        if count < 2 {
            return None;
        }
        let weights: f64 = compared().map(|e| e.weight).sum();
        let squares: f64 = compared().map(|e| e.weight * e.variance()).sum();
        let within = (squares / weights).max(MIN_SAMPLE_VARIANCE);
        let precision = |e: &Evidence| 1.0 / uncertainty(e, within);
        let sum: f64 = compared().map(precision).sum();
        let mean = compared().map(|e| precision(e) * e.mean()).sum::<f64>() / sum;
        let q: f64 = compared()
            .map(|e| precision(e) * (e.mean() - mean).powi(2))
            .sum();
        let degrees = f64::from(count - 1);
        let squared_precisions: f64 = compared().map(|e| precision(e).powi(2)).sum();
        let between = ((q - degrees) / (sum - squared_precisions / sum)).max(0.0);
        let is_certain = was_uneven || q > degrees + 4.0 * (2.0 * degrees).sqrt();
        let threshold = if was_uneven {
            EQUAL_DEVIATION
        } else {
            UNEVEN_DEVIATION
        };
        (is_certain && between.sqrt() >= threshold).then_some(Self {
            mean,
            between,
            within,
        })
    }

    /// Returns the estimate for an upstream.
    ///
    /// Without samples it is the mean of the service's other upstreams.
    #[must_use]
    pub fn estimate(&self, evidence: &Evidence) -> Estimate {
        let difference = if evidence.weight > 0.0 {
            let trust = self.between / (self.between + self.within / evidence.weight);
            (evidence.mean() - self.mean) * trust
        } else {
            0.0
        };
        let (least, most) = RELATIVE_RANGE;
        let relative = difference.clamp(least.ln(), most.ln()).exp();
        Estimate {
            unit_ms: self.mean_ms() * relative,
            relative,
        }
    }

    /// Returns the mean time of a unit in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean.exp()
    }

    /// Returns the standard deviation of the logarithms among upstreams.
    #[must_use]
    pub fn deviation(&self) -> f64 {
        self.between.sqrt()
    }
}

/// Returns the mean time of a unit in milliseconds over all evidence, if there is enough.
#[must_use]
pub fn typical_ms(evidence: &[Evidence]) -> Option<f64> {
    let weight: f64 = evidence.iter().map(|e| e.weight).sum();
    let sum: f64 = evidence.iter().map(|e| e.sum).sum();
    (weight >= MIN_COMPARED_WEIGHT).then(|| (sum / weight).exp())
}

/// Returns the variance of the mean of some evidence.
fn uncertainty(evidence: &Evidence, within: f64) -> f64 {
    within / evidence.weight + SYSTEMATIC_DEVIATION.powi(2)
}

/// The samples of one instance since its last report of them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedUpdate {
    /// The hash of the upstream's process.
    pub process: u64,
    /// Whether the work is plain.
    pub is_plain: bool,
    /// The weight in sixteenths.
    pub weight: u16,
    /// The mean logarithm of the time of a unit in milliseconds, in thousandths.
    pub mean: i16,
    /// The standard deviation of the logarithms, in thousandths.
    pub deviation: u16,
}

/// The most upstreams that one heartbeat reports on.
pub const MAX_REPORTED: usize = 32;

/// The maximum weight of one report, and the minimum deviation of its samples: a peer's report
/// is some samples among others, whatever it says.
const MAX_REPORTED_WEIGHT: f64 = 32.0;

impl SpeedUpdate {
    /// Returns the report of samples.
    #[must_use]
    pub fn new(process: u64, kind: WorkKind, samples: &Evidence) -> Self {
        let weight = samples.weight.min(MAX_REPORTED_WEIGHT);
        Self {
            process,
            is_plain: kind == WorkKind::Plain,
            weight: to_u16(weight * 16.0),
            mean: to_i16(samples.mean() * 1_000.0),
            deviation: to_u16(samples.variance().sqrt() * 1_000.0),
        }
    }

    /// Returns the kind of work.
    #[must_use]
    pub const fn kind(&self) -> WorkKind {
        if self.is_plain {
            WorkKind::Plain
        } else {
            WorkKind::Prefill
        }
    }

    /// Returns the samples, bounded.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        let weight = (f64::from(self.weight) / 16.0).min(MAX_REPORTED_WEIGHT);
        let (least, most) = UNIT_TIME_RANGE_MS;
        let mean = (f64::from(self.mean) / 1_000.0).clamp(least.ln(), most.ln());
        let variance = (f64::from(self.deviation) / 1_000.0).min(3.0).powi(2);
        Evidence {
            weight,
            sum: weight * mean,
            squares: weight * (variance + mean * mean),
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped"
)]
fn to_u16(value: f64) -> u16 {
    value.round().clamp(0.0, f64::from(u16::MAX)) as u16
}

#[expect(clippy::cast_possible_truncation, reason = "the value is clamped")]
fn to_i16(value: f64) -> i16 {
    value
        .round()
        .clamp(f64::from(i16::MIN), f64::from(i16::MAX)) as i16
}
