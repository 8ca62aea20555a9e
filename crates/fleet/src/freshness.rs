//! Trust in the configuration by the age of its last confirmation.
//!
//! A key may be withdrawn while the platform is out of reach. An instance
//! therefore serves requests with keys only for a limited time after the last
//! moment at which the platform certainly held nothing newer.

use std::time::Duration;

use limpetsaddle_core::units::Time;

/// The `FreshnessOptions` bound the trust in a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessOptions {
    /// The age of the last confirmation from which keys are not trusted.
    pub trust_timeout: Duration,
    /// The time without any answer from which an instance asks the balancer for
    /// no more callers.
    pub ready_timeout: Duration,
}

/// The part of the withdrawal bound that is left for clocks that run at other
/// speeds and for ages in whole milliseconds, in milliseconds. The bound counts
/// from the sending of a request, which comes before its arrival.
const WITHDRAWAL_MARGIN_MS: u64 = 300;

impl FreshnessOptions {
    /// Returns options under which a withdrawn key stops working in `bound`.
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

/// A `Freshness` is what an instance knows of the age of its configuration.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    options: FreshnessOptions,
    confirmed_at: Option<Time>,
}

impl Freshness {
    /// Returns the state of an instance that has confirmed nothing.
    #[must_use]
    pub const fn new(options: FreshnessOptions) -> Self {
        Self {
            options,
            confirmed_at: None,
        }
    }

    /// Records that the platform held nothing newer at `at`: the sending of a
    /// read that it answered.
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

    /// Takes another instance's confirmation of the same configuration.
    ///
    /// The other instance has got this instance's message of `stamp` when it
    /// tells an age, so that the confirmation is no older than that age before
    /// `stamp`, however long its own message took.
    pub fn confirm_by_peer(&mut self, stamp: Time, age: Duration) {
        let since_start = stamp.from_start().saturating_sub(age);
        self.confirm(Time::from_origin(since_start));
    }

    /// Returns the time since the last confirmation.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether a key that is known may still be taken for valid.
    #[must_use]
    pub fn trusts_keys(&self, now: Time) -> bool {
        self.age(now)
            .is_some_and(|age| age < self.options.trust_timeout)
    }

    /// Returns whether new callers should be sent here.
    #[must_use]
    pub fn accepts_callers(&self, now: Time) -> bool {
        self.age(now)
            .is_some_and(|age| age < self.options.ready_timeout)
    }
}
