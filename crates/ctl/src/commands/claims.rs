//! Inspection and release of the claims of non-idempotent requests.

use limpetsaddle_core::claims::Claim;
use limpetsaddle_core::claims::ClaimName;
use limpetsaddle_core::claims::ClaimOptions;
use limpetsaddle_core::claims::ClaimState;
use limpetsaddle_core::claims::ClaimWrite;
use limpetsaddle_core::claims::ClaimWriteResult;
use limpetsaddle_core::claims::VersionedClaim;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::Revision;
use limpetsaddle_platform::Collection;
use limpetsaddle_platform::Platform;

use crate::error::Error;
use crate::error::Result;
use crate::report::ClaimReport;
use crate::report::Report;

/// The maximum number of attempts to write a release, including attempts whose
/// response was lost.
const MAX_WRITE_ATTEMPTS: u32 = 4;

async fn get_claim(platform: &Platform, team: &TeamName, key: &str) -> Result<VersionedClaim> {
    let name = ClaimName::new(team, key);
    let record = platform
        .get_record(Collection::Claims, &name.into())
        .await?;
    let record = record.ok_or_else(|| Error::ClaimNotFound { team: team.clone() })?;
    Ok(VersionedClaim {
        revision: record.revision,
        claim: record.value,
    })
}

fn report(revision: Revision, claim: Claim) -> Report {
    Report::Claim(ClaimReport { revision, claim })
}

pub(super) async fn show(platform: &Platform, team: &TeamName, key: &str) -> Result<Report> {
    let VersionedClaim { revision, claim } = get_claim(platform, team, key).await?;
    Ok(report(revision, claim))
}

/// Records that the request of an in-flight claim has not run.
///
/// The operator must have verified this, because a later request with the same
/// idempotency key is then sent.
pub(super) async fn release(platform: &Platform, team: &TeamName, key: &str) -> Result<Report> {
    let VersionedClaim { revision, claim } = get_claim(platform, team, key).await?;
    if claim.state != ClaimState::InFlight {
        return Err(Error::ClaimNotInFlight { revision });
    }
    let write = ClaimWrite {
        name: ClaimName::new(team, key),
        expected: revision,
        claim: Claim {
            state: ClaimState::NotRun,
            ..claim
        },
        time_to_live: Some(ClaimOptions::default().not_run_time_to_live),
    };
    let mut outcome_unknown = false;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match platform.write_claim(&write).await {
            ClaimWriteResult::Written(revision) => return Ok(report(revision, write.claim)),
            ClaimWriteResult::Conflict(Some(current))
                if outcome_unknown && current.claim == write.claim =>
            {
                return Ok(report(current.revision, current.claim));
            }
            ClaimWriteResult::Conflict(current) => {
                let revision = current.map_or(Revision::ABSENT, |c| c.revision);
                return Err(Error::ClaimNotInFlight { revision });
            }
            ClaimWriteResult::Unreadable(revision) => {
                return Err(Error::ClaimNotInFlight { revision });
            }
            ClaimWriteResult::Rejected { retry_after } if !outcome_unknown => {
                return Err(limpetsaddle_platform::Error::Unavailable { retry_after }.into());
            }
            ClaimWriteResult::Rejected { .. } => {}
            ClaimWriteResult::Unknown => outcome_unknown = true,
        }
    }
    Err(limpetsaddle_platform::Error::OutcomeUnknown.into())
}
