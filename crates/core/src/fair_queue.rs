//! Weighted fair queuing between teams.
//!
//! Provides a queue that is bounded in length and time and serves teams by the
//! cost of their requests in tokens: start-time fair queuing, in which every
//! request carries the virtual time at which its team's share lets it start.

mod queue;
mod usage;

use crate::refusal::Refusal;

pub use self::queue::FairQueue;
pub use self::usage::TeamUsage;
pub use self::usage::engine_priority;

/// A `PushOutcome` tells what became of the queue when an entry was taken in.
#[derive(Debug, Eq, PartialEq)]
pub enum PushOutcome<T> {
    /// The entry waits.
    Queued,
    /// The entry waits; the newest one of the team that used most of the queue
    /// for its weight was put out to make room.
    Evicted(Rejected<T>),
}

/// A `Rejected` is an entry that does not wait, with the refusal to answer.
#[derive(Debug, Eq, PartialEq)]
pub struct Rejected<T> {
    /// The entry.
    pub item: T,
    /// The refusal, which tells when to come back.
    pub refusal: Refusal,
}
