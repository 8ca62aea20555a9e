//! Watches on the objects in the platform's store.

mod configuration;
mod confirmation;
mod coordination;
mod instances;
mod rollouts;
mod upstreams;
mod weights;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::store_era::StoreEra;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Consistency;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::WatchResult;
use log::info;

use self::configuration::ConfigurationWatcher;
use self::coordination::CoordinationWatcher;
use self::instances::InstanceWatcher;
use self::rollouts::RolloutWatcher;
use self::upstreams::UpstreamWatcher;
use self::weights::WeightsWatcher;
use super::call::CallError;
use super::instance::FleetInstance;
use super::unusable;
use crate::shutdown::Stopping;

pub use self::coordination::LEASE_NAME;
pub use self::coordination::decode_lease;

/// The wait of a watch whose missed changes do harm: a connection that has
/// silently failed is noticed when the wait ends.
const SHORT_WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// The wait of a watch on kinds that may be read late.
const LONG_WATCH_WAIT: Duration = Duration::from_secs(15);

/// The pause after a change, so that the next watch returns several changes at
/// once.
const DEBOUNCE: Duration = Duration::from_millis(250);

/// The pause after a change before the instance knows its peers.
const UNSETTLED_DEBOUNCE: Duration = Duration::from_secs(1);

/// The pause after a change of kinds that may be read late.
const LONG_DEBOUNCE: Duration = Duration::from_secs(2);

/// The time before a call may be cancelled. A slow store takes several hundred
/// milliseconds.
const MIN_CALL_TIME: Duration = Duration::from_millis(1_300);

/// The time between two checks of whether a call is to be cancelled.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The backoff after the first failed call, doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// The longest backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// The longest backoff before all objects are listed again after the history
/// was compacted repeatedly.
const MAX_RELIST_BACKOFF: Duration = Duration::from_secs(2);

/// Returns the backoff after consecutive failed calls, with jitter of up to
/// half of it.
fn backoff(max: Duration, failures: u32, random: u64) -> Duration {
    let whole = max.min(INITIAL_BACKOFF * (1 << failures.min(8)));
    let jitter = u32::try_from(random % 512).unwrap_or(0);
    whole / 2 + whole * jitter / 1_024
}

/// The current parameters of the watch on a kind.
struct WatchOptions {
    /// The longest time for which the store holds the watch open.
    wait: Duration,
    /// The pause after a change.
    debounce: Duration,
    /// The consistency of reads.
    consistency: Consistency,
}

/// Applies the objects of one kind to the instance's state.
trait Watcher {
    const KIND: &'static str;

    /// Returns the current parameters of the watch.
    fn watch_options(&self) -> WatchOptions;

    /// Returns whether the watch has to be cancelled and started again.
    fn must_restart(&self) -> bool {
        false
    }

    /// Replaces the state by all objects of the kind.
    fn replace_all(&self, objects: Vec<Object>);

    /// Applies one change.
    fn apply_change(&self, change: Change);
}

/// Starts the tasks that watch the store.
pub fn start(instance: &Rc<FleetInstance>, stopping: &Stopping) {
    let shared = || Rc::clone(instance);
    let configuration = ConfigurationWatcher::new(shared());
    monoio::spawn(watch(shared(), configuration, stopping.clone()));
    monoio::spawn(watch(shared(), UpstreamWatcher(shared()), stopping.clone()));
    let weights = WeightsWatcher::new(shared());
    monoio::spawn(watch(shared(), weights, stopping.clone()));
    let instances = InstanceWatcher::start(shared(), stopping);
    monoio::spawn(watch(shared(), instances, stopping.clone()));
    monoio::spawn(watch(
        shared(),
        CoordinationWatcher(shared()),
        stopping.clone(),
    ));
    if instance.canary.is_some() {
        monoio::spawn(watch(shared(), RolloutWatcher(shared()), stopping.clone()));
    }
    monoio::spawn(confirmation::confirm(shared(), stopping.clone()));
}

