//! Teams and the parts of their limits that the failure domains hold.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::config::Allotment;
use limpetsaddle_core::config::KeyRecord;
use limpetsaddle_core::config::Kind;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::config::TOTAL_PARTS;
use limpetsaddle_core::config::TeamSpec;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_platform::Platform;

use super::editor;
use super::status;
use crate::command::DomainParts;
use crate::command::TeamChange;
use crate::error::Error;
use crate::error::Fault;
use crate::error::Finding;
use crate::error::Result;
use crate::report::Change;
use crate::report::Report;

/// The burst that a slot holds at least, in tokens, so that a request with a
/// long prompt can be paid from few slots.
const MIN_SLOT_BURST: Tokens = Tokens(65_536);

/// The slots of each failure domain that exists.
type DomainSlots = BTreeMap<DomainName, u16>;

pub(super) fn id(team: &TeamName) -> Result<ObjectId> {
    let name = team.as_str().parse();
    let name = name.map_err(|e: limpetsaddle_core::Error| Error::invalid(team, e))?;
    Ok(editor::id(Kind::Team, name))
}

async fn domain_slots(platform: &Platform) -> Result<DomainSlots> {
    let objects = platform.list().await?.objects;
    let slots = objects.iter().filter_map(|o| match o.spec.as_deref() {
        Some(Spec::Domain(domain)) => Some((o.id.name.as_str().parse().ok()?, domain.slots)),
        _ => None,
    });
    Ok(slots.collect())
}

/// Returns the number of slots over which a part of a burst is spread.
fn spread(burst: Tokens, parts: u16, slots: u16) -> u16 {
    let part = burst.0.saturating_mul(u64::from(parts)) / u64::from(TOTAL_PARTS);
    let pieces = (part / MIN_SLOT_BURST.0).clamp(1, u64::from(slots));
    u16::try_from(pieces).unwrap_or(slots)
}

/// Returns the parts of each failure domain, by default an equal split of all.
fn requested_parts(
    id: &ObjectId,
    domains: &[DomainParts],
    known: &DomainSlots,
) -> Result<Vec<(DomainName, u16)>> {
    let all = || known.keys().map(|domain| (domain.clone(), None)).collect();
    let named: Vec<(DomainName, Option<u16>)> = match domains {
        [] => all(),
        named => named.iter().map(|d| (d.domain.clone(), d.parts)).collect(),
    };
    let Ok(count) = u16::try_from(named.len()) else {
        return Err(Error::invalid(id, Fault::NoDomain));
    };
    if count == 0 {
        return Err(Error::invalid(id, Fault::NoDomain));
    }
    let equal = |index: usize| {
        let extra = index < usize::from(TOTAL_PARTS % count);
        TOTAL_PARTS / count + u16::from(extra)
    };
    let parts = named.into_iter().enumerate();
    Ok(parts
        .map(|(index, (domain, parts))| (domain, parts.unwrap_or_else(|| equal(index))))
        .collect())
}

/// Returns the allotments, keeping the spread of those that exist already.
fn allotments(
    id: &ObjectId,
    burst: Tokens,
    domains: &[DomainParts],
    known: &DomainSlots,
    old: &[Allotment],
) -> Result<Vec<Allotment>> {
    let mut findings = Vec::new();
    let mut allotments = Vec::new();
    for (domain, parts) in requested_parts(id, domains, known)? {
        let Some(slots) = known.get(&domain) else {
            let name = domain.as_str().parse();
            let name = name.map_err(|e: limpetsaddle_core::Error| Error::invalid(id, e))?;
            findings.push(Finding {
                subject: id.to_string(),
                fault: Fault::Dangling(editor::id(Kind::Domain, name)),
            });
            continue;
        };
        let kept = old
            .iter()
            .find(|a| a.domain == domain)
            .map(|a| a.slot_count);
        allotments.push(Allotment {
            slot_count: kept.unwrap_or_else(|| spread(burst, parts, *slots)),
            domain,
            parts,
        });
    }
    if findings.is_empty() {
        return Ok(allotments);
    }
    Err(Error::Invalid(findings))
}

pub(super) async fn create(
    platform: &Platform,
    team: &TeamName,
    change: TeamChange,
    timeout: Duration,
) -> Result<Report> {
    let id = id(team)?;
    let existing = platform.get(&id).await?;
    if existing.as_ref().is_some_and(|o| o.spec.is_some()) {
        return Err(Error::Exists { id });
    }
    let revision = existing.map_or(Revision::ABSENT, |o| o.revision);
    let known = domain_slots(platform).await?;
    let burst = change.burst.unwrap_or_default();
    let spec = TeamSpec {
        rate: change.rate.unwrap_or_default(),
        burst,
        weight: change.weight.unwrap_or_default(),
        models: change.models,
        allotments: allotments(&id, burst, &change.domains, &known, &[])?,
        keys: Vec::new(),
    };
    let written = add(platform, &id, revision, spec, timeout).await?;
    Ok(Report::Written(vec![written]))
}

