//! Errors of commands and the exit codes that they lead to.

use std::io;
use std::io::Write;

use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::names::KeyId;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::Revision;
use serde::Serialize;
use thiserror::Error as ThisError;

use crate::mistakes::Mistake;

/// A `Result` whose error is this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An `ExitCode` is what the process tells its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command was carried out.
    Success = 0,
    /// The command line or the settings are wrong.
    Usage = 1,
    /// The configuration is invalid; nothing was written.
    Invalid = 2,
    /// Someone else changed the object first; nothing was written.
    LostRace = 3,
    /// The object does not exist.
    NotFound = 4,
    /// The platform could not be reached.
    Unavailable = 5,
    /// It is not known whether the write took effect.
    OutcomeUnknown = 6,
    /// The revision was not in force everywhere in time.
    WaitTimedOut = 7,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}

/// An `Error` tells why a command was not carried out.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The command line or the settings are wrong.
    #[error("wrong usage")]
    Usage(Vec<Mistake>),
    /// The configuration is invalid.
    #[error("invalid configuration")]
    Invalid(Vec<Finding>),
    /// Someone else changed the object first.
    #[error(
        "lost race: {id} has been changed by someone else and is at revision {current}; nothing was written"
    )]
    LostRace {
        /// The object.
        id: ObjectId,
        /// The revision that it has now.
        current: Revision,
    },
    /// The object to be created exists.
    #[error("{id} exists already; nothing was written")]
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
    /// It is not known whether the write took effect.
    #[error("the outcome of the write to {id} is unknown: look at the object before trying again")]
    OutcomeUnknown {
        /// The object.
        id: ObjectId,
    },
    /// The revision was not in force everywhere in time.
    #[error("revision {revision} is not in force at: {}", names(.waiting))]
    WaitTimedOut {
        /// The revision.
        revision: Revision,
        /// The instances that do not have it in force.
        waiting: Vec<InstanceName>,
    },
    /// The parts of a team's limits have been taken from some failure domains,
    /// but not yet given to others.
    #[error("{id} has been lowered but not raised; run the command again to finish: {cause}")]
    HalfMoved {
        /// The team.
        id: ObjectId,
        /// Why the second step was not taken.
        cause: Box<Error>,
    },
    /// A file could not be read.
    #[error("{path}: {source}")]
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
    /// The system gave no random number.
    #[error("no random number: {0}")]
    Random(getrandom::Error),
}

/// A `Finding` is one fault of a configuration.
#[derive(Debug, ThisError)]
#[error("{subject}: {fault}")]
pub struct Finding {
    /// The object or the place in the file.
    pub subject: String,
    /// What is wrong with it.
    pub fault: Fault,
}

/// A `Fault` is what is wrong with an object.
#[derive(Debug, ThisError)]
pub enum Fault {
    /// A field breaks a rule of its own.
    #[error("{0}")]
    Field(#[from] limpetsaddle_core::Error),
    /// The text is not the JSON that is expected.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The content belongs to another kind than the identity names.
    #[error("the content is of another kind")]
    OtherKind,
    /// The object occurs a second time.
    #[error("occurs more than once")]
    Repeated,
    /// Only instances write objects of this kind.
    #[error("is written by the instances, not by operators")]
    NotForOperators,
    /// The object refers to one that does not exist.
    #[error("refers to {0}, which does not exist")]
    Dangling(ObjectId),
    /// No failure domain exists that could hold an allotment.
    #[error("no failure domain exists; create one with `domain set`")]
    NoDomain,
}

impl Error {
    pub(crate) fn invalid(subject: &impl ToString, fault: impl Into<Fault>) -> Self {
        Self::Invalid(vec![Finding {
            subject: subject.to_string(),
            fault: fault.into(),
        }])
    }

    /// Returns the exit code that the error leads to.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::HalfMoved { cause, .. } => cause.exit_code(),
            Self::Usage(_) | Self::Output(_) | Self::Encoding(_) => ExitCode::Usage,
            Self::Invalid(_)
            | Self::File { .. }
            | Self::Platform(limpetsaddle_platform::Error::Rejected { .. }) => ExitCode::Invalid,
            Self::LostRace { .. } | Self::Exists { .. } | Self::ClaimNotInFlight { .. } => {
                ExitCode::LostRace
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
            Self::Usage(mistakes) => mistakes.iter().map(ToString::to_string).collect(),
            Self::Invalid(findings) => findings.iter().map(ToString::to_string).collect(),
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

/// Writes an error for people or for programs.
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
