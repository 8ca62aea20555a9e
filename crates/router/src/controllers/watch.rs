//! Watch of the platform for changes of the configuration.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::config::Object;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_platform::Error as PlatformError;
use limpetsaddle_platform::InvalidObject;
use limpetsaddle_platform::WatchEvent;
use log::info;

use super::exchange::apply_changes;
use super::exchange::jittered;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::shutdown::Stopping;
use crate::unusable;
use crate::unusable::UnusableEntry;

/// The kind of configuration objects.
const CONFIG: &str = "config";

/// The interval between watches and between checks whether this instance is a
/// watcher.
const PERIOD: Duration = Duration::from_secs(1);

/// The time without an event after which a watch counts as broken. The platform
/// sends a bookmark each second.
const EVENT_TIMEOUT: Duration = Duration::from_secs(4);

/// The number of consecutive watches after which the whole configuration is listed
/// again, because only a full list reveals changes that a watch has skipped.
const WATCHES_PER_LIST: u32 = 10;

/// The pause between two lists because of revision gaps.
const GAP_CHECK_PAUSE: Duration = Duration::from_secs(1);

/// The pause between two lists once gaps have turned out to be meaningless.
const LONG_GAP_CHECK_PAUSE: Duration = Duration::from_mins(5);

/// The number of consecutive lists without a missed change after which gaps count
/// as meaningless.
const MAX_FRUITLESS_CHECKS: u32 = 5;

/// Watches the platform while this instance is one of its failure domain's
/// watchers.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    let mut connected = false;
    let mut watches = 0_u32;
    let mut gaps = GapTracker::default();
    loop {
        if is_watcher(&instance) {
            let read_all = watches.is_multiple_of(WATCHES_PER_LIST);
            let result = watch(&instance, read_all, &mut connected, &mut gaps).await;
            instance.record_platform_call(result.is_ok());
            watches = match result {
                Ok(()) => watches.wrapping_add(1),
                // The next watch lists the changes missed in the meantime.
                Err(_) => 0,
            };
            if watches == 0 && connected {
                connected = false;
                info!("platform watch failed");
            }
        }
        if !stopping.pause(jittered(&instance, PERIOD)).await {
            return;
        }
    }
}

fn is_watcher(instance: &Instance) -> bool {
    let now = instance.now();
    instance.board.borrow().members.is_watcher(now)
}

async fn watch(
    instance: &Rc<Instance>,
    read_all: bool,
    connected: &mut bool,
    gaps: &mut GapTracker,
) -> Result<(), PlatformError> {
    let confirmed = instance.board.borrow().store.confirmation();
    let mut from = match confirmed {
        Some(confirmation) if !read_all => confirmation.revision,
        _ => list(instance).await?,
    };
    let mut watch = match instance.platform.watch(from).await {
        Err(PlatformError::HistoryCompacted) => {
            from = list(instance).await?;
            instance.platform.watch(from).await?
        }
        other => other?,
    };
    instance.metrics.count(Event::WatchOpened);
    if !*connected {
        *connected = true;
        info!(revision = from.0; "watching the platform");
    }
    while is_watcher(instance) {
        let next = monoio::time::timeout(EVENT_TIMEOUT, watch.next()).await;
        let event = next.map_err(|_| PlatformError::Timeout)??;
        let Some(event) = event else {
            return Ok(());
        };
        from = handle_event(instance, event, from, gaps).await?;
    }
    Ok(())
}

/// Decides which revision gaps in a watch cause a full list.
///
/// If the platform numbers changes of the configuration consecutively, a gap means
/// that the watch has skipped a change. If other writes take numbers too, lists
/// repeatedly find no missed change, and gaps are then rarely followed up.
#[derive(Debug, Default)]
struct GapTracker {
    is_pending: bool,
    fruitless: u32,
    next_check: Time,
}

impl GapTracker {
    /// Returns whether a list is due because of a new or pending gap.
    fn is_due(&mut self, has_gap: bool, now: Time) -> bool {
        self.is_pending |= has_gap;
        self.is_pending && now >= self.next_check
    }

