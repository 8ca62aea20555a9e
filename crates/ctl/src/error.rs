//! Errors of commands and their exit codes.

use std::io;
use std::io::Write;

use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::names::KeyId;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::Revision;
use serde::Serialize;
use thiserror::Error as ThisError;

use crate::usage_error::UsageError;

/// A `Result` whose error is this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// The command line or the settings are wrong.
    Usage = 1,
    /// The configuration is invalid; nothing was written.
    Invalid = 2,
    /// The object was changed concurrently; nothing was written.
    Conflict = 3,
    /// The object does not exist.
    NotFound = 4,
    /// The platform could not be reached.
    Unavailable = 5,
    /// The write may or may not have taken effect.
    OutcomeUnknown = 6,
    /// The revision was not in force at every instance before the timeout.
    WaitTimedOut = 7,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}

/// The reason that a command failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The command line or the settings are wrong.
    #[error("invalid command line or environment")]
    Usage(Vec<UsageError>),
    /// The configuration is invalid.
    #[error("invalid configuration")]
    Invalid(Vec<ValidationError>),
    /// The object was changed concurrently.
    #[error(
        "conflict: {id} was changed concurrently and is at revision {current}; nothing was written"
    )]
    Conflict {
        /// The object.
        id: ObjectId,
        /// Its current revision.
        current: Revision,
    },
    /// The object to be created exists.
    #[error("{id} already exists; nothing was written")]
    Exists {
        /// The object.
        id: ObjectId,
    },
    /// The object does not exist.
    #[error("{id} does not exist")]
    NotFound {
        /// The object.
        id: ObjectId,
    },
    /// The team has no such key.
    #[error("team {team} has no key {key}")]
    KeyNotFound {
        /// The team.
        team: TeamName,
        /// The public part of the key.
        key: KeyId,
    },
    /// The idempotency key has no claim.
    #[error("team {team} has no claim for this idempotency key")]
    ClaimNotFound {
        /// The team.
        team: TeamName,
    },
    /// The claim is not in flight, so there is nothing to release.
    #[error("the claim is at revision {revision} and not in flight; nothing was written")]
    ClaimNotInFlight {
        /// The revision of the claim's record.
        revision: Revision,
    },
    /// The call to the platform failed.
    #[error("{0}")]
    Platform(#[from] limpetsaddle_platform::Error),
    /// The write may or may not have taken effect.
    #[error("the outcome of the write to {id} is unknown: check the object before retrying")]
    OutcomeUnknown {
        /// The object.
        id: ObjectId,
    },
    /// The revision was not in force at every instance before the timeout.
    #[error("revision {revision} is not in force at: {}", names(.waiting))]
    WaitTimedOut {
        /// The revision.
        revision: Revision,
        /// The instances at which it is not in force.
        waiting: Vec<InstanceName>,
    },
    /// A team's allotments were reduced in some failure domains, but not yet
    /// raised in others.
    #[error("{id} has been lowered but not raised; run the command again to finish: {cause}")]
    PartiallyApplied {
        /// The team.
        id: ObjectId,
        /// The error that prevented the second step.
        cause: Box<Error>,
    },
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The path.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// A report could not be written.
    #[error("the report could not be written: {0}")]
    Output(#[from] io::Error),
    /// A report could not be encoded.
    #[error("the report could not be encoded: {0}")]
    Encoding(#[from] serde_json::Error),
    /// The operating system returned no random bytes.
    #[error("no random bytes from the operating system: {0}")]
    Random(getrandom::Error),
}

/// An error in one object of a configuration.
#[derive(Debug, ThisError)]
#[error("{subject}: {kind}")]
pub struct ValidationError {
    /// The object or the place in the file.
    pub subject: String,
    /// The rule that it violates.
    pub kind: ValidationErrorKind,
}

/// The kinds of [`ValidationError`].
#[derive(Debug, ThisError)]
pub enum ValidationErrorKind {
    /// A field has an invalid value.
    #[error("{0}")]
    Field(#[from] limpetsaddle_core::Error),
    /// The JSON is malformed or has an unexpected structure.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The spec is of another kind than the identifier.
    #[error("the content is of another kind than the identifier")]
    KindMismatch,
    /// The object occurs more than once.
    #[error("occurs more than once")]
    Duplicate,
    /// Only instances write objects of this kind.
    #[error("is written by the instances, not by operators")]
    InstanceOwned,
    /// The object refers to an object that does not exist.
    #[error("refers to {0}, which does not exist")]
    UnresolvedReference(ObjectId),
    /// No failure domain exists to which limits can be allotted.
    #[error("no failure domain exists; create one with `domain set`")]
    NoDomain,
}

impl Error {
    pub(crate) fn invalid(subject: &impl ToString, kind: impl Into<ValidationErrorKind>) -> Self {
        Self::Invalid(vec![ValidationError {
            subject: subject.to_string(),
            kind: kind.into(),
        }])
    }

    /// Returns the exit code for the error.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::PartiallyApplied { cause, .. } => cause.exit_code(),
            Self::Usage(_) | Self::Output(_) | Self::Encoding(_) => ExitCode::Usage,
            Self::Invalid(_)
            | Self::File { .. }
            | Self::Platform(limpetsaddle_platform::Error::Rejected { .. }) => ExitCode::Invalid,
            Self::Conflict { .. } | Self::Exists { .. } | Self::ClaimNotInFlight { .. } => {
                ExitCode::Conflict
            }
            Self::NotFound { .. } | Self::KeyNotFound { .. } | Self::ClaimNotFound { .. } => {
                ExitCode::NotFound
            }
            Self::OutcomeUnknown { .. }
            | Self::Platform(limpetsaddle_platform::Error::OutcomeUnknown) => {
                ExitCode::OutcomeUnknown
            }
            Self::Platform(_) | Self::Random(_) => ExitCode::Unavailable,
            Self::WaitTimedOut { .. } => ExitCode::WaitTimedOut,
        }
    }

    fn details(&self) -> Vec<String> {
        match self {
            Self::Usage(errors) => errors.iter().map(ToString::to_string).collect(),
            Self::Invalid(errors) => errors.iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        }
    }
}

fn names(instances: &[InstanceName]) -> String {
    let names: Vec<&str> = instances.iter().map(InstanceName::as_str).collect();
    names.join(", ")
}

#[derive(Serialize)]
struct ErrorReport {
    error: ErrorBody,
}

#[derive(Serialize)]
struct ErrorBody {
    exit_code: u8,
    message: String,
    details: Vec<String>,
}

/// Writes an error as text or, if `json` is set, as one JSON line.
pub(crate) fn write(error: &Error, json: bool, err: &mut dyn Write) -> Result<()> {
    let details = error.details();
    if json {
        let report = ErrorReport {
            error: ErrorBody {
                exit_code: error.exit_code() as u8,
                message: error.to_string(),
                details,
            },
        };
        writeln!(err, "{}", serde_json::to_string(&report)?)?;
        return Ok(());
    }
    writeln!(err, "limpetctl: {error}")?;
    for detail in details {
        writeln!(err, "  {detail}")?;
    }
    Ok(())
}
