//! Names of the things that configuration speaks of.
//!
//! Every name is a shared immutable string: a clone costs one reference count.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use crate::errors::Error;

/// The largest length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

fn check(text: &str) -> Result<(), Error> {
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b);
    if fits && text.bytes().all(plain) {
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
                check(text)?;
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
    /// A `TeamName` names a team.
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
    /// A `DomainName` names a failure domain.
    DomainName
}
name! {
    /// An `InstanceName` names an instance.
    InstanceName
}
name! {
    /// A `PoolName` names a group of interchangeable upstreams.
    PoolName
}
name! {
    /// An `UpstreamName` names an upstream.
    UpstreamName
}
name! {
    /// A `ModelName` names a model that callers ask for.
    ModelName
}
name! {
    /// A `RouteName` names a route to a plain service.
    RouteName
}
name! {
    /// A `KeyId` is the public part of a caller's key.
    KeyId
}
name! {
    /// An `ObjectName` names an object within its kind.
    ObjectName
}
