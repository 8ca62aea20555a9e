//! Mistakes in a command line and its settings.

use std::fmt;

use thiserror::Error as ThisError;

/// A `Mistake` is one fault of the command line or of an environment variable.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
#[error("{setting}: {problem}")]
pub struct Mistake {
    /// The flag, the variable or the place of the word.
    pub setting: String,
    /// What is wrong with it.
    pub problem: Problem,
}

impl Mistake {
    pub(crate) fn new(setting: impl Into<String>, problem: Problem) -> Self {
        let setting = setting.into();
        Self { setting, problem }
    }
}

/// A `Problem` is what is wrong with a setting.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Problem {
    /// The setting is required.
    #[error("is required")]
    Missing,
    /// The value does not have the expected form.
    #[error("{value:?} is not valid: expected {expected}")]
    Invalid {
        /// The value that was given.
        value: String,
        /// The form that is expected.
        expected: Expected,
    },
    /// There is no such option.
    #[error("is not an option")]
    UnknownOption,
    /// There is no such command.
    #[error("is not a command; see --help")]
    UnknownCommand,
    /// The command does not take the option or the word.
    #[error("is not used by this command")]
    Unused,
    /// The option was given more than once.
    #[error("is given more than once")]
    Repeated,
    /// The option needs a value.
    #[error("needs a value")]
    NoValue,
    /// Some `--domain` options have parts and others have none.
    #[error("give parts for all failure domains or for none")]
    MixedParts,
    /// The command would change nothing.
    #[error("give at least one option to change")]
    NothingToChange,
}

/// An `Expected` is the form that a value must have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// Addresses, separated by commas.
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

impl fmt::Display for Expected {
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
