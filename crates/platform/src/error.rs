//! Errors of calls to the platform.

use std::time::Duration;

use http::StatusCode;
use thiserror::Error as ThisError;

/// A `Result` whose error is this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An `Error` tells why a call to the platform failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The platform could not be reached or is in an outage; nothing was written.
    #[error("the platform is unavailable")]
    Unavailable {
        /// The time after which the platform asks for a retry.
        retry_after: Option<Duration>,
    },
    /// The platform's rate of calls is exceeded; nothing was written.
    #[error("the platform's rate limit is exceeded")]
    RateLimited {
        /// The time after which the platform asks for a retry.
        retry_after: Option<Duration>,
    },
    /// A read, or the next event of a watch, took longer than permitted.
    #[error("timeout while waiting for the platform")]
    Timeout,
    /// The answer to a write was lost: the write may have taken effect, or still may.
    #[error("the outcome of the write is unknown")]
    OutcomeUnknown,
    /// The platform rejected the call itself; nothing was written.
    #[error("the platform rejected the call with status {status}")]
    Rejected {
        /// The HTTP status.
        status: StatusCode,
    },
    /// The revision to watch from is older than the platform's history.
    #[error("the platform no longer has the changes after this revision")]
    HistoryExpired,
    /// The answer is not well-formed.
    #[error("invalid answer: {0}")]
    InvalidAnswer(#[from] serde_json::Error),
    /// The connection failed while the answer was being read.
    #[error("the answer could not be read: {0}")]
    Transport(#[source] limpetsaddle_http::Error),
    /// A part of the path cannot be sent in a request.
    #[error("invalid path: {0}")]
    InvalidPath(#[from] http::Error),
}

impl Error {
    /// Returns whether a write that failed so certainly has no effect.
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
            | Self::HistoryExpired
            | Self::InvalidAnswer(_)
            | Self::Transport(_) => false,
        }
    }

    /// Returns the time after which the platform asks for a retry, if it said so.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Unavailable { retry_after } | Self::RateLimited { retry_after } => *retry_after,
            _ => None,
        }
    }
}
