//! How often peers report.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use super::Peers;
use crate::limits::PeerCounts;

/// The longest time between two heartbeats that counts for their average.
const MAX_GAP: Duration = Duration::from_secs(3);

/// The smoothing factor of the average time between two heartbeats.
const GAP_SMOOTHING: f64 = 1.0 / 64.0;

/// The quarters of a report interval after which an instance counts as not reporting.
const REPORTING_QUARTERS: u32 = 9;

impl Peers {
    /// Returns the time between two heartbeats as observed, which is longer than the intended
    /// one when instances have little processor time.
    #[must_use]
    pub fn report_interval(&self) -> Duration {
        let observed = Duration::from_secs_f64(self.mean_gap);
        self.heartbeat_interval().max(observed)
    }

    /// Returns the numbers of instances as the limits of teams count them: an instance of which
    /// two heartbeats in a row are missing isn't live, as it may be in another part of a
    /// partition.
    #[must_use]
    pub fn reporting_counts(&self, now: Time) -> PeerCounts {
        let timeout = self.report_interval() * REPORTING_QUARTERS / 4;
        let oldest = self.live.oldest_heartbeat;
        let reporting = if oldest.is_none_or(|at| now.since(at) < timeout) {
            self.live.count
        } else {
            let others = self.others.values();
            others.filter(|p| p.was_heard_within(timeout, now)).count()
        };
        PeerCounts {
            registered: self.others.len() + 1,
            live: reporting + 1,
        }
    }

    /// Records the time since the previous heartbeat of a peer.
    pub(super) fn record_gap(&mut self, previous: Option<Time>, now: Time) {
        if let Some(previous) = previous {
            let gap = now.since(previous).min(MAX_GAP).as_secs_f64();
            self.mean_gap += (gap - self.mean_gap) * GAP_SMOOTHING;
        }
    }
}