async fn watch<F: Watcher>(instance: Rc<FleetInstance>, watcher: F, stopping: Stopping) {
    let mut since: Option<Position> = None;
    let mut failures = 0;
    let mut compactions = 0;
    while !stopping.is_closed() {
        // The task that confirms the configuration detects the store's recovery.
        if instance.store.is_failing() && (failures > 0 || instance.store.outages() > 0) {
            stopping.pause(RECHECK_INTERVAL).await;
            continue;
        }
        let mut options = watcher.watch_options();
        if !instance.peers.borrow().is_settled(instance.now()) {
            // All instances may have started at the same time.
            options.consistency = Consistency::Stale;
            options.debounce = options.debounce.max(UNSETTLED_DEBOUNCE);
            options.wait = options.wait.min(SHORT_WATCH_WAIT);
        }
        // Revisions of an earlier era say nothing about this one.
        since = since.filter(|position| position.era == instance.store.era());
        if compactions > 1 {
            options.consistency = Consistency::Linearizable;
        }
        let sent = instance.now();
        let call = list_or_watch(&instance, &watcher, since, &options);
        let Some(result) = cancel_if_needed(&instance, &stopping, &watcher, call).await else {
            failures += u32::from(instance.store.is_failing());
            continue;
        };
        if matches!(result, Err(CallError::OutdatedEra(_))) {
            stopping.pause(RECHECK_INTERVAL).await;
            continue;
        }
        instance.record_store_call(&result, sent);
        let Ok(progress) = result else {
            failures += 1;
            let wait = backoff(MAX_BACKOFF, failures, instance.random.draw());
            stopping.pause(wait).await;
            continue;
        };
        failures = 0;
        match progress {
            Progress::Listed { position } => since = Some(position),
            Progress::Watched { position, changed } => {
                since = Some(position);
                compactions = 0;
                if changed {
                    pause_within_era(&instance, &stopping, options.debounce).await;
                }
            }
            Progress::HistoryCompacted => {
                since = None;
                compactions += 1;
                // A lagging store node may return a list that is older than
                // the history.
                if compactions > 1 {
                    let wait = backoff(MAX_RELIST_BACKOFF, compactions, instance.random.draw());
                    stopping.pause(wait).await;
                }
            }
        }
    }
}

/// Waits for `span`, until the store returns from an older copy or until the
/// instance stops, and returns whether to continue.
async fn pause_within_era(instance: &FleetInstance, stopping: &Stopping, span: Duration) -> bool {
    let era = instance.store.era();
    let end = instance.now() + span;
    loop {
        let left = end.since(instance.now());
        if left.is_zero() || instance.store.era() != era {
            return !stopping.is_closed();
        }
        if !stopping.pause(left.min(RECHECK_INTERVAL)).await {
            return false;
        }
    }
}

/// A revision of the store in one of its eras.
#[derive(Clone, Copy)]
struct Position {
    era: Option<StoreEra>,
    revision: u64,
}

/// The result of one list or watch call.
enum Progress {
    /// All objects were listed as of `position`.
    Listed { position: Position },
    /// A watch returned all changes up to `position`.
    Watched { position: Position, changed: bool },
    /// The store compacted its history; all objects have to be listed again.
    HistoryCompacted,
}

async fn list_or_watch<F: Watcher>(
    instance: &FleetInstance,
    watcher: &F,
    since: Option<Position>,
    options: &WatchOptions,
) -> Result<Progress, CallError> {
    let Some(since) = since else {
        let list = instance.store.list(F::KIND, options.consistency).await?;
        let era = instance.store.era();
        let revision = list.revision;
        unusable::begin(instance, F::KIND, None);
        watcher.replace_all(list.objects);
        unusable::record_unnamed(instance, F::KIND, list.unnamed);
        unusable::end(instance, F::KIND, None);
        return Ok(Progress::Listed {
            position: Position { era, revision },
        });
    };
    let era = since.era;
    let since = since.revision;
    match instance
        .store
        .watch(F::KIND, since, options.wait, options.consistency)
        .await?
    {
        // The watch began in an era that has ended.
        WatchResult::Changes { .. } if instance.store.era() != era => {
            Ok(Progress::HistoryCompacted)
        }
        WatchResult::Changes {
            changes,
            unnamed,
            revision,
        } => {
            let changed = !changes.is_empty() || unnamed > 0;
            for change in changes {
                let name = change.object.name.clone();
                unusable::begin(instance, F::KIND, Some(&name));
                watcher.apply_change(change);
                unusable::end(instance, F::KIND, Some(&name));
            }
            unusable::record_unnamed(instance, F::KIND, unnamed);
            // A lagging store node may return an older revision.
            let revision = revision.max(since);
            let position = Position { era, revision };
            Ok(Progress::Watched { position, changed })
        }
        WatchResult::HistoryCompacted => {
            info!(kind = F::KIND, since; "store compacted its history; listing all objects again");
            Ok(Progress::HistoryCompacted)
        }
    }
}

/// Runs a call, and cancels it when the instance stops, the watcher has to
/// restart its watch or the store has become unavailable meanwhile.
async fn cancel_if_needed<F: Watcher, T>(
    instance: &FleetInstance,
    stopping: &Stopping,
    watcher: &F,
    call: impl Future<Output = T>,
) -> Option<T> {
    let call = std::pin::pin!(call);
    let outages = instance.store.outages();
    let era = instance.store.era();
    let has_ended = || era.is_some() && instance.store.era() != era;
    let cancelled = std::pin::pin!(async {
        stopping.pause(MIN_CALL_TIME).await;
        while stopping.pause(RECHECK_INTERVAL).await
            && !watcher.must_restart()
            && instance.store.outages() == outages
            && !has_ended()
        {}
    });
    match futures::future::select(call, cancelled).await {
        futures::future::Either::Left((result, _)) => Some(result),
        futures::future::Either::Right(_) => None,
    }
}
