//! The client of the platform's store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use limpetsaddle_core::units::Time;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Age;
use limpetsaddle_platform_wire::store::Call;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::Watched;
use limpetsaddle_platform_wire::store::Written;
use log::info;
use log::warn;
use serde::Serialize;

use super::call;
use super::call::CallError;
use crate::clock::millis;

/// The time that a call which does not wait for changes may take. The store
/// answers within some hundred milliseconds when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The time of failures from which entries may have lapsed meanwhile.
const OUTAGE_TIME: Duration = Duration::from_secs(1);

/// A `StoreClient` makes calls of the store, each over a connection of its own,
/// so that a connection that falls silent concerns one call only.
pub struct StoreClient {
    client: Client,
    address: SocketAddr,
    failing_since: Cell<Option<Time>>,
    outage_ended: Cell<Option<Time>>,
    losses: Cell<u64>,
}

impl StoreClient {
    /// Returns a client of the store at `address`.
    pub fn new(address: SocketAddr, now: Time) -> Self {
        let options = ClientOptions {
            connect_timeout: CALL_TIMEOUT,
            ..ClientOptions::default()
        };
        Self {
            client: Client::new(options),
            address,
            failing_since: Cell::new(Some(now)),
            outage_ended: Cell::new(None),
            losses: Cell::new(0),
        }
    }

    /// Lists every object of a kind, with the revision that the list shows.
    pub async fn list(&self, kind: &str, age: Age) -> Result<(Vec<Object>, u64), CallError> {
        let mut objects: Vec<Object> = Vec::new();
        loop {
            let after = objects.last().map(|object| object.name.clone());
            let call = Call::List {
                kind,
                after: after.as_deref(),
                age,
            };
            let (status, body) = self.call(&call, CALL_TIMEOUT).await?;
            let page = wire::store::page(status, &body)?;
            let end = page.objects.is_empty() || !page.has_more;
            objects.extend(page.objects);
            if end {
                return Ok((objects, page.at));
            }
        }
    }

    /// Waits for changes of a kind.
    pub async fn watch(
        &self,
        kind: &str,
        from: u64,
        wait: Duration,
        age: Age,
    ) -> Result<Watched, CallError> {
        let call = Call::Watch {
            kind,
            from,
            wait,
            age,
        };
        let (status, body) = self.call(&call, wait + CALL_TIMEOUT).await?;
        Ok(wire::store::watched(status, &body)?)
    }

    /// Creates an object, or replaces the one at `revision`.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        content: &impl Serialize,
    ) -> Result<Written, CallError> {
        let spec = &serde_json::value::to_raw_value(content).map_err(wire::Error::from)?;
        let call = match revision {
            None => Call::Create { kind, name, spec },
            Some(revision) => Call::Replace {
                kind,
                name,
                revision,
                spec,
            },
        };
        self.write(&call).await
    }

    /// Makes a call that writes.
    pub async fn write(&self, call: &Call<'_>) -> Result<Written, CallError> {
        let (status, body) = self.call(call, CALL_TIMEOUT).await?;
        Ok(wire::store::written(status, &body)?)
    }

    /// Records whether a call succeeded, and logs when the store is lost or
    /// regained.
    pub fn note(&self, failure: Option<&CallError>, now: Time) {
        match (failure, self.failing_since.get()) {
            (Some(error), None) => {
                self.failing_since.set(Some(now));
                self.losses.set(self.losses.get() + 1);
                warn!(dependency = "store", error:display; "dependency lost");
            }
            (None, Some(since)) => {
                let lasted = now.since(since);
                self.failing_since.set(None);
                if lasted >= OUTAGE_TIME {
                    self.outage_ended.set(Some(now));
                }
                let lasted_ms = millis(lasted);
                info!(dependency = "store", lasted_ms; "dependency regained");
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
    }

    /// Returns how often the store was lost. A call that was under way when that
    /// happened may never be answered.
    pub const fn losses(&self) -> u64 {
        self.losses.get()
    }

    /// Returns when the store was lost, if it does not answer.
    pub const fn lost_at(&self) -> Option<Time> {
        self.failing_since.get()
    }

    /// Returns whether the last call failed.
    pub const fn is_failing(&self) -> bool {
        self.failing_since.get().is_some()
    }

    /// Returns whether an outage ended less than `span` ago.
    pub fn is_after_outage(&self, span: Duration, now: Time) -> bool {
        self.outage_ended
            .get()
            .is_some_and(|at| now.since(at) < span)
    }

    async fn call(
        &self,
        request: &Call<'_>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        call::call(&self.client, self.address, request.request()?, limit).await
    }
}
