//! The retries that all instances of a fleet may make together.
//!
//! Each instance counts the requests and retries of the last seconds, its own
//! and those that others report. While others are silent it uses only its part
//! of the budget.

use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::limits::PeerCounts;

/// The `RetryBudgetOptions` bound retries over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// The retries that each request permits.
    pub ratio: f64,
    /// The retries beyond that in a window.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The part of the budget that is used; the rest covers what instances retry
/// before they hear of each other.
const USABLE_FRACTION: f64 = 0.75;

/// The length of the slots into which the window is divided.
const SLOT_LENGTH: Duration = Duration::from_millis(250);

/// A `RequestCounts` is a number of requests and of retries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// The requests.
    pub requests: u64,
    /// The sends beyond the first of each request.
    pub retries: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Time,
    count: RequestCounts,
}

/// A `RetryBudget` follows the retries at one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    slots: VecDeque<Slot>,
    local_counts: RequestCounts,
}

impl RetryBudget {
    /// Returns a budget of which nothing was used.
    #[must_use]
    pub const fn new(options: RetryBudgetOptions) -> Self {
        Self {
            options,
            slots: VecDeque::new(),
            local_counts: RequestCounts {
                requests: 0,
                retries: 0,
            },
        }
    }

    /// Counts a request of this instance.
    pub fn record_request(&mut self, now: Time) {
        self.local_counts.requests += 1;
        let count = RequestCounts {
            requests: 1,
            retries: 0,
        };
        self.record(count, now);
    }

    /// Counts what another instance did since its last report.
    pub fn record(&mut self, count: RequestCounts, now: Time) {
        self.expire(now);
        let fresh = |slot: &&mut Slot| now.since(slot.start) < SLOT_LENGTH;
        if let Some(slot) = self.slots.back_mut().filter(fresh) {
            slot.count.requests += count.requests;
            slot.count.retries += count.retries;
            return;
        }
        self.slots.push_back(Slot { start: now, count });
    }

    /// Returns how many retries are left to this instance.
    ///
    /// Each other instance may have made one that was not heard of yet.
    #[must_use]
    pub fn remaining(&self, peer_counts: PeerCounts, now: Time) -> f64 {
        let part = peer_counts.live_fraction();
        let unheard = peer_counts.live.saturating_sub(1);
        let recent = |slot: &&Slot| now.since(slot.start) < self.options.window + SLOT_LENGTH;
        let recent = self.slots.iter().filter(recent);
        let sum = recent.fold(RequestCounts::default(), |sum, slot| RequestCounts {
            requests: sum.requests + slot.count.requests,
            retries: sum.retries + slot.count.retries,
        });
        let allowed = self.options.ratio * count(sum.requests) + self.options.slack * part;
        allowed * USABLE_FRACTION - count(sum.retries) - count(unheard as u64)
    }

    /// Takes one retry, or returns false when none is left.
    pub fn try_withdraw(&mut self, peer_counts: PeerCounts, now: Time) -> bool {
        if self.remaining(peer_counts, now) < 1.0 {
            return false;
        }
        self.local_counts.retries += 1;
        let count = RequestCounts {
            requests: 0,
            retries: 1,
        };
        self.record(count, now);
        true
    }

    /// Returns what this instance did since its start.
    #[must_use]
    pub const fn local_counts(&self) -> RequestCounts {
        self.local_counts
    }

    fn expire(&mut self, now: Time) {
        let window = self.options.window + SLOT_LENGTH;
        while let Some(first) = self.slots.front()
            && now.since(first.start) >= window
        {
            self.slots.pop_front();
        }
    }
}

fn count(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
