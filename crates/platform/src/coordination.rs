//! The platform's side of claims and leases.

use limpetsaddle_core::claims::AttemptEnd;
use limpetsaddle_core::claims::Claim;
use limpetsaddle_core::claims::ClaimOptions;
use limpetsaddle_core::claims::ClaimRequest;
use limpetsaddle_core::claims::ClaimStep;
use limpetsaddle_core::claims::ClaimWrite;
use limpetsaddle_core::claims::ClaimWriteResult;
use limpetsaddle_core::claims::HeldClaim;
use limpetsaddle_core::claims::PendingClaim;
use limpetsaddle_core::claims::SettleStep;
use limpetsaddle_core::claims::Settlement;
use limpetsaddle_core::claims::VersionedClaim;
use limpetsaddle_core::names::ObjectName;
use limpetsaddle_core::orders::LeaseRecord;
use limpetsaddle_core::orders::LeaseWrite;
use limpetsaddle_core::orders::LeaseWriteResult;
use limpetsaddle_core::orders::VersionedLease;
use limpetsaddle_core::units::Time;

use crate::client::Platform;
use crate::error::Result;
use crate::records::Collection;
use crate::records::Record;
use crate::records::RecordName;
use crate::records::RecordPut;

/// A `ClaimResult` is what the attempt to obtain a claim came to.
#[derive(Debug)]
pub enum ClaimResult {
    /// The claim is held: the request may be sent once.
    Held(HeldClaim),
    /// The attempt has ended without sending.
    Finished(AttemptEnd),
}

impl Platform {
    /// Obtains the claim of a request, resolving lost answers.
    ///
    /// `clock` gives the instance's monotonic time.
    pub async fn claim(
        &self,
        request: ClaimRequest,
        options: ClaimOptions,
        clock: impl Fn() -> Time,
    ) -> ClaimResult {
        let (mut claiming, mut write) = PendingClaim::start(request, options, clock());
        loop {
            let answer = self.write_claim(&write).await;
            let lost = answer == ClaimWriteResult::Unknown;
            match claiming.on_write(answer, clock()) {
                ClaimStep::Write(next, next_write) => (claiming, write) = (next, next_write),
                ClaimStep::Send(held) => return ClaimResult::Held(held),
                ClaimStep::Finish(finish) => return ClaimResult::Finished(finish),
            }
            if lost {
                monoio::time::sleep(self.options().confirm_pause).await;
            }
        }
    }

    /// Records the end of an attempt and returns whether it was recorded.
    ///
    /// This outlasts outages of the platform, so it belongs in a task of its own.
    pub async fn settle(&self, settlement: Box<Settlement>, clock: impl Fn() -> Time) -> bool {
        let mut settlement = settlement;
        loop {
            let answer = self.write_claim(&settlement.write()).await;
            match settlement.on_write(answer, clock()) {
                SettleStep::Settled => return true,
                SettleStep::GaveUp => return false,
                SettleStep::Retry(next, pause) => {
                    settlement = next;
                    monoio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Carries out the write of a claim and returns what became of it.
    pub async fn write_claim(&self, write: &ClaimWrite) -> ClaimWriteResult {
        let name = RecordName::from(write.name);
        let claim = &write.claim;
        let ttl = write.time_to_live;
        let put = self.put_record(Collection::Claims, &name, write.expected, claim, ttl);
        match put.await {
            Ok(RecordPut::Written(revision)) => ClaimWriteResult::Written(revision),
            Ok(RecordPut::Conflict(current)) => ClaimWriteResult::Conflict(current.map(claim_of)),
            Err(e) if e.has_no_effect() => ClaimWriteResult::Rejected {
                retry_after: e.retry_after(),
            },
            Err(_) => ClaimWriteResult::Unknown,
        }
    }

    /// Returns the lease `name`, or `None` when nobody has held it yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no valid answer.
    pub async fn read_lease(&self, name: &ObjectName) -> Result<Option<VersionedLease>> {
        let record = self.get_record(Collection::Leases, &name.into()).await?;
        Ok(record.map(lease_of))
    }

    /// Carries out the write of the lease `name` and returns what became of it.
    pub async fn write_lease(&self, name: &ObjectName, write: &LeaseWrite) -> LeaseWriteResult {
        let name = RecordName::from(name);
        let record = &write.record;
        let put = self.put_record(Collection::Leases, &name, write.expected, record, None);
        match put.await {
            Ok(RecordPut::Written(revision)) => LeaseWriteResult::Written(revision),
            Ok(RecordPut::Conflict(current)) => LeaseWriteResult::Conflict(current.map(lease_of)),
            Err(_) => LeaseWriteResult::Failed,
        }
    }
}

fn claim_of(record: Record<Claim>) -> VersionedClaim {
    VersionedClaim {
        revision: record.revision,
        claim: record.value,
    }
}

fn lease_of(record: Record<LeaseRecord>) -> VersionedLease {
    VersionedLease {
        revision: record.revision,
        record: record.value,
    }
}
