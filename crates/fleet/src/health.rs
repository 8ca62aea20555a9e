//! Judgement of an upstream by what requests met there.

use std::time::Duration;

use limpetsaddle_core::units::Time;

/// What one request met at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The upstream answered.
    Responded,
    /// The upstream answered with an error of its own.
    UpstreamError,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke, or what came was not an answer.
    ConnectionLost,
    /// Nothing came in the time that the request had.
    TimedOut,
}

/// The `HealthOptions` say when an upstream gets no work for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthOptions {
    /// The first time for which an upstream is avoided.
    pub first_pause: Duration,
    /// The longest time for which an upstream is avoided.
    pub max_pause: Duration,
    /// The part of failing requests from which an upstream is avoided.
    pub failure_threshold: f64,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            first_pause: Duration::from_millis(500),
            max_pause: Duration::from_secs(4),
            failure_threshold: 0.3,
        }
    }
}

/// The weight of the newest request in the part that fails.
const SMOOTHING: f64 = 0.25;

/// The `Health` of one upstream as this instance sees it.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failure_rate: f64,
    pauses: u32,
    avoided_until: Option<Time>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            pauses: 0,
            avoided_until: None,
        }
    }
}

impl Health {
    /// Records what a request met.
    ///
    /// ```
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::health::Health;
    /// use limpetsaddle_fleet::health::HealthOptions;
    /// use limpetsaddle_fleet::health::RequestOutcome;
    ///
    /// let options = HealthOptions::default();
    /// let mut health = Health::default();
    /// health.record(RequestOutcome::ConnectFailed, &options, Time::ZERO);
    /// assert!(health.is_avoided(Time::ZERO));
    /// ```
    pub fn record(&mut self, outcome: RequestOutcome, options: &HealthOptions, now: Time) {
        let failed = match outcome {
            RequestOutcome::Responded => 0.0,
            // Errors of its own are part of an upstream's ordinary answers.
            RequestOutcome::UpstreamError => return,
            RequestOutcome::ConnectFailed
            | RequestOutcome::ConnectionLost
            | RequestOutcome::TimedOut => 1.0,
        };
        self.failure_rate += (failed - self.failure_rate) * SMOOTHING;
        if failed == 0.0 {
            if self.failure_rate < options.failure_threshold / 2.0 {
                self.pauses = 0;
            }
            return;
        }
        let at_once = outcome == RequestOutcome::ConnectFailed;
        if at_once || self.failure_rate >= options.failure_threshold {
            self.pause(options, now);
        }
    }

    /// Returns whether the upstream gets no work now.
    #[must_use]
    pub fn is_avoided(&self, now: Time) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Returns the part of requests that failed lately, from 0 to 1.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn pause(&mut self, options: &HealthOptions, now: Time) {
        if self.is_avoided(now) {
            return;
        }
        let doubled = options.first_pause * (1 << self.pauses.min(4));
        self.pauses += 1;
        self.avoided_until = Some(now + doubled.min(options.max_pause));
    }
}
