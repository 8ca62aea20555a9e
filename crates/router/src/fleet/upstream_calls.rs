//! Calls to upstreams and KV stores.
//!
//! Every call passes through [`UpstreamClient`]: requests of callers, reports, orders and
//! polls. It sends nothing to a recipient that is not available, and records what each
//! answer says of its sender's availability.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::response::Parts;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::availability::Availability;
use limpetsaddle_fleet::availability::AvailabilityChange;
use limpetsaddle_fleet::availability::ChangeKind;
use limpetsaddle_fleet::availability::Incarnation;
use limpetsaddle_fleet::availability::Notices;
use limpetsaddle_fleet::configuration::store_hash;
use limpetsaddle_fleet::permits::Permit;
use limpetsaddle_fleet::upstream_limit::LimitNotice;
use limpetsaddle_http::BufferBudget;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_http::Request;
use limpetsaddle_http::Response;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::headers;
use log::debug;
use log::info;
use log::warn;
use thiserror::Error as ThisError;

use super::call::CallError;
use super::instance::FleetInstance;
use super::life_signs::Process;
use super::permits;
use super::reach;
use super::response_limits::CallKind;
use super::response_limits::ResponseBuffers;
use super::response_limits::ResponseLimits;
use crate::clock::millis;

/// The recipient of a call: one run of a process at an address.
#[derive(Clone, Debug)]
pub enum Recipient {
    /// An upstream.
    Upstream {
        incarnation: Incarnation,
        address: SocketAddr,
    },
    /// A KV store.
    KvStore {
        address: SocketAddr,
        /// The number of the store's start, or 0 if none is known.
        boot: u64,
    },
}

impl Recipient {
    /// Returns the KV store at an address, as it is known at present.
    pub fn kv_store(instance: &FleetInstance, address: SocketAddr) -> Self {
        let boot = instance.kv_stores.borrow().boot(store_hash(address));
        Self::KvStore { address, boot }
    }

    /// Returns the recipient's address.
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::Upstream { address, .. } | Self::KvStore { address, .. } => *address,
        }
    }

    /// Returns whether the recipient may be called.
    fn availability(&self, instance: &FleetInstance, now: Time) -> Availability {
        match self {
            Self::Upstream { incarnation, .. } => {
                let upstreams = instance.upstreams.borrow();
                upstreams.availability(incarnation, now)
            }
            Self::KvStore { address, .. } => {
                let stores = instance.kv_stores.borrow();
                stores.availability(store_hash(*address), now)
            }
        }
    }
}

/// The cause for which a call got no response.
#[derive(Debug, ThisError)]
pub enum SendError {
    /// The recipient is not available, so nothing was sent.
    #[error("nothing was sent, as the recipient is {}", .0.code())]
    Withheld(Availability),
    /// The call became obsolete while the connection was being established.
    #[error("nothing was sent, as the call became obsolete")]
    Obsolete,
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] limpetsaddle_http::Error),
}

impl SendError {
    /// Returns the failure of an attempt.
    pub const fn failure(&self) -> Failure {
        match self {
            Self::Withheld(_) | Self::Obsolete => Failure::Withheld,
            Self::Http(error) if error.not_sent() => Failure::ConnectFailed,
            Self::Http(_) => Failure::ConnectionLost,
        }
    }
}

/// The cause for which a process was not asked or has not answered.
#[derive(Debug, ThisError)]
pub enum AskError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] limpetsaddle_http::Error),
    /// The request cannot be encoded.
    #[error(transparent)]
    Wire(#[from] wire::Error),
}

impl AskError {
    /// Returns whether the host has refused the connection.
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Http(error) => error.is_refused(),
            Self::Wire(_) => false,
        }
    }
}

/// The time in which a host that accepts connections for a process that has ended closes them.
const CLOSE_WAIT: Duration = Duration::from_millis(15);

/// The client for upstreams and KV stores.
pub struct UpstreamClient {
    client: Client,
    /// The memory for responses.
    pub buffers: ResponseBuffers,
}

impl UpstreamClient {
    /// Returns a client with the limits in `options`, whose responses to callers' requests take
    /// memory of `callers`.
    pub fn new(options: ClientOptions, callers: &BufferBudget) -> Self {
        Self {
            client: Client::new(options),
            buffers: ResponseBuffers::new(ResponseLimits::default(), callers),
        }
    }

