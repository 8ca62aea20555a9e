//! Relaying of an upstream's response to the caller.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::configuration::RouteKind;
use limpetsaddle_fleet::events::EventLimits;
use limpetsaddle_fleet::events::NewEvents;
use limpetsaddle_fleet::events::NoNewEvent;
use limpetsaddle_fleet::events::RawEvent;
use limpetsaddle_fleet::health::RequestOutcome;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::runs::RunId;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Reservation;
use limpetsaddle_platform_wire::headers;
use limpetsaddle_platform_wire::headers::ResponseFields;
use log::info;
use log::warn;
use thiserror::Error as ThisError;

use super::canary;
use super::crashes;
use super::forward::ForwardOutcome;
use super::forward::Forwarder;
use super::forward::buffered_response;
use super::forward::elapsed_ms;
use super::hop_by_hop;
use super::in_flight::InFlightGuard;
use super::reach;
use super::responses::split;
use super::resume;
use super::unfinished::CutOffCause;
use super::unfinished::record_cut_off;
use super::upstream_calls::Recipient;
use crate::clock::millis;

/// The outcome of one attempt at an upstream.
pub enum AttemptOutcome {
    /// The upstream has sent the whole response, or the first event of a stream.
    Responded(UpstreamResponse),
    Failed {
        failure: Failure,
        /// Details for the log; empty if the failure needs none.
        cause: String,
        /// The error response of the upstream, if it sent one.
        response: Option<Response<Bytes>>,
    },
}

impl AttemptOutcome {
    const fn failed(failure: Failure) -> Self {
        Self::Failed {
            failure,
            cause: String::new(),
            response: None,
        }
    }

    fn caused(failure: Failure, error: &impl std::error::Error) -> Self {
        Self::Failed {
            failure,
            cause: error.to_string(),
            response: None,
        }
    }
}

/// A response that an upstream has sent or started to stream.
pub enum UpstreamResponse {
    /// The whole response.
    Buffered(Response<Bytes>),
    /// A stream whose first event has been read.
    Stream(Box<Stream>),
}

impl UpstreamResponse {
    /// Returns the header fields.
    pub fn headers(&self) -> &HeaderMap {
        match self {
            Self::Buffered(res) => res.headers(),
            Self::Stream(stream) => stream.head.headers(),
        }
    }

    /// Returns whether the status is one of success.
    pub fn is_success(&self) -> bool {
        match self {
            Self::Buffered(res) => res.status().is_success(),
            Self::Stream(stream) => stream.head.status().is_success(),
        }
    }
}

/// A streamed response that is being read.
pub struct Stream {
    head: Response<()>,
    res: limpetsaddle_http::Response,
    run: RunId,
    events: NewEvents,
    /// The upstream, if only the end of its connection shows the end of the stream.
    unframed: Option<Recipient>,
    /// Whether any event has been read.
    has_event: bool,
    /// The memory of what has been received and not relayed.
    reservation: Reservation,
    /// The next event, if it has been read.
    next: Option<RawEvent>,
    ended: bool,
    /// The time of the upstream's last new event.
    pub last_event_at: Time,
    /// The pause after which the upstream counts as silent, if another one may continue
    /// the stream.
    patience: Option<Duration>,
    /// Whether the upstream is silent and nothing replaces it.
    pub is_awaited: bool,
}

/// The reason why a stream has no next event.
enum NoEvent {
    Failed(StreamError),
    /// The upstream has sent no new event for the stream's patience.
    Silent,
}

/// The failure of a stream.
#[derive(Debug, ThisError)]
pub enum StreamError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] limpetsaddle_http::Error),
    /// The stream goes on without a new event.
    #[error(transparent)]
    NoNewEvent(#[from] NoNewEvent),
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    Truncated,
    /// The connection, which alone shows the end of the stream, ended before its first event or
    /// together with the upstream.
    #[error("the stream was broken off: it ended before its first event or with its upstream")]
    BrokenOff,
}

