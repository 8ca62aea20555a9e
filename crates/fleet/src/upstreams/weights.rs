//! The weights that upstreams have loaded, and pauses while they load.

use std::time::Duration;

use limpetsaddle_core::units::Time;

use super::Upstream;
use super::Upstreams;
use super::Weights;
use super::process_of;
use crate::Name;
use crate::heartbeat::WeightsUpdate;

/// The time for which heartbeats repeat changes of weights: four heartbeat intervals of
/// a large fleet. Engines report their weights as well, and during a rollout over many
/// engines a longer time would saturate the holder's link.
const WEIGHTS_REPEAT_TIME: Duration = Duration::from_millis(1_200);

impl Upstreams {
    /// Records the weights that an upstream stated in a response.
    pub fn observe_weights(&mut self, id: &str, model: &str, version: u64) {
        if let Some(row) = self.rows.get_mut(id) {
            raise_version(row, model, version);
        }
    }

    /// Sends an upstream no requests for a time, and reports that to other instances.
    pub fn pause_requests(&mut self, id: &str, span: Duration, now: Time) {
        if let Some(row) = self.rows.get_mut(id) {
            row.paused_until = Some(now + span);
            row.paused_at = Some(now);
        }
    }

    /// Sets the version that an upstream stated when it rejected a request for other
    /// weights. It may be older than before, after a restart.
    pub fn reset_weights(&mut self, id: &str, model: &str, version: u64) {
        if let Some(row) = self.rows.get_mut(id) {
            loaded(row, model).version = version;
        }
    }

    /// Returns whether an upstream that states no weights may serve a model, as others of its
    /// service do.
    #[must_use]
    pub fn may_serve(&self, row: &Upstream, model: &str) -> bool {
        let same_service = |other: &&Upstream| other.entry.service == row.entry.service;
        let mut others = self.rows.values().filter(same_service);
        row.entry.weights.is_empty() && others.any(|other| other.weights(model).is_some())
    }

    /// Applies a report of weights by another instance.
    pub fn apply_weights(&mut self, update: &WeightsUpdate, now: Time) {
        let Some(row) = self.by_process(update.process) else {
            return;
        };
        if let Some(model) = row.entry.weights.first().map(|w| Name::clone(&w.model)) {
            raise_version(row, &model, update.version);
        }
        let pause = Duration::from_millis(u64::from(update.away_ms));
        row.paused_until = (!pause.is_zero()).then_some(now + pause);
        row.away_until = row.paused_until;
    }

    /// Returns the recent changes of weights for heartbeats.
    #[must_use]
    pub fn weights_updates(&self, now: Time) -> Vec<WeightsUpdate> {
        self.weights_updates_within(WEIGHTS_REPEAT_TIME, now)
    }

    /// Returns the changes of weights within `span`, for notices.
    #[must_use]
    pub fn weights_updates_within(&self, span: Duration, now: Time) -> Vec<WeightsUpdate> {
        let recent = |row: &&Upstream| row.paused_at.is_some_and(|at| now.since(at) < span);
        let update = |row: &Upstream| {
            row.entry.weights.first().map(|w| WeightsUpdate {
                process: process_of(&row.entry),
                version: w.version,
                away_ms: pause_left_ms(row, now),
            })
        };
        self.rows
            .values()
            .filter(recent)
            .filter_map(update)
            .collect()
    }
}

/// Keeps the highest version seen, as a process never returns to older weights.
pub(super) fn raise_version(row: &mut Upstream, model: &str, version: u64) {
    let loaded = loaded(row, model);
    loaded.version = loaded.version.max(version);
}

/// Returns the weights of a model, which are added if the upstream has stated none.
fn loaded<'a>(row: &'a mut Upstream, model: &str) -> &'a mut Weights {
    let all = &mut row.entry.weights;
    let known = all.iter().position(|w| &*w.model == model);
    let at = known.unwrap_or_else(|| {
        all.push(Weights {
            model: model.into(),
            version: 0,
        });
        all.len() - 1
    });
    &mut all[at]
}

fn pause_left_ms(row: &Upstream, now: Time) -> u32 {
    let left = row
        .paused_until
        .map_or(Duration::ZERO, |until| until.since(now));
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}
