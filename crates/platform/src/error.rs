//! Errors of calls to the platform.

use std::time::Duration;

use http::StatusCode;
use limpetsaddle_core::units::Revision;
use thiserror::Error as ThisError;

/// A `Result` whose error is this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a call to the platform failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The platform could not be reached or reported an outage; nothing was written.
    #[error("the platform is unavailable")]
    Unavailable {
        /// The time to wait before a retry, if the platform sent one.
        retry_after: Option<Duration>,
    },
    /// The platform's rate limit is exceeded; nothing was written.
    #[error("the platform's rate limit is exceeded")]
    RateLimited {
        /// The time to wait before a retry, if the platform sent one.
        retry_after: Option<Duration>,
    },
    /// A read, or the wait for the next event of a watch, exceeded its time limit.
    #[error("timed out waiting for the platform")]
    Timeout,
    /// The response to a write was lost: the write may have taken effect, or may yet.
    #[error("the response to the write was lost; its outcome is unknown")]
    OutcomeUnknown,
    /// The platform rejected the call; nothing was written.
    #[error("the platform rejected the call with status {status}")]
    Rejected {
        /// The HTTP status.
        status: StatusCode,
    },
    /// The start revision of a watch is older than the platform's history.
    #[error("the start revision of the watch is older than the platform's history")]
    HistoryCompacted,
    /// The record was written by someone else in a form that this version cannot decode.
    #[error("cannot decode the record at revision {revision}")]
    UnreadableRecord {
        /// The revision of the record, or [`Revision::ABSENT`] if it cannot be read either.
        revision: Revision,
    },
    /// The response is not valid JSON, or a message could not be serialized.
    #[error("invalid JSON in a call to the platform: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The connection failed before the response was complete.
    #[error("cannot read the platform's response: {0}")]
    Transport(#[source] limpetsaddle_http::Error),
    /// The path is not valid in a request.
    #[error("invalid request path: {0}")]
    InvalidPath(#[from] http::Error),
}

impl Error {
    /// Returns whether a write that failed with this error certainly had no effect.
    ///
    /// ```
    /// use limpetsaddle_platform::Error;
    ///
    /// assert!(Error::Unavailable { retry_after: None }.has_no_effect());
    /// assert!(!Error::OutcomeUnknown.has_no_effect());
    /// ```
    #[must_use]
    pub const fn has_no_effect(&self) -> bool {
        match self {
            Self::Unavailable { .. }
            | Self::RateLimited { .. }
            | Self::Rejected { .. }
            | Self::InvalidPath(_) => true,
            Self::Timeout
            | Self::OutcomeUnknown
            | Self::HistoryCompacted
            | Self::UnreadableRecord { .. }
            | Self::InvalidJson(_)
            | Self::Transport(_) => false,
        }
    }

    /// Returns the time to wait before a retry, if the platform sent one.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Unavailable { retry_after } | Self::RateLimited { retry_after } => *retry_after,
            _ => None,
        }
    }
}
