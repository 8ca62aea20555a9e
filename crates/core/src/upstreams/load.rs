//! The load of an upstream: the reported requests of others plus own requests.

use std::time::Duration;

use crate::units::Time;
use crate::units::Tokens;

/// The limit to which reported queued tokens are clamped.
const MAX_QUEUED: Tokens = Tokens(1 << 40);

/// A `LoadReport` is the load reported by an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The number of running and waiting requests.
    pub requests: u32,
    /// The number of tokens waiting for prefill, including cached tokens.
    pub queued_tokens: Tokens,
}

/// A `Load` is the estimated load of an upstream at a point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// The number of running and waiting requests, including own requests.
    pub requests: u32,
    /// The number of tokens of own requests that are expected to be computed.
    pub queued_tokens: Tokens,
    /// The number of waiting tokens of other requests, including cached tokens.
    pub reported_tokens: Tokens,
}

/// A `LoadState` contains the own outstanding requests and, separately, the reported
/// load of others.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadState {
    pub(super) requests: u32,
    pub(super) prompt_tokens: Tokens,
    pub(super) prefill_tokens: Tokens,
    others: LoadReport,
    /// The time at which the latest report was requested.
    report_time: Option<Time>,
}

impl LoadState {
    /// Applies a report. As the report includes the outstanding requests of this
    /// instance, these are subtracted.
    pub(super) fn apply_report(&mut self, report: LoadReport, sent: Time) {
        if self.report_time.is_some_and(|last| last > sent) {
            return;
        }
        let queued = report.queued_tokens.min(MAX_QUEUED);
        self.others = LoadReport {
            requests: report.requests.saturating_sub(self.requests),
            queued_tokens: queued.saturating_sub(self.prompt_tokens),
        };
        self.report_time = Some(sent);
    }

    pub(super) fn clear_report(&mut self) {
        self.others = LoadReport::default();
        self.report_time = None;
    }

    /// Returns the estimated load at `now`. The weight of the reported load decreases
    /// linearly until the report reaches `max_age`.
    pub(crate) fn at(&self, now: Time, max_age: Duration) -> Load {
        let age = self.report_time.map_or(max_age, |sent| now.since(sent));
        let left = max_age.saturating_sub(age).as_millis();
        let permille = left * 1_000 / max_age.as_millis().max(1);
        let permille = u64::try_from(permille).unwrap_or(0);
        let requests = u64::from(self.others.requests) * permille / 1_000;
        let reported = Tokens(self.others.queued_tokens.0 * permille / 1_000);
        Load {
            requests: self
                .requests
                .saturating_add(u32::try_from(requests).unwrap_or(u32::MAX)),
            queued_tokens: self.prefill_tokens,
            reported_tokens: reported,
        }
    }
}
