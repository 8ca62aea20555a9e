//! The pace at which engines load weights, as ended loads show it.
//!
//! Engines that load at the same time share the source of the weights. Beyond some number,
//! more loads at once only slow each other down, while fewer engines serve requests. Both
//! the time of an undisturbed load and that number are estimated from the loads that have
//! ended.

use std::time::Duration;

/// The time of a load before one has ended.
const UNKNOWN_LOAD_TIME: Duration = Duration::from_millis(500);

/// The ratio to an undisturbed load from which a load counts as slowed down.
const SLOWED_RATIO: f64 = 1.25;

/// The least excess over an undisturbed load with which a load counts as slowed down; the
/// delay of reports varies by less.
const MIN_EXCESS: Duration = Duration::from_millis(100);

/// The weight of a slowed load in the estimated number of loads that don't slow each other.
const KNEE_SMOOTHING: f64 = 0.3;

/// The number of concurrent loads by which the estimate grows after a round of loads that
/// were not slowed down.
const PROBE_RATE: f64 = 0.25;

/// The weight of a longer load in the estimated time of an undisturbed load.
const TIME_SMOOTHING: f64 = 1.0 / 16.0;

/// The weight of a new report delay in the estimate.
const DELAY_SMOOTHING: f64 = 0.3;

/// The weight of a new order in the estimated share of orders without a response.
const ORDER_SMOOTHING: f64 = 0.2;

/// The largest share of orders without a response that counts.
const MAX_UNANSWERED: f64 = 0.9;

/// The number of ended loads whose median decides, so that a single slow engine doesn't.
const RECENT_LOADS: usize = 5;

/// The pace of loads, learnt from their ends.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_fleet::load_pace::LoadPace;
/// use limpetsaddle_fleet::load_pace::LoadTime;
///
/// let mut pace = LoadPace::default();
/// assert_eq!(pace.concurrent(2, 4), 2);
/// let exactly = |ms| LoadTime {
///     min: Duration::from_millis(ms),
///     max: Duration::from_millis(ms),
/// };
/// pace.record_load(exactly(1_200), 2.0);
/// pace.record_load(exactly(1_200), 2.0);
/// assert_eq!(pace.concurrent(2, 4), 4);
/// // Four loads at once take as long as three and one after the other.
/// for _ in 0..16 {
///     pace.record_load(exactly(1_600), 4.0);
/// }
/// assert_eq!(pace.concurrent(2, 4), 3);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadPace {
    undisturbed: Option<Duration>,
    /// The number of loads that don't slow each other down, once more of them have.
    knee: Option<f64>,
    /// The loads that have ended without being slowed down before the knee was known.
    unslowed: usize,
    recent: [Sample; RECENT_LOADS],
    next_sample: usize,
    report_delay: Option<Duration>,
    /// The share of orders that got no response.
    unanswered: f64,
    /// The time that the last order without a response took.
    unanswered_time: Duration,
}

/// The bounds on the time that a load took, as its end was only seen by polls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadTime {
    /// The time until the last poll before its end.
    pub min: Duration,
    /// The time until the first poll after its end.
    pub max: Duration,
}

/// An ended load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sample {
    /// The ratio of its time to that of an undisturbed load.
    ratio: f64,
    /// The average number of loads meanwhile.
    concurrent: f64,
}

impl LoadPace {
    /// Records that a load took `took`, while `concurrent` loads ran in the mean, itself
    /// included.
    pub fn record_load(&mut self, took: LoadTime, concurrent: f64) {
        let undisturbed = self
            .undisturbed
            .map_or(took.max, |known| known.min(took.max));
        self.undisturbed = Some(undisturbed);
        // Polls that come late prove nothing.
        let excess = took.min.saturating_sub(undisturbed);
        let is_measurable = excess >= MIN_EXCESS && concurrent > 1.0;
        let ratio = took.min.as_secs_f64() / undisturbed.as_secs_f64().max(f64::EPSILON);
        self.recent[self.next_sample] = Sample {
            ratio: if is_measurable { ratio } else { 1.0 },
            concurrent,
        };
        self.next_sample = (self.next_sample + 1) % RECENT_LOADS;
        let median = self.median();
        if median.ratio >= SLOWED_RATIO {
            // Loads that slow each other down have a constant rate together.
            let rate = (median.concurrent / median.ratio).max(1.0);
            let knee = self.knee.unwrap_or(median.concurrent);
            self.knee = Some(knee + (rate - knee) * KNEE_SMOOTHING);
            return;
        }
        // An outlier counts as little as a load that is just not slowed down.
        let excess = excess.min(undisturbed.mul_f64(SLOWED_RATIO - 1.0));
        self.undisturbed = Some(undisturbed + excess.mul_f64(TIME_SMOOTHING));
        match &mut self.knee {
            None => self.unslowed += 1,
            // Tries one more after some rounds that were not slowed down.
            Some(knee) if concurrent >= *knee - 0.5 => *knee += PROBE_RATE / knee.max(1.0),
            Some(_) => {}
        }
    }

