//! Following the configuration, and confirming that there is no newer one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
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

/// The wait of a watch whose return confirms the configuration. It bounds the
/// age of the last confirmation, for which keys are trusted only a few seconds.
const CONFIRMING_WAIT: Duration = Duration::from_secs(1);

/// The age of the last confirmation from which an instance asks the store itself
/// instead of going by others.
const CONFIRM_AFTER: Duration = Duration::from_secs(2);

/// A `ConfigurationFollower` puts the operators' configuration in force.
pub struct ConfigurationFollower {
    instance: Rc<FleetInstance>,
    is_waiting_for_others: Cell<bool>,
    lags: Cell<bool>,
}

impl ConfigurationFollower {
    /// Returns a follower that has taken nothing.
    pub const fn new(instance: Rc<FleetInstance>) -> Self {
        Self {
            instance,
            is_waiting_for_others: Cell::new(false),
            lags: Cell::new(false),
        }
    }

    /// Returns whether this instance has to ask the store itself: it does so for
    /// others, or hears of no confirmation from them.
    fn confirms(&self) -> bool {
        let now = self.instance.now();
        let age = self.instance.freshness.borrow().age(now);
        let heard = age.is_some_and(|age| age < CONFIRM_AFTER);
        !heard || self.instance.store.is_failing() || self.instance.peers.borrow().is_confirmer(now)
    }

    /// Returns how old answers may be. In a large fleet others tell of a newer
    /// configuration, which is then read at once.
    fn age(&self, waits_for_others: bool) -> Age {
        let hears_of_it = waits_for_others && !self.lags.get();
        if hears_of_it && self.instance.peers.borrow().is_large() {
            Age::Seconds
        } else {
            Age::Newest
        }
    }

    fn take(&self, object: &Object) {
        if object.name != wire::store::CONFIGURATION_NAME {
            return;
        }
        let Some(spec) = &object.spec else {
            return;
        };
        match wire::configuration::decode(spec) {
            Ok(configuration) => {
                let held = self.instance.configuration();
                if held.is_some_and(|held| held.version >= configuration.version) {
                    return;
                }
                let version = configuration.version;
                let revision = object.revision;
                self.instance.configure(configuration);
                info!(version, revision; "configuration in force");
            }
            Err(error) => {
                let revision = object.revision;
                warn!(revision, error:display; "configuration not usable; the last one stays");
            }
        }
    }
}

impl Follower for ConfigurationFollower {
    const KIND: &'static str = wire::store::CONFIGURATION;

    const PROBES: bool = true;

    fn pace(&self) -> Pace {
        let waits_for_others = !self.confirms();
        self.is_waiting_for_others.set(waits_for_others);
        Pace {
            wait: if waits_for_others {
                QUIET_WAIT
            } else {
                CONFIRMING_WAIT
            },
            gathering: Duration::ZERO,
            age: self.age(waits_for_others),
        }
    }

    fn is_urgent(&self) -> bool {
        if self.instance.newer_configuration.take() {
            self.lags.set(true);
            return true;
        }
        self.is_waiting_for_others.get() && self.confirms()
    }

    fn listed(&self, objects: Vec<Object>) {
        for object in &objects {
            self.take(object);
        }
    }

    fn changed(&self, change: Change) {
        if !change.removed {
            self.take(&change.object);
        }
    }

    fn confirmed(&self, at: Time) {
        self.lags.set(false);
        self.instance.freshness.borrow_mut().confirm(at);
    }
}
