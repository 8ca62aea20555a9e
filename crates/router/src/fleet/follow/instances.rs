//! Following the registrations of instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Age;
use limpetsaddle_platform_wire::store::Call;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use super::Follower;
use super::Pace;
use super::QUIET_GATHERING;
use super::QUIET_WAIT;
use super::conditional;
use crate::fleet::call::CallError;
use crate::fleet::instance::FleetInstance;

/// What an instance writes of itself.
#[derive(Deserialize, Serialize)]
struct InstanceRecord {
    address: SocketAddr,
}

/// An `InstanceFollower` knows the instances and keeps this one registered.
pub struct InstanceFollower {
    instance: Rc<FleetInstance>,
    held: RefCell<HashMap<String, (u64, InstanceRecord)>>,
}

impl InstanceFollower {
    /// Returns a follower that knows no instance.
    pub fn new(instance: Rc<FleetInstance>) -> Self {
        Self {
            instance,
            held: RefCell::default(),
        }
    }

    fn take(&self, object: Object) {
        let spec = object.spec.as_ref();
        let record = spec.and_then(|spec| serde_json::from_str(spec.get()).ok());
        let Some(record) = record else {
            warn!(name = object.name.as_str(); "registration not usable");
            return;
        };
        self.held
            .borrow_mut()
            .insert(object.name, (object.revision, record));
    }

    fn publish(&self) {
        let held = self.held.borrow();
        let all = held.iter().map(|(name, (_, record))| Registration {
            name: name.as_str().into(),
            address: record.address,
        });
        let now = self.instance.now();
        self.instance
            .peers
            .borrow_mut()
            .register(all.collect(), now);
        let own = held.get(&*self.instance.settings.name);
        let revision = own.map(|(revision, _)| *revision);
        let current = own.is_some_and(|(_, r)| r.address == beacon_address(&self.instance));
        if !current {
            monoio::spawn(register(Rc::clone(&self.instance), revision));
        }
        for name in self.instance.peers.borrow().forgotten(now) {
            if let Some((revision, _)) = held.get(&**name) {
                let name = Name::clone(name);
                monoio::spawn(forget(Rc::clone(&self.instance), name, *revision));
            }
        }
    }
}

impl Follower for InstanceFollower {
    const KIND: &'static str = wire::store::INSTANCES;

    // Writes are conditional, so that an old answer does no harm.
    const AGE: Age = Age::Seconds;

    fn pace(&self) -> Pace {
        Pace {
            wait: QUIET_WAIT,
            gathering: QUIET_GATHERING,
        }
    }

    fn listed(&self, objects: Vec<Object>) {
        self.held.borrow_mut().clear();
        for object in objects {
            self.take(object);
        }
        self.publish();
    }

    fn changed(&self, change: Change) {
        if change.removed {
            self.held.borrow_mut().remove(&change.object.name);
        } else {
            self.take(change.object);
        }
        self.publish();
    }
}

fn beacon_address(instance: &FleetInstance) -> SocketAddr {
    (instance.settings.ip, instance.settings.beacon_port).into()
}

/// Writes this instance's registration.
async fn register(instance: Rc<FleetInstance>, revision: Option<u64>) {
    let record = InstanceRecord {
        address: beacon_address(&instance),
    };
    let name = Name::clone(&instance.settings.name);
    let kind = wire::store::INSTANCES;
    let outcome = match serde_json::value::to_raw_value(&record) {
        Ok(spec) => {
            let call = conditional(kind, &name, revision, &spec);
            instance
                .store
                .write(&call)
                .await
                .map(|written| format!("{written:?}"))
        }
        Err(error) => Err(CallError::Wire(error.into())),
    };
    match outcome {
        Ok(_) => info!(name:display; "registered"),
        // The next list shows that the registration is missing.
        Err(error) => warn!(name:display, error:display; "registration failed"),
    }
}

/// Removes the registration of an instance that has been silent for long.
async fn forget(instance: Rc<FleetInstance>, name: Name, revision: u64) {
    let call = Call::Remove {
        kind: wire::store::INSTANCES,
        name: &name,
        revision,
    };
    match instance.store.write(&call).await {
        Ok(_) => info!(name:display, revision; "registration of a silent instance removed"),
        Err(error) => warn!(name:display, error:display; "registration not removed"),
    }
}
