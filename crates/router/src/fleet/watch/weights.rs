//! The watch on the target weights that operators set.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::weights::AgeSource;
use limpetsaddle_fleet::weights::Learned;
use limpetsaddle_fleet::weights::TargetWeights;
use limpetsaddle_fleet::weights::UnknownAgeOptions;
use limpetsaddle_fleet::weights::VersionAge;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Consistency;
use limpetsaddle_platform_wire::store::Object;
use log::info;

use super::LONG_WATCH_WAIT;
use super::SHORT_WATCH_WAIT;
use super::WatchOptions;
use super::Watcher;
use crate::fleet::instance::FleetInstance;
use crate::fleet::unusable;

/// Tracks the target weights of each model.
pub struct WeightsWatcher {
    instance: Rc<FleetInstance>,
}

impl WeightsWatcher {
    /// Returns a watcher that records what it learns in `instance`.
    pub const fn new(instance: Rc<FleetInstance>) -> Self {
        Self { instance }
    }

    fn apply(&self, object: &Object) {
        let age = self.change_age(object.revision);
        match wire::weights::decode(object) {
            Ok((model, version)) => {
                if !self.learn(&model, version, age) {
                    return;
                }
                let revision = object.revision;
                info!(model:display, version, revision; "target weights changed");
            }
            Err(error) => {
                let message = "invalid target weights";
                unusable::record(&self.instance, Self::KIND, object, &error, message);
            }
        }
    }

    /// Returns the age of the change with a revision.
    fn change_age(&self, revision: u64) -> VersionAge {
        let store = &self.instance.store;
        let now = self.instance.now();
        let age = |era| store.reads().borrow().change_age(era, revision, now);
        store.era().map_or(VersionAge::UNKNOWN, age)
    }

    /// Adds a version, and returns whether it is newer than all before.
    fn learn(&self, model: &Name, version: u64, age: VersionAge) -> bool {
        let now = self.instance.now();
        let mut targets = self.instance.target_weights.borrow_mut();
        if let Some(known) = targets.iter_mut().find(|t| t.model == *model) {
            let is_new = version > known.newest();
            let has_restored = self.instance.store.reads().borrow().has_restored();
            let is_current = version == known.newest() && !has_restored;
            return (is_new || is_current)
                && known.learn(version, age, AgeSource::Watch, now) == Learned::Newest;
        }
        let bounds = &self.instance.settings.bounds;
        let options = if self.instance.has_listed_weights.get() {
            UnknownAgeOptions::MISSED_CHANGE
        } else {
            UnknownAgeOptions::at_start(bounds.max_weights_age, bounds.start_grace)
        };
        let mut target = TargetWeights::without_versions(Name::clone(model), options);
        target.learn(version, age, AgeSource::Watch, now);
        targets.push(target);
        true
    }
}

impl Watcher for WeightsWatcher {
    const KIND: &'static str = wire::store::TARGET_WEIGHTS;

    fn watch_options(&self) -> WatchOptions {
        let now = self.instance.now();
        let peers = self.instance.peers.borrow();
        let is_confirmer = peers.is_confirmer(now);
        let relies_on_peers = peers.is_large() && !is_confirmer;
        WatchOptions {
            wait: if is_confirmer {
                SHORT_WATCH_WAIT
            } else {
                LONG_WATCH_WAIT
            },
            debounce: Duration::ZERO,
            consistency: if relies_on_peers {
                Consistency::Stale
            } else {
                Consistency::Linearizable
            },
        }
    }

    fn replace_all(&self, objects: Vec<Object>) {
        for object in &objects {
            self.apply(object);
        }
        self.instance.has_listed_weights.set(true);
    }

    fn apply_change(&self, change: Change) {
        if !change.removed {
            self.apply(&change.object);
        }
    }
}