    /// Returns whether a bookmark confirms that all changes up to it have been received.
    const fn trusts_bookmarks(&self) -> bool {
        !self.is_pending || self.fruitless >= MAX_FRUITLESS_CHECKS
    }

    fn record_check(&mut self, found: bool, now: Time) {
        self.is_pending = false;
        self.fruitless = if found { 0 } else { self.fruitless + 1 };
        let is_meaningful = self.fruitless < MAX_FRUITLESS_CHECKS;
        let pause = if is_meaningful {
            GAP_CHECK_PAUSE
        } else {
            LONG_GAP_CHECK_PAUSE
        };
        self.next_check = now + pause;
    }
}

/// Applies an event of a watch and returns the revision up to which changes have
/// been received.
async fn handle_event(
    instance: &Rc<Instance>,
    event: WatchEvent,
    last_revision: Revision,
    gaps: &mut GapTracker,
) -> Result<Revision, PlatformError> {
    let next = Revision(last_revision.0 + 1);
    let (revision, has_gap) = match &event {
        WatchEvent::Object(object) => (object.revision, object.revision > next),
        WatchEvent::Invalid(object) => (object.revision, object.revision > next),
        WatchEvent::Bookmark(revision) => (*revision, *revision > last_revision),
    };
    let check_due = gaps.is_due(has_gap, instance.now());
    match event {
        WatchEvent::Object(object) => {
            let id = object.id.to_string();
            instance.unusable_entries.borrow_mut().remove(CONFIG, &id);
            merge(instance, vec![object]);
        }
        WatchEvent::Invalid(invalid) => record_invalid(instance, &invalid),
        WatchEvent::Bookmark(revision) if gaps.trusts_bookmarks() => confirm(instance, revision),
        WatchEvent::Bookmark(_) => {}
    }
    if !check_due {
        return Ok(last_revision.max(revision));
    }
    instance.metrics.count(Event::WatchGap);
    let before = instance.board.borrow().store.counters().applied;
    let listed = list(instance).await?;
    let found = instance.board.borrow().store.counters().applied > before;
    gaps.record_check(found, instance.now());
    Ok(listed)
}

/// Lists the whole configuration, applies it and returns its revision.
///
/// # Errors
///
/// Returns an error if the call to the platform fails.
pub async fn list(instance: &Rc<Instance>) -> Result<Revision, PlatformError> {
    let listing = instance.platform.list().await?;
    instance.unusable_entries.borrow_mut().begin(CONFIG, None);
    for invalid in &listing.invalid {
        record_invalid(instance, invalid);
    }
    instance.unusable_entries.borrow_mut().end(CONFIG, None);
    merge(instance, listing.objects);
    confirm(instance, listing.revision);
    Ok(listing.revision)
}

fn record_invalid(instance: &Instance, invalid: &InvalidObject) {
    instance.metrics.count(Event::ConfigInvalid);
    let entry = UnusableEntry {
        kind: CONFIG,
        name: &invalid.id,
        reason: invalid.reason,
    };
    let message = "ignoring an invalid configuration object";
    unusable::record(&instance.unusable_entries, &entry, message, instance.now());
}

/// Merges objects from the platform into the store and applies the changes.
pub fn merge(instance: &Rc<Instance>, objects: Vec<Object>) {
    let (changes, invalid) = {
        let mut board = instance.board.borrow_mut();
        let before = board.store.counters().invalid;
        let changes = board.store.merge_all(objects);
        (changes, board.store.counters().invalid - before)
    };
    for _ in 0..invalid {
        instance.metrics.count(Event::ConfigInvalid);
    }
    apply_changes(instance, &changes);
}

fn confirm(instance: &Instance, revision: Revision) {
    let now = instance.now();
    let mut board = instance.board.borrow_mut();
    board.store.confirm(revision, Duration::ZERO, now);
}
