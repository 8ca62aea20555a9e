//! Following the kinds of objects that the platform's store holds.

mod configuration;
mod confirmation;
mod instances;
mod lease;
mod upstreams;
mod weights;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_platform_wire::store::Age;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::Watched;
use log::info;

use self::configuration::ConfigurationFollower;
use self::instances::InstanceFollower;
use self::lease::TenureFollower;
use self::upstreams::UpstreamFollower;
use self::weights::WeightsFollower;
use super::call::CallError;
use super::instance::FleetInstance;
use crate::shutdown::Stopping;

pub use self::lease::TENURE_NAME;
pub use self::lease::read_tenure;

/// The wait of a watch on upstreams or weights where missing a change does harm:
/// a connection that has fallen silent is noticed when it ends.
const CHECKED_WAIT: Duration = Duration::from_millis(2_500);

/// The wait of a watch on kinds whose age does no harm.
const QUIET_WAIT: Duration = Duration::from_secs(15);

/// The pause after a change, in which further changes gather to be read at once.
const GATHERING: Duration = Duration::from_millis(250);

/// The same for kinds whose age does no harm.
const QUIET_GATHERING: Duration = Duration::from_secs(2);

/// The time that each call gets before it may be given up. A slow store needs
/// some hundred milliseconds.
const LEAST_WAIT: Duration = Duration::from_millis(1_300);

/// The time between two looks at whether a watch has to be given up.
const RECHECK: Duration = Duration::from_millis(250);

/// The pause after a first failed call, doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a failed call. Requests with keys are refused while
/// the store is away, so that its return has to be noticed soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// The longest pause before everything is listed once more when the history is
/// gone again.
const LONGEST_GONE_PAUSE: Duration = Duration::from_secs(2);

/// Returns the pause after so many failed calls in a row, up to half of it drawn
/// at random so that instances do not return together.
fn pause(longest: Duration, failures: u32, random: u64) -> Duration {
    let whole = longest.min(FIRST_PAUSE * (1 << failures.min(8)));
    let part = u32::try_from(random % 512).unwrap_or(0);
    whole / 2 + whole * part / 1_024
}

/// A `Pace` is how a kind is watched at the moment.
struct Pace {
    /// The longest wait of a watch.
    wait: Duration,
    /// The pause after a change, in which further changes gather.
    gathering: Duration,
    /// How old answers may be.
    age: Age,
}

/// A `Follower` takes the objects of one kind.
trait Follower {
    /// The kind.
    const KIND: &'static str;

    /// Returns how the kind is watched.
    fn pace(&self) -> Pace;

    /// Returns whether the watch has to be given up and begun anew.
    fn is_urgent(&self) -> bool {
        false
    }

    /// Takes all objects of the kind.
    fn listed(&self, objects: Vec<Object>);

    /// Takes one change.
    fn changed(&self, change: Change);
}

/// Starts the tasks that follow the store.
pub fn start(instance: &Rc<FleetInstance>, stopping: &Stopping) {
    let shared = || Rc::clone(instance);
    let configuration = ConfigurationFollower::new(shared());
    monoio::spawn(follow(shared(), configuration, stopping.clone()));
    monoio::spawn(follow(
        shared(),
        UpstreamFollower(shared()),
        stopping.clone(),
    ));
    monoio::spawn(follow(
        shared(),
        WeightsFollower(shared()),
        stopping.clone(),
    ));
    let instances = InstanceFollower::start(shared(), stopping);
    monoio::spawn(follow(shared(), instances, stopping.clone()));
    monoio::spawn(follow(shared(), TenureFollower(shared()), stopping.clone()));
    monoio::spawn(confirmation::confirm(shared(), stopping.clone()));
}

async fn follow<F: Follower>(instance: Rc<FleetInstance>, follower: F, stopping: Stopping) {
    let mut from = None;
    let mut failures = 0;
    let mut gone = 0;
    while !stopping.is_closed() {
        // The task that confirms the configuration finds out when the store is back.
        if instance.store.is_failing() && failures > 0 {
            stopping.pause(RECHECK).await;
            continue;
        }
        let mut pace = follower.pace();
        if gone > 1 {
            pace.age = Age::Newest;
        }
        let step = step(&instance, &follower, from, &pace);
        let Some(outcome) = until_urgent(&instance, &stopping, &follower, step).await else {
            failures += u32::from(instance.store.is_failing());
            continue;
        };
        instance.note_store_call(&outcome);
        let Ok(step) = outcome else {
            failures += 1;
            let wait = pause(LONGEST_PAUSE, failures, instance.random.draw());
            stopping.pause(wait).await;
            continue;
        };
        failures = 0;
        match step {
            Step::Listed { at } => from = Some(at),
            Step::Watched { at, changed } => {
                from = Some(at);
                gone = 0;
                if changed {
                    stopping.pause(pace.gathering).await;
                }
            }
            Step::HistoryGone => {
                from = None;
                gone += 1;
                // A part of the store that lags lists what its history lacks.
                if gone > 1 {
                    let wait = pause(LONGEST_GONE_PAUSE, gone, instance.random.draw());
                    stopping.pause(wait).await;
                }
            }
        }
    }
}

/// A `Step` is the outcome of one call.
enum Step {
    /// All objects were listed, as of a revision.
    Listed { at: u64 },
    /// A watch ended, with everything up to a revision.
    Watched { at: u64, changed: bool },
    /// The store dropped its history; everything has to be listed again.
    HistoryGone,
}

async fn step<F: Follower>(
    instance: &FleetInstance,
    follower: &F,
    from: Option<u64>,
    pace: &Pace,
) -> Result<Step, CallError> {
    let Some(from) = from else {
        let (objects, at) = instance.store.list(F::KIND, pace.age).await?;
        follower.listed(objects);
        return Ok(Step::Listed { at });
    };
    match instance
        .store
        .watch(F::KIND, from, pace.wait, pace.age)
        .await?
    {
        Watched::Changes { changes, at } => {
            let changed = !changes.is_empty();
            for change in changes {
                follower.changed(change);
            }
            // An older answer may come from a part of the store that lags.
            let at = at.max(from);
            Ok(Step::Watched { at, changed })
        }
        Watched::HistoryGone => {
            info!(kind = F::KIND, from; "the store dropped its history; listing again");
            Ok(Step::HistoryGone)
        }
    }
}

/// Runs a call, and gives it up when the instance ends, the follower cannot wait
/// for it any longer or the store was lost meanwhile.
async fn until_urgent<F: Follower, T>(
    instance: &FleetInstance,
    stopping: &Stopping,
    follower: &F,
    work: impl Future<Output = T>,
) -> Option<T> {
    let work = std::pin::pin!(work);
    let losses = instance.store.losses();
    let urgent = std::pin::pin!(async {
        stopping.pause(LEAST_WAIT).await;
        while stopping.pause(RECHECK).await
            && !follower.is_urgent()
            && instance.store.losses() == losses
        {}
    });
    match futures::future::select(work, urgent).await {
        futures::future::Either::Left((result, _)) => Some(result),
        futures::future::Either::Right(_) => None,
    }
}
