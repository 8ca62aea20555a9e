//! What can be wrong with the platform.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// An `Outage` is a way in which the whole platform fails.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The platform answers.
    #[default]
    None,
    /// Each call gets 503.
    Unavailable,
    /// No call gets an answer.
    Silent,
    /// Each connection is closed.
    Closing,
}

/// A `WatchFault` is a way in which watches go wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchFault {
    /// Watches are right.
    #[default]
    None,
    /// Changes of an even revision are left out.
    Skip,
    /// Each change comes twice.
    Repeat,
    /// Changes come in the wrong order.
    Reorder,
    /// Neither changes nor bookmarks come.
    Silent,
}

/// What is wrong with the platform.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// The outage, if any.
    pub outage: Outage,
    /// The time by which each answer is late.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay: Duration,
    /// How many of the next writes take effect without an answer.
    pub lost_answers: u32,
    /// The calls that are answered in a second; the others get 429.
    pub max_calls_per_second: Option<u32>,
    /// What is wrong with watches.
    pub watch: WatchFault,
}
