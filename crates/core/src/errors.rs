//! Errors of the core crate.

use thiserror::Error as ThisError;

use crate::config::Kind;
use crate::units::Revision;

/// A `Result` whose error is the core crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An `Error` tells why a value or an object was rejected by the core.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// A name is empty, too long or holds a character outside `[a-z0-9._-]`.
    #[error("invalid name {name:?}: use 1 to 63 characters of a-z, 0-9, '.', '_' and '-'")]
    InvalidName {
        /// The rejected text.
        name: String,
    },
    /// A field of a configuration object is out of its range.
    #[error("field {field} is invalid: {reason}")]
    InvalidField {
        /// The path of the field inside its object.
        field: &'static str,
        /// The rule that the value breaks.
        reason: FieldRule,
    },
    /// An object arrived under a revision that is older than the one held.
    #[error("revision {offered} is older than revision {held}")]
    StaleRevision {
        /// The revision that was offered.
        offered: Revision,
        /// The revision that is in force.
        held: Revision,
    },
    /// A hexadecimal digest does not have the expected length or alphabet.
    #[error("invalid digest: expected 64 hexadecimal digits")]
    InvalidDigest,
    /// An object's content is not of the kind that its identity names.
    #[error("content of kind {} under an identity of kind {}", .spec.as_str(), .id.as_str())]
    KindMismatch {
        /// The kind that the identity names.
        id: Kind,
        /// The kind of the content.
        spec: Kind,
    },
}

/// A `FieldRule` is a rule that a field of a configuration object broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ThisError)]
pub enum FieldRule {
    /// The value must not be zero.
    #[error("must be greater than zero")]
    Zero,
    /// The value must not be empty.
    #[error("must not be empty")]
    Empty,
    /// The parts of an allotment add up to more than the whole.
    #[error("parts add up to more than 1000")]
    ExceedsWhole,
    /// Two entries carry the same identifier.
    #[error("two entries have the same identifier")]
    Duplicate,
    /// The value is above its largest permitted value.
    #[error("is above the largest permitted value")]
    TooLarge,
    /// The path does not start with a slash.
    #[error("must start with '/'")]
    NotAPath,
}
