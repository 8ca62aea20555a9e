//! Following the entries of upstreams.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::beacon::name_hash;
use limpetsaddle_fleet::upstreams::REAPPEAR_TIME;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Age;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use log::info;
use log::warn;

use super::CHECKED_WAIT;
use super::Follower;
use super::GATHERING;
use super::Pace;
use super::QUIET_WAIT;
use crate::fleet::instance::FleetInstance;

/// The pause after a change in a large fleet. New upstreams are missed as long.
const LARGE_GATHERING: Duration = Duration::from_secs(4);

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
        let now = self.0.now();
        let revision = object.revision;
        let upstream = object.name.as_str();
        match wire::upstreams::decode(object) {
            Ok(entry) => {
                let phase = format!("{:?}", entry.phase);
                let weights = entry.weights.first().map_or(0, |w| w.version);
                let born_ms = entry.born_ms;
                let service = Name::clone(&entry.service);
                self.forget_if_new(&entry);
                self.0.upstreams.borrow_mut().upsert(entry, now);
                info!(
                    upstream, revision, phase, weights, born_ms, service:display;
                    "upstream listed"
                );
            }
            Err(error) => {
                self.0.upstreams.borrow_mut().remove(upstream, now);
                warn!(upstream, revision, error:display; "upstream entry not usable");
            }
        }
    }
}

impl Follower for UpstreamFollower {
    const KIND: &'static str = wire::store::UPSTREAMS;

    fn pace(&self) -> Pace {
        // In a large fleet each change would be read by very many. A few read it
        // at once and tell the others who leaves.
        let now = self.0.now();
        let peers = self.0.peers.borrow();
        let reads_at_once = !peers.is_large() || peers.is_confirmer(now);
        if reads_at_once {
            return Pace {
                wait: CHECKED_WAIT,
                gathering: GATHERING,
                age: Age::Newest,
            };
        }
        Pace {
            wait: QUIET_WAIT,
            gathering: LARGE_GATHERING,
            age: Age::Seconds,
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
            upstreams.remove(upstream, now);
        }
        info!(upstream, after_outage; "upstream removed from the list");
    }
}
