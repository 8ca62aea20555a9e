//! Teams and the allotments of their limits to failure domains.

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
use crate::error::Result;
use crate::error::ValidationError;
use crate::error::ValidationErrorKind;
use crate::report::Change;
use crate::report::Report;

/// The minimum burst of a slot, so that few slots cover a request with a long
/// prompt.
const MIN_SLOT_BURST: Tokens = Tokens(65_536);

/// The number of slots by failure domain.
type DomainSlots = BTreeMap<DomainName, u16>;

pub(super) fn id(team: &TeamName) -> Result<ObjectId> {
    let name = team.as_str().parse();
    let name = name.map_err(|e: limpetsaddle_core::Error| Error::invalid(team, e))?;
    Ok(editor::id(Kind::Team, name))
}

async fn load_domain_slots(platform: &Platform) -> Result<DomainSlots> {
    let objects = platform.list().await?.objects;
    let slots = objects.iter().filter_map(|o| match o.spec.as_deref() {
        Some(Spec::Domain(domain)) => Some((o.id.name.as_str().parse().ok()?, domain.slots)),
        _ => None,
    });
    Ok(slots.collect())
}

/// Returns the number of slots over which a failure domain's portion of the
/// burst is divided.
fn slot_count(burst: Tokens, parts: u16, slots: u16) -> u16 {
    let portion = burst.0.saturating_mul(u64::from(parts)) / u64::from(TOTAL_PARTS);
    let count = (portion / MIN_SLOT_BURST.0).clamp(1, u64::from(slots));
    u16::try_from(count).unwrap_or(slots)
}

/// Returns the parts of each failure domain, by default an equal split over all.
fn requested_parts(
    id: &ObjectId,
    domains: &[DomainParts],
    domain_slots: &DomainSlots,
) -> Result<Vec<(DomainName, u16)>> {
    let all = || {
        domain_slots
            .keys()
            .map(|domain| (domain.clone(), None))
            .collect()
    };
    let named: Vec<(DomainName, Option<u16>)> = match domains {
        [] => all(),
        named => named.iter().map(|d| (d.domain.clone(), d.parts)).collect(),
    };
    let Ok(count) = u16::try_from(named.len()) else {
        return Err(Error::invalid(id, ValidationErrorKind::NoDomain));
    };
    if count == 0 {
        return Err(Error::invalid(id, ValidationErrorKind::NoDomain));
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

/// Returns the allotments, keeping the slot counts of `old`.
fn allotments(
    id: &ObjectId,
    burst: Tokens,
    domains: &[DomainParts],
    domain_slots: &DomainSlots,
    old: &[Allotment],
) -> Result<Vec<Allotment>> {
    let mut errors = Vec::new();
    let mut allotments = Vec::new();
    for (domain, parts) in requested_parts(id, domains, domain_slots)? {
        let Some(slots) = domain_slots.get(&domain) else {
            let name = domain.as_str().parse();
            let name = name.map_err(|e: limpetsaddle_core::Error| Error::invalid(id, e))?;
            errors.push(ValidationError {
                subject: id.to_string(),
                kind: ValidationErrorKind::UnresolvedReference(editor::id(Kind::Domain, name)),
            });
            continue;
        };
        let kept = old
            .iter()
            .find(|a| a.domain == domain)
            .map(|a| a.slot_count);
        allotments.push(Allotment {
            slot_count: kept.unwrap_or_else(|| slot_count(burst, parts, *slots)),
            domain,
            parts,
        });
    }
    if errors.is_empty() {
        return Ok(allotments);
    }
    Err(Error::Invalid(errors))
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
    let domain_slots = load_domain_slots(platform).await?;
    let burst = change.burst.unwrap_or_default();
    let spec = TeamSpec {
        rate: change.rate.unwrap_or_default(),
        burst,
        weight: change.weight.unwrap_or_default(),
        models: change.models,
        allotments: allotments(&id, burst, &change.domains, &domain_slots, &[])?,
        keys: Vec::new(),
    };
    let written = add(platform, &id, revision, spec, timeout).await?;
    Ok(Report::Written(vec![written]))
}

/// Creates a team whose object is absent or retired at `revision`.
///
/// Waits until the retirement is in force first: an instance that still has the
/// retired team would issue tokens in addition to those of the new team.
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
        status::wait_until_in_force(platform, revision, timeout).await?;
    }
    editor::write(platform, id, revision, Some(&spec)).await
}

pub(super) async fn show(platform: &Platform, team: &TeamName) -> Result<Report> {
    let object = editor::get_existing(platform, &id(team)?).await?;
    Ok(Report::Objects(vec![object]))
}

pub(super) async fn set(
    platform: &Platform,
    team: &TeamName,
    change: TeamChange,
    timeout: Duration,
) -> Result<Report> {
    let id = id(team)?;
    let object = editor::get_existing(platform, &id).await?;
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
        let domain_slots = load_domain_slots(platform).await?;
        new.allotments = allotments(
            &id,
            new.burst,
            &change.domains,
            &domain_slots,
            &old.allotments,
        )?;
    }
    replace(platform, &id, object.revision, old, new, timeout)
        .await
        .map(|change| Report::Written(vec![change]))
}

/// Replaces a team such that no portion of a limit is allotted twice at any time.
///
/// Reduced allotments are written first. Other allotments are raised only after
/// the reduction is in force at every instance.
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
    let lowered = lowered_allotments(&old.allotments, &new.allotments);
    let raises = new.allotments != lowered;
    let mut expected = revision;
    if lowered != old.allotments && raises {
        let mut first = old.clone();
        first.allotments = lowered;
        let change = editor::write(platform, id, expected, Some(&Spec::Team(first))).await?;
        expected = change.revision;
        let wait_result = status::wait_until_in_force(platform, expected, timeout).await;
        wait_result.map_err(|cause| Error::PartiallyApplied {
            id: id.clone(),
            cause: Box::new(cause),
        })?;
    }
    editor::write(platform, id, expected, Some(&Spec::Team(new))).await
}

/// Returns the keys of `old` and those that `new` adds.
///
/// Withdrawn keys stay withdrawn and no key is removed, so that applying an
/// older copy of the team cannot reactivate or delete a key.
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

/// Returns, for each failure domain, the smaller of its old and new allotment.
///
/// An allotment whose slot count changes is removed: the old and the new slots
/// together would issue more tokens than allotted.
fn lowered_allotments(old: &[Allotment], new: &[Allotment]) -> Vec<Allotment> {
    let smaller = old.iter().filter_map(|old| {
        let same = |a: &&Allotment| a.domain == old.domain && a.slot_count == old.slot_count;
        let new = new.iter().find(same)?;
        let mut allotment = old.clone();
        allotment.parts = old.parts.min(new.parts);
        Some(allotment)
    });
    smaller.collect()
}
