//! The order in which engines load new weights.
//!
//! A loading engine turns requests away, and loads slow each other down beyond
//! a few at once. Engines with the least work go first.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use crate::Name;
use crate::peers::Peers;
use crate::placement::NamedWeights;
use crate::upstreams::Upstream;
use crate::upstreams::Upstreams;

/// A `Load` is one engine that is to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// The engine's id.
    pub upstream: Name,
    /// The engine's address.
    pub address: SocketAddr,
    /// The model.
    pub model: Name,
    /// The version to be loaded.
    pub version: u64,
}

/// The part of a service's engines that load at once.
const AT_ONCE_PART: usize = 5;

/// The least number of engines that load at once.
const AT_ONCE_LEAST: usize = 2;

/// The pause before an engine that did not load gets another order.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// A `Rollout` keeps track of the engines that are loading.
#[derive(Debug, Default)]
pub struct Rollout {
    loading: BTreeMap<Name, u64>,
    paused: BTreeMap<Name, Time>,
}

impl Rollout {
    /// Returns whether any engine lacks the newest weights.
    #[must_use]
    pub fn is_wanted(upstreams: &Upstreams, named: &[NamedWeights]) -> bool {
        named.iter().any(|n| behind(upstreams, n).next().is_some())
    }

    /// Returns the engines that are to load now, and counts them as loading.
    pub fn plan(
        &mut self,
        upstreams: &Upstreams,
        peers: &Peers,
        named: &[NamedWeights],
        now: Time,
    ) -> Vec<Load> {
        self.paused.retain(|_, until| now < *until);
        let mut loads = Vec::new();
        for named in named {
            let serving = upstreams
                .iter()
                .filter(|r| r.weights(&named.model).is_some());
            let at_once = serving.count().div_ceil(AT_ONCE_PART).max(AT_ONCE_LEAST);
            let mut waiting: Vec<&Upstream> = behind(upstreams, named)
                .filter(|row| !self.loading.contains_key(&row.entry.id))
                .filter(|row| !self.paused.contains_key(&row.entry.id))
                .collect();
            waiting.sort_by_key(|row| {
                let elsewhere = peers.load(row.hash, now).requests;
                let dark = row.health.is_avoided(now);
                (dark, row.own.requests + elsewhere)
            });
            let room = at_once.saturating_sub(self.loading.len());
            for row in waiting.into_iter().take(room) {
                self.loading
                    .insert(Name::clone(&row.entry.id), named.version);
                loads.push(Load {
                    upstream: Name::clone(&row.entry.id),
                    address: row.entry.address,
                    model: Name::clone(&named.model),
                    version: named.version,
                });
            }
        }
        loads
    }

    /// Records that an order has ended, with the weights in place or not.
    pub fn ended(&mut self, upstream: &str, loaded: bool, now: Time) {
        if let Some((id, _)) = self.loading.remove_entry(upstream)
            && !loaded
        {
            self.paused.insert(id, now + RETRY_PAUSE);
        }
    }

    /// Returns whether any order has not ended.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.loading.is_empty()
    }
}

fn behind<'a>(
    upstreams: &'a Upstreams,
    named: &'a NamedWeights,
) -> impl Iterator<Item = &'a Upstream> {
    let lacks = |row: &&Upstream| {
        let version = row.weights(&named.model);
        row.takes_work() && version.is_some_and(|v| v < named.version)
    };
    upstreams.iter().filter(lacks)
}
