//! The platform's watch: changes of the configuration as they are written.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::config::Object;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_platform::Error as PlatformError;
use limpetsaddle_platform::WatchEvent;
use log::info;

use super::exchange::jittered;
use super::exchange::take;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::shutdown::Stopping;

/// The time between two looks whether this instance is to watch.
const PERIOD: Duration = Duration::from_secs(1);

/// The wait for an event after which a watch counts as broken. The platform
/// sends a bookmark each second.
const SILENCE: Duration = Duration::from_secs(4);

/// The watches that follow each other before everything is read again. A watch
/// that skipped a change leaves a hole that only a full reading shows.
const WATCHES_PER_LIST: u32 = 10;

/// The pause between two looks into holes of a watch.
const GAP_PAUSE: Duration = Duration::from_secs(1);

/// The pause between two looks once holes have turned out to mean nothing.
const LONG_GAP_PAUSE: Duration = Duration::from_mins(5);

/// The looks without a find after which holes mean nothing.
const FRUITLESS_LOOKS: u32 = 5;

/// Watches the platform for as long as this instance is one of its failure
/// domain's watchers.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    let mut connected = false;
    let mut watches = 0_u32;
    let mut gaps = Gaps::default();
    loop {
        if is_watcher(&instance) {
            let read_all = watches.is_multiple_of(WATCHES_PER_LIST);
            let result = watch(&instance, read_all, &mut connected, &mut gaps).await;
            instance.note_platform(result.is_ok());
            watches = match result {
                Ok(()) => watches.wrapping_add(1),
                // What was missed in the meantime is read again.
                Err(_) => 0,
            };
            if watches == 0 && connected {
                connected = false;
                info!("the watch of the platform broke off");
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
    gaps: &mut Gaps,
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
        let next = monoio::time::timeout(SILENCE, watch.next()).await;
        let event = next.map_err(|_| PlatformError::Timeout)??;
        let Some(event) = event else {
            return Ok(());
        };
        from = accept(instance, event, from, gaps).await?;
    }
    Ok(())
}

/// A `Gaps` decides which holes in the revisions of a watch are looked into.
///
/// A hole tells of a change that the watch has left out, where the platform
/// numbers the changes of the configuration without holes. Where other writes
/// take numbers too, reading everything again finds nothing time after time, and
/// holes are then hardly heeded any more.
#[derive(Debug, Default)]
struct Gaps {
    is_open: bool,
    fruitless: u32,
    look_after: Time,
}

impl Gaps {
    /// Returns whether a hole, a new or an earlier one, is to be looked into.
    fn is_due(&mut self, has_hole: bool, now: Time) -> bool {
        self.is_open |= has_hole;
        self.is_open && now >= self.look_after
    }

    /// Returns whether the platform's word on what is complete can be taken.
    const fn trusts_word(&self) -> bool {
        !self.is_open || self.fruitless >= FRUITLESS_LOOKS
    }

    fn looked(&mut self, found: bool, now: Time) {
        self.is_open = false;
        self.fruitless = if found { 0 } else { self.fruitless + 1 };
        let heeded = self.fruitless < FRUITLESS_LOOKS;
        let pause = if heeded { GAP_PAUSE } else { LONG_GAP_PAUSE };
        self.look_after = now + pause;
    }
}

/// Takes in an event of a watch and returns the revision up to which the
/// changes have been seen.
async fn accept(
    instance: &Rc<Instance>,
    event: WatchEvent,
    seen: Revision,
    gaps: &mut Gaps,
) -> Result<Revision, PlatformError> {
    let next = Revision(seen.0 + 1);
    let (revision, has_hole) = match &event {
        WatchEvent::Object(object) => (object.revision, object.revision > next),
        WatchEvent::Invalid(object) => (object.revision, object.revision > next),
        WatchEvent::Bookmark(revision) => (*revision, *revision > seen),
    };
    let look = gaps.is_due(has_hole, instance.now());
    match event {
        WatchEvent::Object(object) => merge(instance, vec![object]),
        WatchEvent::Invalid(_) => instance.metrics.count(Event::ConfigInvalid),
        WatchEvent::Bookmark(revision) if gaps.trusts_word() => confirm(instance, revision),
        WatchEvent::Bookmark(_) => {}
    }
    if !look {
        return Ok(seen.max(revision));
    }
    instance.metrics.count(Event::WatchGap);
    let before = instance.board.borrow().store.counters().applied;
    let listed = list(instance).await?;
    let found = instance.board.borrow().store.counters().applied > before;
    gaps.looked(found, instance.now());
    Ok(listed)
}

/// Reads the whole configuration and returns its revision.
///
/// # Errors
///
/// Returns the platform's error.
pub async fn list(instance: &Rc<Instance>) -> Result<Revision, PlatformError> {
    let listing = instance.platform.list().await?;
    for _ in &listing.invalid {
        instance.metrics.count(Event::ConfigInvalid);
    }
    merge(instance, listing.objects);
    confirm(instance, listing.revision);
    Ok(listing.revision)
}

/// Merges objects that the platform has sent.
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
    take(instance, &changes);
}

fn confirm(instance: &Instance, revision: Revision) {
    let now = instance.now();
    let mut board = instance.board.borrow_mut();
    board.store.confirm(revision, Duration::ZERO, now);
}
