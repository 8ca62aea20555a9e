//! The key of a request's content.

use std::fmt;
use std::str::FromStr;

use limpetsaddle_core::hash::Digest;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The bytes at both ends of a body that its key depends on, beside its length: a digest of more
/// would take milliseconds.
const MAX_END_BYTES: usize = 256 * 1024;

/// What two requests have in common if they are the same request, sent again.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host in lower case.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The name of the caller's team, or nothing if it has none.
    pub team: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The key of a request's content, the same on all instances.
///
/// It is a part of a SHA-256 digest, so that no caller can find a request with the key of
/// another one.
///
/// ```
/// use limpetsaddle_fleet::request_key::RequestContent;
/// use limpetsaddle_fleet::request_key::RequestKey;
///
/// let content = RequestContent {
///     method: "GET",
///     host: "a.example",
///     target: "/orders/7",
///     team: "retail",
///     body: b"",
/// };
/// let key = RequestKey::of(&content);
/// assert_eq!(key.to_string().parse(), Ok(key));
/// assert_ne!(RequestKey::of(&RequestContent { team: "other", ..content }), key);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestKey(u128);

impl RequestKey {
    /// Returns the key of a request's content.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let body = content.body;
        let beginning = &body[..body.len().min(MAX_END_BYTES)];
        let rest = &body[beginning.len()..];
        let end = &rest[rest.len().saturating_sub(MAX_END_BYTES)..];
        let digest = Digest::of_parts(&[
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.target.as_bytes(),
            content.team.as_bytes(),
            &body.len().to_le_bytes(),
            beginning,
            end,
        ]);
        let [bytes @ .., _, _, _, _, _, _, _, _, _, _, _, _, _, _, _, _] = *digest.as_bytes();
        Self(u128::from_be_bytes(bytes))
    }

    /// Returns a place among `places` that begins elsewhere with each key.
    #[must_use]
    pub fn shifted(self, place: usize, places: usize) -> usize {
        let [_, _, _, _, _, _, _, _, low @ ..] = self.0.to_be_bytes();
        let shift = usize::try_from(u64::from_be_bytes(low) >> 32).unwrap_or_default();
        (place + shift) % places.max(1)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A text that is not a key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not the key of a request: 32 hexadecimal digits are expected")]
pub struct InvalidRequestKey {
    text: String,
}

impl FromStr for RequestKey {
    type Err = InvalidRequestKey;

    fn from_str(text: &str) -> Result<Self, InvalidRequestKey> {
        let is_key = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let key = Some(text).filter(|_| is_key);
        let key = key.and_then(|text| u128::from_str_radix(text, 16).ok());
        key.map(Self).ok_or_else(|| InvalidRequestKey {
            text: text.to_owned(),
        })
    }
}
