//! Errors of HTTP connections.

use std::fmt;
use std::io;

use thiserror::Error as ThisError;

/// A `Result` whose error is this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A `Phase` is a part of an exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The connection is being established.
    Connect,
    /// The head of a message is being read.
    Head,
    /// The body of a message is being read.
    Body,
    /// A message is being written.
    Write,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "connecting",
            Self::Head => "reading the head",
            Self::Body => "reading the body",
            Self::Write => "writing",
        })
    }
}

/// An `Error` tells why an exchange failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The head of a message is not well-formed.
    #[error("malformed head")]
    MalformedHead,
    /// The head of a message is larger than permitted or has too many fields.
    #[error("the head is larger than permitted")]
    OversizedHead,
    /// The body, or one chunk of it, is larger than permitted.
    #[error("the body is larger than permitted")]
    OversizedBody,
    /// A message has both a content length and a transfer coding.
    #[error("content-length and transfer-encoding in one message")]
    ConflictingLengths,
    /// A message has more than one content length.
    #[error("more than one content-length")]
    RepeatedLength,
    /// A content length is not a decimal number.
    #[error("invalid content-length")]
    InvalidLength,
    /// The transfer coding is not `chunked` alone.
    #[error("unknown transfer coding")]
    UnknownTransferCoding,
    /// A chunk of a body is not well-formed.
    #[error("malformed chunk")]
    MalformedChunk,
    /// The peer closed the connection in the middle of a message.
    #[error("the peer closed the connection while {phase}")]
    ClosedEarly {
        /// What was being done.
        phase: Phase,
    },
    /// The peer took longer than permitted.
    #[error("timeout while {phase}")]
    Timeout {
        /// What was being done.
        phase: Phase,
    },
    /// The operating system reported an error on the connection.
    #[error("failure while {phase}: {source}")]
    Io {
        /// What was being done.
        phase: Phase,
        /// The error as reported.
        source: io::Error,
    },
    /// An answer was continued that had not been started, or started twice.
    #[error("the parts of an answer are out of order")]
    AnswerOutOfOrder,
    /// The request failed before a byte of it was written.
    #[error("the request was not sent: {0}")]
    NotSent(#[source] Box<Error>),
}

impl Error {
    /// Returns whether certainly no byte of the request was written.
    ///
    /// ```
    /// use limpetsaddle_http::Error;
    /// use limpetsaddle_http::Phase;
    ///
    /// let timeout = Error::Timeout { phase: Phase::Connect };
    /// let error = Error::NotSent(Box::new(timeout));
    /// assert!(error.not_sent());
    /// assert!(error.is_timeout());
    /// assert!(!Error::Timeout { phase: Phase::Head }.not_sent());
    /// ```
    #[must_use]
    pub const fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    /// Returns whether a time limit ended the exchange.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::Timeout { .. } => true,
            Self::NotSent(cause) => cause.is_timeout(),
            _ => false,
        }
    }
}
