//! The demand for a service whose upstreams limit all instances together.

use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::units::Time;

/// The span over which refusals are counted.
const SPAN: Duration = Duration::from_secs(1);

/// The longest time after which a refused caller may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The number of refusals that are remembered.
const MAX_REFUSALS: usize = 10_000;

/// The requests of one instance that found no permit.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_fleet::limited_demand::LimitedDemand;
///
/// let mut demand = LimitedDemand::default();
/// for _ in 0..8 {
///     demand.record_refusal(Time::ZERO);
/// }
/// // Eight callers return, and two permits come in a second.
/// let after = demand.retry_after(Duration::ZERO, 2, Time::ZERO);
/// assert_eq!(after, Duration::from_secs(4));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitedDemand {
    waiting: u32,
    refusals: VecDeque<Time>,
}

impl LimitedDemand {
    /// Returns whether another request may wait for a permit, where `permits` were received in
    /// the last second. A longer queue would exceed the longest wait.
    #[must_use]
    pub const fn may_wait(&self, permits: u32) -> bool {
        self.waiting == 0 || self.waiting < permits / 3
    }

    /// Records that a request begins to wait for a permit.
    pub const fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Records that a request no longer waits for a permit.
    pub const fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records a request that was refused for want of a permit.
    pub fn record_refusal(&mut self, now: Time) {
        self.refusals.retain(|at| now.since(*at) < SPAN);
        if self.refusals.len() < MAX_REFUSALS {
            self.refusals.push_back(now);
        }
    }

    /// Returns the time after which as many permits will have come as callers were refused in
    /// the last second, where `permits` were received in it, and the next is expected after
    /// `next`.
    #[must_use]
    pub fn retry_after(&self, next: Duration, permits: u32, now: Time) -> Duration {
        let recent = self.refusals.iter().filter(|at| now.since(**at) < SPAN);
        let refused = u32::try_from(recent.count()).unwrap_or(u32::MAX);
        let backlog = SPAN.saturating_mul(refused) / permits.max(1);
        backlog.max(next).min(MAX_RETRY_AFTER)
    }
}