    /// Sends a request and returns its response once the head has been read.
    ///
    /// `prepare` returns the request once the connection is established, so that what the
    /// request states, and what permits it, holds when it is sent. It returns `None` if the
    /// request is not to be sent any more. `id` is the id of a caller's request, or the kind
    /// of another call, for the log.
    ///
    /// # Errors
    ///
    /// Fails when the recipient is not available, before or after the connection is
    /// established, when the request is not to be sent, or when the exchange fails.
    pub async fn send(
        &self,
        instance: &FleetInstance,
        recipient: &Recipient,
        prepare: impl FnOnce() -> Option<Request>,
        id: &str,
    ) -> Result<Response, SendError> {
        let permit = admit(instance, recipient, None)?;
        let begun = instance.now();
        let conn = match self.client.open(recipient.address()).await {
            Ok(conn) => conn,
            Err(error) => {
                give_back(instance, recipient, permit);
                reach::record_failure(instance, recipient, begun);
                return Err(error.into());
            }
        };
        let permit = admit(instance, recipient, permit)?;
        let Some(req) = prepare() else {
            give_back(instance, recipient, permit);
            instance.metrics.record_withheld_call("obsolete");
            return Err(SendError::Obsolete);
        };
        if permit.is_some() {
            instance.metrics.record_permits("used", 1);
        }
        let sent = instance.now();
        let res = match reach::watch(instance, recipient, sent, conn.send(req)).await {
            Ok(res) => res,
            Err(error) => {
                reach::record_failure(instance, recipient, begun);
                return Err(error.into());
            }
        };
        reach::record_answer(instance, recipient, begun);
        observe(instance, recipient, &res.head, sent, id);
        if let Some(permit) = permit {
            report_lifted(instance, recipient, permit);
        }
        Ok(res)
    }

    /// Asks a process for its report, whether it takes requests of callers or not. Returns `None`
    /// if it accepts a connection but may not be called now.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be established or the exchange fails.
    pub async fn ask(
        &self,
        instance: &FleetInstance,
        process: &Process,
    ) -> Result<Option<Response>, AskError> {
        let recipient = &process.recipient;
        let conn = self.client.open(recipient.address()).await?;
        let req = wire::engine::report_request(&process.incarnation.upstream)?;
        let permit = match recipient.availability(instance, instance.now()) {
            Availability::Resting { .. } => return Ok(None),
            Availability::Leaving | Availability::Gone => None,
            Availability::Serving | Availability::Limited { .. } => {
                match admit(instance, recipient, None) {
                    Ok(permit) => permit,
                    Err(_) => return Ok(None),
                }
            }
        };
        if permit.is_some() {
            instance.metrics.record_permits("used", 1);
        }
        let sent = instance.now();
        let res = conn.send(req).await?;
        observe(
            instance,
            recipient,
            &res.head,
            sent,
            CallKind::Report.code(),
        );
        if let Some(permit) = permit {
            report_lifted(instance, recipient, permit);
        }
        Ok(Some(res))
    }

    /// Returns whether a recipient that may be called is reached: its host accepts a connection
    /// and leaves it open, be its process alive or not. Sends nothing.
    pub async fn reaches(&self, instance: &FleetInstance, recipient: &Recipient) -> bool {
        if check(instance, recipient).is_err() {
            return false;
        }
        match self.client.open(recipient.address()).await {
            Ok(mut conn) => {
                let closed = monoio::time::timeout(CLOSE_WAIT, conn.closed()).await;
                closed.is_err()
            }
            Err(error) => {
                let address = recipient.address();
                debug!(address:display, error:display; "upstream not reached");
                false
            }
        }
    }

    /// Sends a request as [`send`](Self::send) does, and returns the status and body of the
    /// response.
    ///
    /// # Errors
    ///
    /// Fails when no complete response is received within `timeout`.
    pub async fn call(
        &self,
        instance: &FleetInstance,
        recipient: &Recipient,
        prepare: impl FnOnce() -> Option<Request>,
        kind: CallKind,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let exchange = async {
            let res = self.send(instance, recipient, prepare, kind.code()).await?;
            let status = res.head.status;
            let max_bytes = self.buffers.max_bytes(kind);
            let body = res.collect_within(max_bytes, &self.buffers.calls).await?;
            Ok((status, body))
        };
        match monoio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout(timeout)),
        }
    }
}

fn check(instance: &FleetInstance, recipient: &Recipient) -> Result<(), SendError> {
    let state = recipient.availability(instance, instance.now());
    // A limit counts requests, not connections.
    if state.is_serving() {
        return Ok(());
    }
    withhold(instance, state)
}

/// Permits a call, with a permit if the recipient limits all instances together. `held` is the
/// permit that the call has been given before.
fn admit(
    instance: &FleetInstance,
    recipient: &Recipient,
    held: Option<Permit>,
) -> Result<Option<Permit>, SendError> {
    let now = instance.now();
    let held = held.filter(|permit| now < permit.expires);
    let state = recipient.availability(instance, now);
    let Recipient::Upstream { incarnation, .. } = recipient else {
        return check(instance, recipient).map(|()| None);
    };
    let mut upstreams = instance.upstreams.borrow_mut();
    let is_limited = upstreams
        .limit_record(incarnation.process())
        .named()
        .is_some();
    match state {
        Availability::Serving if !is_limited => Ok(None),
        Availability::Serving | Availability::Limited { .. } => {
            match held.or_else(|| upstreams.take_permit(incarnation, now)) {
                Some(permit) => Ok(Some(permit)),
                None => withhold(instance, state),
            }
        }
        Availability::Resting { .. } | Availability::Leaving | Availability::Gone => {
            withhold(instance, state)
        }
    }
}

/// Returns the permit of a call that was not sent.
fn give_back(instance: &FleetInstance, recipient: &Recipient, permit: Option<Permit>) {
    if let Some((Recipient::Upstream { incarnation, .. }, permit)) = Some(recipient).zip(permit) {
        let mut upstreams = instance.upstreams.borrow_mut();
        upstreams.return_permit(incarnation, permit);
    }
}

