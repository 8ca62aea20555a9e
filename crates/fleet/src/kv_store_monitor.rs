//! The KV stores that are up, and their restarts.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::availability::Availability;
use crate::availability::AvailabilityRecord;
use crate::availability::Notices;

/// The age from which a status is outdated and its store not used. A fetch from a dead
/// store delays a request by some hundred milliseconds.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The number of instances that probe the stores; the others rely on their heartbeats.
const PROBERS: u32 = 2;

/// The status of a KV store in heartbeats.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvStoreStatus {
    /// The hash of the store's address.
    pub store: u64,
    /// A number that is different at each start of the store.
    pub boot: u64,
}

/// The last status of each KV store.
#[derive(Clone, Debug, Default)]
pub struct KvStoreMonitor {
    stores: BTreeMap<u64, (u64, Time)>,
    /// What stores have said in answers, with their boot numbers then.
    records: BTreeMap<u64, (u64, AvailabilityRecord)>,
}

impl KvStoreMonitor {
    /// Returns whether an instance of this rank probes the stores itself.
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

    /// Records the status of a store, and returns whether the store has restarted since the
    /// previous status.
    pub fn record_status(&mut self, status: KvStoreStatus, now: Time) -> bool {
        let previous = self.stores.insert(status.store, (status.boot, now));
        previous.is_some_and(|(boot, _)| boot != status.boot)
    }

    /// Returns the number of a store's start, or 0 if none is known.
    #[must_use]
    pub fn boot(&self, store: u64) -> u64 {
        self.stores.get(&store).map_or(0, |(boot, _)| *boot)
    }

    /// Records what a store said in an answer to a call that was sent to its start numbered
    /// `boot`, and returns whether that is new.
    pub fn record_notices(&mut self, store: u64, boot: u64, notices: &Notices, now: Time) -> bool {
        if boot != self.boot(store) {
            return false;
        }
        let (known, record) = self.records.entry(store).or_default();
        if *known != boot {
            *known = boot;
            *record = AvailabilityRecord::default();
        }
        let leaves = notices.leaving && record.leave();
        let rests = notices
            .rest
            .is_some_and(|rest| record.rest(rest, now).is_some());
        leaves || rests
    }

    /// Returns whether a store may be called.
    #[must_use]
    pub fn availability(&self, store: u64, now: Time) -> Availability {
        let boot = self.boot(store);
        let record = self.records.get(&store).filter(|(known, _)| *known == boot);
        record.map_or(Availability::Serving, |(_, record)| record.state(now))
    }

    /// Returns whether prompts may be fetched from a store and saved to it.
    #[must_use]
    pub fn is_up(&self, store: u64, now: Time) -> bool {
        self.is_live(store, now) && self.availability(store, now).accepts_calls()
    }

    fn is_live(&self, store: u64, now: Time) -> bool {
        let age = self.stores.get(&store).map(|(_, at)| now.since(*at));
        age.is_some_and(|age| age < STATUS_TIMEOUT)
    }

    /// Returns the statuses of the stores that are up, for heartbeats.
    #[must_use]
    pub fn statuses(&self, now: Time) -> Vec<KvStoreStatus> {
        let up = self
            .stores
            .iter()
            .filter(|(store, _)| self.is_live(**store, now));
        let statuses = up.map(|(store, (boot, _))| KvStoreStatus {
            store: *store,
            boot: *boot,
        });
        statuses.collect()
    }
}
