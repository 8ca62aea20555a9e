//! The key of a prompt's part.

use std::fmt;
use std::str::FromStr;

use limpetsaddle_core::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The largest number of hexadecimal digits in an id that is a key by itself.
const MAX_DIGITS: usize = 16;

/// The key of a prompt's part, the same on all instances.
///
/// An id of up to 16 hexadecimal digits is its own key, so that logs and stored records show
/// it as callers send it; other ids are hashed.
///
/// ```
/// use limpetsaddle_fleet::part_key::PartKey;
///
/// let key = PartKey::of("5c1e07a2");
/// assert_eq!(key.to_string(), "5c1e07a2");
/// assert_eq!("5c1e07a2".parse(), Ok(key));
/// assert_ne!(PartKey::of("a part"), PartKey::of("another part"));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PartKey(u64);

impl PartKey {
    /// Returns the key of the part with an id.
    #[must_use]
    pub fn of(id: &str) -> Self {
        id.parse()
            .unwrap_or_else(|_| Self(stable_hash(&[id.as_bytes()])))
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// A text that is not a key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not the key of a part: 1 to 16 hexadecimal digits are expected")]
pub struct InvalidPartKey {
    text: String,
}

impl FromStr for PartKey {
    type Err = InvalidPartKey;

    fn from_str(text: &str) -> Result<Self, InvalidPartKey> {
        let is_hexadecimal = text.bytes().all(|b| b.is_ascii_hexdigit());
        let digits = Some(text).filter(|text| is_hexadecimal && text.len() <= MAX_DIGITS);
        let key = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        key.map(Self).ok_or_else(|| InvalidPartKey {
            text: text.to_owned(),
        })
    }
}
