//! Validation and application of object files.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use limpetsaddle_core::config::Kind;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::units::Revision;
use limpetsaddle_platform::Platform;
use serde::Deserialize;
use serde_json::Value;

use super::editor;
use super::references;
use super::teams;
use crate::error::Error;
use crate::error::Result;
use crate::error::ValidationError;
use crate::error::ValidationErrorKind;
use crate::report::Change;
use crate::report::Report;
use crate::settings::Settings;

/// An object in a file; a `spec` of `null` retires it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    id: ObjectId,
    spec: Option<Spec>,
}

pub(super) async fn validate(
    platform: &Platform,
    settings: &Settings,
    path: &str,
) -> Result<Report> {
    let current = if settings.platform.is_empty() {
        None
    } else {
        Some(platform.list().await?.objects)
    };
    let entries = read(path, current.as_deref())?;
    Ok(Report::Valid(entries.len()))
}

pub(super) async fn apply(platform: &Platform, path: &str, timeout: Duration) -> Result<Report> {
    let objects = platform.list().await?.objects;
    let entries = read(path, Some(&objects))?;
    let current: BTreeMap<&ObjectId, &Object> = objects.iter().map(|o| (&o.id, o)).collect();
    let mut changes = Vec::new();
    for entry in entries {
        let old = current.get(&entry.id).copied();
        changes.push(write(platform, entry, old, timeout).await?);
    }
    Ok(Report::Written(changes))
}

async fn write(
    platform: &Platform,
    entry: Entry,
    old: Option<&Object>,
    timeout: Duration,
) -> Result<Change> {
    let Entry { id, mut spec } = entry;
    let revision = old.map_or(Revision::ABSENT, |o| o.revision);
    let old = old.and_then(|o| o.spec.as_deref());
    if let (Some(Spec::Team(old)), Some(Spec::Team(new))) = (old, &mut spec) {
        new.keys = teams::merged_keys(&old.keys, &new.keys);
    }
    if old == spec.as_ref() {
        return Ok(Change {
            id,
            revision,
            changed: false,
        });
    }
    if let (Some(Spec::Team(old)), Some(Spec::Team(new))) = (old, &spec) {
        return teams::replace(platform, &id, revision, old, new.clone(), timeout).await;
    }
    if let Some(Spec::Team(new)) = spec {
        return teams::add(platform, &id, revision, new, timeout).await;
    }
    editor::write(platform, &id, revision, spec.as_ref()).await
}

/// Reads and validates a file, resolving references if `current` is given.
fn read(path: &str, current: Option<&[Object]>) -> Result<Vec<Entry>> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    let values: Vec<Value> = serde_json::from_str(&text)
        .map_err(|e| Error::invalid(&path, ValidationErrorKind::Json(e)))?;
    let mut errors = Vec::new();
    let mut entries = Vec::new();
    for (index, value) in values.into_iter().enumerate() {
        match serde_json::from_value::<Entry>(value) {
            Ok(entry) => entries.push(entry),
            Err(e) => errors.push(ValidationError {
                subject: format!("{path}[{index}]"),
                kind: ValidationErrorKind::Json(e),
            }),
        }
    }
    errors.extend(check(&entries, current));
    if errors.is_empty() {
        return Ok(entries);
    }
    Err(Error::Invalid(errors))
}

fn check(entries: &[Entry], current: Option<&[Object]>) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut seen = BTreeSet::new();
    for Entry { id, spec } in entries {
        let error = |kind| ValidationError {
            subject: id.to_string(),
            kind,
        };
        if !seen.insert(id) {
            errors.push(error(ValidationErrorKind::Duplicate));
        }
        if id.kind == Kind::Slots {
            errors.push(error(ValidationErrorKind::InstanceOwned));
        }
        let Some(spec) = spec else { continue };
        if spec.kind() != id.kind {
            errors.push(error(ValidationErrorKind::KindMismatch));
        }
        if let Err(e) = spec.validate() {
            errors.push(error(ValidationErrorKind::Field(e)));
        }
    }
    if let Some(current) = current {
        errors.extend(check_references(entries, current));
    }
    errors
}

fn check_references(entries: &[Entry], current: &[Object]) -> Vec<ValidationError> {
    let existing_objects = current.iter().filter(|o| o.spec.is_some());
    let mut existing: BTreeSet<ObjectId> = existing_objects.map(|o| o.id.clone()).collect();
    for entry in entries {
        if entry.spec.is_some() {
            existing.insert(entry.id.clone());
        } else {
            existing.remove(&entry.id);
        }
    }
    let specs = entries
        .iter()
        .filter_map(|e| Some((&e.id, e.spec.as_ref()?)));
    specs
        .flat_map(|(id, spec)| references::unresolved(id, spec, &existing))
        .collect()
}
