//! The watch on the configuration.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Consistency;
use limpetsaddle_platform_wire::store::Object;
use log::info;

use super::LONG_WATCH_WAIT;
use super::WatchOptions;
use super::Watcher;
use crate::fleet::instance::FleetInstance;
use crate::fleet::unusable;

/// Applies the operators' configuration.
pub struct ConfigurationWatcher {
    instance: Rc<FleetInstance>,
    is_behind: Cell<bool>,
}

impl ConfigurationWatcher {
    pub const fn new(instance: Rc<FleetInstance>) -> Self {
        Self {
            instance,
            is_behind: Cell::new(false),
        }
    }
}

/// Applies a configuration that is newer than the current one.
pub fn apply(instance: &FleetInstance, object: &Object) {
    if object.name != wire::store::CONFIGURATION_NAME {
        unusable::record_if_malformed(instance, wire::store::CONFIGURATION, object);
        return;
    }
    let revision = object.revision;
    match object.content().and_then(wire::configuration::decode) {
        Ok(configuration) => {
            let current = instance.configuration();
            if current.is_some_and(|current| current.version >= configuration.version) {
                return;
            }
            let version = configuration.version;
            instance.configure(configuration);
            info!(version, revision; "configuration applied");
        }
        Err(error) => {
            let message = "invalid configuration; keeping the current one";
            unusable::record(
                instance,
                wire::store::CONFIGURATION,
                object,
                &error,
                message,
            );
        }
    }
}

impl Watcher for ConfigurationWatcher {
    const KIND: &'static str = wire::store::CONFIGURATION;

    fn watch_options(&self) -> WatchOptions {
        // In a large fleet, heartbeats report a newer configuration, which is
        // then read at once.
        let relies_on_peers = self.instance.peers.borrow().is_large() && !self.is_behind.take();
        WatchOptions {
            wait: LONG_WATCH_WAIT,
            debounce: Duration::ZERO,
            consistency: if relies_on_peers {
                Consistency::Stale
            } else {
                Consistency::Linearizable
            },
        }
    }

    fn must_restart(&self) -> bool {
        let is_behind = self.instance.newer_configuration.take();
        self.is_behind.set(is_behind);
        is_behind
    }

    fn replace_all(&self, objects: Vec<Object>) {
        for object in &objects {
            apply(&self.instance, object);
        }
    }

    fn apply_change(&self, change: Change) {
        if !change.removed {
            apply(&self.instance, &change.object);
        }
    }
}
