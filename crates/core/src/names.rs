//! Names of configured entities.
//!
//! Every name is a shared immutable string, so that cloning does not allocate.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use crate::errors::Error;

/// The largest length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

fn validate(text: &str) -> Result<(), Error> {
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    let is_valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b);
    if fits && text.bytes().all(is_valid) {
        return Ok(());
    }
    Err(Error::InvalidName {
        name: text.chars().take(MAX_NAME_BYTES).collect(),
    })
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                validate(text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// The name of a team.
    ///
    /// ```
    /// use limpetsaddle_core::names::TeamName;
    ///
    /// let team: TeamName = "yard-bergen".parse()?;
    /// assert_eq!(team.as_str(), "yard-bergen");
    /// assert!("Yard Bergen".parse::<TeamName>().is_err());
    /// # Ok::<(), limpetsaddle_core::Error>(())
    /// ```
    TeamName
}
name! {
    /// The name of a failure domain.
    DomainName
}
name! {
    /// The name of an instance.
    InstanceName
}
name! {
    /// The name of a pool, which is a group of interchangeable upstreams.
    PoolName
}
name! {
    /// The name of an upstream.
    UpstreamName
}
name! {
    /// The name of a model, as requested by callers.
    ModelName
}
name! {
    /// The name of a route to a plain service.
    RouteName
}
name! {
    /// The public part of a caller's key.
    KeyId
}
name! {
    /// The name of an object, unique within its kind.
    ObjectName
}
