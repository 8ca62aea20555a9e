//! A retry budget that all instances of a fleet share.
//!
//! Each instance counts the requests and retries of the recent window: its own and
//! those that live peers report. While peers are not live, it uses only a
//! proportional fraction of the budget.

use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::limits::PeerCounts;

/// Options of a retry budget, counted over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// The retries permitted for each request.
    pub ratio: f64,
    /// The retries permitted beyond that in a window.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The fraction of the budget that is used; the rest covers retries that other
/// instances have not reported yet.
const USABLE_FRACTION: f64 = 0.75;

/// The length of the slots that the window is divided into.
const SLOT_LENGTH: Duration = Duration::from_millis(250);

/// Numbers of requests and retries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// The requests.
    pub requests: u64,
    /// The attempts beyond the first one of each request.
    pub retries: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Time,
    counts: RequestCounts,
}

/// The retry budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    slots: VecDeque<Slot>,
    local_counts: RequestCounts,
}

impl RetryBudget {
    /// Returns an unused budget.
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

    /// Records a request of this instance.
    pub fn record_request(&mut self, now: Time) {
        self.local_counts.requests += 1;
        let counts = RequestCounts {
            requests: 1,
            retries: 0,
        };
        self.record(counts, now);
    }

    /// Records the counts that another instance has added since its last report.
    pub fn record(&mut self, counts: RequestCounts, now: Time) {
        self.expire(now);
        let fresh = |slot: &&mut Slot| now.since(slot.start) < SLOT_LENGTH;
        if let Some(slot) = self.slots.back_mut().filter(fresh) {
            slot.counts.requests += counts.requests;
            slot.counts.retries += counts.retries;
            return;
        }
        self.slots.push_back(Slot { start: now, counts });
    }

    /// Returns the retries that this instance may still make.
    ///
    /// Every other live instance may have made one retry that it has not reported yet.
    #[must_use]
    pub fn remaining(&self, peer_counts: PeerCounts, now: Time) -> f64 {
        let live_fraction = peer_counts.live_fraction();
        let unreported = peer_counts.live.saturating_sub(1);
        let recent = |slot: &&Slot| now.since(slot.start) < self.options.window + SLOT_LENGTH;
        let recent = self.slots.iter().filter(recent);
        let sum = recent.fold(RequestCounts::default(), |sum, slot| RequestCounts {
            requests: sum.requests + slot.counts.requests,
            retries: sum.retries + slot.counts.retries,
        });
        let allowed =
            self.options.ratio * to_f64(sum.requests) + self.options.slack * live_fraction;
        allowed * USABLE_FRACTION - to_f64(sum.retries) - to_f64(unreported as u64)
    }

    /// Returns the requests per second that all instances have made in the window.
    #[must_use]
    pub fn request_rate(&self, now: Time) -> f64 {
        let recent = |slot: &&Slot| now.since(slot.start) < self.options.window;
        let requests = self.slots.iter().filter(recent).map(|s| s.counts.requests);
        to_f64(requests.sum()) / self.options.window.as_secs_f64().max(f64::EPSILON)
    }

    /// Withdraws one retry; returns `false` if none is left.
    pub fn try_withdraw(&mut self, peer_counts: PeerCounts, now: Time) -> bool {
        if self.remaining(peer_counts, now) < 1.0 {
            return false;
        }
        self.local_counts.retries += 1;
        let counts = RequestCounts {
            requests: 0,
            retries: 1,
        };
        self.record(counts, now);
        true
    }

    /// Returns the counts of this instance since its start.
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

fn to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
