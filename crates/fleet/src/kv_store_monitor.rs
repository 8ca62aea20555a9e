//! Which KV stores are up, and whether they have started anew.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

/// The time after which a store that nobody has heard of is not used. A fetch
/// from a dead store holds a request up for some hundred milliseconds.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The instances that ask the stores; the others go by their heartbeats.
const PROBERS: u32 = 2;

/// A `KvStoreStatus` is what instances tell each other of a KV store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvStoreStatus {
    /// The hash of the store's address.
    pub store: u64,
    /// A number that differs at each start of the store.
    pub boot: u64,
}

/// A `KvStoreMonitor` is what an instance knows of the KV stores.
#[derive(Clone, Debug, Default)]
pub struct KvStoreMonitor {
    stores: BTreeMap<u64, (u64, Time)>,
}

impl KvStoreMonitor {
    /// Returns whether an instance of this rank asks the stores itself.
    ///
    /// ```
    /// use limpetsaddle_fleet::kv_store_monitor::KvStoreMonitor;
    ///
    /// assert!(KvStoreMonitor::is_prober(0));
    /// assert!(!KvStoreMonitor::is_prober(40));
    /// ```
    #[must_use]
    pub const fn is_prober(rank: u32) -> bool {
        rank < PROBERS
    }

    /// Records that a store answered, and returns whether it started anew since
    /// it was last heard of.
    pub fn record_status(&mut self, status: KvStoreStatus, now: Time) -> bool {
        let before = self.stores.insert(status.store, (status.boot, now));
        before.is_some_and(|(boot, _)| boot != status.boot)
    }

    /// Returns whether a store may be used.
    #[must_use]
    pub fn is_up(&self, store: u64, now: Time) -> bool {
        let seen = self.stores.get(&store).map(|(_, at)| now.since(*at));
        seen.is_some_and(|silence| silence < STATUS_TIMEOUT)
    }

    /// Returns what other instances should know of the stores that are up.
    #[must_use]
    pub fn statuses(&self, now: Time) -> Vec<KvStoreStatus> {
        let up = self
            .stores
            .iter()
            .filter(|(store, _)| self.is_up(**store, now));
        let status = up.map(|(store, (boot, _))| KvStoreStatus {
            store: *store,
            boot: *boot,
        });
        status.collect()
    }
}
