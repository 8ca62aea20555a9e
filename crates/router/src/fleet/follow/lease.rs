//! Following the record of the instance that gives orders.

use std::rc::Rc;

use limpetsaddle_fleet::tenure::TenureRecord;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Age;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use log::info;
use log::warn;

use super::Follower;
use super::GATHERING;
use super::Pace;
use super::QUIET_GATHERING;
use super::QUIET_WAIT;
use crate::fleet::instance::FleetInstance;

/// The instances that follow the tenure closely, to take it over.
const HEIRS: u32 = 8;

/// The name of the one record of tenure.
pub const TENURE_NAME: &str = "weights";

/// A `TenureFollower` follows who gives orders to engines.
pub struct TenureFollower(pub Rc<FleetInstance>);

impl TenureFollower {
    fn take(&self, object: &Object) {
        if object.name != TENURE_NAME {
            return;
        }
        match read_tenure(object) {
            Ok(record) => {
                let now = self.0.now();
                let mut tenure = self.0.tenure.borrow_mut();
                if tenure.holder() != Some(&record.holder) {
                    let holder = &record.holder;
                    let fencing = record.fencing;
                    info!(holder:display, fencing, revision = object.revision; "holder changed");
                }
                tenure.observe(Some((object.revision, record)), now);
            }
            Err(error) => warn!(error:display; "tenure record not usable"),
        }
    }
}

/// Reads the record of the instance that gives orders.
pub fn read_tenure(object: &Object) -> Result<TenureRecord, serde_json::Error> {
    let text = object.spec.as_ref().map_or("null", |spec| spec.get());
    serde_json::from_str(text)
}

impl Follower for TenureFollower {
    const KIND: &'static str = wire::store::TENURES;

    fn pace(&self) -> Pace {
        // The first in rank take over; the others only follow.
        let now = self.0.now();
        let heir = self.0.peers.borrow().rank(now) < HEIRS;
        Pace {
            wait: QUIET_WAIT,
            gathering: if heir { GATHERING } else { QUIET_GATHERING * 2 },
            // Writes are conditional, so that an old answer does no harm.
            age: Age::Seconds,
        }
    }

    fn listed(&self, objects: Vec<Object>) {
        self.0.tenure.borrow_mut().observe(None, self.0.now());
        for object in &objects {
            self.take(object);
        }
    }

    fn changed(&self, change: Change) {
        if !change.removed {
            self.take(&change.object);
        }
    }
}
