//! Lists whose entries are decoded one by one.

use std::sync::Arc;

use limpetsaddle_core::outline::Outline;
use limpetsaddle_core::units::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// The number of objects and lists around an entry: the answer and its list of entries.
pub(crate) const LISTED_DEPTH: usize = 2;

/// The number of objects around a member of an entry.
pub(crate) const MEMBER_DEPTH: usize = 1;

#[derive(Default, Deserialize)]
struct Versioned {
    revision: Revision,
}

/// The reason logged for a list element that is not a JSON object.
pub(crate) const NO_OBJECT: &str = "it is no object";

/// The entries of a list, decoded one by one, so that an invalid one does not hide the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entries<T> {
    /// The entries that could be decoded.
    pub valid: Vec<T>,
    /// The entries that could not be decoded.
    pub invalid: Vec<InvalidEntry>,
}

impl<T> Default for Entries<T> {
    fn default() -> Self {
        Self {
            valid: Vec::new(),
            invalid: Vec::new(),
        }
    }
}

/// An entry that this version cannot decode.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InvalidEntry {
    /// The name as received from the platform, or empty if it cannot be read either.
    pub name: Arc<str>,
    /// Why the entry cannot be decoded.
    pub reason: Arc<str>,
}

#[derive(Deserialize)]
struct Named {
    name: Arc<str>,
}

/// Returns the revision of an entry that may otherwise be malformed, or [`Revision::ABSENT`] if
/// the revision is malformed too. Returns `None` if the body is not a JSON object.
pub(crate) fn revision(body: &[u8]) -> Option<Revision> {
    let whole = Outline::new(body, 0);
    let object = whole.part(whole.decode().ok()?)?;
    let versioned = Outline::new(object, MEMBER_DEPTH).decode();
    let Versioned { revision } = versioned.unwrap_or_default();
    object.starts_with(b"{").then_some(revision)
}

/// Decodes each entry of a list from its placeholder in the outline of the answer.
pub(crate) fn decode<T>(outline: &Outline<'_>, places: &[&RawValue]) -> Entries<T>
where
    T: DeserializeOwned,
{
    let mut entries = Entries::default();
    for place in places {
        match decode_part(outline.part(place)) {
            Ok(entry) => entries.valid.push(entry),
            Err(invalid) => entries.invalid.push(invalid),
        }
    }
    entries
}

fn decode_part<T>(part: Option<&[u8]>) -> Result<T, InvalidEntry>
where
    T: DeserializeOwned,
{
    let part = part.ok_or_else(|| InvalidEntry {
        name: Arc::default(),
        reason: NO_OBJECT.into(),
    })?;
    serde_json::from_slice(part).map_err(|error| {
        // The name may be valid although another member is malformed.
        let named = Outline::new(part, MEMBER_DEPTH).decode();
        InvalidEntry {
            name: named.map(|Named { name }| name).unwrap_or_default(),
            reason: error.to_string().into(),
        }
    })
}
