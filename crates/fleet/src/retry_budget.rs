//! The part of a fleet's retries that one instance may use.

use std::time::Duration;

use limpetsaddle_core::units::Time;

/// The `BudgetOptions` bound retries over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// The retries that each first send earns.
    pub ratio: f64,
    /// The retries that all instances together may make beyond that in a window.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The part of the budget that is used, so that sends which cross the edge of a
/// window stay inside it.
const USED_PART: f64 = 0.8;

/// A `RetryBudget` holds the retries that are left to one instance at one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    options: BudgetOptions,
    level: f64,
    refilled: Time,
}

impl RetryBudget {
    /// Returns a full budget of one among `instances`.
    #[must_use]
    pub fn new(options: BudgetOptions, instances: usize, now: Time) -> Self {
        Self {
            options,
            level: share(&options, instances),
            refilled: now,
        }
    }

    /// Earns retries with the first send of a request.
    pub fn deposit(&mut self, instances: usize) {
        let most = share(&self.options, instances).max(1.0) * 2.0;
        self.level = (self.level + self.options.ratio * USED_PART).min(most);
    }

    /// Takes one retry, or returns false when none is left.
    pub fn withdraw(&mut self, instances: usize, now: Time) -> bool {
        let most = share(&self.options, instances);
        let elapsed = now.since(self.refilled).as_secs_f64();
        let refill = most * elapsed / self.options.window.as_secs_f64().max(1.0);
        self.refilled = now;
        self.level = (self.level + refill).min(self.level.max(most));
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// Half of an instance's share of the slack may be spent at once; the other half
/// comes back in the course of a window.
fn share(options: &BudgetOptions, instances: usize) -> f64 {
    let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
    options.slack * USED_PART / f64::from(instances) / 2.0
}
