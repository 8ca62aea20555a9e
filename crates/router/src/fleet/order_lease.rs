//! The lease of the instance that gives orders to engines and writes the outcome of rollouts.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::lease::LeaseWrite;
use limpetsaddle_fleet::lease::LeaseWriteResult;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::WriteResult;
use log::info;
use log::warn;

use super::instance::FleetInstance;
use super::watch::LEASE_NAME;
use super::watch::decode_lease;

/// The timeout for reports and orders.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the fencing number if the timeout of an order that is sent now ends
/// within this instance's lease.
pub fn fencing(instance: &FleetInstance) -> Option<u64> {
    let now = instance.now();
    let (fencing, until) = instance.lease.borrow().active_fencing(now)?;
    (until.since(now) > ORDER_TIMEOUT).then_some(fencing)
}

/// Writes the record of the lease.
pub async fn write(instance: Rc<FleetInstance>, write: LeaseWrite) {
    let kind = wire::store::COORDINATION;
    let call = instance
        .store
        .put(kind, LEASE_NAME, write.expected, &write.record);
    let result = call.await;
    let now = instance.now();
    let fencing = write.record.fencing;
    let released = write.record.released;
    instance.observe_lease_era();
    let mut lease = instance.lease.borrow_mut();
    match result {
        Ok(WriteResult::Applied(object)) => {
            let revision = object.revision;
            if write.record.renewals == 0 || released || lease.active_fencing(now).is_none() {
                info!(fencing, revision, released; "lease written");
            }
            lease.complete_write(LeaseWriteResult::Written(revision), now);
        }
        Ok(WriteResult::Conflict(stored)) => {
            lease.complete_write(LeaseWriteResult::Conflict, now);
            if let Some(stored) = stored {
                match decode_lease(&stored) {
                    Ok(record) => lease.observe(Some((stored.revision, record)), now),
                    Err(_) => lease.observe_unreadable(stored.revision, now),
                }
            }
            info!(fencing; "lease lost to a concurrent write");
        }
        Ok(WriteResult::NotFound) => lease.complete_write(LeaseWriteResult::Missing, now),
        Err(error) => {
            warn!(fencing, error:display; "cannot write lease");
            lease.complete_write(LeaseWriteResult::Unknown, now);
        }
    }
}
