//! Reads and conditional writes of single objects.

use limpetsaddle_core::config::Kind;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::names::ObjectName;
use limpetsaddle_core::units::Revision;
use limpetsaddle_platform::ConfirmedPut;
use limpetsaddle_platform::Platform;

use crate::error::Error;
use crate::error::Result;
use crate::report::Change;

pub(super) const fn id(kind: Kind, name: ObjectName) -> ObjectId {
    ObjectId { kind, name }
}

/// Returns the object, or [`Error::NotFound`] if it is retired or has never existed.
pub(super) async fn get_existing(platform: &Platform, id: &ObjectId) -> Result<Object> {
    let object = platform.get(id).await?;
    object
        .filter(|o| o.spec.is_some())
        .ok_or_else(|| Error::NotFound { id: id.clone() })
}

/// Returns the revision of the object, also if it is retired, or
/// [`Revision::ABSENT`].
pub(super) async fn current_revision(platform: &Platform, id: &ObjectId) -> Result<Revision> {
    let object = platform.get(id).await?;
    Ok(object.map_or(Revision::ABSENT, |o| o.revision))
}

/// Writes `spec` if the object is at revision `expected`; `None` retires it.
pub(super) async fn write(
    platform: &Platform,
    id: &ObjectId,
    expected: Revision,
    spec: Option<&Spec>,
) -> Result<Change> {
    if let Some(spec) = spec {
        spec.validate().map_err(|e| Error::invalid(id, e))?;
    }
    let id = id.clone();
    match platform.put_confirmed(&id, expected, spec).await {
        Ok(ConfirmedPut::Written(object)) => Ok(Change {
            id,
            revision: object.revision,
            changed: true,
        }),
        Ok(ConfirmedPut::Conflict(current)) => Err(Error::Conflict {
            id,
            current: current.map_or(Revision::ABSENT, |o| o.revision),
        }),
        Ok(ConfirmedPut::Ambiguous(_)) | Err(limpetsaddle_platform::Error::OutcomeUnknown) => {
            Err(Error::OutcomeUnknown { id })
        }
        Err(e) => Err(e.into()),
    }
}