impl StreamError {
    /// Returns the failure of the attempt.
    pub const fn failure(&self) -> Failure {
        match self {
            Self::Http(error) => read_failure(error),
            Self::Truncated | Self::BrokenOff => Failure::ConnectionLost,
            Self::NoNewEvent(_) => Failure::InvalidResponse,
        }
    }
}

/// The upstream that a response comes from.
pub struct Origin {
    /// Counts the request as in flight at the upstream.
    pub in_flight: InFlightGuard,
    pub placement: Placement,
}

/// A response to be relayed, with its upstream.
pub struct PendingResponse {
    pub origin: Origin,
    pub response: UpstreamResponse,
}

/// Sends a request to an upstream and waits for the response, or for the first
/// event of a stream.
///
/// Sets `has_begun` once the upstream has begun the request, if that shows before.
pub async fn send_attempt(
    forwarder: &Forwarder<'_>,
    placement: &Placement,
    run: RunId,
    has_begun: &Cell<bool>,
) -> AttemptOutcome {
    let instance = forwarder.instance;
    let id = forwarder.accepted.fields.id.as_deref().unwrap_or_default();
    let recipient = Recipient::Upstream {
        incarnation: placement.incarnation(),
        address: placement.address,
    };
    let client = &instance.upstream_client;
    let prepare = || forwarder.upstream_request(placement, run);
    let res = match client.send(instance, &recipient, prepare, id).await {
        Ok(res) => res,
        Err(err) => return AttemptOutcome::caused(err.failure(), &err),
    };
    let fields = headers::response_fields(&res.head.headers);
    record_weights(forwarder, placement, res.head.status, &fields);
    if let Some(failure) = rejection(res.head.status, &fields) {
        return AttemptOutcome::failed(failure);
    }
    if !matches_request(forwarder, &fields) {
        return AttemptOutcome::failed(Failure::InvalidResponse);
    }
    instance.runs.borrow_mut().record_head(run, instance.now());
    let status = res.head.status;
    let streams = matches!(forwarder.accepted.route.kind, RouteKind::Stream { .. });
    if status.is_success() && !fields.signed {
        return AttemptOutcome::failed(Failure::InvalidResponse);
    }
    if status.is_success() && streams {
        return open_stream(forwarder, res, recipient, run).await;
    }
    has_begun.set(true);
    read_buffered(forwarder, res, recipient).await
}

fn record_weights(
    forwarder: &Forwarder<'_>,
    placement: &Placement,
    status: StatusCode,
    fields: &ResponseFields,
) {
    let mut upstreams = forwarder.instance.upstreams.borrow_mut();
    let other = fields
        .upstream
        .as_ref()
        .filter(|id| **id != placement.upstream);
    if status == StatusCode::MISDIRECTED_REQUEST && other.is_some() {
        return;
    }
    let prompt = forwarder.accepted.fields.prompt.as_ref();
    let model = prompt.and_then(|p| p.model.as_deref());
    if let Some((model, version)) = model.zip(fields.weights) {
        if status == StatusCode::MISDIRECTED_REQUEST {
            upstreams.reset_weights(&placement.upstream, model, version);
        } else {
            upstreams.observe_weights(&placement.upstream, model, version);
        }
    }
}

/// Returns the failure if the upstream reports that it has not run the request.
fn rejection(status: StatusCode, fields: &ResponseFields) -> Option<Failure> {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Failure::Misdirected);
    }
    fields.not_run.then_some(Failure::Rejected)
}

/// Returns whether a response belongs to this request and is unmodified.
fn matches_request(forwarder: &Forwarder<'_>, fields: &ResponseFields) -> bool {
    let own = forwarder.accepted.fields.id.as_deref();
    !fields.encoded && own.is_none_or(|own| fields.request_id.as_deref() == Some(own))
}

