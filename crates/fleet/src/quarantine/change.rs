//! State changes of quarantine entries.

use super::evidence::Evidence;
use super::register::Entry;

/// How an instance came to a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// It judged the crashes itself.
    Evidence,
    /// By another instance's report.
    Peer,
    /// By the record at the platform, which operators may edit.
    Record,
    /// No matching request has arrived for the release time.
    Unneeded,
    /// The request was answered after it had been withheld.
    Answer,
    /// A withheld request is sent once to see whether it is answered by now.
    Trial,
}

impl Source {
    /// Returns the code in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Peer => "peer",
            Self::Record => "record",
            Self::Unneeded => "unneeded",
            Self::Answer => "answer",
            Self::Trial => "trial",
        }
    }
}

/// What was withheld, tried or released.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The new entry.
    pub entry: Entry,
    /// What the change rests on.
    pub source: Source,
    /// The crashes at which a part was present, if this instance judged them itself.
    pub evidence: Option<Evidence>,
}
