//! Progress of a streamed answer, token by token.
//!
//! Provides [`Progress`], which decides for each event of an engine's stream
//! whether it is the next one of this answer. Duplicate and foreign events are
//! dropped, a gap breaks the attempt, and a later attempt resumes at the exact
//! token, so that a caller sees every token once and in order or learns that
//! the answer is incomplete.

use std::sync::Arc;

/// An `EventHead` is the part of an event that places it in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventHead<'a> {
    /// The request id that the engine repeats.
    pub id: &'a str,
    /// The position of the token, from 0 over the whole answer.
    pub index: u64,
    /// Whether the event carries a reason to finish.
    pub last: bool,
}

/// A `Step` is what to do with an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The event is the next one: pass it on.
    Forward,
    /// The event was passed on before: drop it.
    Duplicate,
    /// The event belongs to another request: drop it.
    Foreign,
    /// Events are missing before this one: end the attempt and resume.
    Gap,
}

/// An `Ending` is how an attempt's stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Every token has been passed on.
    Complete,
    /// Tokens are missing; a further attempt resumes at this position.
    ResumeAt(u64),
}

/// A `Progress` follows one answer over all its attempts.
///
/// ```
/// use limpetsaddle_core::stream::Ending;
/// use limpetsaddle_core::stream::EventHead;
/// use limpetsaddle_core::stream::Progress;
/// use limpetsaddle_core::stream::Step;
///
/// let mut progress = Progress::new("r1".into());
/// let first = EventHead { id: "r1", index: 0, last: false };
/// assert_eq!(progress.accept(&first), Step::Forward);
/// assert_eq!(progress.accept(&first), Step::Duplicate);
/// assert_eq!(progress.ending(), Ending::ResumeAt(1));
/// ```
#[derive(Clone, Debug)]
pub struct Progress {
    id: Arc<str>,
    next: u64,
    complete: bool,
}

impl Progress {
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
    pub fn accept(&mut self, event: &EventHead<'_>) -> Step {
        if event.id != &*self.id {
            return Step::Foreign;
        }
        if self.complete || event.index < self.next {
            return Step::Duplicate;
        }
        if event.index > self.next {
            return Step::Gap;
        }
        self.next += 1;
        self.complete = event.last;
        Step::Forward
    }

    /// Returns how the answer stands when an attempt's stream has ended.
    #[must_use]
    pub const fn ending(&self) -> Ending {
        if self.complete {
            return Ending::Complete;
        }
        Ending::ResumeAt(self.next)
    }

    /// Returns the number of events that have been passed on.
    #[must_use]
    pub const fn forwarded(&self) -> u64 {
        self.next
    }
}