/// Creates a team whose object is absent or retired at `revision`.
///
/// An instance that still has the team in force from before its retirement
/// would mint beside the new one, so the retirement has to be in force first.
pub(super) async fn add(
    platform: &Platform,
    id: &ObjectId,
    revision: Revision,
    spec: TeamSpec,
    timeout: Duration,
) -> Result<Change> {
    let spec = Spec::Team(spec);
    spec.validate().map_err(|e| Error::invalid(id, e))?;
    if revision != Revision::ABSENT {
        status::wait_in_force(platform, revision, timeout).await?;
    }
    editor::write(platform, id, revision, Some(&spec)).await
}

pub(super) async fn show(platform: &Platform, team: &TeamName) -> Result<Report> {
    let object = editor::live(platform, &id(team)?).await?;
    Ok(Report::Objects(vec![object]))
}

pub(super) async fn set(
    platform: &Platform,
    team: &TeamName,
    change: TeamChange,
    timeout: Duration,
) -> Result<Report> {
    let id = id(team)?;
    let object = editor::live(platform, &id).await?;
    let Some(Spec::Team(old)) = object.spec.as_deref() else {
        return Err(Error::NotFound { id });
    };
    let mut new = old.clone();
    new.rate = change.rate.unwrap_or(old.rate);
    new.burst = change.burst.unwrap_or(old.burst);
    new.weight = change.weight.unwrap_or(old.weight);
    if !change.models.is_empty() {
        new.models = change.models;
    }
    if !change.domains.is_empty() {
        let known = domain_slots(platform).await?;
        new.allotments = allotments(&id, new.burst, &change.domains, &known, &old.allotments)?;
    }
    replace(platform, &id, object.revision, old, new, timeout)
        .await
        .map(|change| Report::Written(vec![change]))
}

/// Replaces a team, so that at no moment two failure domains hold one part.
///
/// A part that moves is taken from its failure domain first. Only once that is
/// in force everywhere does another one get it.
pub(super) async fn replace(
    platform: &Platform,
    id: &ObjectId,
    revision: Revision,
    old: &TeamSpec,
    new: TeamSpec,
    timeout: Duration,
) -> Result<Change> {
    Spec::Team(new.clone())
        .validate()
        .map_err(|e| Error::invalid(id, e))?;
    let lowered = lowered(&old.allotments, &new.allotments);
    let raises = new.allotments != lowered;
    let mut expected = revision;
    if lowered != old.allotments && raises {
        let mut first = old.clone();
        first.allotments = lowered;
        let change = editor::write(platform, id, expected, Some(&Spec::Team(first))).await?;
        expected = change.revision;
        let waited = status::wait_in_force(platform, expected, timeout).await;
        waited.map_err(|cause| Error::HalfMoved {
            id: id.clone(),
            cause: Box::new(cause),
        })?;
    }
    editor::write(platform, id, expected, Some(&Spec::Team(new))).await
}

/// Returns the keys of `old` and those that `new` adds.
///
/// A key that has been withdrawn stays so, and no key is lost: an older copy of
/// the team must neither revive a key nor forget one.
pub(super) fn merged_keys(old: &[KeyRecord], new: &[KeyRecord]) -> Vec<KeyRecord> {
    let mut keys = old.to_vec();
    for key in &mut keys {
        let withdrawn = new.iter().any(|k| k.id == key.id && k.withdrawn);
        key.withdrawn = key.withdrawn || withdrawn;
    }
    let added = new.iter().filter(|k| old.iter().all(|o| o.id != k.id));
    keys.extend(added.cloned());
    keys
}

/// Returns for each failure domain the smaller of its old and new part.
///
/// A part that is spread over other slots is taken away whole: the old and the
/// new slots together would mint more than the part.
fn lowered(old: &[Allotment], new: &[Allotment]) -> Vec<Allotment> {
    let smaller = old.iter().filter_map(|old| {
        let same = |a: &&Allotment| a.domain == old.domain && a.slot_count == old.slot_count;
        let new = new.iter().find(same)?;
        let mut allotment = old.clone();
        allotment.parts = old.parts.min(new.parts);
        Some(allotment)
    });
    smaller.collect()
}