/// Tells the issuer of a permit if the answer to the call that was sent with it has ended the
/// limit.
fn report_lifted(instance: &FleetInstance, recipient: &Recipient, permit: Permit) {
    if let Recipient::Upstream { incarnation, .. } = recipient {
        let record = {
            let upstreams = instance.upstreams.borrow();
            upstreams.limit_record(incarnation.process())
        };
        if record.named().is_none() {
            permits::report_lifted(instance, incarnation, permit);
        }
    }
}

fn withhold<T>(instance: &FleetInstance, state: Availability) -> Result<T, SendError> {
    instance.metrics.record_withheld_call(state.code());
    Err(SendError::Withheld(state))
}

/// Records what the head of an answer says of the recipient that the call was sent to at
/// `sent`.
fn observe(instance: &FleetInstance, recipient: &Recipient, head: &Parts, sent: Time, id: &str) {
    let now = instance.now();
    let notices = Notices {
        leaving: valid_or_default(instance, headers::leaving_notice(&head.headers), id),
        rest: valid_or_default(
            instance,
            headers::rest_notice(head.status, &head.headers),
            id,
        ),
        limit: limit_notice(instance, head, sent, id),
    };
    match recipient {
        Recipient::Upstream { incarnation, .. } => {
            let answers = headers::response_fields(&head.headers).upstream;
            let is_other = answers.is_some_and(|other| other != incarnation.upstream);
            let mut upstreams = instance.upstreams.borrow_mut();
            // The notices are those of another process.
            if !is_other {
                upstreams.record_notices(incarnation, &notices, now);
            } else if head.status == StatusCode::MISDIRECTED_REQUEST {
                upstreams.mark_replaced(incarnation, now);
            }
            drop(upstreams);
            log_changes(instance, id);
        }
        Recipient::KvStore { address, boot } => {
            let mut stores = instance.kv_stores.borrow_mut();
            if stores.record_notices(store_hash(*address), *boot, &notices, now) {
                let rest_ms = notices.rest.map_or(0, millis);
                instance.metrics.record_mark("kv_store");
                info!(id, address:display, boot, leaving = notices.leaving, rest_ms; "KV store not available");
            }
        }
    }
}

/// Returns what the head of an answer says of its upstream's limit. Refusals and errors without
/// a signature may not be the upstream's own.
fn limit_notice(instance: &FleetInstance, head: &Parts, sent: Time, id: &str) -> LimitNotice {
    let notice = headers::limit_notice(&head.headers);
    let is_signed = headers::response_fields(&head.headers).signed;
    let notice = notice.map(|rate| match rate {
        Some(rate) => LimitNotice::Limited { rate, is_signed },
        None if is_signed || head.status.is_success() => LimitNotice::Unlimited { sent, is_signed },
        None => LimitNotice::Unknown,
    });
    valid_or_default(instance, notice, id)
}

fn valid_or_default<T: Default>(instance: &FleetInstance, notice: wire::Result<T>, id: &str) -> T {
    notice.unwrap_or_else(|error| {
        instance.metrics.record_ignored_notice();
        warn!(id, error:display; "ignoring notice of upstream");
        T::default()
    })
}

/// Logs and counts the changes of upstreams' availability.
///
/// `id` is the id of the request, or the kind of the call, whose answer was the cause.
pub fn log_changes(instance: &FleetInstance, id: &str) {
    let now = instance.now();
    let changes = instance.upstreams.borrow_mut().take_changes(now);
    let mut limited = Vec::new();
    for AvailabilityChange { incarnation, kind } in changes {
        let Incarnation { upstream, born_ms } = &incarnation;
        match kind {
            ChangeKind::Leaving(source) => {
                let source = source.code();
                instance.metrics.record_mark(source);
                info!(id, upstream:display, born_ms, source; "upstream leaving");
            }
            ChangeKind::Resting { until } => {
                instance.metrics.record_mark("rest");
                let rest_ms = millis(until.since(now));
                info!(id, upstream:display, born_ms, rest_ms; "upstream resting");
            }
            ChangeKind::Limited { rate, source } => {
                limited.push((incarnation.clone(), source));
                let source = source.code();
                instance.metrics.record_limit_change("limited", source);
                let per_second = rate.as_per_second();
                info!(id, upstream:display, born_ms, per_second, source; "upstream limited");
            }
            ChangeKind::Unlimited(source) => {
                let source = source.code();
                instance.metrics.record_limit_change("unlimited", source);
                info!(id, upstream:display, born_ms, source; "upstream no longer limited");
            }
            ChangeKind::Replaced => {
                instance.metrics.record_mark("replaced");
                info!(id, upstream:display, born_ms; "upstream replaced");
            }
            ChangeKind::Freed => info!(upstream:display, born_ms; "upstream free again"),
            ChangeKind::Gone => info!(upstream:display, born_ms; "unavailable upstream gone"),
        }
    }
    for (incarnation, source) in limited {
        permits::announce(instance, &incarnation, source);
    }
}
