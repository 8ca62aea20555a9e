//! Following the weights that operators name.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::weights::NamedWeights;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Age;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use log::info;
use log::warn;

use super::CHECKED_WAIT;
use super::Follower;
use super::Pace;
use super::QUIET_WAIT;
use crate::fleet::instance::FleetInstance;

/// What this instance takes for the age of weights that were named before it
/// started: they may have been named long ago.
const AGE_AT_START: Duration = Duration::from_millis(2_500);

/// A `WeightsFollower` takes the weights that operators name.
pub struct WeightsFollower(pub Rc<FleetInstance>);

impl WeightsFollower {
    fn take(&self, object: &Object, since: Time) {
        match wire::weights::decode(object) {
            Ok((model, version)) => {
                let mut named = self.0.named.borrow_mut();
                let held = named.iter_mut().find(|n| n.model == model);
                let is_newer = if let Some(held) = held {
                    held.name(version, since)
                } else {
                    named.push(NamedWeights::new(Name::clone(&model), version, since));
                    true
                };
                if !is_newer {
                    return;
                }
                let revision = object.revision;
                info!(model:display, version, revision; "weights named");
            }
            Err(error) => {
                let name = object.name.as_str();
                warn!(name, error:display; "named weights not usable");
            }
        }
    }
}

impl Follower for WeightsFollower {
    const KIND: &'static str = wire::store::WEIGHTS;

    fn pace(&self) -> Pace {
        let now = self.0.now();
        let peers = self.0.peers.borrow();
        let checked = peers.is_confirmer(now);
        let hears_of_it = peers.is_large() && !checked;
        Pace {
            wait: if checked { CHECKED_WAIT } else { QUIET_WAIT },
            gathering: Duration::ZERO,
            age: if hears_of_it {
                Age::Seconds
            } else {
                Age::Newest
            },
        }
    }

    fn listed(&self, objects: Vec<Object>) {
        let now = self.0.now().from_start();
        let since = Time::from_origin(now.saturating_sub(AGE_AT_START));
        for object in &objects {
            self.take(object, since);
        }
    }

    fn changed(&self, change: Change) {
        if !change.removed {
            self.take(&change.object, self.0.now());
        }
    }
}
