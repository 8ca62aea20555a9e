//! The platform's side of claims and leases.

use limpetsaddle_core::claims::Claim;
use limpetsaddle_core::claims::ClaimWrite;
use limpetsaddle_core::claims::VersionedClaim;
use limpetsaddle_core::claims::WriteAnswer;
use limpetsaddle_core::names::ObjectName;
use limpetsaddle_core::orders::LeaseAnswer;
use limpetsaddle_core::orders::LeaseRecord;
use limpetsaddle_core::orders::LeaseWrite;
use limpetsaddle_core::orders::VersionedLease;

use crate::client::Platform;
use crate::error::Result;
use crate::records::Collection;
use crate::records::Record;
use crate::records::RecordName;
use crate::records::RecordPut;

impl Platform {
    /// Carries out the write of a claim and returns what became of it.
    pub async fn write_claim(&self, write: &ClaimWrite) -> WriteAnswer {
        let name = RecordName::from(write.name);
        let claim = &write.claim;
        let ttl = write.time_to_live;
        let put = self.put_record(Collection::Claims, &name, write.expected, claim, ttl);
        match put.await {
            Ok(RecordPut::Written(revision)) => WriteAnswer::Written(revision),
            Ok(RecordPut::Conflict(current)) => WriteAnswer::Conflict(current.map(claim_of)),
            Err(e) if e.has_no_effect() => WriteAnswer::Rejected {
                retry_after: e.retry_after(),
            },
            Err(_) => WriteAnswer::Unknown,
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
    pub async fn write_lease(&self, name: &ObjectName, write: &LeaseWrite) -> LeaseAnswer {
        let name = RecordName::from(name);
        let record = &write.record;
        let put = self.put_record(Collection::Leases, &name, write.expected, record, None);
        match put.await {
            Ok(RecordPut::Written(revision)) => LeaseAnswer::Written(revision),
            Ok(RecordPut::Conflict(current)) => LeaseAnswer::Conflict(current.map(lease_of)),
            Err(_) => LeaseAnswer::Failed,
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
