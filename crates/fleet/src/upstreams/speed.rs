//! The observed speed of the upstreams of each service.

use std::cmp::Reverse;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use super::Ticket;
use super::Upstream;
use super::Upstreams;
use super::process_of;
use crate::Name;
use crate::speed::Estimate;
use crate::speed::Evidence;
use crate::speed::MAX_REPORTED;
use crate::speed::SpeedUpdate;
use crate::speed::Spread;
use crate::speed::Work;
use crate::speed::WorkKind;
use crate::speed::typical_ms;

/// The time between two comparisons of a service's upstreams.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a service's last comparison.
#[derive(Debug, Default)]
pub(super) struct ServiceSpeed {
    compared: Option<Time>,
    spreads: [Option<Spread>; 2],
    typical_ms: [Option<f64>; 2],
}

impl ServiceSpeed {
    /// Returns the mean time of a unit of work at the service's upstreams, if it is known.
    pub(super) fn typical(&self, kind: WorkKind) -> Option<Duration> {
        let ms = self.typical_ms[kind.index()]?;
        Duration::try_from_secs_f64(ms / 1_000.0).ok()
    }
}

/// A change of how a service's upstreams are compared.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// The service.
    pub service: Name,
    /// The kind of work.
    pub kind: WorkKind,
    /// How the upstreams differ; `None` if they are equal within the uncertainty.
    pub spread: Option<Spread>,
    /// The time of a unit in milliseconds at each upstream, if they differ.
    pub unit_ms: Vec<(Name, f64)>,
}

impl Ticket {
    /// Sets the work to which the time to the first event is attributed.
    pub const fn attribute(&mut self, work: Option<Work>) {
        self.work = work;
    }
}

impl Upstream {
    /// Returns the estimated speed, or `None` as long as the service's upstreams are equal
    /// within the uncertainty.
    #[must_use]
    pub const fn speed(&self, kind: WorkKind) -> Option<Estimate> {
        self.speed.estimate(kind)
    }

    /// Returns the evidence of all instances for the upstream's speed.
    #[must_use]
    pub fn speed_evidence(&self, kind: WorkKind, now: Time) -> Evidence {
        self.speed.evidence(kind, now)
    }
}

impl Upstreams {
    /// Records the time to a request's first event.
    pub(super) fn record_speed(&mut self, ticket: &Ticket, now: Time) {
        let Some(work) = ticket.work.filter(|_| self.adaptation.speed) else {
            return;
        };
        let Some(sample) = work.sample(now.since(ticket.started)) else {
            return;
        };
        // The request may have run at an earlier process under this id.
        let row = self.rows.get_mut(&ticket.upstream);
        let Some(row) = row.filter(|row| row.entry.born_ms == ticket.born_ms) else {
            return;
        };
        row.speed.record(work.kind, &sample, now);
        let service = Name::clone(&row.entry.service);
        self.compare_speeds(&service, now);
    }

    /// Applies another instance's samples.
    pub fn apply_speeds(&mut self, updates: &[SpeedUpdate], now: Time) {
        if !self.adaptation.speed {
            return;
        }
        for update in updates.iter().take(MAX_REPORTED) {
            let Some(row) = self.by_process(update.process) else {
                continue;
            };
            row.speed.observe(update.kind(), &update.evidence(), now);
            let service = Name::clone(&row.entry.service);
            self.compare_speeds(&service, now);
        }
    }

    /// Returns the samples that change the estimates of upstreams most, for a heartbeat.
    pub fn take_speed_updates(&mut self) -> Vec<SpeedUpdate> {
        let mut due = Vec::new();
        for row in self.rows.values_mut() {
            for kind in WorkKind::ALL {
                let urgency = row.speed.urgency(kind);
                due.extend(urgency.map(|urgency| (urgency, kind, row.hash)));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0).then(Reverse(a.2).cmp(&Reverse(b.2))));
        due.truncate(MAX_REPORTED);
        let mut updates = Vec::new();
        for row in self.rows.values_mut() {
            for (_, kind, _) in due.iter().filter(|(_, _, hash)| *hash == row.hash) {
                let samples = row.speed.take_pending(*kind);
                updates.push(SpeedUpdate::new(process_of(&row.entry), *kind, &samples));
            }
        }
        updates
    }

    /// Compares the speeds of a service's upstreams if that is due.
    pub(super) fn compare_speeds(&mut self, service: &Name, now: Time) {
        let state = self.speeds.entry(Name::clone(service)).or_default();
        let is_recent = |at: Time| now.since(at) < COMPARISON_INTERVAL;
        if state.compared.is_some_and(is_recent) {
            return;
        }
        state.compared = Some(now);
        for kind in WorkKind::ALL {
            let of_service = |row: &&Upstream| row.entry.service == *service;
            let rows = self.rows.values().filter(of_service);
            let evidence = rows.map(|row| row.speed.evidence(kind, now));
            let evidence: Vec<_> = evidence.collect();
            let before = state.spreads[kind.index()];
            let spread = Spread::of(&evidence, before.is_some());
            state.spreads[kind.index()] = spread;
            state.typical_ms[kind.index()] = typical_ms(&evidence);
            if spread.is_none() && before.is_none() {
                continue;
            }
            let mut unit_ms = Vec::new();
            let rows = self.rows.values_mut();
            let rows = rows.filter(|row| row.entry.service == *service);
            for (row, evidence) in rows.zip(&evidence) {
                let estimate = spread.map(|spread| spread.estimate(evidence));
                row.speed.set_estimate(kind, estimate);
                unit_ms.extend(estimate.map(|e| (Name::clone(&row.entry.id), e.unit_ms)));
            }
            if spread.is_some() != before.is_some() {
                self.speed_changes.push(SpeedChange {
                    service: Name::clone(service),
                    kind,
                    spread,
                    unit_ms,
                });
            }
        }
    }

    /// Sets the estimate of an upstream without samples, by the service's other upstreams.
    pub(super) fn estimate_new(&mut self, id: &str) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        let Some(state) = self.speeds.get(&row.entry.service) else {
            return;
        };
        for kind in WorkKind::ALL {
            let spread = state.spreads[kind.index()];
            let estimate = spread.map(|spread| spread.estimate(&Evidence::default()));
            row.speed.set_estimate(kind, estimate);
        }
    }

    /// Returns the changes of comparisons since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.speed_changes)
    }
}
