//! The load of an upstream: reported work of others plus own work.

use std::time::Duration;

use crate::units::Time;
use crate::units::Tokens;

/// The tokens that a report is believed to have queued at most.
const MAX_QUEUED: Tokens = Tokens(1 << 40);

/// A `LoadReport` is what an engine says of its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The requests that run or wait.
    pub requests: u32,
    /// The tokens that wait for prefill, those that are cached included.
    pub queued_tokens: Tokens,
}

/// A `Load` is the estimated load of an upstream at one point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// The requests that run or wait, own ones included.
    pub requests: u32,
    /// The tokens of own requests that are expected to be computed first.
    pub queued: Tokens,
    /// The tokens of other requests that wait, those that are cached included.
    pub reported: Tokens,
}

/// A `LoadState` keeps own work apart from the work that a report adds.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadState {
    pub(super) requests: u32,
    pub(super) prompts: Tokens,
    pub(super) queued: Tokens,
    others: LoadReport,
    reported: Option<Time>,
}

impl LoadState {
    /// Takes a report over. The report counts the work that this instance had
    /// outstanding at the time, so that work is taken off.
    pub(super) fn report(&mut self, report: LoadReport, sent: Time) {
        if self.reported.is_some_and(|last| last > sent) {
            return;
        }
        let queued = report.queued_tokens.min(MAX_QUEUED);
        self.others = LoadReport {
            requests: report.requests.saturating_sub(self.requests),
            queued_tokens: queued.saturating_sub(self.prompts),
        };
        self.reported = Some(sent);
    }

    pub(super) fn forget_report(&mut self) {
        self.others = LoadReport::default();
        self.reported = None;
    }

    /// Returns the load at `now`. What others had outstanding at the time of
    /// the report counts for less as the report ages towards `life`.
    pub(crate) fn at(&self, now: Time, life: Duration) -> Load {
        let age = self.reported.map_or(life, |sent| now.since(sent));
        let left = life.saturating_sub(age).as_millis();
        let parts = left * 1_000 / life.as_millis().max(1);
        let parts = u64::try_from(parts).unwrap_or(0);
        let requests = u64::from(self.others.requests) * parts / 1_000;
        let reported = Tokens(self.others.queued_tokens.0 * parts / 1_000);
        Load {
            requests: self
                .requests
                .saturating_add(u32::try_from(requests).unwrap_or(u32::MAX)),
            queued: self.queued,
            reported,
        }
    }
}
