//! Relaying of an upstream's response to the caller.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::attempt::NextStep;
use limpetsaddle_fleet::configuration::RouteKind;
use limpetsaddle_fleet::events::EventSplitter;
use limpetsaddle_fleet::events::RawEvent;
use limpetsaddle_fleet::health::RequestOutcome;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_http::Connection;
use limpetsaddle_platform_wire::headers;
use limpetsaddle_platform_wire::headers::ResponseFields;
use log::info;

use super::forward::ForwardOutcome;
use super::forward::Forwarder;
use super::forward::InFlightGuard;
use super::forward::buffered_response;
use super::forward::elapsed_ms;
use super::upstream_calls::Recipient;
use crate::clock::millis;

/// The largest response of a plain service that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The idle time after which a resumable stream is resumed at another engine.
/// Callers time out after two seconds at the earliest.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

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

/// A streamed response that is being read.
pub struct Stream {
    head: Response<()>,
    res: limpetsaddle_http::Response,
    splitter: EventSplitter,
    ended: bool,
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
pub async fn send_attempt(
    forwarder: &Forwarder<'_>,
    placement: &Placement,
    in_flight: &mut InFlightGuard,
    remaining: Duration,
) -> AttemptOutcome {
    let Some(req) = forwarder.upstream_request(placement, remaining) else {
        return AttemptOutcome::failed(Failure::Rejected);
    };
    let instance = forwarder.instance;
    let id = forwarder.accepted.fields.id.as_deref().unwrap_or_default();
    let recipient = Recipient::Upstream {
        incarnation: placement.incarnation(),
        address: placement.address,
    };
    let client = &instance.upstream_client;
    let res = match client.send(instance, &recipient, req, id).await {
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
    let status = res.head.status;
    let streams = matches!(forwarder.accepted.route.kind, RouteKind::Stream { .. });
    if status.is_success() && !fields.signed {
        return AttemptOutcome::failed(Failure::InvalidResponse);
    }
    if status.is_success() && streams {
        return open_stream(placement, res, in_flight).await;
    }
    read_buffered(forwarder, placement, res, in_flight).await
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
    placement: &Placement,
    res: limpetsaddle_http::Response,
    in_flight: &mut InFlightGuard,
) -> AttemptOutcome {
    let (head, res) = split(res);
    let body = match res.collect(MAX_RESPONSE_BYTES).await {
        Ok(body) => body,
        Err(error) => return AttemptOutcome::caused(Failure::ConnectionLost, &error),
    };
    in_flight.record_first_event(placement);
    let status = head.status;
    let response = buffered_response(head, body);
    if status.is_success() {
        in_flight.outcome = Some(RequestOutcome::Responded);
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
    in_flight.outcome = Some(RequestOutcome::UpstreamError);
    AttemptOutcome::Responded(UpstreamResponse::Buffered(response))
}

fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn split(res: limpetsaddle_http::Response) -> (Parts, limpetsaddle_http::Response) {
    (clone_head(&res.head), res)
}

fn clone_head(head: &Parts) -> Parts {
    let mut copy = Response::new(()).into_parts().0;
    copy.status = head.status;
    copy.headers = head.headers.clone();
    copy
}

/// Reads a stream up to its first event.
async fn open_stream(
    placement: &Placement,
    res: limpetsaddle_http::Response,
    in_flight: &mut InFlightGuard,
) -> AttemptOutcome {
    let (head, res) = split(res);
    let mut head = Response::from_parts(head, ());
    limpetsaddle_http::remove_hop_by_hop(head.headers_mut());
    let mut stream = Stream {
        head,
        res,
        splitter: EventSplitter::default(),
        ended: false,
    };
    if let Err(error) = stream.fill().await {
        return AttemptOutcome::caused(Failure::ConnectionLost, &error);
    }
    in_flight.record_first_event(placement);
    AttemptOutcome::Responded(UpstreamResponse::Stream(Box::new(stream)))
}

impl Stream {
    /// Reads the next bytes, or records the end of the stream.
    async fn fill(&mut self) -> limpetsaddle_http::Result<()> {
        match self.res.next().await? {
            Some(bytes) => self.splitter.push(&bytes),
            None => self.ended = true,
        }
        Ok(())
    }

    /// Returns the next event, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<RawEvent>, Failure> {
        loop {
            if let Some(event) = self.splitter.next() {
                return Ok(Some(event));
            }
            if self.ended {
                // A stream that ends within an event was truncated.
                let complete = !self.splitter.has_partial_event();
                return if complete {
                    Ok(None)
                } else {
                    Err(Failure::ConnectionLost)
                };
            }
            match monoio::time::timeout(STREAM_IDLE_TIMEOUT, self.fill()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Err(Failure::ConnectionLost),
                Err(_) => return Err(Failure::TimedOut),
            }
        }
    }
}

/// Writes a response to the caller.
pub async fn relay(
    forwarder: &mut Forwarder<'_>,
    conn: &mut Connection,
    pending: PendingResponse,
) -> ForwardOutcome {
    let PendingResponse { origin, response } = pending;
    match response {
        UpstreamResponse::Buffered(res) => {
            let status = res.status().as_u16();
            let reusable = conn.respond(res).await.is_ok();
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
    info!(
        id, status, complete, team,
        route:display = accepted.route.name,
        upstream:display = placement.upstream,
        weights = placement.weights.unwrap_or_default(),
        fetch = placement.cache.as_ref().is_some_and(|c| c.fetch_from.is_some()),
        sent = forwarder.sent(),
        configuration = accepted.configuration.version,
        expected_ms = millis(placement.expected_latency),
        first_event_ms,
        took_ms = millis(span);
        "response relayed"
    );
}

async fn relay_stream(
    forwarder: &mut Forwarder<'_>,
    conn: &mut Connection,
    mut origin: Origin,
    mut stream: Stream,
) -> ForwardOutcome {
    let first_event_ms = elapsed_ms(forwarder.instance, forwarder.accepted.arrived);
    let first = forwarder.instance.now().since(forwarder.accepted.arrived);
    forwarder.instance.metrics.record_first_event(first);
    let head = std::mem::take(&mut stream.head);
    let status = head.status().as_u16();
    if conn.start(head).await.is_err() {
        log_end(forwarder, &origin.placement, status, false, first_event_ms);
        return ForwardOutcome::Aborted;
    }
    loop {
        let remaining = forwarder.accepted.deadline.since(forwarder.instance.now());
        let copied = copy_events(forwarder, conn, &mut stream);
        let end = match monoio::time::timeout(remaining, copied).await {
            Ok(end) => end,
            Err(_) => CopyEnd::DeadlineExceeded,
        };
        match end {
            CopyEnd::Complete => {
                origin.in_flight.outcome = Some(RequestOutcome::Responded);
                let reusable = conn.finish().await.is_ok();
                log_end(
                    forwarder,
                    &origin.placement,
                    status,
                    reusable,
                    first_event_ms,
                );
                return ForwardOutcome::Responded { reusable };
            }
            CopyEnd::CallerDisconnected | CopyEnd::DeadlineExceeded => {
                log_end(forwarder, &origin.placement, status, false, first_event_ms);
                return ForwardOutcome::Aborted;
            }
            CopyEnd::Failed(failure) => {
                // Closes the connection before the stream is resumed, so that
                // the engine stops the run.
                drop(stream);
                origin.in_flight.outcome = failure.outcome();
                match resume(forwarder, conn, failure, origin).await {
                    Some((next, next_stream)) => {
                        origin = next;
                        stream = next_stream;
                    }
                    None => return ForwardOutcome::Aborted,
                }
            }
        }
    }
}

/// The reason why the copying of events to the caller ended.
enum CopyEnd {
    Complete,
    CallerDisconnected,
    DeadlineExceeded,
    Failed(Failure),
}

async fn copy_events(
    forwarder: &mut Forwarder<'_>,
    conn: &mut Connection,
    stream: &mut Stream,
) -> CopyEnd {
    loop {
        let next = {
            let next = std::pin::pin!(stream.next());
            let closed = std::pin::pin!(conn.closed());
            match futures::future::select(next, closed).await {
                futures::future::Either::Left((next, _)) => next,
                futures::future::Either::Right(_) => return CopyEnd::CallerDisconnected,
            }
        };
        let event = match next {
            Ok(Some(event)) => event,
            Ok(None) => return CopyEnd::Complete,
            Err(failure) => return CopyEnd::Failed(failure),
        };
        if is_duplicate(event.id.as_deref(), forwarder.last_event.as_deref()) {
            continue;
        }
        if conn.send(event.bytes.into()).await.is_err() {
            return CopyEnd::CallerDisconnected;
        }
        if event.id.is_some() {
            forwarder.last_event = event.id;
        }
    }
}

/// Returns whether the caller already has an event; event ids increase.
fn is_duplicate(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |text: Option<&str>| text.and_then(|t| t.parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}

/// Resumes a failed stream at another upstream, if that is permitted.
async fn resume(
    forwarder: &mut Forwarder<'_>,
    conn: &mut Connection,
    failure: Failure,
    origin: Origin,
) -> Option<(Origin, Stream)> {
    forwarder.exclude(&origin.placement);
    drop(origin);
    let instance = forwarder.instance;
    let service = forwarder.service.clone();
    let step = forwarder
        .attempts
        .record_failure(failure, instance.now(), || {
            instance.withdraw_retry(&service)
        });
    let refusal = match step {
        NextStep::Retry => {
            instance.metrics.record_retry(failure);
            match reopen(forwarder, conn).await {
                Ok(next) => return Some(next),
                Err(refusal) => refusal,
            }
        }
        NextStep::GiveUp(refusal) => refusal,
    };
    let id = forwarder.accepted.fields.id.as_deref().unwrap_or_default();
    let after_ms = elapsed_ms(instance, forwarder.accepted.arrived);
    let last_event = forwarder.last_event.as_deref().unwrap_or_default();
    info!(
        id, failure = failure.code(), last_event, after_ms,
        reason = refusal.reason.code();
        "stream aborted"
    );
    None
}

async fn reopen(
    forwarder: &mut Forwarder<'_>,
    conn: &mut Connection,
) -> Result<(Origin, Stream), Refusal> {
    let pending = {
        let send = std::pin::pin!(forwarder.send());
        let closed = std::pin::pin!(conn.closed());
        match futures::future::select(send, closed).await {
            futures::future::Either::Left((pending, _)) => pending?,
            futures::future::Either::Right(_) => {
                return Err(Refusal::new(Reason::UpstreamFailed));
            }
        }
    };
    match pending.response {
        UpstreamResponse::Stream(stream) => Ok((pending.origin, *stream)),
        UpstreamResponse::Buffered(_) => Err(Refusal::new(Reason::UpstreamFailed)),
    }
}
