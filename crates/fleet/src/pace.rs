//! The window of concurrent work for an upstream that has just started or recovered.
//!
//! The window is a fraction of the load that the service's other upstreams have. It grows
//! with responses in time and shrinks with late, failed or rejected ones, which instances
//! report to each other, and ends when it is wider than an equal share.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

/// The reason for which a window begins or changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceCause {
    /// The process has started beside others of its service.
    Started,
    /// The upstream was avoided after failures.
    Failed,
    /// A response was late, failed or rejected.
    Shrunk,
    /// The upstream carries its share.
    Ended,
}

impl PaceCause {
    /// Returns the code in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Failed => "failed",
            Self::Shrunk => "shrunk",
            Self::Ended => "ended",
        }
    }
}

/// The first window: an upstream of the same speed is busy, and not overloaded though its
/// cache is empty.
const FIRST_SHARE: f64 = 0.5;

/// The factor of the first window while the upstream says that it is slow after its start.
const COLD_FACTOR: f64 = 0.5;

/// The smallest window, so that there are always responses to judge by.
const MIN_SHARE: f64 = 0.05;

/// The window at which it ends. Placement balances the load from there.
const END_SHARE: f64 = 1.25;

/// The time in which the window grows to at most its double.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two reductions: the responses meanwhile are those of the wider window.
const SHRINK_INTERVAL: Duration = Duration::from_millis(500);

/// The number of halvings of the first window after repeated failures.
const MAX_HALVINGS: u32 = 3;

/// The ratio of observed to expected time from which a response is late.
const LATE_RATIO: f64 = 2.0;

/// Returns whether a response with this time is late.
#[must_use]
pub fn is_late(span: Duration, expected: Duration) -> bool {
    span.as_secs_f64() > expected.as_secs_f64() * LATE_RATIO
}

/// The time after which the part of each instance falls to others: one that has no requests
/// would leave its part unused.
const ROTATION_INTERVAL: Duration = Duration::from_secs(1);

/// The window of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    share: f64,
    began: Time,
    /// The window at the beginning of the present interval of growth.
    base: (Time, f64),
    shrunk: Option<Time>,
    limit: u32,
    part: u32,
    unreported: PaceCounts,
}

/// The responses at an upstream with a window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceCounts {
    /// The responses in time.
    pub in_time: u16,
    /// The late, failed and rejected ones.
    pub bad: u16,
}

/// An instance's responses at an upstream with a window since its last report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceUpdate {
    /// The hash of the upstream's process.
    pub process: u64,
    /// The responses.
    pub counts: PaceCounts,
}

/// The place of an instance among those that share a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowPart {
    /// The position of the instance.
    pub rank: u32,
    /// The live instances.
    pub live: u32,
}

impl Window {
    /// Returns the first window of an upstream that has failed `failures` times in the last
    /// minute. It admits nothing until its limit is set.
    #[must_use]
    pub fn new(failures: u32, is_cold: bool, now: Time) -> Self {
        let cold = if is_cold { COLD_FACTOR } else { 1.0 };
        let halvings = f64::from(1_u32 << failures.min(MAX_HALVINGS));
        let share = (FIRST_SHARE * cold / halvings).max(MIN_SHARE);
        Self {
            share,
            began: now,
            base: (now, share),
            shrunk: None,
            limit: 0,
            part: 0,
            unreported: PaceCounts::default(),
        }
    }

    /// Records responses of this instance, and returns whether the window became smaller.
    pub fn record(&mut self, counts: PaceCounts, now: Time) -> bool {
        let sum = &mut self.unreported;
        sum.in_time = sum.in_time.saturating_add(counts.in_time);
        sum.bad = sum.bad.saturating_add(counts.bad);
        self.observe(counts, now)
    }

    /// Records responses of any instance, and returns whether the window became smaller.
    pub fn observe(&mut self, counts: PaceCounts, now: Time) -> bool {
        if now.since(self.base.0) >= GROWTH_INTERVAL {
            self.base = (now, self.share);
        }
        let growth = 1.0 + f64::from(counts.in_time) / f64::from(self.limit.max(1));
        self.share = (self.share * growth).min(self.base.1 * 2.0);
        let is_recent = |at: Time| now.since(at) < SHRINK_INTERVAL;
        if counts.bad == 0 || self.shrunk.is_some_and(is_recent) {
            return false;
        }
        self.share = (self.share / 2.0).max(MIN_SHARE);
        self.base = (now, self.share);
        self.shrunk = Some(now);
        true
    }

    /// Sets the limit by the mean load of the service's other upstreams, and this instance's
    /// part of it. The parts of all instances sum up to the limit.
    pub fn set_limit(&mut self, mean_load: f64, place: WindowPart, process: u64, now: Time) {
        self.limit = truncate((self.share * mean_load).round().max(1.0));
        let live = u64::from(place.live.max(1));
        let turns = now.since(self.began).as_millis() / ROTATION_INTERVAL.as_millis();
        let turns = u64::try_from(turns).unwrap_or_default();
        let turned = turns * u64::from(self.limit);
        let position = (u64::from(place.rank) + process % live + turned) % live;
        let whole = u64::from(self.limit) / live;
        let part = whole + u64::from(position < u64::from(self.limit) % live);
        self.part = u32::try_from(part).unwrap_or(u32::MAX);
    }

    /// Returns whether the window admits another request beside those of this instance and
    /// of all others.
    #[must_use]
    pub const fn admits(&self, local: u32, remote: u32) -> bool {
        local < self.part && local.saturating_add(remote) < self.limit
    }

    /// Returns whether the upstream carries its share, so that it needs no window.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.share >= END_SHARE
    }

    /// Returns the window as a fraction of the load of the service's other upstreams.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Returns the responses that were not reported yet, and counts them as reported.
    pub fn take_unreported(&mut self) -> Option<PaceCounts> {
        let counts = std::mem::take(&mut self.unreported);
        (counts != PaceCounts::default()).then_some(counts)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is small and positive"
)]
const fn truncate(value: f64) -> u32 {
    value as u32
}
