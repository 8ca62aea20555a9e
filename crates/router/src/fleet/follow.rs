//! Following the kinds of objects that the platform's store holds.

mod configuration;
mod instances;
mod tenure;
mod upstreams;
mod weights;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_platform_wire::store::Age;
use limpetsaddle_platform_wire::store::Call;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::Watched;
use log::info;
use serde_json::value::RawValue;

use self::configuration::ConfigurationFollower;
use self::instances::InstanceFollower;
use self::tenure::TenureFollower;
use self::upstreams::UpstreamFollower;
use self::weights::WeightsFollower;
use super::call::CallError;
use super::instance::FleetInstance;
use crate::shutdown::Stopping;

pub use self::tenure::TENURE_NAME;
pub use self::tenure::read_tenure;

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
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// The longest pause after a failed call where other instances tell when the
/// store is back. It ends before the store counts as settled again, which takes
/// four seconds.
const LONGEST_PAUSE_OF_OTHERS: Duration = Duration::from_secs(3);

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

    /// Whether this follower finds out when a store that failed is back; the
    /// others wait for that.
    const PROBES: bool = false;

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

    /// Records that nothing newer than what was taken existed at `at`.
    fn confirmed(&self, _at: Time) {}
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
}

async fn follow<F: Follower>(instance: Rc<FleetInstance>, follower: F, stopping: Stopping) {
    let mut from = None;
    let mut failures = 0;
    while !stopping.is_closed() {
        if instance.store.is_failing() && !F::PROBES && failures > 0 {
            stopping.pause(RECHECK).await;
            continue;
        }
        let sent = instance.now();
        let pace = follower.pace();
        let step = step(&instance, &follower, from, &pace);
        let Some(outcome) = until_urgent(&instance, &stopping, &follower, step).await else {
            failures += u32::from(instance.store.is_failing());
            continue;
        };
        instance.store.note(outcome.as_ref().err(), instance.now());
        instance.metrics.store_call(outcome.is_ok());
        let Ok(step) = outcome else {
            failures += 1;
            wait_for_store(&instance, &stopping, failures).await;
            continue;
        };
        failures = 0;
        from = step.next;
        if from.is_some() && pace.age == Age::Newest {
            follower.confirmed(sent + step.waited);
        }
        if step.changed {
            stopping.pause(pace.gathering).await;
        }
    }
}

/// Waits before the next call of a store that did not answer: as long as other
/// instances make sure that its return is noticed, or until they tell of it.
async fn wait_for_store(instance: &FleetInstance, stopping: &Stopping, failures: u32) {
    let is_confirmer = instance.peers.borrow().is_confirmer(instance.now());
    let longest = if is_confirmer {
        LONGEST_PAUSE
    } else {
        LONGEST_PAUSE_OF_OTHERS
    };
    let end = instance.now() + pause(longest, failures, instance.random.draw());
    // Where others were served already before the call failed, the store is back
    // for them only.
    let told_before = instance.is_told_of_store();
    loop {
        let left = end.since(instance.now());
        let told = !told_before && instance.is_told_of_store();
        if left.is_zero() || told || !stopping.pause(left.min(RECHECK)).await {
            return;
        }
    }
}

/// A `Step` is the outcome of one call.
struct Step {
    /// The revision from which to go on, or `None` to list everything again.
    next: Option<u64>,
    /// The time for which the store has certainly waited before it answered.
    waited: Duration,
    /// Whether anything had changed.
    changed: bool,
}

async fn step<F: Follower>(
    instance: &FleetInstance,
    follower: &F,
    from: Option<u64>,
    pace: &Pace,
) -> Result<Step, CallError> {
    let wait = pace.wait;
    let Some(from) = from else {
        let (objects, at) = instance.store.list(F::KIND, pace.age).await?;
        follower.listed(objects);
        return Ok(Step {
            next: Some(at),
            waited: Duration::ZERO,
            changed: false,
        });
    };
    let sent = instance.now();
    match instance.store.watch(F::KIND, from, wait, pace.age).await? {
        Watched::Changes { changes, at } => {
            let changed = !changes.is_empty();
            // The store answers a watch without changes when its wait is over.
            let whole_wait = !changed && instance.now().since(sent) >= wait;
            for change in changes {
                follower.changed(change);
            }
            Ok(Step {
                // An older answer may come from a part of the store that lags.
                next: Some(at.max(from)),
                waited: if whole_wait { wait } else { Duration::ZERO },
                changed,
            })
        }
        Watched::HistoryGone => {
            info!(kind = F::KIND, from; "the store dropped its history; listing again");
            Ok(Step {
                next: None,
                waited: Duration::ZERO,
                changed: false,
            })
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
            && (F::PROBES || instance.store.losses() == losses)
        {}
    });
    match futures::future::select(work, urgent).await {
        futures::future::Either::Left((result, _)) => Some(result),
        futures::future::Either::Right(_) => None,
    }
}

/// Returns the call that creates an object, or replaces the one at `revision`.
pub fn conditional<'a>(
    kind: &'a str,
    name: &'a str,
    revision: Option<u64>,
    spec: &'a RawValue,
) -> Call<'a> {
    match revision {
        None => Call::Create { kind, name, spec },
        Some(revision) => Call::Replace {
            kind,
            name,
            revision,
            spec,
        },
    }
}
