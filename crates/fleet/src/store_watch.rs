//! Whether the KV store is up, and whether it has started anew.

use std::time::Duration;

use limpetsaddle_core::units::Time;

/// The time after which a store that nobody has heard of is not used. A fetch
/// from a dead store holds a request up for some hundred milliseconds.
const LONGEST_SILENCE: Duration = Duration::from_millis(1_500);

/// The instances that ask the store; the others go by their beacons.
const ASKERS: u32 = 2;

/// A `StoreWatch` is what an instance knows of the KV store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreWatch {
    boot: Option<u64>,
    seen: Option<Time>,
}

/// A `StoreNews` is what instances tell each other of the KV store.
pub type StoreNews = u64;

impl StoreWatch {
    /// Returns whether an instance of this rank asks the store itself.
    ///
    /// ```
    /// use limpetsaddle_fleet::store_watch::StoreWatch;
    ///
    /// assert!(StoreWatch::asks(0));
    /// assert!(!StoreWatch::asks(40));
    /// ```
    #[must_use]
    pub const fn asks(rank: u32) -> bool {
        rank < ASKERS
    }

    /// Records that the store answered, and returns whether it started anew
    /// since it was last heard of.
    pub fn heard(&mut self, boot: u64, now: Time) -> bool {
        let restarted = self.boot.is_some_and(|held| held != boot);
        self.boot = Some(boot);
        self.seen = Some(now);
        restarted
    }

    /// Returns whether the store may be used.
    #[must_use]
    pub fn is_up(&self, now: Time) -> bool {
        self.seen.is_some_and(|at| now.since(at) < LONGEST_SILENCE)
    }

    /// Returns what other instances should know, while the store is up.
    #[must_use]
    pub fn news(&self, now: Time) -> Option<StoreNews> {
        self.boot.filter(|_| self.is_up(now))
    }
}
