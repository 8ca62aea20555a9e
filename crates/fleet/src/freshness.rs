//! Trust in keys by the age of the configuration's last confirmation.
//!
//! A key may be withdrawn while the platform is unreachable. An instance therefore trusts
//! keys only for a limited time after the last moment at which the platform certainly
//! held no newer configuration.

use std::time::Duration;

use limpetsaddle_core::units::Time;

/// Timeouts since the last confirmation of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessOptions {
    /// The age from which keys are not trusted.
    pub trust_timeout: Duration,
    /// The age from which the instance reports to the balancer that it is not ready.
    pub ready_timeout: Duration,
}

/// The margin below the withdrawal bound, in milliseconds, for clock drift and ages in whole
/// milliseconds. The bound applies to when a request is sent, which is before it arrives,
/// so transit needs no margin.
const WITHDRAWAL_MARGIN_MS: u64 = 300;

impl FreshnessOptions {
    /// Returns options under which a withdrawn key stops working within `bound`.
    #[must_use]
    pub fn for_withdrawal(bound: Duration) -> Self {
        let margin = Duration::from_millis(WITHDRAWAL_MARGIN_MS).min(bound / 2);
        let trust = bound.saturating_sub(margin);
        Self {
            trust_timeout: trust,
            ready_timeout: trust * 9 / 10,
        }
    }
}

/// The age of an instance's configuration.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    options: FreshnessOptions,
    confirmed_at: Option<Time>,
}

impl Freshness {
    /// Returns the state before the first confirmation.
    #[must_use]
    pub const fn new(options: FreshnessOptions) -> Self {
        Self {
            options,
            confirmed_at: None,
        }
    }

    /// Records that the platform held no newer configuration at `at`, the time when the
    /// confirming read was sent.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::freshness::Freshness;
    /// use limpetsaddle_fleet::freshness::FreshnessOptions;
    ///
    /// let options = FreshnessOptions::for_withdrawal(Duration::from_secs(5));
    /// let mut freshness = Freshness::new(options);
    /// assert!(!freshness.trusts_keys(Time::ZERO));
    /// freshness.confirm(Time::ZERO);
    /// assert!(freshness.trusts_keys(Time::ZERO));
    /// assert!(!freshness.trusts_keys(Time::ZERO + Duration::from_millis(4_700)));
    /// ```
    pub fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records another instance's confirmation of the same configuration.
    ///
    /// The peer reports an age together with `stamp`, this instance's last time stamp that it
    /// has received. The confirmation is thus no older than `age` before `stamp`, regardless
    /// of how long the report was in transit.
    pub fn confirm_by_peer(&mut self, stamp: Time, age: Duration) {
        let since_origin = stamp.since_origin().saturating_sub(age);
        self.confirm(Time::from_origin(since_origin));
    }

    /// Returns the time since the last confirmation.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns the age up to which the confirmations of peers are relied on, at most `wanted`:
    /// the remaining time permits some reads before the balancer is told to send no callers.
    #[must_use]
    pub fn max_peer_age(&self, wanted: Duration) -> Duration {
        wanted.min(self.options.ready_timeout * 3 / 4)
    }

    /// Returns whether known keys may still be trusted.
    #[must_use]
    pub fn trusts_keys(&self, now: Time) -> bool {
        self.age(now)
            .is_some_and(|age| age < self.options.trust_timeout)
    }

    /// Returns whether the balancer should send new callers to this instance.
    #[must_use]
    pub fn accepts_callers(&self, now: Time) -> bool {
        self.age(now)
            .is_some_and(|age| age < self.options.ready_timeout)
    }
}
