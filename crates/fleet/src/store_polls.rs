//! The pace at which an instance polls a store that is unavailable.

use std::time::Duration;

/// How an instance learns that an unavailable store has recovered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollRole {
    /// It polls the store, and its heartbeats report the recovery to all others.
    Poller,
    /// It relies on the pollers' heartbeats, and polls rarely in case that none of them
    /// reaches the store.
    Follower,
}

impl PollRole {
    /// Returns the backoff after consecutive failed polls, with jitter of up to half of it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_fleet::store_polls::PollRole;
    ///
    /// assert!(PollRole::Poller.backoff(9, 0) <= Duration::from_millis(400));
    /// assert!(PollRole::Follower.backoff(9, 0) >= Duration::from_millis(1_500));
    /// ```
    #[must_use]
    pub fn backoff(self, failures: u32, random: u64) -> Duration {
        let doublings = failures.saturating_sub(1).min(8);
        let whole = self
            .max_backoff()
            .min(self.first_backoff() * (1 << doublings));
        let jitter = u32::try_from(random % 512).unwrap_or(0);
        whole / 2 + whole * jitter / 1_024
    }

    const fn first_backoff(self) -> Duration {
        match self {
            Self::Poller => Duration::from_millis(200),
            Self::Follower => Duration::from_millis(800),
        }
    }

    /// Requests with keys are refused while the store is unavailable, so pollers have to
    /// notice its recovery soon. Followers have to within the four seconds after which a
    /// recovered store counts as stable.
    const fn max_backoff(self) -> Duration {
        match self {
            Self::Poller => Duration::from_millis(400),
            Self::Follower => Duration::from_secs(3),
        }
    }
}
