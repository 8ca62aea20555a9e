//! Progress of a streamed answer, token by token.
//!
//! Provides [`StreamProgress`], which decides for each event of an engine's stream
//! whether it is the next one of this answer. Duplicate and foreign events are
//! dropped, a gap breaks the attempt, and a later attempt resumes at the exact
//! token, so that a caller sees every token once and in order or learns that
//! the answer is incomplete.

use std::sync::Arc;

/// An `EventPosition` is the part of an event that places it in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventPosition<'a> {
    /// The request id that the engine repeats.
    pub id: &'a str,
    /// The position of the token, from 0 over the whole answer.
    pub index: u64,
    /// Whether the event carries a reason to finish.
    pub last: bool,
}

/// A `EventClass` is what to do with an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventClass {
    /// The event is the next one: pass it on.
    InOrder,
    /// The event was passed on before: drop it.
    Duplicate,
    /// The event belongs to another request: drop it.
    OtherRequest,
    /// Events are missing before this one: end the attempt and resume.
    Gap,
}

/// An `StreamStatus` is how an attempt's stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamStatus {
    /// Every token has been passed on.
    Complete,
    /// Tokens are missing; a further attempt resumes at this position.
    ResumeAt(u64),
}

/// A `StreamProgress` follows one answer over all its attempts.
///
/// ```
/// use limpetsaddle_core::stream::StreamStatus;
/// use limpetsaddle_core::stream::EventPosition;
/// use limpetsaddle_core::stream::StreamProgress;
/// use limpetsaddle_core::stream::EventClass;
///
/// let mut progress = StreamProgress::new("r1".into());
/// let first = EventPosition { id: "r1", index: 0, last: false };
/// assert_eq!(progress.accept(&first), EventClass::InOrder);
/// assert_eq!(progress.accept(&first), EventClass::Duplicate);
/// assert_eq!(progress.status(), StreamStatus::ResumeAt(1));
/// ```
#[derive(Clone, Debug)]
pub struct StreamProgress {
    id: Arc<str>,
    next: u64,
    complete: bool,
}

impl StreamProgress {
    /// Returns the progress of an answer of which nothing has been passed on.
    #[must_use]
    pub fn new(id: Arc<str>) -> Self {
        Self {
            id,
            next: 0,
            complete: false,
        }
    }

    /// Returns what to do with the event, and counts it if it is passed on.
    pub fn accept(&mut self, event: &EventPosition<'_>) -> EventClass {
        if event.id != &*self.id {
            return EventClass::OtherRequest;
        }
        if self.complete || event.index < self.next {
            return EventClass::Duplicate;
        }
        if event.index > self.next {
            return EventClass::Gap;
        }
        self.next += 1;
        self.complete = event.last;
        EventClass::InOrder
    }

    /// Returns how the answer stands when an attempt's stream has ended.
    #[must_use]
    pub const fn status(&self) -> StreamStatus {
        if self.complete {
            return StreamStatus::Complete;
        }
        StreamStatus::ResumeAt(self.next)
    }

    /// Returns the number of events that have been passed on.
    #[must_use]
    pub const fn forwarded(&self) -> u64 {
        self.next
    }
}
