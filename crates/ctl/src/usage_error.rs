//! Errors in the command line and the environment variables.

use std::fmt;

use thiserror::Error as ThisError;

/// An error in the command line or an environment variable.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
#[error("{setting}: {kind}")]
pub struct UsageError {
    /// The option, the environment variable or the positional argument.
    pub setting: String,
    /// The kind of error.
    pub kind: UsageErrorKind,
}

impl UsageError {
    pub(crate) fn new(setting: impl Into<String>, kind: UsageErrorKind) -> Self {
        let setting = setting.into();
        Self { setting, kind }
    }
}

/// The kinds of [`UsageError`].
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum UsageErrorKind {
    /// The setting is required.
    #[error("is required")]
    Missing,
    /// The value does not have the expected format.
    #[error("{value:?} is not valid: expected {expected}")]
    Invalid {
        /// The value.
        value: String,
        /// The expected format.
        expected: ValueFormat,
    },
    /// There is no such option.
    #[error("is not an option")]
    UnknownOption,
    /// There is no such command.
    #[error("is not a command; see --help")]
    UnknownCommand,
    /// The command does not accept the option or the positional argument.
    #[error("is not used by this command")]
    Unused,
    /// The option was given more than once.
    #[error("occurs more than once")]
    Duplicate,
    /// The option needs a value.
    #[error("needs a value")]
    MissingValue,
    /// Some `--domain` options have parts and others do not.
    #[error("specify parts for all failure domains or for none")]
    MixedParts,
    /// The command has no option that changes anything.
    #[error("requires at least one option")]
    NothingToChange,
}

/// The format of a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueFormat {
    /// Addresses separated by commas.
    Addresses,
    /// One address.
    Address,
    /// `true` or `false`.
    Boolean,
    /// A failure domain, with or without its parts.
    DomainParts,
    /// A name.
    Name,
    /// A whole number.
    Number,
    /// A kind of pool.
    PoolKind,
    /// A preset.
    Preset,
    /// A number of seconds.
    Seconds,
    /// Any text.
    Text,
}

impl fmt::Display for ValueFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Addresses => "IP:PORT addresses, separated by commas",
            Self::Address => "an IP:PORT address",
            Self::Boolean => "true or false",
            Self::DomainParts => "NAME or NAME=PARTS with PARTS up to 1000",
            Self::Name => "1 to 63 characters of a-z, 0-9, '.', '_' and '-'",
            Self::Number => "a whole number",
            Self::PoolKind => "engine, kv-store or service",
            Self::Preset => "ordinary, peak or maintenance",
            Self::Seconds => "a whole number of seconds",
            Self::Text => "text",
        })
    }
}
