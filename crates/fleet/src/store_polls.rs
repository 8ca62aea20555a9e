//! The pace at which an instance polls a store that is unavailable.

use std::time::Duration;

use limpetsaddle_core::units::Time;

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
        let whole = doubled(self.first_backoff(), failures).min(self.max_backoff());
        with_jitter(whole, random)
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

/// The pause after the first poll that fails although a peer's later one is answered.
const FIRST_LONE_PAUSE: Duration = Duration::from_millis(200);

/// The longest such pause. A lost call and this pause take less than the three seconds after
/// which a healed path counts as stable.
const MAX_LONE_PAUSE: Duration = Duration::from_millis(1_500);

fn doubled(first: Duration, failures: u32) -> Duration {
    first * (1 << failures.saturating_sub(1).min(8))
}

fn with_jitter(whole: Duration, random: u64) -> Duration {
    let jitter = u32::try_from(random % 512).unwrap_or(0);
    whole / 2 + whole * jitter / 1_024
}

/// A poll that got no answer.
#[derive(Clone, Copy, Debug)]
struct FailedPoll {
    sent: Time,
    ended: Time,
    random: u64,
}

/// The failed polls of the store, and the evidence that it answers peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct StorePolls {
    /// The latest time at which a call was sent that the store has answered a peer.
    peer_read: Option<Time>,
    last: Option<FailedPoll>,
    failures: u32,
    /// The last polls in a row that failed although the store answered later calls of peers.
    lone_failures: u32,
}

impl StorePolls {
    /// Records that the store has answered a call which a peer sent at `at`, whatever the
    /// answer was.
    pub fn record_peer_read(&mut self, at: Time) {
        self.peer_read = self.peer_read.max(Some(at));
    }

    /// Records that a poll that was sent at `sent` failed. `random` spreads the next polls of
    /// all instances.
    pub fn record_failure(&mut self, sent: Time, now: Time, random: u64) {
        self.last = Some(FailedPoll {
            sent,
            ended: now,
            random,
        });
        self.failures = self.failures.saturating_add(1);
        self.lone_failures = if self.answers_peers() {
            self.lone_failures.saturating_add(1)
        } else {
            0
        };
    }

    /// Records that the store answered this instance.
    pub const fn record_success(&mut self) {
        self.last = None;
        self.failures = 0;
        self.lone_failures = 0;
    }

    /// Returns the number of failed polls in a row.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the store has answered a call of a peer that was sent after the last
    /// failed poll. The failure says nothing about the store as it is by then.
    #[must_use]
    pub fn answers_peers(&self) -> bool {
        let sent = self.last.map(|poll| poll.sent);
        sent.is_some() && self.peer_read > sent
    }

    /// Returns the time until the next poll.
    ///
    /// It is due at once when the store answers peers. If polls fail nevertheless, this
    /// instance alone may be cut off, and the pauses grow.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::store_polls::PollRole;
    /// use limpetsaddle_fleet::store_polls::StorePolls;
    ///
    /// let at = |ms| Time::from_origin(Duration::from_millis(ms));
    /// let mut polls = StorePolls::default();
    /// polls.record_failure(at(0), at(1_200), 0);
    /// assert!(polls.wait(PollRole::Follower, at(1_200)) >= Duration::from_millis(400));
    /// polls.record_peer_read(at(1_250));
    /// assert_eq!(polls.wait(PollRole::Follower, at(1_300)), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn wait(&self, role: PollRole, now: Time) -> Duration {
        let Some(poll) = self.last else {
            return Duration::ZERO;
        };
        let backoff = role.backoff(self.failures, poll.random);
        let pause = if self.answers_peers() {
            backoff.min(self.lone_pause(poll.random))
        } else {
            backoff
        };
        (poll.ended + pause).since(now)
    }

    fn lone_pause(&self, random: u64) -> Duration {
        if self.lone_failures == 0 {
            return Duration::ZERO;
        }
        let whole = doubled(FIRST_LONE_PAUSE, self.lone_failures).min(MAX_LONE_PAUSE);
        with_jitter(whole, random)
    }
}
