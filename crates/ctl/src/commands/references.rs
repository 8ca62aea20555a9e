//! Checks of the references between objects.

use std::collections::BTreeSet;

use limpetsaddle_core::config::Kind;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Spec;
use limpetsaddle_platform::Platform;

use crate::error::Error;
use crate::error::Result;
use crate::error::ValidationError;
use crate::error::ValidationErrorKind;

/// Returns the objects that `spec` refers to.
fn referenced_ids(spec: &Spec) -> Vec<ObjectId> {
    let id = |kind: Kind, name: &str| name.parse().ok().map(|name| ObjectId { kind, name });
    let found = match spec {
        Spec::Upstream(upstream) => vec![
            id(Kind::Pool, upstream.pool.as_str()),
            id(Kind::Domain, upstream.domain.as_str()),
        ],
        Spec::Route(route) => vec![id(Kind::Pool, route.pool.as_str())],
        Spec::Team(team) => {
            let domains = team.allotments.iter().map(|a| a.domain.as_str());
            domains.map(|name| id(Kind::Domain, name)).collect()
        }
        Spec::Domain(_) | Spec::Pool(_) | Spec::Presets(_) | Spec::Slots(_) => Vec::new(),
    };
    found.into_iter().flatten().collect()
}

/// Returns an error for each reference of `spec` that is not in `existing`.
pub(super) fn unresolved(
    id: &ObjectId,
    spec: &Spec,
    existing: &BTreeSet<ObjectId>,
) -> Vec<ValidationError> {
    let missing = referenced_ids(spec)
        .into_iter()
        .filter(|r| !existing.contains(r));
    let errors = missing.map(|reference| ValidationError {
        subject: id.to_string(),
        kind: ValidationErrorKind::UnresolvedReference(reference),
    });
    errors.collect()
}

/// Checks that every object that `spec` refers to exists in the platform.
pub(super) async fn check(platform: &Platform, id: &ObjectId, spec: &Spec) -> Result<()> {
    let mut existing = BTreeSet::new();
    for reference in referenced_ids(spec) {
        let object = platform.get(&reference).await?;
        if object.is_some_and(|o| o.spec.is_some()) {
            existing.insert(reference);
        }
    }
    let errors = unresolved(id, spec, &existing);
    if errors.is_empty() {
        return Ok(());
    }
    Err(Error::Invalid(errors))
}
