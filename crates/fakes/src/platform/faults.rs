//! The faults of the platform.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// An outage of the whole platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The platform is available.
    #[default]
    None,
    /// Each call gets 503.
    Unavailable,
    /// No call gets a response.
    Silent,
    /// Each connection is closed.
    Closing,
}

/// A fault of watches.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchFault {
    /// Watches work correctly.
    #[default]
    None,
    /// Changes with an even revision are omitted.
    Skip,
    /// Each change is sent twice.
    Repeat,
    /// Changes are sent in reverse order.
    Reorder,
    /// Neither changes nor bookmarks are sent.
    Silent,
}

/// The faults of the platform.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// The outage, if any.
    pub outage: Outage,
    /// The delay of each response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay: Duration,
    /// The number of next writes that take effect without a response.
    pub lost_answers: u32,
    /// The maximum number of calls per second; others get 429.
    pub max_calls_per_second: Option<u32>,
    /// The fault of watches.
    pub watch: WatchFault,
}
