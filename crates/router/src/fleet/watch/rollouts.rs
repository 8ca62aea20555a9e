//! The watch on the orders for rollouts of the software of services.

use std::rc::Rc;

use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Consistency;
use limpetsaddle_platform_wire::store::Object;

use super::DEBOUNCE;
use super::LONG_DEBOUNCE;
use super::LONG_WATCH_WAIT;
use super::SHORT_WATCH_WAIT;
use super::WatchOptions;
use super::Watcher;
use crate::fleet::instance::FleetInstance;
use crate::fleet::rollout_orders;

/// Tracks the orders and their status.
pub struct RolloutWatcher(pub Rc<FleetInstance>);

impl Watcher for RolloutWatcher {
    const KIND: &'static str = wire::store::ROLLOUTS;

    fn watch_options(&self) -> WatchOptions {
        // An instance that reads an order late sends nothing to the new version meanwhile, and
        // learns from heartbeats when it has to stop.
        let now = self.0.now();
        let peers = self.0.peers.borrow();
        if !peers.is_large() || peers.is_confirmer(now) {
            return WatchOptions {
                wait: SHORT_WATCH_WAIT,
                debounce: DEBOUNCE,
                consistency: Consistency::Linearizable,
            };
        }
        WatchOptions {
            wait: LONG_WATCH_WAIT,
            debounce: LONG_DEBOUNCE,
            consistency: Consistency::Stale,
        }
    }

    fn replace_all(&self, objects: Vec<Object>) {
        rollout_orders::replace_all(&self.0, &objects);
    }

    fn apply_change(&self, change: Change) {
        if change.removed {
            rollout_orders::withdraw(&self.0, &change.object.name);
        } else {
            rollout_orders::apply(&self.0, &change.object);
        }
    }
}
