//! Following the configuration.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Age;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use log::info;
use log::warn;

use super::Follower;
use super::Pace;
use super::QUIET_WAIT;
use crate::fleet::instance::FleetInstance;

/// A `ConfigurationFollower` puts the operators' configuration in force.
pub struct ConfigurationFollower {
    instance: Rc<FleetInstance>,
    lags: Cell<bool>,
}

impl ConfigurationFollower {
    /// Returns a follower that has taken nothing.
    pub const fn new(instance: Rc<FleetInstance>) -> Self {
        Self {
            instance,
            lags: Cell::new(false),
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is.
pub fn take(instance: &FleetInstance, object: &Object) {
    if object.name != wire::store::CONFIGURATION_NAME {
        return;
    }
    let Some(spec) = &object.spec else {
        return;
    };
    let revision = object.revision;
    match wire::configuration::decode(spec) {
        Ok(configuration) => {
            let held = instance.configuration();
            if held.is_some_and(|held| held.version >= configuration.version) {
                return;
            }
            let version = configuration.version;
            instance.configure(configuration);
            info!(version, revision; "configuration in force");
        }
        Err(error) => {
            warn!(revision, error:display; "configuration not usable; the last one stays");
        }
    }
}

impl Follower for ConfigurationFollower {
    const KIND: &'static str = wire::store::CONFIGURATION;

    fn pace(&self) -> Pace {
        // In a large fleet others tell of a newer configuration, which is then
        // read at once.
        let hears_of_it = self.instance.peers.borrow().is_large() && !self.lags.take();
        Pace {
            wait: QUIET_WAIT,
            gathering: Duration::ZERO,
            age: if hears_of_it {
                Age::Seconds
            } else {
                Age::Newest
            },
        }
    }

    fn is_urgent(&self) -> bool {
        let lags = self.instance.newer_configuration.take();
        self.lags.set(lags);
        lags
    }

    fn listed(&self, objects: Vec<Object>) {
        for object in &objects {
            take(&self.instance, object);
        }
    }

    fn changed(&self, change: Change) {
        if !change.removed {
            take(&self.instance, &change.object);
        }
    }
}
