//! Options of the limits.

use std::time::Duration;

/// A `LimitsOptions` holds the spans on which the limits rest.
///
/// All instances must run with the same spans.
///
/// ```
/// use limpetsaddle_core::limits::LimitsOptions;
///
/// let options = LimitsOptions::default();
/// assert!(options.spend_ttl < options.grant_ttl);
/// assert!(options.takeover_after() > options.fence + options.grant_ttl);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitsOptions {
    /// The time after its last confirmed contact during which an owner may act.
    pub fence: Duration,
    /// The time for which a granter counts a grant as outstanding.
    pub grant_ttl: Duration,
    /// The time for which a receiver may spend a grant, from its request on.
    pub spend_ttl: Duration,
    /// The time within which a configuration is in force everywhere.
    pub propagation: Duration,
    /// The allowance for differences between clocks and for delays.
    pub margin: Duration,
    /// The time after which a receiver returns a grant that it does not spend.
    pub idle_return: Duration,
    /// The time that a chunk of tokens is to last at the recent demand.
    pub chunk: Duration,
    /// The shortest time after which an owner without tokens is asked again.
    pub min_backoff: Duration,
    /// The longest time after which an owner without tokens is asked again.
    pub max_backoff: Duration,
    /// The time after its expiry for which a grant's open reservations are kept.
    pub refund_window: Duration,
    /// The time for which the replies to a silent peer are kept.
    pub reply_memory: Duration,
}

impl Default for LimitsOptions {
    fn default() -> Self {
        Self {
            fence: Duration::from_secs(3),
            grant_ttl: Duration::from_secs(3),
            spend_ttl: Duration::from_millis(2_500),
            propagation: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            idle_return: Duration::from_secs(1),
            chunk: Duration::from_millis(500),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(500),
            refund_window: Duration::from_mins(10),
            reply_memory: Duration::from_mins(1),
        }
    }
}

impl LimitsOptions {
    /// Returns the time that a gained share waits before it mints.
    ///
    /// By then its former holder has seen the change and its grants have expired.
    #[must_use]
    pub fn settling(&self) -> Duration {
        self.propagation + self.grant_ttl
    }

    /// Returns the silence of an owner after which its slots may be taken over.
    #[must_use]
    pub fn takeover_after(&self) -> Duration {
        self.fence + self.grant_ttl + self.margin
    }
}
