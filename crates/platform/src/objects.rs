//! Reads and conditional writes of configuration objects.

use std::sync::Arc;

use http::Method;
use http::StatusCode;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::units::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::client::Platform;
use crate::counts::Call;
use crate::error::Error;
use crate::error::Result;

/// A `Listing` is the whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The revision of the store.
    pub revision: Revision,
    /// The objects, retired ones included.
    pub objects: Vec<Object>,
    /// The objects that could not be decoded.
    pub invalid: Vec<InvalidObject>,
}

/// An `InvalidObject` is an object that this version cannot decode.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidObject {
    /// The identity as the platform gave it.
    pub id: Arc<str>,
    /// The revision.
    pub revision: Revision,
}

/// A `Put` is the answer to a conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Put {
    /// The write took effect.
    Written(Object),
    /// The object was at another revision; this is its current state.
    Conflict(Option<Object>),
}

/// A `ConfirmedPut` is what became of a write, lost answers included.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmedPut {
    /// The write took effect, or another writer wrote the very same content.
    Written(Object),
    /// The write did not take effect: the object was at another revision.
    Conflict(Option<Object>),
    /// An answer was lost and another writer has replaced the object since.
    Ambiguous(Option<Object>),
}

#[derive(Deserialize)]
struct ListingBody {
    revision: Revision,
    objects: Vec<Value>,
}

#[derive(Deserialize)]
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

/// Decodes one object, so that one bad object does not hide the others.
pub(crate) fn decode(value: Value) -> Result<Decoded> {
    let identity = Identity::deserialize(&value)?;
    Ok(match serde_json::from_value(value) {
        Ok(object) => Decoded::Object(object),
        Err(_) => Decoded::Invalid(InvalidObject {
            id: identity.id,
            revision: identity.revision,
        }),
    })
}

fn path(id: &ObjectId) -> String {
    format!("/v1/config/{id}")
}

impl Platform {
    /// Returns every configuration object.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no valid answer.
    pub async fn list(&self) -> Result<Listing> {
        let answer = self.read(Call::List, "/v1/config").await?;
        let body: ListingBody = answer.json()?;
        let mut listing = Listing {
            revision: body.revision,
            ..Listing::default()
        };
        for value in body.objects {
            match decode(value)? {
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
    /// Returns an error when the platform gives no valid answer.
    pub async fn get(&self, id: &ObjectId) -> Result<Option<Object>> {
        let answer = self.read(Call::Read, &path(id)).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        answer.json().map(Some)
    }

    /// Writes one object if it still has the expected revision.
    ///
    /// [`Revision::ABSENT`] creates the object, a `spec` of `None` retires it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutcomeUnknown`] when the answer was lost.
    pub async fn put(&self, id: &ObjectId, expected: Revision, spec: Option<&Spec>) -> Result<Put> {
        let body = serde_json::to_vec(&PutBody { expected, spec })?;
        let answer = self.write(Method::PUT, &path(id), body.into()).await?;
        let decoded = match answer.status {
            StatusCode::OK => answer.json().map(Put::Written),
            _ => answer.json().map(Put::Conflict),
        };
        decoded.map_err(|_| Error::OutcomeUnknown)
    }

    /// Writes one object as [`Self::put`] does, and finds out after a lost answer
    /// whether the write took effect.
    ///
    /// The same conditional write is repeated: it takes effect if the first one
    /// has not, and else its conflict shows the object as it stands.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutcomeUnknown`] when every answer was lost, and also when
    /// the platform became unavailable after a lost answer.
    pub async fn put_confirmed(
        &self,
        id: &ObjectId,
        expected: Revision,
        spec: Option<&Spec>,
    ) -> Result<ConfirmedPut> {
        let mut in_doubt = false;
        for _ in 0..=self.options().confirm_attempts {
            match self.put(id, expected, spec).await {
                Ok(Put::Written(object)) => return Ok(ConfirmedPut::Written(object)),
                Ok(Put::Conflict(current)) if in_doubt => return Ok(resolve(current, spec)),
                Ok(Put::Conflict(current)) => return Ok(ConfirmedPut::Conflict(current)),
                Err(Error::OutcomeUnknown) => in_doubt = true,
                Err(e) if !in_doubt => return Err(e),
                Err(_) => {}
            }
            monoio::time::sleep(self.options().confirm_pause).await;
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
