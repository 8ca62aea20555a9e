//! What is known of the availability of upstreams.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use super::Upstream;
use super::UpstreamEntry;
use super::Upstreams;
use super::process_of;
use crate::Name;
use crate::availability::Availability;
use crate::availability::AvailabilityChange;
use crate::availability::AvailabilityRecord;
use crate::availability::ChangeKind;
use crate::availability::Incarnation;
use crate::availability::Notices;
use crate::availability::Source;
use crate::heartbeat::LeavingUpdate;
use crate::outage::Outage;

/// The time for which heartbeats repeat that an upstream is leaving, for instances that start
/// meanwhile.
const LEAVING_REPEAT_TIME: Duration = Duration::from_secs(30);

/// The time for which heartbeats repeat that an entry was removed.
const REMOVED_REPEAT_TIME: Duration = Duration::from_secs(3);

/// The time for which removed entries are remembered; copies of the store are some seconds
/// old.
const REMOVED_MEMORY_TIME: Duration = Duration::from_secs(30);

/// The time for which records of processes without a row are remembered.
const RECORD_MEMORY_TIME: Duration = Duration::from_hours(1);

impl Upstreams {
    /// Returns whether an incarnation may be called. Placement, retries, orders and every
    /// other kind of call depend on it.
    #[must_use]
    pub fn availability(&self, incarnation: &Incarnation, now: Time) -> Availability {
        let row = self.rows.get(&incarnation.upstream);
        match row.filter(|row| row.entry.born_ms == incarnation.born_ms) {
            Some(row) => row.availability(now),
            None => Availability::Gone,
        }
    }

    /// Records what an incarnation has said in an answer. Other instances hear that it
    /// leaves; its rest is between it and this instance.
    pub fn record_notices(&mut self, incarnation: &Incarnation, notices: &Notices, now: Time) {
        if notices.leaving {
            self.observe_leaving(incarnation, Source::Answer, now);
        }
        self.record_limit_notice(incarnation, notices.limit, now);
        let Some(rest) = notices.rest else {
            return;
        };
        let record = self.record_mut(incarnation.process(), now);
        if let Some(until) = record.rest(rest, now) {
            self.record_change(incarnation.clone(), ChangeKind::Resting { until });
        }
    }

    /// Records that another upstream responds at an incarnation's address: the process there
    /// has ended, though its entry may not have expired yet.
    pub fn mark_replaced(&mut self, incarnation: &Incarnation, now: Time) {
        let record = self.record_mut(incarnation.process(), now);
        if record.state(now) == Availability::Gone {
            return;
        }
        record.remove();
        self.record_change(incarnation.clone(), ChangeKind::Replaced);
    }

    /// Applies another instance's report of a leaving upstream, and returns its id if that
    /// is new.
    pub fn apply_leaving(&mut self, update: &LeavingUpdate, now: Time) -> Option<Name> {
        if let Some(sequence) = update.removed {
            return self.apply_removed(update.process, sequence, now);
        }
        if !self.record_mut(update.process, now).leave() {
            return None;
        }
        let incarnation = self.by_process(update.process)?.entry.incarnation();
        let id = Name::clone(&incarnation.upstream);
        self.record_change(incarnation, ChangeKind::Leaving(Source::Peer));
        Some(id)
    }

    /// Applies another instance's report that the entry numbered `sequence` was removed.
    fn apply_removed(&mut self, process: u64, sequence: u64, now: Time) -> Option<Name> {
        self.remember_removed(process, sequence, now);
        let row = self.by_process(process)?;
        if row.entry.sequence > sequence || !row.record.stays() {
            return None;
        }
        row.record.remove();
        Some(Name::clone(&row.entry.id))
    }

    /// Returns the recently leaving upstreams for heartbeats.
    #[must_use]
    pub fn leaving_updates(&self, now: Time) -> Vec<LeavingUpdate> {
        let recent = self
            .leaving
            .iter()
            .filter(|(update, at)| now.since(*at) < repeat_time(update));
        recent.map(|(update, _)| *update).collect()
    }

    /// Returns why no upstream of a service is available for a request that was attempted
    /// at some, or `None` if one is.
    #[must_use]
    pub fn outage(&self, service: &str, attempted: &[Name], now: Time) -> Option<Outage> {
        let mut outage = Outage::default();
        let rows = self.rows.values();
        for row in rows.filter(|row| &*row.entry.service == service) {
            let is_tried = attempted.contains(&row.entry.id);
            match row.availability(now) {
                Availability::Serving if is_tried => outage.others_served = true,
                Availability::Serving => return None,
                Availability::Resting { until } => outage.add_rest(until, is_tried),
                Availability::Limited { until } => outage.add_permit(until, is_tried),
                Availability::Leaving | Availability::Gone => {}
            }
        }
        Some(outage)
    }

