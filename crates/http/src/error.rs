//! Errors of HTTP connections.

use std::fmt;
use std::io;

use thiserror::Error as ThisError;

/// A `Result` whose error is this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A phase of a request/response exchange.
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

/// The reason why an exchange failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The head of a message is malformed.
    #[error("malformed message head")]
    MalformedHead,
    /// The head of a message exceeds its size limit or has too many fields.
    #[error("the message head exceeds its size limit or has too many fields")]
    OversizedHead,
    /// The body exceeds its size limit, or its part of the memory for all bodies.
    #[error("the message body exceeds its size limit or its part of the memory for bodies")]
    OversizedBody,
    /// The memory or descriptors for requests of callers are used up.
    #[error("the memory or descriptors for requests are used up")]
    OverBudget,
    /// A message has both `Content-Length` and `Transfer-Encoding`.
    #[error("message has both content-length and transfer-encoding")]
    ConflictingLengths,
    /// A message has more than one `Content-Length`.
    #[error("message has more than one content-length")]
    RepeatedLength,
    /// `Content-Length` is not a decimal number, or has too many digits.
    #[error("invalid content-length")]
    InvalidLength,
    /// The transfer coding is not `chunked` alone.
    #[error("unsupported transfer coding")]
    UnknownTransferCoding,
    /// A chunk of a body is malformed.
    #[error("malformed chunk in the message body")]
    MalformedChunk,
    /// The peer closed the connection before the end of a message.
    #[error("the peer closed the connection while {phase}")]
    ClosedEarly {
        /// The phase in which it happened.
        phase: Phase,
    },
    /// A time limit expired.
    #[error("timed out while {phase}")]
    Timeout {
        /// The phase in which it happened.
        phase: Phase,
    },
    /// The operating system reported an error on the connection.
    #[error("I/O error while {phase}: {source}")]
    Io {
        /// The phase in which it happened.
        phase: Phase,
        /// The reported error.
        source: io::Error,
    },
    /// The parts of a response were written out of order: continued before its start, or
    /// started twice.
    #[error("the parts of the response were written out of order")]
    ResponseOutOfOrder,
    /// The exchange failed before any byte of the request was written.
    #[error("the request was not sent: {0}")]
    NotSent(#[source] Box<Error>),
}

impl Error {
    /// Returns whether it is certain that no byte of the request was written.
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

    /// Returns whether the peer's host refused the connection, as no process listens there.
    ///
    /// ```
    /// use std::io;
    ///
    /// use limpetsaddle_http::Error;
    /// use limpetsaddle_http::Phase;
    ///
    /// let source = io::ErrorKind::ConnectionRefused.into();
    /// let error = Error::Io { phase: Phase::Connect, source };
    /// assert!(Error::NotSent(Box::new(error)).is_refused());
    /// ```
    #[must_use]
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Io { phase, source } => {
                *phase == Phase::Connect && source.kind() == io::ErrorKind::ConnectionRefused
            }
            Self::NotSent(cause) => cause.is_refused(),
            _ => false,
        }
    }

    /// Returns whether a time limit expired.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::Timeout { .. } => true,
            Self::NotSent(cause) => cause.is_timeout(),
            _ => false,
        }
    }
}