async fn read_buffered(
    forwarder: &Forwarder<'_>,
    res: limpetsaddle_http::Response,
    recipient: Recipient,
) -> AttemptOutcome {
    let (head, res) = split(res);
    let unframed = res.ends_with_connection.then_some(recipient);
    let status = head.status;
    let buffers = &forwarder.instance.upstream_client.buffers;
    let max_bytes = if status.is_success() {
        buffers.limits.relayed
    } else {
        buffers.limits.error
    };
    let budget = &forwarder.accepted.relayed;
    let body = match res.collect_within(max_bytes, budget).await {
        Ok(body) => body,
        Err(error) => return AttemptOutcome::caused(read_failure(&error), &error),
    };
    if let Some(upstream) = unframed
        && !crashes::is_complete(forwarder, &upstream).await
    {
        return AttemptOutcome::caused(Failure::ConnectionLost, &StreamError::BrokenOff);
    }
    let response = buffered_response(head, body);
    if status.is_success() {
        return AttemptOutcome::Responded(UpstreamResponse::Buffered(response));
    }
    // To the caller, these statuses mean that the request has not run, which
    // this upstream does not report.
    if implies_not_run(status) {
        return AttemptOutcome::failed(Failure::InvalidResponse);
    }
    if forwarder.accepted.route.kind.may_repeat() && status.is_server_error() {
        return AttemptOutcome::Failed {
            failure: Failure::UpstreamError,
            cause: status.to_string(),
            response: Some(response),
        };
    }
    AttemptOutcome::Responded(UpstreamResponse::Buffered(response))
}

/// Returns the failure of an attempt whose response could not be read to its end.
const fn read_failure(error: &limpetsaddle_http::Error) -> Failure {
    match error {
        limpetsaddle_http::Error::OversizedBody => Failure::InvalidResponse,
        _ => Failure::ConnectionLost,
    }
}

fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Reads a stream up to its first event.
async fn open_stream(
    forwarder: &Forwarder<'_>,
    res: limpetsaddle_http::Response,
    recipient: Recipient,
    run: RunId,
) -> AttemptOutcome {
    let (mut head, res) = split(res);
    hop_by_hop::remove(&mut head.headers);
    let mut stream = Stream {
        head: Response::from_parts(head, ()),
        unframed: res.ends_with_connection.then_some(recipient),
        has_event: false,
        res,
        run,
        events: NewEvents::new(EventLimits::default()),
        reservation: forwarder.accepted.relayed.reservation(),
        next: None,
        ended: false,
        last_event_at: forwarder.instance.now(),
        patience: forwarder
            .instance
            .patience
            .until_event(&forwarder.accepted.route),
        is_awaited: false,
    };
    if let Err(error) = stream.read_event(forwarder).await {
        return AttemptOutcome::caused(error.failure(), &error);
    }
    AttemptOutcome::Responded(UpstreamResponse::Stream(Box::new(stream)))
}

impl Stream {
    /// Reads up to the next new event or the end of the stream. Cancel-safe.
    pub async fn read_event(&mut self, forwarder: &Forwarder<'_>) -> Result<(), StreamError> {
        while self.next.is_none() && !self.ended {
            let last = forwarder.last_event.borrow().clone();
            self.next = self.events.next_after(last.as_deref())?;
            if self.next.is_some() {
                self.has_event = true;
                self.last_event_at = forwarder.instance.now();
                self.is_awaited = false;
                break;
            }
            match self.res.next().await? {
                Some(bytes) => {
                    reach::record_bytes(forwarder.instance, &forwarder.service, self.run);
                    self.events.push(&bytes);
                    self.reservation.resize(self.events.buffered())?;
                }
                None if self.events.has_partial_event() => return Err(StreamError::Truncated),
                None if self.was_broken_off(forwarder).await => return Err(StreamError::BrokenOff),
                None => {
                    self.next = self.events.take_rest();
                    self.ended = true;
                }
            }
        }
        Ok(())
    }

    /// Returns whether the end of the connection is not that of the stream.
    async fn was_broken_off(&self, forwarder: &Forwarder<'_>) -> bool {
        let Some(upstream) = &self.unframed else {
            return false;
        };
        // A stream that is resumed after its last event has no further one.
        let is_resumed = forwarder.last_event.borrow().is_some();
        (!self.has_event && !is_resumed) || !crashes::is_complete(forwarder, upstream).await
    }