    /// Returns the changes of availability since the last call.
    pub fn take_changes(&mut self, now: Time) -> Vec<AvailabilityChange> {
        let marked = std::mem::take(&mut self.marked);
        for incarnation in marked {
            let has_row = self.ids.contains_key(&incarnation.process());
            let kind = match self.availability(&incarnation, now) {
                Availability::Serving | Availability::Limited { .. } => ChangeKind::Freed,
                Availability::Gone if !has_row => ChangeKind::Gone,
                Availability::Resting { .. } | Availability::Leaving | Availability::Gone => {
                    self.marked.push(incarnation);
                    continue;
                }
            };
            self.changes.push(AvailabilityChange { incarnation, kind });
        }
        std::mem::take(&mut self.changes)
    }

    /// Records an entry that says that its process drains.
    pub(super) fn record_draining(&mut self, entry: &UpstreamEntry, now: Time) {
        self.observe_leaving(&entry.incarnation(), Source::Entry, now);
    }

    /// Records that an incarnation leaves, and tells other instances if that is new.
    fn observe_leaving(&mut self, incarnation: &Incarnation, source: Source, now: Time) {
        let process = incarnation.process();
        if self.record_mut(process, now).leave() {
            self.record_change(incarnation.clone(), ChangeKind::Leaving(source));
            self.announce_leaving(process, None, now);
        }
    }

    fn record_change(&mut self, incarnation: Incarnation, kind: ChangeKind) {
        if !self.marked.contains(&incarnation) {
            self.marked.push(incarnation.clone());
        }
        self.changes.push(AvailabilityChange { incarnation, kind });
    }

    /// Returns the record of a process, which may have no row yet or any more.
    pub(super) fn record_mut(&mut self, process: u64, now: Time) -> &mut AvailabilityRecord {
        let row = self.ids.get(&process).and_then(|id| self.rows.get_mut(id));
        if let Some(row) = row {
            return &mut row.record;
        }
        let departed = self.departed.entry(process);
        &mut departed.or_insert((AvailabilityRecord::default(), now)).0
    }

    pub(super) fn by_process(&mut self, process: u64) -> Option<&mut Upstream> {
        self.rows.get_mut(self.ids.get(&process)?)
    }

    /// Returns the record for the new row of a process.
    pub(super) fn recall(&mut self, process: u64) -> AvailabilityRecord {
        let mut record = self.departed.remove(&process).unwrap_or_default().0;
        record.register();
        record
    }

    /// Remembers the record of a process whose row is removed.
    pub(super) fn depart(&mut self, process: u64, record: AvailabilityRecord, now: Time) {
        self.departed
            .retain(|_, (_, at)| now.since(*at) < RECORD_MEMORY_TIME);
        if !record.is_empty(now) {
            self.departed.insert(process, (record, now));
        }
    }

    /// Removes the row of a process in whose place one registers that started at `born_ms`.
    ///
    /// An older process can't be the successor: its entry may be from an older copy of the
    /// store, and the removed one may register again.
    pub(super) fn succeed(&mut self, id: &str, born_ms: u64, now: Time) {
        if let Some(row) = self.rows.get_mut(id) {
            if row.entry.born_ms < born_ms {
                row.record.succeed();
            }
            self.remove_row(id, now);
        }
    }

    /// Returns whether an entry is of a process whose successor has registered, as the store
    /// may return it from an older copy.
    pub(super) fn is_succeeded(&self, entry: &UpstreamEntry) -> bool {
        let departed = self.departed.get(&process_of(entry));
        departed.is_some_and(|(record, _)| record.is_succeeded())
    }

    /// Returns whether an entry is one that was removed before, or an older one.
    pub(super) fn was_removed(&self, entry: &UpstreamEntry, now: Time) -> bool {
        let removed = self.removed.get(&process_of(entry));
        removed.is_some_and(|(sequence, at)| {
            entry.sequence <= *sequence && now.since(*at) < REMOVED_MEMORY_TIME
        })
    }

    pub(super) fn remember_removed(&mut self, process: u64, sequence: u64, now: Time) {
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMOVED_MEMORY_TIME);
        // Entries without a number can't be told from newer ones.
        if sequence > 0 {
            self.removed.insert(process, (sequence, now));
        }
    }

    /// Queues the removal of an entry for the next heartbeats.
    pub(super) fn announce_removed(&mut self, entry: &UpstreamEntry, now: Time) {
        self.announce_leaving(process_of(entry), Some(entry.sequence), now);
    }

    /// Queues a process for the next heartbeats.
    fn announce_leaving(&mut self, process: u64, removed: Option<u64>, now: Time) {
        let update = LeavingUpdate { process, removed };
        self.leaving
            .retain(|(earlier, at)| *earlier != update && now.since(*at) < repeat_time(earlier));
        self.leaving.push((update, now));
    }
}

const fn repeat_time(update: &LeavingUpdate) -> Duration {
    match update.removed {
        Some(_) => REMOVED_REPEAT_TIME,
        None => LEAVING_REPEAT_TIME,
    }
}
