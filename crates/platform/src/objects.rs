//! Reads and conditional writes of configuration objects.

use std::sync::Arc;

use http::Method;
use http::StatusCode;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::outline::Outline;
use limpetsaddle_core::units::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde_json::error::Category;
use serde_json::value::RawValue;

use crate::client::Platform;
use crate::counts::Call;
use crate::entries::LISTED_DEPTH;
use crate::entries::MEMBER_DEPTH;
use crate::entries::NO_OBJECT;
use crate::error::Error;
use crate::error::Result;

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The revision of the store.
    pub revision: Revision,
    /// The objects, including retired ones.
    pub objects: Vec<Object>,
    /// The objects that could not be decoded.
    pub invalid: Vec<InvalidObject>,
}

/// An object that this version cannot decode.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InvalidObject {
    /// The ID as received from the platform, or empty if it cannot be read either.
    pub id: Arc<str>,
    /// The revision, or [`Revision::ABSENT`] if it cannot be read either.
    pub revision: Revision,
    /// Why the object cannot be decoded, without any of its content.
    pub reason: &'static str,
}

/// The result of a conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Put {
    /// The write took effect.
    Written(Object),
    /// The object was at another revision; this is its current state.
    Conflict(Option<Object>),
}

/// The result of a conditional write that is repeated when its response is lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmedPut {
    /// The write took effect, or another writer wrote identical content.
    Written(Object),
    /// The write did not take effect: the object was at another revision.
    Conflict(Option<Object>),
    /// A response was lost and another writer has since replaced the object.
    Ambiguous(Option<Object>),
}

#[derive(Deserialize)]
struct ListingBody<'a> {
    revision: Revision,
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

#[derive(Default, Deserialize)]
struct Identity {
    id: Arc<str>,
    revision: Revision,
}

#[derive(Serialize)]
struct PutBody<'a> {
    expected: Revision,
    spec: Option<&'a Spec>,
}

pub(crate) enum Decoded {
    Object(Object),
    Invalid(InvalidObject),
}

/// Decodes one object; objects are decoded one by one, so that an invalid one does not
/// hide the others. `None` stands for what is no object at all.
pub(crate) fn decode(bytes: Option<&[u8]>) -> Decoded {
    let Some(bytes) = bytes else {
        return Decoded::Invalid(InvalidObject {
            reason: NO_OBJECT,
            ..InvalidObject::default()
        });
    };
    match serde_json::from_slice(bytes) {
        Ok(object) => Decoded::Object(object),
        Err(error) => {
            // Its content may not be readable.
            let identity = Outline::new(bytes, MEMBER_DEPTH).decode();
            let Identity { id, revision } = identity.unwrap_or_default();
            Decoded::Invalid(InvalidObject {
                id,
                revision,
                reason: match error.classify() {
                    Category::Data => "a member is missing or has an invalid value",
                    Category::Eof | Category::Io | Category::Syntax => "it is not valid JSON",
                },
            })
        }
    }
}

fn path(id: &ObjectId) -> String {
    format!("/v1/config/{id}")
}

impl Platform {
    /// Returns every configuration object.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or its response is invalid.
    pub async fn list(&self) -> Result<Listing> {
        let response = self.read(Call::List, "/v1/config").await?;
        let outline = response.outline(LISTED_DEPTH);
        let body: ListingBody<'_> = response.decode(&outline)?;
        let mut listing = Listing {
            revision: body.revision,
            ..Listing::default()
        };
        for object in body.objects {
            match decode(outline.part(object)) {
                Decoded::Object(object) => listing.objects.push(object),
                Decoded::Invalid(invalid) => listing.invalid.push(invalid),
            }
        }
        Ok(listing)
    }

    /// Returns one object, or `None` when it has never existed.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or its response is invalid.
    pub async fn get(&self, id: &ObjectId) -> Result<Option<Object>> {
        let response = self.read(Call::Read, &path(id)).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        response.json().map(Some)
    }

    /// Writes one object if it has the expected revision.
    ///
    /// [`Revision::ABSENT`] creates the object; a `spec` of `None` retires it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutcomeUnknown`] when the response was lost, and another error when
    /// the write had no effect.
    pub async fn put(&self, id: &ObjectId, expected: Revision, spec: Option<&Spec>) -> Result<Put> {
        let body = serde_json::to_vec(&PutBody { expected, spec })?;
        let response = self.write(Method::PUT, &path(id), body.into()).await?;
        let decoded = match response.status {
            StatusCode::OK => response.json().map(Put::Written),
            _ => response.json().map(Put::Conflict),
        };
        decoded.map_err(|_| Error::OutcomeUnknown)
    }

    /// Writes one object like [`Self::put`], and determines after a lost response whether
    /// the write took effect.
    ///
    /// Repeats the same conditional write: it takes effect if the first one has not, and
    /// otherwise conflicts and returns the current object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutcomeUnknown`] when every response was lost, or when the platform
    /// became unavailable after a lost response.
    pub async fn put_confirmed(
        &self,
        id: &ObjectId,
        expected: Revision,
        spec: Option<&Spec>,
    ) -> Result<ConfirmedPut> {
        let mut response_lost = false;
        for _ in 0..=self.options().max_confirm_retries {
            match self.put(id, expected, spec).await {
                Ok(Put::Written(object)) => return Ok(ConfirmedPut::Written(object)),
                Ok(Put::Conflict(current)) if response_lost => return Ok(resolve(current, spec)),
                Ok(Put::Conflict(current)) => return Ok(ConfirmedPut::Conflict(current)),
                Err(Error::OutcomeUnknown) => response_lost = true,
                Err(e) if !response_lost => return Err(e),
                Err(_) => {}
            }
            monoio::time::sleep(self.options().confirm_retry_delay).await;
        }
        Err(Error::OutcomeUnknown)
    }
}

fn resolve(current: Option<Object>, spec: Option<&Spec>) -> ConfirmedPut {
    match current {
        Some(object) if object.spec.as_deref() == spec => ConfirmedPut::Written(object),
        other => ConfirmedPut::Ambiguous(other),
    }
}
