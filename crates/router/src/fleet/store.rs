//! The client of the platform's store.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::store_era::EraChange;
use limpetsaddle_fleet::store_era::KnownEra;
use limpetsaddle_fleet::store_era::StoreEra;
use limpetsaddle_fleet::store_reads::StoreRead;
use limpetsaddle_fleet::store_reads::StoreReads;
use limpetsaddle_http::BufferBudget;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Consistency;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::ObjectList;
use limpetsaddle_platform_wire::store::StoreCall;
use limpetsaddle_platform_wire::store::WatchResult;
use limpetsaddle_platform_wire::store::WriteResult;
use log::info;
use log::warn;
use serde::Serialize;

use super::call;
use super::call::CallError;
use crate::clock::SuspendClock;
use crate::clock::millis;

/// The time that a call may take beyond its wait for changes. A slow store
/// responds within several hundred milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The maximum size in bytes of all responses that are held at once.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// The shortest outage in which entries may have expired.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// All objects of a kind.
pub struct Listing {
    pub objects: Vec<Object>,
    /// The number of entries without a readable name.
    pub unnamed: usize,
    /// The revision of the store that the list reflects.
    pub revision: u64,
}

/// Makes calls to the store, each over a connection of its own, so that a
/// connection that silently fails affects one call only.
pub struct StoreClient {
    client: Client,
    /// The memory for responses.
    buffers: BufferBudget,
    address: SocketAddr,
    failing_since: Cell<Option<Time>>,
    outage_ended: Cell<Option<Time>>,
    outages: Cell<u64>,
    era: Cell<KnownEra>,
    reads: RefCell<StoreReads>,
    clock: SuspendClock,
}

impl StoreClient {
    /// Returns a client for the store at `address`.
    pub fn new(address: SocketAddr, now: Time) -> Self {
        let options = ClientOptions {
            connect_timeout: CALL_TIMEOUT,
            ..ClientOptions::default()
        };
        Self {
            client: Client::new(options),
            buffers: BufferBudget::new(MAX_BUFFERED_BYTES),
            address,
            failing_since: Cell::new(Some(now)),
            outage_ended: Cell::new(None),
            outages: Cell::new(0),
            era: Cell::new(KnownEra::default()),
            reads: RefCell::new(StoreReads::default()),
            clock: SuspendClock,
        }
    }

    /// Returns the highest era of the store that was seen, if any.
    pub const fn era(&self) -> Option<StoreEra> {
        self.era.get().get()
    }

    /// Records an era that a response or a peer states.
    ///
    /// Entries that are missing in an older copy are written again as after an
    /// outage.
    pub fn observe_era(&self, era: StoreEra) -> EraChange {
        let mut known = self.era.get();
        let change = known.observe(era);
        self.era.set(known);
        let now = self.clock.now();
        self.reads.borrow_mut().observe_era(era, now);
        if let EraChange::Risen { previous } = change {
            self.outage_ended.set(Some(now));
            let previous = previous.0;
            warn!(era = era.0, previous; "store has returned from an older copy; reading everything again");
        }
        change
    }

    /// Returns the reads that bound the ages of changes.
    pub const fn reads(&self) -> &RefCell<StoreReads> {
        &self.reads
    }

    /// Lists all objects of a kind.
    pub async fn list(&self, kind: &str, consistency: Consistency) -> Result<Listing, CallError> {
        let mut list = ObjectList::default();
        let mut era = self.era();
        let sent = self.clock.now();
        loop {
            let call = StoreCall::List {
                kind,
                after: list.after(),
                consistency,
            };
            let (status, body) = self.call(&call, CALL_TIMEOUT).await?;
            let page = wire::store::decode_page(status, &body)?;
            if self.era() != era {
                // Pages of different eras don't belong together.
                era = self.era();
                if !list.is_empty() {
                    list = ObjectList::default();
                    continue;
                }
            }
            let revision = page.revision;
            if list.add(page, body.len())? {
                if let Some(era) = era.filter(|_| consistency == Consistency::Linearizable) {
                    let read = StoreRead {
                        era,
                        revision,
                        sent,
                    };
                    self.reads.borrow_mut().record_own(read);
                }
                return Ok(Listing {
                    unnamed: list.unnamed(),
                    objects: list.into_objects(),
                    revision,
                });
            }
        }
    }

    /// Waits for changes of a kind after the revision `since`, for at most
    /// `wait`.
    pub async fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        consistency: Consistency,
    ) -> Result<WatchResult, CallError> {
        let call = StoreCall::Watch {
            kind,
            since,
            wait,
            consistency,
        };
        let (status, body) = self.call(&call, wait + CALL_TIMEOUT).await?;
        Ok(wire::store::decode_watch(status, &body)?)
    }

    /// Creates an object, or replaces the one at `revision`.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        content: &impl Serialize,
    ) -> Result<WriteResult, CallError> {
        let spec = &serde_json::value::to_raw_value(content).map_err(wire::Error::from)?;
        let call = match revision {
            None => StoreCall::Create { kind, name, spec },
            Some(revision) => StoreCall::Replace {
                kind,
                name,
                revision,
                spec,
            },
        };
        self.write(&call).await
    }

    /// Replaces the status of the object at `revision`.
    pub async fn put_status(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
        status: &impl Serialize,
    ) -> Result<WriteResult, CallError> {
        let status = &serde_json::value::to_raw_value(status).map_err(wire::Error::from)?;
        let call = StoreCall::ReplaceStatus {
            kind,
            name,
            revision,
            status,
        };
        self.write(&call).await
    }

    /// Makes a write call.
    pub async fn write(&self, call: &StoreCall<'_>) -> Result<WriteResult, CallError> {
        let (status, body) = self.call(call, CALL_TIMEOUT).await?;
        Ok(wire::store::decode_write(status, &body)?)
    }

    /// Records whether a call that was sent at `sent` succeeded, and logs the
    /// beginning and end of an outage.
    ///
    /// The late response to a call that was sent before an outage doesn't end it.
    pub fn record(&self, failure: Option<&CallError>, sent: Time, now: Time) {
        match (failure, self.failing_since.get()) {
            (Some(error), None) => {
                self.failing_since.set(Some(now));
                self.outages.set(self.outages.get() + 1);
                warn!(dependency = "store", error:display; "dependency unavailable");
            }
            (None, Some(since)) if sent >= since => {
                let lasted = now.since(since);
                self.failing_since.set(None);
                if lasted >= MIN_OUTAGE {
                    self.outage_ended.set(Some(now));
                }
                let lasted_ms = millis(lasted);
                info!(dependency = "store", lasted_ms; "dependency recovered");
            }
            (Some(_) | None, Some(_)) | (None, None) => {}
        }
    }

    /// Returns the number of outages so far. A call that was in progress when
    /// one began may never get a response.
    pub const fn outages(&self) -> u64 {
        self.outages.get()
    }

    /// Returns whether the last call failed.
    pub const fn is_failing(&self) -> bool {
        self.failing_since.get().is_some()
    }

    /// Returns whether an outage ended less than `span` ago.
    pub fn had_outage_within(&self, span: Duration, now: Time) -> bool {
        self.outage_ended
            .get()
            .is_some_and(|at| now.since(at) < span)
    }

    async fn call(
        &self,
        call: &StoreCall<'_>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let req = call.to_http()?;
        let (head, body) =
            call::call_with_head(&self.client, self.address, req, timeout, &self.buffers).await?;
        let era = wire::store::decode_era(&head.headers)?;
        if self.observe_era(era) == EraChange::Outdated {
            return Err(CallError::OutdatedEra(era));
        }
        Ok((head.status, body))
    }
}
