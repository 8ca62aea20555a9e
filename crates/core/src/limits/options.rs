//! Options for team limits.

use std::time::Duration;

/// A `LimitsOptions` contains the durations that the enforcement of limits relies on.
///
/// All instances must use the same values.
///
/// ```
/// use limpetsaddle_core::limits::LimitsOptions;
///
/// let options = LimitsOptions::default();
/// assert!(options.spend_ttl < options.grant_ttl);
/// assert!(options.takeover_after() > options.fence_timeout + options.grant_ttl);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitsOptions {
    /// The time after its last confirmed contact for which an owner may act.
    pub fence_timeout: Duration,
    /// The time for which a granter counts a grant as outstanding, from its reply on.
    pub grant_ttl: Duration,
    /// The time for which a receiver may spend a grant, from its request on.
    pub spend_ttl: Duration,
    /// The time within which a configuration change takes effect at all instances.
    pub propagation_time: Duration,
    /// The allowance for clock differences and delays.
    pub clock_margin: Duration,
    /// The time after which a receiver returns a grant that it doesn't spend.
    pub idle_return_after: Duration,
    /// The time that the tokens requested ahead should last at the recent demand.
    pub prefetch_duration: Duration,
    /// The minimum time between requests to an owner without tokens.
    pub min_backoff: Duration,
    /// The maximum time between requests to an owner without tokens.
    pub max_backoff: Duration,
    /// The time after its expiry for which a grant's open reservations are kept.
    pub refund_window: Duration,
    /// The time for which the replies to a peer are kept after its last request.
    pub reply_retention: Duration,
}

impl Default for LimitsOptions {
    fn default() -> Self {
        Self {
            fence_timeout: Duration::from_secs(3),
            grant_ttl: Duration::from_secs(3),
            spend_ttl: Duration::from_millis(2_500),
            propagation_time: Duration::from_secs(6),
            clock_margin: Duration::from_secs(1),
            idle_return_after: Duration::from_secs(1),
            prefetch_duration: Duration::from_millis(500),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(500),
            refund_window: Duration::from_mins(10),
            reply_retention: Duration::from_mins(1),
        }
    }
}

impl LimitsOptions {
    /// Returns the time after which the new owner of a share may issue its tokens.
    ///
    /// By then its former owner has applied the change and its grants have
    /// expired.
    #[must_use]
    pub fn gain_delay(&self) -> Duration {
        self.propagation_time + self.grant_ttl
    }

    /// Returns the time since an owner's last message after which its slots may be taken over.
    #[must_use]
    pub fn takeover_after(&self) -> Duration {
        self.fence_timeout + self.grant_ttl + self.clock_margin
    }
}
