//! Reports of commands, as text or as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::io::Write;
use std::sync::Arc;

use limpetsaddle_core::claims::Claim;
use limpetsaddle_core::claims::ClaimState;
use limpetsaddle_core::config::KeyRecord;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::ObjectId;
use limpetsaddle_core::config::PresetsSpec;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::config::TeamSpec;
use limpetsaddle_core::names::KeyId;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::Revision;
use limpetsaddle_platform::InstanceStatus;
use limpetsaddle_platform::InvalidEntry;
use serde::Serialize;

use crate::error::Result;

/// The result of a command.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Report {
    /// Objects that were written.
    Written(Vec<Change>),
    /// Objects that were requested.
    Objects(Vec<Object>),
    /// A key that was issued.
    Key(KeyReport),
    /// The keys of a team.
    Keys(Vec<KeyRecord>),
    /// The claim of an idempotency key.
    Claim(ClaimReport),
    /// The presets.
    Presets(Arc<PresetsSpec>),
    /// The number of objects in a valid file.
    Valid(usize),
    /// The status of the instances.
    Status(StatusReport),
    /// A revision that is in force at every instance.
    InForce(Revision),
}

/// An object after a command.
#[derive(Serialize)]
pub(crate) struct Change {
    /// The object.
    pub(crate) id: ObjectId,
    /// Its revision.
    pub(crate) revision: Revision,
    /// Whether the command has written it.
    pub(crate) changed: bool,
}

/// A new key; it cannot be shown again.
#[derive(Serialize)]
pub(crate) struct KeyReport {
    /// The team.
    pub(crate) team: TeamName,
    /// The public identifier.
    pub(crate) id: KeyId,
    /// The key, including its secret.
    pub(crate) key: String,
    /// The revision from which it is valid.
    pub(crate) revision: Revision,
}

/// The claim of an idempotency key.
#[derive(Serialize)]
pub(crate) struct ClaimReport {
    /// The revision of the claim's record.
    pub(crate) revision: Revision,
    /// The claim.
    pub(crate) claim: Claim,
}

/// The status of each instance and the sum of their refusals.
#[derive(Serialize)]
pub(crate) struct StatusReport {
    /// The instances.
    pub(crate) instances: Vec<InstanceStatus>,
    /// The number of refusals of all instances, by reason.
    pub(crate) refusals: BTreeMap<Arc<str>, u64>,
    /// The records of which no status can be read.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) invalid: Vec<InvalidEntry>,
}

impl Report {
    /// Writes the report as text or, if `json` is set, as one JSON line.
    pub(crate) fn write(&self, json: bool, out: &mut dyn Write) -> Result<()> {
        if json {
            writeln!(out, "{}", serde_json::to_string(self)?)?;
        } else {
            write!(out, "{self}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Written(changes) => changes.iter().try_for_each(|c| fmt_change(f, c)),
            Self::Objects(objects) => objects.iter().try_for_each(|o| fmt_object(f, o)),
            Self::Key(key) => {
                writeln!(f, "{}", key.key)?;
                writeln!(
                    f,
                    "key {} of team {} is valid from revision {}; it is not shown again",
                    key.id, key.team, key.revision
                )
            }
            Self::Keys(keys) => keys.iter().try_for_each(|k| fmt_key(f, k)),
            Self::Claim(report) => fmt_claim(f, report),
            Self::Presets(presets) => fmt_presets(f, presets),
            Self::Valid(count) => writeln!(f, "{count} objects are valid"),
            Self::Status(status) => fmt_status(f, status),
            Self::InForce(revision) => writeln!(f, "revision {revision} is in force everywhere"),
        }
    }
}

fn fmt_change(f: &mut fmt::Formatter<'_>, change: &Change) -> fmt::Result {
    let state = if change.changed { "" } else { " (unchanged)" };
    writeln!(f, "{} at revision {}{state}", change.id, change.revision)
}

fn fmt_key(f: &mut fmt::Formatter<'_>, key: &KeyRecord) -> fmt::Result {
    let state = if key.withdrawn { "withdrawn" } else { "live" };
    writeln!(f, "{}  {state}", key.id)
}

fn fmt_object(f: &mut fmt::Formatter<'_>, object: &Object) -> fmt::Result {
    write!(f, "{}  revision {}  ", object.id, object.revision)?;
    match object.spec.as_deref() {
        None => writeln!(f, "retired"),
        Some(Spec::Team(team)) => fmt_team(f, team),
        Some(Spec::Domain(domain)) => {
            writeln!(f, "region {}, {} slots", domain.region, domain.slots)
        }
        Some(Spec::Route(route)) => {
            writeln!(f, "{} to pool {}", route.path, route.pool)
        }
        Some(Spec::Upstream(upstream)) => writeln!(
            f,
            "{} in {}, pool {}, {:?}",
            upstream.address, upstream.domain, upstream.pool, upstream.phase
        ),
        Some(Spec::Pool(pool)) => writeln!(f, "{:?}", pool.kind),
        Some(Spec::Presets(presets)) => writeln!(f, "{} in force", presets.active.as_str()),
        Some(Spec::Slots(slots)) => writeln!(f, "{} owners", slots.owners.len()),
    }
}

fn fmt_team(f: &mut fmt::Formatter<'_>, team: &TeamSpec) -> fmt::Result {
    let live = team.keys.iter().filter(|k| !k.withdrawn).count();
    writeln!(
        f,
        "rate {} tokens/s, burst {} tokens, weight {}, {live} live keys",
        team.rate.0, team.burst, team.weight
    )?;
    for part in &team.allotments {
        writeln!(
            f,
            "  {}  {} of 1000 over {} slots",
            part.domain, part.parts, part.slot_count
        )?;
    }
    for model in &team.models {
        writeln!(f, "  model {model}")?;
    }
    Ok(())
}

fn fmt_claim(f: &mut fmt::Formatter<'_>, report: &ClaimReport) -> fmt::Result {
    let ClaimReport { revision, claim } = report;
    write!(f, "revision {revision}  ")?;
    match &claim.state {
        ClaimState::InFlight => writeln!(
            f,
            "in flight since attempt {} of incarnation {}",
            claim.attempt.number, claim.attempt.incarnation.0
        ),
        ClaimState::Done(outcome) => writeln!(f, "ran, answered with status {}", outcome.status),
        ClaimState::NotRun => writeln!(f, "not run"),
    }
}

fn fmt_presets(f: &mut fmt::Formatter<'_>, presets: &PresetsSpec) -> fmt::Result {
    for preset in limpetsaddle_core::config::Preset::ALL {
        let state = if preset == presets.active {
            "  in force"
        } else {
            ""
        };
        writeln!(f, "{}{state}", preset.as_str())?;
    }
    writeln!(f, "{:#?}", presets.active_policy())
}

fn fmt_status(f: &mut fmt::Formatter<'_>, status: &StatusReport) -> fmt::Result {
    for instance in &status.instances {
        writeln!(
            f,
            "{}  {}  {:?}  revision {}  preset {}  platform {} ms ago",
            instance.instance,
            instance.domain,
            instance.phase,
            instance.revision,
            instance.preset.as_str(),
            instance.platform_age.as_millis()
        )?;
    }
    for (reason, count) in &status.refusals {
        writeln!(f, "refused {reason}: {count}")?;
    }
    for InvalidEntry { name, reason } in &status.invalid {
        writeln!(f, "unreadable record {name:?}: {reason}")?;
    }
    Ok(())
}
