//! Weighted fair queuing between teams.
//!
//! Provides a queue with bounded length and wait that schedules requests by
//! start-time fair queuing: each request is tagged with the virtual time at
//! which it may start, given its team's weight and the cost of the team's
//! earlier requests in tokens.

mod queue;
mod usage;

use crate::refusal::Refusal;

pub use self::queue::FairQueue;
pub use self::usage::TeamUsage;
pub use self::usage::engine_priority;

/// The outcome of pushing an entry that was queued.
#[derive(Debug, Eq, PartialEq)]
pub enum PushOutcome<T> {
    /// The entry was queued.
    Queued,
    /// The entry was queued, and the newest entry of the team with the largest
    /// backlog relative to its weight was evicted to make room.
    Evicted(Refused<T>),
}

/// A refused entry.
#[derive(Debug, Eq, PartialEq)]
pub struct Refused<T> {
    /// The item of the entry.
    pub item: T,
    /// The refusal for the caller, with the delay before a retry.
    pub refusal: Refusal,
}
