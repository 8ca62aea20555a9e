//! Claims and leases stored at the platform.

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

/// The result of trying to obtain a claim.
#[derive(Debug)]
pub enum ClaimResult {
    /// The claim is held; the request may be sent once.
    Held(HeldClaim),
    /// The attempt ended; the request must not be sent.
    Finished(AttemptEnd),
}

impl Platform {
    /// Obtains the claim of a request, and repeats writes whose response was lost.
    ///
    /// `clock` returns the instance's monotonic time.
    pub async fn claim(
        &self,
        request: ClaimRequest,
        options: ClaimOptions,
        clock: impl Fn() -> Time,
    ) -> ClaimResult {
        let (mut pending, mut write) = PendingClaim::start(request, options, clock());
        loop {
            let result = self.write_claim(&write).await;
            let response_lost = result == ClaimWriteResult::Unknown;
            match pending.on_write(result, clock()) {
                ClaimStep::Write(next, retry) => (pending, write) = (next, retry),
                ClaimStep::Send(held) => return ClaimResult::Held(held),
                ClaimStep::Finish(end) => return ClaimResult::Finished(end),
            }
            if response_lost {
                monoio::time::sleep(self.options().confirm_retry_delay).await;
            }
        }
    }

    /// Records the end of an attempt and returns whether it was recorded.
    ///
    /// Retries during outages of the platform, so it should run in its own task.
    pub async fn settle(&self, settlement: Box<Settlement>, clock: impl Fn() -> Time) -> bool {
        let mut settlement = settlement;
        loop {
            let result = self.write_claim(&settlement.write()).await;
            match settlement.on_write(result, clock()) {
                SettleStep::Settled => return true,
                SettleStep::GaveUp => return false,
                SettleStep::Retry(next, pause) => {
                    settlement = next;
                    monoio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Writes a claim and returns the result.
    pub async fn write_claim(&self, write: &ClaimWrite) -> ClaimWriteResult {
        let name = RecordName::from(write.name);
        let claim = &write.claim;
        let ttl = write.time_to_live;
        let put = self.put_record(Collection::Claims, &name, write.expected, claim, ttl);
        match put.await {
            Ok(RecordPut::Written(revision)) => ClaimWriteResult::Written(revision),
            Ok(RecordPut::Conflict(current)) => {
                ClaimWriteResult::Conflict(current.map(to_versioned_claim))
            }
            Ok(RecordPut::Unreadable(revision)) => ClaimWriteResult::Unreadable(revision),
            Err(e) if e.has_no_effect() => ClaimWriteResult::Rejected {
                retry_after: e.retry_after(),
            },
            Err(_) => ClaimWriteResult::Unknown,
        }
    }

    /// Returns the lease `name`, or `None` when it has never been held.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnreadableRecord`](crate::Error::UnreadableRecord) for a record that
    /// cannot be decoded, and another error when the call fails or its response is invalid.
    pub async fn read_lease(&self, name: &ObjectName) -> Result<Option<VersionedLease>> {
        let record = self.get_record(Collection::Leases, &name.into()).await?;
        Ok(record.map(to_versioned_lease))
    }

    /// Writes the lease `name` and returns the result.
    pub async fn write_lease(&self, name: &ObjectName, write: &LeaseWrite) -> LeaseWriteResult {
        let name = RecordName::from(name);
        let record = &write.record;
        let put = self.put_record(Collection::Leases, &name, write.expected, record, None);
        match put.await {
            Ok(RecordPut::Written(revision)) => LeaseWriteResult::Written(revision),
            Ok(RecordPut::Conflict(current)) => {
                LeaseWriteResult::Conflict(current.map(to_versioned_lease))
            }
            Ok(RecordPut::Unreadable(revision)) => LeaseWriteResult::Unreadable(revision),
            Err(_) => LeaseWriteResult::Failed,
        }
    }
}

fn to_versioned_claim(record: Record<Claim>) -> VersionedClaim {
    VersionedClaim {
        revision: record.revision,
        claim: record.value,
    }
}

fn to_versioned_lease(record: Record<LeaseRecord>) -> VersionedLease {
    VersionedLease {
        revision: record.revision,
        record: record.value,
    }
}
