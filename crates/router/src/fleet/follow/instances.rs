//! Following the registrations of instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Age;
use limpetsaddle_platform_wire::store::Call;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::Written;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use super::Follower;
use super::Pace;
use super::QUIET_GATHERING;
use super::QUIET_WAIT;
use super::RECHECK;
use super::pause;
use crate::fleet::instance::FleetInstance;
use crate::shutdown::Stopping;

/// What an instance writes of itself.
#[derive(Deserialize, Serialize)]
struct InstanceRecord {
    address: SocketAddr,
}

/// The pause after a registration was written. Lists may be seconds old and not
/// show it before.
const SETTLING: Duration = Duration::from_secs(4);

/// The longest pause after a registration was refused. All instances of a large
/// fleet write theirs at the same time.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// The registrations that an instance has read.
type Registrations = RefCell<Option<HashMap<String, (u64, InstanceRecord)>>>;

/// An `InstanceFollower` knows the instances and keeps this one registered.
pub struct InstanceFollower {
    instance: Rc<FleetInstance>,
    held: Rc<Registrations>,
}

impl InstanceFollower {
    /// Starts the task that keeps this instance registered, and returns a
    /// follower that knows no instance.
    pub fn start(instance: Rc<FleetInstance>, stopping: &Stopping) -> Self {
        let held: Rc<Registrations> = Rc::default();
        let kept = keep_registered(Rc::clone(&instance), Rc::clone(&held), stopping.clone());
        monoio::spawn(kept);
        Self { instance, held }
    }

    fn take(&self, object: Object) {
        let spec = object.spec.as_ref();
        let record = spec.and_then(|spec| serde_json::from_str(spec.get()).ok());
        let Some(record) = record else {
            warn!(name = object.name.as_str(); "registration not usable");
            return;
        };
        let mut held = self.held.borrow_mut();
        let held = held.get_or_insert_default();
        held.insert(object.name, (object.revision, record));
    }

    fn publish(&self) {
        let held = self.held.borrow();
        let Some(held) = held.as_ref() else {
            return;
        };
        let all = held.iter().map(|(name, (_, record))| Registration {
            name: name.as_str().into(),
            address: record.address,
        });
        let now = self.instance.now();
        let mut peers = self.instance.peers.borrow_mut();
        peers.set_registrations(all.collect(), now);
        for name in peers.expired(now) {
            if let Some((revision, _)) = held.get(&**name) {
                let name = Name::clone(name);
                monoio::spawn(forget(Rc::clone(&self.instance), name, *revision));
            }
        }
    }
}

impl Follower for InstanceFollower {
    const KIND: &'static str = wire::store::INSTANCES;

    fn pace(&self) -> Pace {
        Pace {
            wait: QUIET_WAIT,
            gathering: QUIET_GATHERING,
            // Writes are conditional, so that an old answer does no harm.
            age: Age::Seconds,
        }
    }

    fn listed(&self, objects: Vec<Object>) {
        self.held.replace(Some(HashMap::new()));
        for object in objects {
            self.take(object);
        }
        self.publish();
    }

    fn changed(&self, change: Change) {
        if change.removed {
            if let Some(held) = self.held.borrow_mut().as_mut() {
                held.remove(&change.object.name);
            }
        } else {
            self.take(change.object);
        }
        self.publish();
    }
}

fn beacon_address(instance: &FleetInstance) -> SocketAddr {
    (instance.settings.ip, instance.settings.heartbeat_port).into()
}

/// Writes this instance's registration whenever it is missing, one call at a
/// time.
async fn keep_registered(instance: Rc<FleetInstance>, held: Rc<Registrations>, stopping: Stopping) {
    let mut failures = 0;
    let mut wait = RECHECK;
    while stopping.pause(wait).await {
        wait = RECHECK;
        let own = held.borrow().as_ref().map(|held| {
            let own = held.get(&*instance.settings.name);
            own.map(|(revision, record)| (*revision, record.address))
        });
        // Nothing is written before the first list.
        let Some(own) = own else {
            continue;
        };
        if own.is_some_and(|(_, address)| address == beacon_address(&instance)) {
            continue;
        }
        if register(&instance, own.map(|(revision, _)| revision)).await {
            failures = 0;
            wait = SETTLING;
        } else {
            failures += 1;
            wait = pause(LONGEST_PAUSE, failures, instance.random.draw());
        }
    }
}

/// Writes this instance's registration, and returns whether it is in place.
async fn register(instance: &FleetInstance, revision: Option<u64>) -> bool {
    let record = InstanceRecord {
        address: beacon_address(instance),
    };
    let name = &instance.settings.name;
    let kind = wire::store::INSTANCES;
    match instance.store.put(kind, name, revision, &record).await {
        Ok(Written::Done(object)) => {
            info!(name:display, revision = object.revision; "registered");
            true
        }
        // The list was older than the registration.
        Ok(Written::Conflict(Some(object))) if address_of(&object) == Some(record.address) => {
            info!(name:display, revision = object.revision; "registered before");
            true
        }
        Ok(Written::Conflict(_) | Written::Missing) => {
            warn!(name:display; "registration failed: another one was read");
            false
        }
        Err(error) => {
            warn!(name:display, error:display; "registration failed");
            false
        }
    }
}

fn address_of(object: &Object) -> Option<SocketAddr> {
    let record: InstanceRecord = serde_json::from_str(object.spec.as_ref()?.get()).ok()?;
    Some(record.address)
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
