//! The watch on the entries of upstreams.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::heartbeat::name_hash;
use limpetsaddle_fleet::upstreams::REAPPEAR_TIMEOUT;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Consistency;
use limpetsaddle_platform_wire::store::Object;
use log::info;

use super::DEBOUNCE;
use super::LONG_WATCH_WAIT;
use super::SHORT_WATCH_WAIT;
use super::WatchOptions;
use super::Watcher;
use crate::fleet::canary;
use crate::fleet::instance::FleetInstance;
use crate::fleet::unusable;
use crate::fleet::upstream_calls;

/// The pause after a change in a large fleet. New upstreams get no requests
/// from this instance meanwhile.
const LARGE_FLEET_DEBOUNCE: Duration = Duration::from_secs(4);

/// Keeps the table of upstreams up to date.
pub struct UpstreamWatcher(pub Rc<FleetInstance>);

impl UpstreamWatcher {
    /// Drops the cached prefixes of an engine that is new or has restarted.
    fn forget_cache_after_restart(&self, entry: &UpstreamEntry) {
        let upstreams = self.0.upstreams.borrow();
        let known = upstreams.get(&entry.id);
        if known.is_none_or(|row| row.entry.born_ms != entry.born_ms) {
            let hash = name_hash(&entry.id);
            self.0.directory.borrow_mut().remove_holder(hash);
        }
    }

    fn apply(&self, object: &Object) {
        let now = self.0.now();
        let revision = object.revision;
        let upstream = object.name.as_str();
        match wire::upstreams::decode(object) {
            Ok(entry) => {
                let phase = format!("{:?}", entry.phase);
                let weights = entry.weights.first().map_or(0, |w| w.version);
                let born_ms = entry.born_ms;
                let service = Name::clone(&entry.service);
                self.forget_cache_after_restart(&entry);
                self.0.upstreams.borrow_mut().upsert(entry, now);
                upstream_calls::log_changes(&self.0, "entry");
                info!(
                    upstream, revision, phase, weights, born_ms, service:display;
                    "upstream registered"
                );
            }
            Err(error) => {
                self.0.upstreams.borrow_mut().remove(upstream, now);
                let message = "removing upstream with an invalid entry";
                unusable::record(&self.0, Self::KIND, object, &error, message);
            }
        }
    }
}

impl Watcher for UpstreamWatcher {
    const KIND: &'static str = wire::store::UPSTREAMS;

    fn watch_options(&self) -> WatchOptions {
        // In a large fleet, each change would be read by very many instances at
        // once. A few read it early and report draining upstreams to the others.
        let now = self.0.now();
        let peers = self.0.peers.borrow();
        let reads_early = !peers.is_large() || peers.is_confirmer(now);
        if reads_early {
            return WatchOptions {
                wait: SHORT_WATCH_WAIT,
                debounce: DEBOUNCE,
                consistency: Consistency::Linearizable,
            };
        }
        WatchOptions {
            wait: LONG_WATCH_WAIT,
            debounce: LARGE_FLEET_DEBOUNCE,
            consistency: Consistency::Stale,
        }
    }

    fn replace_all(&self, objects: Vec<Object>) {
        let now = self.0.now();
        let names: Vec<Name> = objects.iter().map(|o| o.name.as_str().into()).collect();
        let after_outage = self.0.store.had_outage_within(REAPPEAR_TIMEOUT, now);
        for object in &objects {
            self.apply(object);
        }
        let mut upstreams = self.0.upstreams.borrow_mut();
        upstreams.retain(&names, after_outage, now);
        drop(upstreams);
        canary::observe_upstreams(&self.0);
    }

    fn apply_change(&self, change: Change) {
        if !change.removed {
            self.apply(&change.object);
            canary::observe_upstreams(&self.0);
            return;
        }
        let now = self.0.now();
        let upstream = change.object.name.as_str();
        let after_outage = self.0.store.had_outage_within(REAPPEAR_TIMEOUT, now);
        let mut upstreams = self.0.upstreams.borrow_mut();
        if after_outage {
            upstreams.mark_missing(upstream, now);
        } else {
            upstreams.remove(upstream, now);
        }
        drop(upstreams);
        canary::observe_upstreams(&self.0);
        info!(upstream, after_outage; "upstream entry removed");
    }
}
