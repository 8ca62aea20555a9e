//! Health of an upstream by the outcomes of its requests.

use std::time::Duration;

use limpetsaddle_core::units::Time;

/// The outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The upstream responded.
    Responded,
    /// The upstream responded with an error of its own.
    UpstreamError,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke, or the response was invalid.
    ConnectionLost,
    /// No response arrived in time.
    TimedOut,
}

/// Options for when, and for how long, an upstream is avoided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthOptions {
    /// The first pause; it doubles with each further one.
    pub first_pause: Duration,
    /// The longest pause.
    pub max_pause: Duration,
    /// The failure rate, from 0 to 1, from which an upstream is avoided.
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

/// The smoothing factor of the moving average of the failure rate.
const SMOOTHING: f64 = 0.25;

/// The health of an upstream as this instance observes it.
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
    /// Records the outcome of a request.
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
            // Errors of its own are ordinary responses of an upstream.
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
        let avoids_at_once = outcome == RequestOutcome::ConnectFailed;
        if avoids_at_once || self.failure_rate >= options.failure_threshold {
            self.pause(options, now);
        }
    }

    /// Returns whether the upstream is avoided now.
    #[must_use]
    pub fn is_avoided(&self, now: Time) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Returns the moving average of the failure rate, from 0 to 1.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn pause(&mut self, options: &HealthOptions, now: Time) {
        if self.is_avoided(now) {
            return;
        }
        let backoff = options.first_pause * (1 << self.pauses.min(4));
        self.pauses += 1;
        self.avoided_until = Some(now + backoff.min(options.max_pause));
    }
}
