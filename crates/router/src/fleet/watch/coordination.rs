//! The watch on the records that all instances share: the lease of the one that gives orders
//! to engines, and the parts of prompts that are withheld.

use std::rc::Rc;

use limpetsaddle_fleet::lease::LeaseRecord;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Consistency;
use limpetsaddle_platform_wire::store::Object;
use log::info;

use super::DEBOUNCE;
use super::LONG_DEBOUNCE;
use super::LONG_WATCH_WAIT;
use super::WatchOptions;
use super::Watcher;
use crate::fleet::instance::FleetInstance;
use crate::fleet::quarantine;
use crate::fleet::quarantine::QUARANTINE_NAME;
use crate::fleet::unusable;

/// The number of instances that watch the lease closely, to take it over.
const STANDBY_INSTANCES: u32 = 8;

/// The name of the only lease record.
pub const LEASE_NAME: &str = "weights";

/// Tracks the holder of the lease and the withheld parts.
pub struct CoordinationWatcher(pub Rc<FleetInstance>);

impl CoordinationWatcher {
    fn apply(&self, object: &Object) {
        match object.name.as_str() {
            LEASE_NAME => self.apply_lease(object),
            QUARANTINE_NAME => quarantine::apply(&self.0, object, false),
            // Records of later versions of this program, or of other writers.
            _ => unusable::record_if_malformed(&self.0, Self::KIND, object),
        }
    }

    fn apply_lease(&self, object: &Object) {
        match decode_lease(object) {
            Ok(record) => {
                let now = self.0.now();
                self.0.observe_lease_era();
                let mut lease = self.0.lease.borrow_mut();
                if lease.holder() != Some(&record.holder) {
                    let holder = &record.holder;
                    let fencing = record.fencing;
                    info!(holder:display, fencing, revision = object.revision; "lease holder changed");
                }
                lease.observe(Some((object.revision, record)), now);
            }
            Err(error) => {
                let message = "invalid lease record";
                unusable::record(&self.0, Self::KIND, object, &error, message);
                let now = self.0.now();
                self.0.observe_lease_era();
                let mut lease = self.0.lease.borrow_mut();
                lease.observe_unreadable(object.revision, now);
            }
        }
    }
}

/// Decodes a lease record.
///
/// # Errors
///
/// Fails when the content is missing or not a lease record, or has numbers that no instance
/// writes.
pub fn decode_lease(object: &Object) -> wire::Result<LeaseRecord> {
    let record: LeaseRecord = serde_json::from_str(object.content()?.get())?;
    if record.is_in_range() {
        return Ok(record);
    }
    Err(wire::Error::Object {
        name: object.name.clone(),
        reason: "a number is beyond its range",
    })
}

impl Watcher for CoordinationWatcher {
    const KIND: &'static str = wire::store::COORDINATION;

    fn watch_options(&self) -> WatchOptions {
        // Only the instances of the lowest ranks take the lease over.
        let now = self.0.now();
        let is_standby = self.0.peers.borrow().rank(now) < STANDBY_INSTANCES;
        WatchOptions {
            wait: LONG_WATCH_WAIT,
            debounce: if is_standby {
                DEBOUNCE
            } else {
                LONG_DEBOUNCE * 2
            },
            // Writes are conditional, so a stale read does no harm.
            consistency: Consistency::Stale,
        }
    }

    fn replace_all(&self, objects: Vec<Object>) {
        self.0.observe_lease_era();
        self.0.lease.borrow_mut().observe(None, self.0.now());
        quarantine::begin_list(&self.0);
        for object in &objects {
            self.apply(object);
        }
    }

    fn apply_change(&self, change: Change) {
        match change.object.name.as_str() {
            _ if !change.removed => self.apply(&change.object),
            LEASE_NAME => self.0.lease.borrow_mut().observe_removal(),
            QUARANTINE_NAME => quarantine::apply(&self.0, &change.object, true),
            _ => {}
        }
    }
}
