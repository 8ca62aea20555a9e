//! Tracking of a streamed response, token by token.
//!
//! Provides [`StreamProgress`], which checks for each event of an engine's stream
//! whether it is the next one of the response. Duplicate events and events of
//! other requests are dropped, a gap fails the attempt, and a later attempt
//! resumes at the exact token. A caller thus receives every token once and in
//! order, or an error if the response is incomplete.

use std::sync::Arc;

/// The position of an event in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventPosition<'a> {
    /// The request id, as returned by the engine.
    pub id: &'a str,
    /// The index of the token in the response, from 0 over all attempts.
    pub index: u64,
    /// Whether the event contains a finish reason.
    pub last: bool,
}

/// The relation of an event to the events before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventClass {
    /// The next event, to be forwarded.
    InOrder,
    /// An event that was already forwarded, to be dropped.
    Duplicate,
    /// An event of another request, to be dropped.
    OtherRequest,
    /// Events before this one are missing; the attempt fails and is resumed.
    Gap,
}

/// The state of a response at the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamStatus {
    /// All tokens have been forwarded.
    Complete,
    /// Tokens are missing; another attempt resumes at this token index.
    ResumeAt(u64),
}

/// A `StreamProgress` tracks one response over all its attempts.
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
    /// Creates the progress of a response of which nothing has been forwarded.
    #[must_use]
    pub fn new(id: Arc<str>) -> Self {
        Self {
            id,
            next: 0,
            complete: false,
        }
    }

    /// Classifies an event and advances the progress if it is the next one.
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

    /// Returns the state of the response.
    #[must_use]
    pub const fn status(&self) -> StreamStatus {
        if self.complete {
            return StreamStatus::Complete;
        }
        StreamStatus::ResumeAt(self.next)
    }

    /// Returns the number of forwarded events.
    #[must_use]
    pub const fn forwarded(&self) -> u64 {
        self.next
    }
}
