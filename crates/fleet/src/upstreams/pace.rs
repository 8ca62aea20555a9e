//! The windows of upstreams that have just started or recovered.

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use super::Ticket;
use super::Upstream;
use super::Upstreams;
use super::process_of;
use crate::Name;
use crate::heartbeat::UpstreamLoad;
use crate::pace::PaceCause;
use crate::pace::PaceCounts;
use crate::pace::PaceUpdate;
use crate::pace::Window;
use crate::pace::WindowPart;
use crate::pace::is_late;
use crate::speed::MAX_REPORTED;
use crate::speed::WorkKind;

/// The time for which others of the service must be known when an upstream counts as just
/// started. At the start of an instance all are new to it.
const KNOWN_TIME: Duration = Duration::from_secs(3);

/// The time for which failures reduce the first window.
const FAILURE_MEMORY_TIME: Duration = Duration::from_mins(1);

const IN_TIME: PaceCounts = PaceCounts { in_time: 1, bad: 0 };
const BAD: PaceCounts = PaceCounts { in_time: 0, bad: 1 };

/// A change of a window.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The upstream.
    pub upstream: Name,
    /// The cause.
    pub cause: PaceCause,
    /// The window as a fraction of the load of the service's other upstreams.
    pub share: f64,
}

impl Upstream {
    /// Returns whether the upstream may get another request, as far as it has a window.
    #[must_use]
    pub fn is_within_window(&self, remote: impl FnOnce() -> u32) -> bool {
        let admits = |window: &Window| window.admits(self.local_load.requests, remote());
        self.window.as_ref().is_none_or(admits)
    }

    /// Returns the window, if the upstream has just started or recovered.
    #[must_use]
    pub const fn window(&self) -> Option<&Window> {
        self.window.as_ref()
    }
}

impl Upstreams {
    /// Begins the window of a process that has started beside others of its service.
    pub(super) fn pace_new(&mut self, id: &str, now: Time) {
        let row = self.rows.get(id).filter(|_| self.adaptation.windows);
        let Some(row) = row else {
            return;
        };
        let is_known = |other: &&Upstream| {
            other.entry.service == row.entry.service && now.since(other.since) >= KNOWN_TIME
        };
        let known = self.rows.values().filter(is_known);
        let slowness: Vec<f64> = known.map(|other| other.slowness).collect();
        let Some(count) = u32::try_from(slowness.len()).ok().filter(|n| *n > 0) else {
            return;
        };
        // Without samples, the service's other upstreams are the best guess.
        let mean = slowness.iter().sum::<f64>() / f64::from(count);
        if let Some(row) = self.rows.get_mut(id) {
            row.slowness = mean;
        }
        self.begin_window(id, PaceCause::Started, now);
    }

    /// Begins the window of an upstream.
    pub(super) fn begin_window(&mut self, id: &str, cause: PaceCause, now: Time) {
        if !self.adaptation.windows {
            return;
        }
        self.failures
            .retain(|_, (_, at)| now.since(*at) < FAILURE_MEMORY_TIME);
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        let failures = self.failures.get(&row.hash).map_or(0, |(count, _)| *count);
        if cause == PaceCause::Failed {
            self.failures.insert(row.hash, (failures + 1, now));
        }
        let is_cold = row.entry.cold.is_some_and(|cold| !cold.is_zero());
        let window = Window::new(failures, is_cold, now);
        row.window = Some(window);
        self.pace_changes.push(PaceChange {
            upstream: Name::clone(&row.entry.id),
            cause,
            share: window.share(),
        });
    }

    /// Records the time to a first event at an upstream with a window.
    pub(super) fn pace_first_event(&mut self, ticket: &Ticket, now: Time) {
        let row = self.rows.get(&ticket.upstream);
        let Some(row) = row.filter(|row| row.window.is_some()) else {
            return;
        };
        let mut expected = ticket.load.expected_latency;
        if expected.is_zero() {
            let state = self.speeds.get(&row.entry.service);
            let typical = state.and_then(|state| state.typical(WorkKind::Plain));
            expected = typical.unwrap_or(Duration::MAX);
        }
        let late = is_late(now.since(ticket.started), expected);
        self.record_pace(&ticket.upstream, if late { BAD } else { IN_TIME }, now);
    }

    /// Records a failed or rejected request at an upstream that may have a window.
    pub(super) fn pace_failure(&mut self, id: &str, now: Time) {
        self.record_pace(id, BAD, now);
    }

    fn record_pace(&mut self, id: &str, counts: PaceCounts, now: Time) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        let shrunk = row.window.as_mut().map(|w| w.record(counts, now));
        self.note_pace(id, shrunk);
    }

    /// Applies another instance's responses.
    pub fn apply_paces(&mut self, updates: &[PaceUpdate], now: Time) {
        for update in updates.iter().take(MAX_REPORTED) {
            let Some(row) = self.by_process(update.process) else {
                continue;
            };
            let id = Name::clone(&row.entry.id);
            let shrunk = row.window.as_mut();
            let shrunk = shrunk.map(|w| w.observe(update.counts, now));
            self.note_pace(&id, shrunk);
        }
    }

    fn note_pace(&mut self, id: &str, shrunk: Option<bool>) {
        let Some((row, shrunk)) = self.rows.get_mut(id).zip(shrunk) else {
            return;
        };
        let Some(mut window) = row.window else {
            return;
        };
        let cause = if shrunk {
            PaceCause::Shrunk
        } else if window.has_ended() {
            // The last responses widen the windows of other instances, too.
            let process = process_of(&row.entry);
            let counts = window.take_unreported();
            self.last_paces
                .extend(counts.map(|counts| PaceUpdate { process, counts }));
            self.last_paces.truncate(MAX_REPORTED);
            row.window = None;
            PaceCause::Ended
        } else {
            return;
        };
        self.pace_changes.push(PaceChange {
            upstream: Name::clone(&row.entry.id),
            cause,
            share: window.share(),
        });
    }

    /// Sets the limits of all windows by the load of the upstreams without one.
    pub fn set_window_limits(
        &mut self,
        loads: &HashMap<u64, UpstreamLoad>,
        place: WindowPart,
        now: Time,
    ) {
        if self.rows.values().all(|row| row.window.is_none()) {
            return;
        }
        let mut sums: HashMap<Name, (u32, u32)> = HashMap::new();
        for row in self.rows.values().filter(|row| row.window.is_none()) {
            let remote = loads.get(&row.hash).map_or(0, |load| load.requests);
            let (requests, count) = sums.entry(Name::clone(&row.entry.service)).or_default();
            *requests += row.local_load.requests + remote;
            *count += 1;
        }
        for row in self.rows.values_mut() {
            let process = process_of(&row.entry);
            let (requests, count) = sums.get(&row.entry.service).copied().unwrap_or_default();
            let mean = f64::from(requests) / f64::from(count.max(1));
            if let Some(window) = &mut row.window {
                window.set_limit(mean, place, process, now);
            }
        }
    }

    /// Returns the responses at upstreams with windows, for a heartbeat.
    pub fn take_pace_updates(&mut self) -> Vec<PaceUpdate> {
        let rows = self.rows.values_mut();
        let updates = rows.filter_map(|row| {
            let process = process_of(&row.entry);
            let counts = row.window.as_mut()?.take_unreported()?;
            Some(PaceUpdate { process, counts })
        });
        let last = std::mem::take(&mut self.last_paces).into_iter();
        last.chain(updates).take(MAX_REPORTED).collect()
    }

    /// Returns the changes of windows since the last call.
    pub fn take_pace_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.pace_changes)
    }
}