    /// Returns the next event, or `None` at the end of the stream.
    async fn next(&mut self, forwarder: &Forwarder<'_>) -> Result<Option<RawEvent>, NoEvent> {
        let patience = self.patience.filter(|_| !self.is_awaited);
        let read = match patience {
            Some(patience) => monoio::time::timeout(patience, self.read_event(forwarder)).await,
            None => Ok(self.read_event(forwarder).await),
        };
        match read {
            Ok(Ok(())) => Ok(self.next.take()),
            Ok(Err(error)) => Err(NoEvent::Failed(error)),
            Err(_) => Err(NoEvent::Silent),
        }
    }
}

/// Writes a response to the caller.
pub async fn relay(
    forwarder: &Forwarder<'_>,
    conn: &mut Connection,
    pending: PendingResponse,
) -> ForwardOutcome {
    let PendingResponse { origin, response } = pending;
    forwarder.instance.announce_close(conn);
    match response {
        UpstreamResponse::Buffered(res) => {
            let status = res.status().as_u16();
            let received_at = forwarder.instance.now();
            let written = conn.respond(res).await;
            if let Err(error) = &written {
                let cause = CutOffCause::of_write(error);
                cut_off(forwarder, &origin.placement, cause, received_at);
            }
            let reusable = written.is_ok();
            log_end(forwarder, &origin.placement, status, reusable, 0);
            ForwardOutcome::Responded { reusable }
        }
        UpstreamResponse::Stream(stream) => relay_stream(forwarder, conn, origin, *stream).await,
    }
}

fn log_end(
    forwarder: &Forwarder<'_>,
    placement: &Placement,
    status: u16,
    complete: bool,
    first_event_ms: u64,
) {
    let instance = forwarder.instance;
    let accepted = forwarder.accepted;
    let span = instance.now().since(accepted.arrived);
    instance.metrics.record_response(complete, span);
    let id = accepted.fields.id.as_deref().unwrap_or_default();
    let team = accepted.team.as_ref().map_or("", |team| &team.name);
    let fetch_from = placement.cache.as_ref().and_then(|cache| cache.fetch_from);
    info!(
        id, status, complete, team,
        route:display = accepted.route.name,
        upstream:display = placement.upstream,
        weights = placement.weights.unwrap_or_default(),
        fetch = fetch_from.is_some(),
        source:? = fetch_from,
        sent = forwarder.sent(),
        configuration = accepted.configuration.version,
        expected_ms = millis(placement.expected_latency),
        first_event_ms,
        took_ms = millis(span);
        "response relayed"
    );
}

fn cut_off(
    forwarder: &Forwarder<'_>,
    placement: &Placement,
    cause: CutOffCause,
    upstream_byte_at: Time,
) {
    let Forwarder {
        instance, accepted, ..
    } = forwarder;
    record_cut_off(instance, accepted, placement, cause, upstream_byte_at);
}

