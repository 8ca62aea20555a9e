//! The watch on the registrations of instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Consistency;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::StoreCall;
use limpetsaddle_platform_wire::store::WriteResult;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use super::LONG_DEBOUNCE;
use super::LONG_WATCH_WAIT;
use super::RECHECK_INTERVAL;
use super::WatchOptions;
use super::Watcher;
use super::backoff;
use super::pause_within_era;
use crate::fleet::instance::FleetInstance;
use crate::fleet::unusable;
use crate::shutdown::Stopping;

/// The stored registration of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct InstanceRecord {
    address: SocketAddr,
    /// The secret by which the instance recognizes requests of others. It outlives restarts.
    #[serde(default)]
    secret: Option<Name>,
}

/// The pause after a registration was written. Stale reads may not show it for
/// some seconds.
const PROPAGATION_TIME: Duration = Duration::from_secs(4);

/// The longest backoff after a registration was rejected. All instances of a
/// large fleet write theirs at the same time.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The registrations by name; `None` before the first list.
type Registrations = RefCell<Option<HashMap<String, StoredRecord>>>;

/// A registration as the store holds it.
#[derive(Clone, Debug)]
struct StoredRecord {
    revision: u64,
    /// The record, unless it cannot be read.
    record: Option<InstanceRecord>,
}

/// Tracks the registered instances and keeps this one registered.
pub struct InstanceWatcher {
    instance: Rc<FleetInstance>,
    registrations: Rc<Registrations>,
}

impl InstanceWatcher {
    /// Starts the task that keeps this instance registered, and returns a
    /// watcher without any registrations.
    pub fn start(instance: Rc<FleetInstance>, stopping: &Stopping) -> Self {
        let registrations: Rc<Registrations> = Rc::default();
        let task = keep_registered(
            Rc::clone(&instance),
            Rc::clone(&registrations),
            stopping.clone(),
        );
        monoio::spawn(task);
        Self {
            instance,
            registrations,
        }
    }

    /// Inserts the registration in an object. One that cannot be read leaves another instance
    /// where it was known to be, and this one's is written again.
    fn insert(&self, object: Object, known: Option<StoredRecord>) {
        let is_own = object.name == *self.instance.settings.name;
        let record = match record_of(&object) {
            Ok(record) => Some(record),
            Err(error) => {
                let message = "invalid registration";
                unusable::record(&self.instance, Self::KIND, &object, &error, message);
                known.and_then(|known| known.record).filter(|_| !is_own)
            }
        };
        if is_own {
            let secret = record.as_ref().and_then(|record| record.secret.as_ref());
            self.instance.relays.adopt_secret(secret);
        }
        let mut registrations = self.registrations.borrow_mut();
        let registrations = registrations.get_or_insert_default();
        let revision = object.revision;
        registrations.insert(object.name, StoredRecord { revision, record });
    }

    /// Passes the registrations to the peer table, and removes those that have
    /// timed out.
    fn update_peers(&self) {
        let registrations = self.registrations.borrow();
        let Some(registrations) = registrations.as_ref() else {
            return;
        };
        let all = registrations.iter().filter_map(|(name, stored)| {
            let record = stored.record.as_ref()?;
            Some(Registration {
                name: name.as_str().into(),
                address: record.address,
                secret: record.secret.clone(),
            })
        });
        let now = self.instance.now();
        let mut peers = self.instance.peers.borrow_mut();
        peers.set_registrations(all.collect(), now);
        for name in peers.expired(now) {
            if let Some(stored) = registrations.get(&**name) {
                let name = Name::clone(name);
                monoio::spawn(deregister(Rc::clone(&self.instance), name, stored.revision));
            }
        }
    }
}

impl Watcher for InstanceWatcher {
    const KIND: &'static str = wire::store::INSTANCES;

    fn watch_options(&self) -> WatchOptions {
        WatchOptions {
            wait: LONG_WATCH_WAIT,
            debounce: LONG_DEBOUNCE,
            // Writes are conditional, so a stale read does no harm.
            consistency: Consistency::Stale,
        }
    }

    fn replace_all(&self, objects: Vec<Object>) {
        let known = self.registrations.borrow().clone().unwrap_or_default();
        self.registrations.replace(Some(HashMap::new()));
        for object in objects {
            let known = known.get(&object.name).cloned();
            self.insert(object, known);
        }
        self.update_peers();
    }

    fn apply_change(&self, change: Change) {
        let known = self
            .registrations
            .borrow_mut()
            .as_mut()
            .and_then(|registrations| registrations.remove(&change.object.name));
        if !change.removed {
            self.insert(change.object, known);
        }
        self.update_peers();
    }
}

fn heartbeat_address(instance: &FleetInstance) -> SocketAddr {
    (instance.settings.ip, instance.settings.heartbeat_port).into()
}

/// Writes this instance's registration whenever it is missing or outdated, one
/// call at a time.
async fn keep_registered(
    instance: Rc<FleetInstance>,
    registrations: Rc<Registrations>,
    stopping: Stopping,
) {
    let mut failures = 0;
    let mut wait = RECHECK_INTERVAL;
    // A store that returns from an older copy may have lost the registration.
    while pause_within_era(&instance, &stopping, wait).await {
        wait = RECHECK_INTERVAL;
        let own = registrations.borrow().as_ref().map(|registrations| {
            let own = registrations.get(&*instance.settings.name);
            own.cloned()
        });
        // Nothing is written before the first list.
        let Some(own) = own else {
            continue;
        };
        let record = InstanceRecord {
            address: heartbeat_address(&instance),
            secret: Some(instance.relays.secret_or_new(&instance.random)),
        };
        let is_stored = |own: &StoredRecord| own.record.as_ref() == Some(&record);
        if own.as_ref().is_some_and(is_stored) {
            continue;
        }
        let revision = own.map(|own| own.revision);
        if register(&instance, record, revision).await {
            failures = 0;
            wait = PROPAGATION_TIME;
        } else {
            failures += 1;
            wait = backoff(MAX_BACKOFF, failures, instance.random.draw());
        }
    }
}

/// Writes this instance's registration, and returns whether it is stored.
async fn register(instance: &FleetInstance, record: InstanceRecord, revision: Option<u64>) -> bool {
    let name = &instance.settings.name;
    let kind = wire::store::INSTANCES;
    match instance.store.put(kind, name, revision, &record).await {
        Ok(WriteResult::Applied(object)) => {
            info!(name:display, revision = object.revision; "registered");
            true
        }
        // The list that was read was older than the registration.
        Ok(WriteResult::Conflict(Some(object)))
            if record_of(&object).is_ok_and(|stored| stored == record) =>
        {
            info!(name:display, revision = object.revision; "already registered");
            true
        }
        Ok(WriteResult::Conflict(_) | WriteResult::NotFound) => {
            warn!(name:display; "registration failed: revision conflict");
            false
        }
        Err(error) => {
            warn!(name:display, error:display; "registration failed");
            false
        }
    }
}

fn record_of(object: &Object) -> wire::Result<InstanceRecord> {
    Ok(serde_json::from_str(object.content()?.get())?)
}

/// Removes the registration of an instance that timed out long ago.
async fn deregister(instance: Rc<FleetInstance>, name: Name, revision: u64) {
    let call = StoreCall::Remove {
        kind: wire::store::INSTANCES,
        name: &name,
        revision,
    };
    match instance.store.write(&call).await {
        Ok(_) => info!(name:display, revision; "removed registration of timed-out instance"),
        Err(error) => warn!(name:display, error:display; "cannot remove registration"),
    }
}
