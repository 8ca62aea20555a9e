//! What instances report to each other on canary rollouts.

use serde::Deserialize;
use serde::Serialize;

use super::Phase;

/// The routes that are told apart in one rollout; all others are counted together.
pub const MAX_ROUTES: usize = 8;

/// The number of buckets of a histogram of times.
pub const BUCKETS: usize = 8;

/// The responses of one side on one route since the sender has read the order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// The responses, failures included.
    pub responses: u32,
    /// The failures.
    pub failures: u32,
    /// The times to the first byte or event as multiples of the time that is usual for the base
    /// version at the sender. Each bucket ends at twice the end of the one before.
    pub times: [u32; BUCKETS],
}

/// The responses on one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteReport {
    /// The hash of the route's name; 0 for all routes that are not told apart.
    pub route: u64,
    /// The responses of the base version during the canary.
    pub base: Tally,
    /// The responses of the target version during the canary.
    pub target: Tally,
    /// The responses of the target version while the service moves to it.
    pub moved: Tally,
    /// The responses of the base version while the service moves.
    pub remaining: Tally,
}

/// What an instance reports on one rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutReport {
    /// The hash of the order's service, target and revision.
    pub order: u64,
    /// The phase that the sender knows.
    pub phase: Phase,
    /// Whether a verdict against the target version is known to the sender.
    pub is_bad: bool,
    /// The time since the order was written, as far as the sender knows, in milliseconds.
    pub elapsed_ms: u32,
    /// The requests that run at upstreams of other versions than the target.
    pub base_running: u32,
    /// The responses; empty if the report has no room for them.
    pub routes: Vec<RouteReport>,
}

/// The part of a heartbeat on canary rollouts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CanaryReport {
    /// The rollouts.
    pub rollouts: Vec<RolloutReport>,
}
