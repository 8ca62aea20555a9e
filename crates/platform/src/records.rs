//! Records: small versioned values without watches.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use limpetsaddle_core::claims::ClaimName;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::names::ObjectName;
use limpetsaddle_core::units::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use serde_with::skip_serializing_none;

use crate::client::Platform;
use crate::counts::Call;
use crate::entries;
use crate::entries::Entries;
use crate::error::Error;
use crate::error::Result;

/// A group of records.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Collection {
    /// Claims of non-idempotent requests.
    Claims,
    /// Leases.
    Leases,
    /// The status of each instance.
    Status,
}

impl Collection {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Claims => "claims",
            Self::Leases => "leases",
            Self::Status => "status",
        }
    }
}

/// The name of a record within its collection.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RecordName(Arc<str>);

impl From<ClaimName> for RecordName {
    fn from(name: ClaimName) -> Self {
        Self(name.to_string().into())
    }
}

impl From<&InstanceName> for RecordName {
    fn from(name: &InstanceName) -> Self {
        Self(name.as_str().into())
    }
}

impl From<&ObjectName> for RecordName {
    fn from(name: &ObjectName) -> Self {
        Self(name.as_str().into())
    }
}

impl fmt::Display for RecordName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A value with its revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Record<T> {
    /// The name within the collection.
    pub name: RecordName,
    /// The revision of the last write.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// The result of a conditional write of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordPut<T> {
    /// The write took effect and created this revision.
    Written(Revision),
    /// The record was at another revision; this is its current state.
    Conflict(Option<Record<T>>),
    /// The record was at this other revision, and this version cannot decode it. The revision
    /// is [`Revision::ABSENT`] if it cannot be read either.
    Unreadable(Revision),
}

/// The result of a conditional deletion of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordDelete {
    /// The record was deleted.
    Deleted,
    /// The record was at another revision.
    Conflict,
    /// The record does not exist.
    Absent,
}

#[derive(Deserialize)]
struct ListBody<'a> {
    #[serde(borrow)]
    records: Vec<&'a RawValue>,
}

#[serde_as]
#[skip_serializing_none]
#[derive(Serialize)]
struct PutBody<'a, T> {
    expected: Revision,
    value: &'a T,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "ttl_ms")]
    time_to_live: Option<Duration>,
}

fn path(collection: Collection, name: &RecordName) -> String {
    format!("/v1/records/{}/{name}", collection.as_str())
}

impl Platform {
    /// Returns all records of a collection.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or its response is invalid.
    pub async fn list_records<T>(&self, collection: Collection) -> Result<Entries<Record<T>>>
    where
        T: DeserializeOwned,
    {
        let path = format!("/v1/records/{}", collection.as_str());
        let response = self.read(Call::Read, &path).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(Entries::default());
        }
        let outline = response.outline(entries::LISTED_DEPTH);
        let body: ListBody<'_> = response.decode(&outline)?;
        Ok(entries::decode(&outline, &body.records))
    }

    /// Returns one record, or `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnreadableRecord`] for a record that cannot be decoded, and another
    /// error when the call fails or its response is invalid.
    pub async fn get_record<T>(
        &self,
        collection: Collection,
        name: &RecordName,
    ) -> Result<Option<Record<T>>>
    where
        T: DeserializeOwned,
    {
        let response = self.read(Call::Read, &path(collection, name)).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        match response.unreadable_record::<Record<T>>() {
            Some(revision) => Err(Error::UnreadableRecord { revision }),
            None => response.json().map(Some),
        }
    }

    /// Writes one record if it has the expected revision.
    ///
    /// [`Revision::ABSENT`] creates it. The platform deletes the record after
    /// `time_to_live`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutcomeUnknown`] when the response was lost, and another error when
    /// the write had no effect.
    pub async fn put_record<T>(
        &self,
        collection: Collection,
        name: &RecordName,
        expected: Revision,
        value: &T,
        time_to_live: Option<Duration>,
    ) -> Result<RecordPut<T>>
    where
        T: DeserializeOwned + Serialize,
    {
        let body = serde_json::to_vec(&PutBody {
            expected,
            value,
            time_to_live,
        })?;
        let path = path(collection, name);
        let response = self.write(Method::PUT, &path, body.into()).await?;
        let decoded = match response.status {
            StatusCode::OK => response
                .json()
                .map(|r: Record<T>| RecordPut::Written(r.revision)),
            _ => match response.unreadable_record::<Option<Record<T>>>() {
                Some(revision) => return Ok(RecordPut::Unreadable(revision)),
                None => response.json().map(RecordPut::Conflict),
            },
        };
        decoded.map_err(|_| Error::OutcomeUnknown)
    }

    /// Deletes one record if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutcomeUnknown`] when the response was lost, and another error when
    /// the write had no effect.
    pub async fn delete_record(
        &self,
        collection: Collection,
        name: &RecordName,
        expected: Revision,
    ) -> Result<RecordDelete> {
        let path = format!("{}?expected={expected}", path(collection, name));
        let response = self.write(Method::DELETE, &path, Bytes::new()).await?;
        Ok(match response.status {
            StatusCode::OK => RecordDelete::Deleted,
            StatusCode::NOT_FOUND => RecordDelete::Absent,
            _ => RecordDelete::Conflict,
        })
    }
}
