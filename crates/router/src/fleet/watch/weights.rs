//! The watch on the target weights that operators set.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::weights::TargetWeights;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Consistency;
use limpetsaddle_platform_wire::store::Object;
use log::info;
use log::warn;

use super::LONG_WATCH_WAIT;
use super::SHORT_WATCH_WAIT;
use super::WatchOptions;
use super::Watcher;
use crate::fleet::instance::FleetInstance;

/// The assumed age of target weights that were set before this instance
/// started, possibly long ago.
const AGE_AT_START: Duration = Duration::from_millis(2_500);

/// Tracks the target weights of each model.
pub struct WeightsWatcher(pub Rc<FleetInstance>);

impl WeightsWatcher {
    fn apply(&self, object: &Object, since: Time) {
        match wire::weights::decode(object) {
            Ok((model, version)) => {
                let mut targets = self.0.target_weights.borrow_mut();
                let known = targets.iter_mut().find(|t| t.model == model);
                let is_newer = if let Some(known) = known {
                    known.set_version(version, since)
                } else {
                    targets.push(TargetWeights::new(Name::clone(&model), version, since));
                    true
                };
                if !is_newer {
                    return;
                }
                let revision = object.revision;
                info!(model:display, version, revision; "target weights changed");
            }
            Err(error) => {
                let name = object.name.as_str();
                warn!(name, error:display; "invalid target weights");
            }
        }
    }
}

impl Watcher for WeightsWatcher {
    const KIND: &'static str = wire::store::TARGET_WEIGHTS;

    fn watch_options(&self) -> WatchOptions {
        let now = self.0.now();
        let peers = self.0.peers.borrow();
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
        let now = self.0.now().since_origin();
        let since = Time::from_origin(now.saturating_sub(AGE_AT_START));
        for object in &objects {
            self.apply(object, since);
        }
    }

    fn apply_change(&self, change: Change) {
        if !change.removed {
            self.apply(&change.object, self.0.now());
        }
    }
}
