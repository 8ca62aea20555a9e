//! Files of objects.

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
use crate::error::Fault;
use crate::error::Finding;
use crate::error::Result;
use crate::report::Change;
use crate::report::Report;
use crate::settings::Settings;

/// An `Entry` is one object of a file; `spec` of `null` retires it.
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

/// Reads and checks a file, against the current objects if they are given.
fn read(path: &str, current: Option<&[Object]>) -> Result<Vec<Entry>> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    let values: Vec<Value> =
        serde_json::from_str(&text).map_err(|e| Error::invalid(&path, Fault::Json(e)))?;
    let mut findings = Vec::new();
    let mut entries = Vec::new();
    for (index, value) in values.into_iter().enumerate() {
        match serde_json::from_value::<Entry>(value) {
            Ok(entry) => entries.push(entry),
            Err(e) => findings.push(Finding {
                subject: format!("{path}[{index}]"),
                fault: Fault::Json(e),
            }),
        }
    }
    findings.extend(check(&entries, current));
    if findings.is_empty() {
        return Ok(entries);
    }
    Err(Error::Invalid(findings))
}

fn check(entries: &[Entry], current: Option<&[Object]>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut seen = BTreeSet::new();
    for Entry { id, spec } in entries {
        let finding = |fault| Finding {
            subject: id.to_string(),
            fault,
        };
        if !seen.insert(id) {
            findings.push(finding(Fault::Repeated));
        }
        if id.kind == Kind::Slots {
            findings.push(finding(Fault::NotForOperators));
        }
        let Some(spec) = spec else { continue };
        if spec.kind() != id.kind {
            findings.push(finding(Fault::OtherKind));
        }
        if let Err(e) = spec.validate() {
            findings.push(finding(Fault::Field(e)));
        }
    }
    if let Some(current) = current {
        findings.extend(check_references(entries, current));
    }
    findings
}

fn check_references(entries: &[Entry], current: &[Object]) -> Vec<Finding> {
    let live = current.iter().filter(|o| o.spec.is_some());
    let mut known: BTreeSet<ObjectId> = live.map(|o| o.id.clone()).collect();
    for entry in entries {
        if entry.spec.is_some() {
            known.insert(entry.id.clone());
        } else {
            known.remove(&entry.id);
        }
    }
    let specs = entries
        .iter()
        .filter_map(|e| Some((&e.id, e.spec.as_ref()?)));
    specs
        .flat_map(|(id, spec)| references::dangling(id, spec, &known))
        .collect()
}
