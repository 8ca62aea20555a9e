//! Callers' keys and their authentication.
//!
//! A key is `lsk-<key id>-<secret>`. The platform stores the public key id and
//! the digest of the complete key. Provides functions to issue keys, to
//! authenticate requests and running streams, and to extract and remove keys
//! from requests.

mod credentials;

use std::fmt;
use std::fmt::Write as _;

use crate::config::KeyRecord;
use crate::hash::Digest;
use crate::names::KeyId;
use crate::names::TeamName;
use crate::refusal::Reason;
use crate::store::ConfigStore;

pub use self::credentials::body_contains_key;
pub use self::credentials::contains_key_prefix;
pub use self::credentials::is_credential_header;
pub use self::credentials::presented_key;
pub use self::credentials::strip_query_credentials;

/// The prefix of every key.
pub const KEY_PREFIX: &str = "lsk-";

/// The largest length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The length of a secret in bytes, before hexadecimal encoding.
pub const SECRET_BYTES: usize = 24;

/// A new key, whose text is not stored anywhere.
pub struct IssuedKey {
    /// The complete key, to be shown once.
    pub text: String,
    /// The record for the platform.
    pub record: KeyRecord,
}

impl fmt::Debug for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("IssuedKey")
            .field("record", &self.record)
            .finish_non_exhaustive()
    }
}

/// Issues a key with the secret `random`.
///
/// ```
/// use limpetsaddle_core::hash::Digest;
/// use limpetsaddle_core::keys::issue_key;
///
/// let key = issue_key(&"k1".parse()?, [7; 24]);
/// assert!(key.text.starts_with("lsk-k1-"));
/// assert_eq!(key.record.digest, Digest::of(key.text.as_bytes()));
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[must_use]
pub fn issue_key(id: &KeyId, random: [u8; SECRET_BYTES]) -> IssuedKey {
    let mut text = format!("{KEY_PREFIX}{id}-");
    for byte in random {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    let record = KeyRecord {
        id: id.clone(),
        digest: Digest::of(text.as_bytes()),
        withdrawn: false,
    };
    IssuedKey { text, record }
}

/// Authenticates a key and returns its team and key id.
///
/// Key ids and secrets may both contain dashes, so each dash is tried as the
/// separator and the digest of the complete key is compared.
///
/// # Errors
///
/// Returns [`Reason::MissingKey`] for an empty key, [`Reason::WithdrawnKey`] for
/// a withdrawn key, and [`Reason::UnknownKey`] for any other key that does not
/// belong to exactly one team.
///
/// ```
/// use limpetsaddle_core::keys::authenticate;
/// use limpetsaddle_core::refusal::Reason;
/// use limpetsaddle_core::store::ConfigStore;
///
/// let store = ConfigStore::default();
/// let result = authenticate(&store, b"lsk-k1-secret");
/// assert_eq!(result, Err(Reason::UnknownKey));
/// ```
pub fn authenticate(store: &ConfigStore, presented: &[u8]) -> Result<(TeamName, KeyId), Reason> {
    if presented.is_empty() {
        return Err(Reason::MissingKey);
    }
    let rest = parse(presented).ok_or(Reason::UnknownKey)?;
    let digest = Digest::of(presented);
    let mut found = None;
    for (separator, _) in rest.match_indices('-') {
        for (team, record) in store.teams_by_key(&rest[..separator]) {
            if !record.digest.matches(&digest) {
                continue;
            }
            if record.withdrawn {
                return Err(Reason::WithdrawnKey);
            }
            if found.replace((team, record)).is_some() {
                return Err(Reason::UnknownKey);
            }
        }
    }
    let (team, record) = found.ok_or(Reason::UnknownKey)?;
    Ok((team.clone(), record.id.clone()))
}

/// Returns whether an authenticated key is still valid.
///
/// Running streams are checked after each change of their team.
#[must_use]
pub fn is_key_valid(store: &ConfigStore, team: &TeamName, key_id: &KeyId) -> bool {
    let Some(team) = store.team(team) else {
        return false;
    };
    team.keys.iter().any(|k| k.id == *key_id && !k.withdrawn)
}

/// Returns the key without its prefix, or `None` if it is malformed.
fn parse(presented: &[u8]) -> Option<&str> {
    if presented.len() > MAX_KEY_BYTES {
        return None;
    }
    let text = std::str::from_utf8(presented).ok()?;
    let is_valid = |b: u8| b.is_ascii_alphanumeric() || b"._~-".contains(&b);
    text.strip_prefix(KEY_PREFIX)
        .filter(|rest| rest.bytes().all(is_valid))
}
