//! Following the entries of upstreams.

use std::rc::Rc;

use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::beacon::name_hash;
use limpetsaddle_fleet::upstreams::REAPPEAR_TIME;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use log::info;
use log::warn;

use super::CHECKED_WAIT;
use super::Follower;
use super::GATHERING;
use super::Pace;
use crate::fleet::instance::FleetInstance;

/// An `UpstreamFollower` keeps the table of upstreams.
pub struct UpstreamFollower(pub Rc<FleetInstance>);

impl UpstreamFollower {
    /// Forgets what the engine held before it started anew.
    fn forget_if_new(&self, entry: &UpstreamEntry) {
        let upstreams = self.0.upstreams.borrow();
        let held = upstreams.get(&entry.id);
        if held.is_none_or(|row| row.entry.born_ms != entry.born_ms) {
            let hash = name_hash(&entry.id);
            self.0.directory.borrow_mut().forget(hash);
        }
    }

    fn take(&self, object: &Object) {
        let revision = object.revision;
        let upstream = object.name.as_str();
        match wire::servers::decode(object) {
            Ok(entry) => {
                let phase = format!("{:?}", entry.phase);
                let weights = entry.weights.first().map_or(0, |w| w.version);
                let born_ms = entry.born_ms;
                let service = Name::clone(&entry.service);
                self.forget_if_new(&entry);
                self.0.upstreams.borrow_mut().upsert(entry);
                info!(
                    upstream, revision, phase, weights, born_ms, service:display;
                    "upstream listed"
                );
            }
            Err(error) => {
                self.0.upstreams.borrow_mut().remove(upstream);
                warn!(upstream, revision, error:display; "upstream entry not usable");
            }
        }
    }
}

impl Follower for UpstreamFollower {
    const KIND: &'static str = wire::store::UPSTREAMS;

    fn pace(&self) -> Pace {
        // In a large fleet each change would be read by very many.
        let large = self.0.peers.borrow().is_large();
        let leaving = self.0.settings.bounds.leaving;
        Pace {
            wait: if large {
                CHECKED_WAIT * 3
            } else {
                CHECKED_WAIT
            },
            gathering: if large { leaving / 2 } else { GATHERING },
        }
    }

    fn listed(&self, objects: Vec<Object>) {
        let now = self.0.now();
        let names: Vec<Name> = objects.iter().map(|o| o.name.as_str().into()).collect();
        let after_outage = self.0.store.is_after_outage(REAPPEAR_TIME, now);
        for object in &objects {
            self.take(object);
        }
        let mut upstreams = self.0.upstreams.borrow_mut();
        upstreams.retain(&names, after_outage, now);
    }

    fn changed(&self, change: Change) {
        if !change.removed {
            self.take(&change.object);
            return;
        }
        let now = self.0.now();
        let upstream = change.object.name.as_str();
        let after_outage = self.0.store.is_after_outage(REAPPEAR_TIME, now);
        let mut upstreams = self.0.upstreams.borrow_mut();
        if after_outage {
            upstreams.missing(upstream, now);
        } else {
            upstreams.remove(upstream);
        }
        info!(upstream, after_outage; "upstream removed from the list");
    }
}
