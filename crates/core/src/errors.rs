//! Errors of the core crate.

use thiserror::Error as ThisError;

use crate::config::Kind;
use crate::units::Revision;

/// A `Result` with the [`Error`] of the core crate.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a value or an object is invalid.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// A name is empty, too long or contains a character outside `[a-z0-9._-]`.
    #[error("invalid name {name:?}: use 1 to 63 characters of a-z, 0-9, '.', '_' and '-'")]
    InvalidName {
        /// The invalid text, truncated to the permitted length.
        name: String,
    },
    /// A field of a configuration object has an invalid value.
    #[error("field {field} is invalid: {reason}")]
    InvalidField {
        /// The name of the field in its object.
        field: &'static str,
        /// The rule that the value violates.
        reason: FieldRule,
    },
    /// An object has an older revision than the stored one.
    #[error("revision {offered} is older than the stored revision {stored}")]
    StaleRevision {
        /// The revision of the offered object.
        offered: Revision,
        /// The stored revision.
        stored: Revision,
    },
    /// A hexadecimal digest has a wrong length or an invalid character.
    #[error("invalid digest: expected 64 hexadecimal digits")]
    InvalidDigest,
    /// The kind of an object's content differs from the kind in its id.
    #[error("content of kind {} does not match an id of kind {}", .spec.as_str(), .id.as_str())]
    KindMismatch {
        /// The kind in the id.
        id: Kind,
        /// The kind of the content.
        spec: Kind,
    },
}

/// A rule for the fields of configuration objects.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ThisError)]
pub enum FieldRule {
    /// The value must not be zero.
    #[error("must be greater than zero")]
    Zero,
    /// The value must not be empty.
    #[error("must not be empty")]
    Empty,
    /// The sum of the parts of all allotments must not exceed 1000.
    #[error("the sum of the parts must not exceed 1000")]
    SumTooLarge,
    /// The identifiers of the entries must be unique.
    #[error("two entries have the same identifier")]
    Duplicate,
    /// The value must not exceed its maximum.
    #[error("exceeds the maximum")]
    TooLarge,
    /// The path must start with a slash.
    #[error("must start with '/'")]
    NotAbsolute,
}