async fn relay_stream(
    forwarder: &Forwarder<'_>,
    conn: &mut Connection,
    mut origin: Origin,
    mut stream: Stream,
) -> ForwardOutcome {
    let first_event_ms = elapsed_ms(forwarder.instance, forwarder.accepted.arrived);
    let first = forwarder.instance.now().since(forwarder.accepted.arrived);
    forwarder.instance.metrics.record_first_event(first);
    let head = std::mem::take(&mut stream.head);
    let status = head.status().as_u16();
    if let Err(error) = conn.start(head).await {
        let cause = CutOffCause::of_write(&error);
        cut_off(forwarder, &origin.placement, cause, stream.last_event_at);
        log_end(forwarder, &origin.placement, status, false, first_event_ms);
        return ForwardOutcome::Aborted;
    }
    forwarder.record_begin();
    loop {
        let remaining = forwarder.accepted.deadline.since(forwarder.instance.now());
        let copied = copy_events(forwarder, conn, &mut stream);
        let end = match monoio::time::timeout(remaining, copied).await {
            Ok(end) => end,
            Err(_) => CopyEnd::CutOff(CutOffCause::DeadlineExceeded),
        };
        match end {
            CopyEnd::Complete => {
                origin.in_flight.complete(RequestOutcome::Responded);
                let finished = conn.finish().await;
                if let Err(error) = &finished {
                    let cause = CutOffCause::of_write(error);
                    cut_off(forwarder, &origin.placement, cause, stream.last_event_at);
                }
                let reusable = finished.is_ok();
                log_end(
                    forwarder,
                    &origin.placement,
                    status,
                    reusable,
                    first_event_ms,
                );
                return ForwardOutcome::Responded { reusable };
            }
            CopyEnd::CutOff(cause) => {
                cut_off(forwarder, &origin.placement, cause, stream.last_event_at);
                log_end(forwarder, &origin.placement, status, false, first_event_ms);
                return ForwardOutcome::Aborted;
            }
            CopyEnd::Silent => {
                let Some(placement) = forwarder.place_beside(&origin.placement) else {
                    stream.is_awaited = true;
                    continue;
                };
                let silent = origin.placement.clone();
                let last_event_at = stream.last_event_at;
                let replaced = resume::replace_silent(forwarder, conn, (origin, stream), placement);
                match replaced.boxed_local().await {
                    Ok((next, next_stream)) => {
                        origin = next;
                        stream = next_stream;
                    }
                    Err(cause) => {
                        cut_off(forwarder, &silent, cause, last_event_at);
                        log_end(forwarder, &silent, status, false, first_event_ms);
                        return ForwardOutcome::Aborted;
                    }
                }
            }
            CopyEnd::Failed(failure) => {
                // Closes the connection before the stream is resumed, so that
                // the engine stops the run.
                let last_event_at = stream.last_event_at;
                drop(stream);
                origin.in_flight.fail(failure, failure.outcome());
                let failed = origin.placement.clone();
                let resumed = resume::resume(forwarder, conn, failure, origin);
                let resumed = resumed.boxed_local().await;
                let Some((next, next_stream)) = resumed else {
                    let cause = CutOffCause::Upstream(failure);
                    cut_off(forwarder, &failed, cause, last_event_at);
                    log_end(forwarder, &failed, status, false, first_event_ms);
                    return ForwardOutcome::Aborted;
                };
                origin = next;
                stream = next_stream;
            }
        }
    }
}

/// The reason why the copying of events to the caller ended.
enum CopyEnd {
    Complete,
    CutOff(CutOffCause),
    Failed(Failure),
    /// The upstream has become silent.
    Silent,
}

async fn copy_events(
    forwarder: &Forwarder<'_>,
    conn: &mut Connection,
    stream: &mut Stream,
) -> CopyEnd {
    loop {
        let next = {
            let next = std::pin::pin!(stream.next(forwarder));
            let closed = std::pin::pin!(conn.closed());
            match futures::future::select(next, closed).await {
                futures::future::Either::Left((next, _)) => next,
                futures::future::Either::Right(_) => {
                    return CopyEnd::CutOff(CutOffCause::CallerClosed);
                }
            }
        };
        let event = match next {
            Ok(Some(event)) => event,
            Ok(None) => return CopyEnd::Complete,
            Err(NoEvent::Failed(error)) => {
                let id = forwarder.accepted.fields.id.as_deref().unwrap_or_default();
                warn!(id, error:display; "stream of upstream failed");
                return CopyEnd::Failed(error.failure());
            }
            Err(NoEvent::Silent) => return CopyEnd::Silent,
        };
        if let Err(error) = conn.send(event.bytes.into()).await {
            return CopyEnd::CutOff(CutOffCause::of_write(&error));
        }
        if event.id.is_some() {
            forwarder.last_event.replace(event.id);
        }
        if canary::must_move(forwarder, stream.run) {
            return CopyEnd::Failed(Failure::Moved);
        }
    }
}
