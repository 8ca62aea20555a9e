//! References between objects.

use std::collections::BTreeSet;

use limpetsaddle_core::config::Kind;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Spec;
use limpetsaddle_platform::Platform;

use crate::error::Error;
use crate::error::Fault;
use crate::error::Finding;
use crate::error::Result;

/// Returns the objects that `spec` refers to.
fn references(spec: &Spec) -> Vec<ObjectId> {
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

/// Returns a finding for each reference of `spec` that is not in `known`.
pub(super) fn dangling(id: &ObjectId, spec: &Spec, known: &BTreeSet<ObjectId>) -> Vec<Finding> {
    let missing = references(spec).into_iter().filter(|r| !known.contains(r));
    let findings = missing.map(|reference| Finding {
        subject: id.to_string(),
        fault: Fault::Dangling(reference),
    });
    findings.collect()
}

/// Checks every reference of `spec` against the platform.
pub(super) async fn check(platform: &Platform, id: &ObjectId, spec: &Spec) -> Result<()> {
    let mut known = BTreeSet::new();
    for reference in references(spec) {
        let object = platform.get(&reference).await?;
        if object.is_some_and(|o| o.spec.is_some()) {
            known.insert(reference);
        }
    }
    let findings = dangling(id, spec, &known);
    if findings.is_empty() {
        return Ok(());
    }
    Err(Error::Invalid(findings))
}