    /// Returns the median of the last loads by their ratio; missing ones count as not slowed.
    fn median(&self) -> Sample {
        let mut sorted = self.recent;
        sorted.sort_by(|a, b| a.ratio.total_cmp(&b.ratio));
        sorted[RECENT_LOADS / 2]
    }

    /// Records the time after which a report showed an order that was accepted.
    pub fn record_report_delay(&mut self, delay: Duration) {
        let known = self.report_delay.unwrap_or(delay);
        let smoothed = known.mul_f64(1.0 - DELAY_SMOOTHING) + delay.mul_f64(DELAY_SMOOTHING);
        self.report_delay = Some(smoothed);
    }

    /// Returns the time after which reports show a change; `None` before one was measured.
    #[must_use]
    pub const fn report_delay(&self) -> Option<Duration> {
        self.report_delay
    }

    /// Records whether an order got a response, and the time until that was known.
    pub fn record_order(&mut self, answered: bool, took: Duration) {
        let unanswered = if answered { 0.0 } else { 1.0 };
        self.unanswered += (unanswered - self.unanswered) * ORDER_SMOOTHING;
        if !answered {
            self.unanswered_time = took;
        }
    }

    /// Returns the expected time from the first order to the last response of `engines` engines
    /// that are all ordered until they respond.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_fleet::load_pace::LoadPace;
    ///
    /// let mut pace = LoadPace::default();
    /// pace.record_order(true, Duration::from_millis(2));
    /// assert_eq!(pace.order_delay(9), Duration::ZERO);
    /// for _ in 0..8 {
    ///     pace.record_order(false, Duration::from_millis(300));
    /// }
    /// assert!(pace.order_delay(1) > Duration::from_secs(1));
    /// assert!(pace.order_delay(9) > pace.order_delay(1) * 2);
    /// ```
    #[must_use]
    pub fn order_delay(&self, engines: usize) -> Duration {
        let unanswered = self.unanswered.min(MAX_UNANSWERED);
        let mean = self
            .unanswered_time
            .mul_f64(unanswered / (1.0 - unanswered));
        // The longest of n independent waits lasts the n-th harmonic number of means.
        mean.mul_f64(1.0 + to_f64(engines.max(1)).ln())
    }

    /// Returns the number of loads to run at once: `start` before loads have ended, then at
    /// least `start` and never more than `max`.
    #[must_use]
    pub fn concurrent(&self, start: usize, max: usize) -> usize {
        let learnt = match self.knee {
            Some(knee) => to_count(knee),
            None => start.saturating_add(self.unslowed),
        };
        learnt.max(start).min(max)
    }

    /// Returns the number of loads that have not been reported to have ended while `concurrent`
    /// run, as reports are late.
    #[must_use]
    pub fn with_unreported(&self, concurrent: usize) -> usize {
        let Some((load, delay)) = self.expected(concurrent).zip(self.report_delay) else {
            return concurrent;
        };
        let unreported = delay.as_secs_f64() / load.as_secs_f64().max(f64::EPSILON);
        to_count(to_f64(concurrent) * (1.0 + unreported.min(1.0)))
    }

    /// Returns whether loads have slowed each other down, so that more of them at once gain
    /// nothing.
    #[must_use]
    pub const fn knows_knee(&self) -> bool {
        self.knee.is_some()
    }

    /// Returns the expected time of a load among `concurrent` ones, or `None` before one has
    /// ended.
    #[must_use]
    pub fn expected(&self, concurrent: usize) -> Option<Duration> {
        let undisturbed = self.undisturbed?;
        let factor = self.knee.map_or(1.0, |knee| to_f64(concurrent) / knee);
        Some(undisturbed.mul_f64(factor.max(1.0)))
    }

    /// Returns the expected time in which `engines` engines load, `concurrent` at once.
    #[must_use]
    pub fn expected_total(&self, engines: usize, concurrent: usize) -> Duration {
        let load = self.expected(concurrent).unwrap_or(UNKNOWN_LOAD_TIME);
        // The last report is as late as all others.
        let last = load + self.report_delay.unwrap_or_default();
        load.mul_f64(to_f64(engines) / to_f64(concurrent.max(1))) + last
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number of concurrent loads is small and positive"
)]
fn to_count(value: f64) -> usize {
    value.round() as usize
}

fn to_f64(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
