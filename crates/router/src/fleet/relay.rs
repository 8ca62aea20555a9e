//! Relaying of an upstream's answer to the caller.

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
use limpetsaddle_platform_wire::headers::AnswerMarks;
use log::info;

use super::forward::Claim;
use super::forward::Ended;
use super::forward::Forwarding;
use super::forward::elapsed_ms;
use super::forward::whole;
use crate::clock::millis;

/// The largest answer of a plain service that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The silence within a stream after which one that may be resumed goes to
/// another engine. Callers give up on a stream after two seconds at the soonest.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);

/// How one try at an upstream went.
pub enum Try {
    /// The upstream began to answer.
    Opened(Answer),
    /// The try failed.
    Failed {
        /// How it failed.
        failure: Failure,
        /// What was seen of it, for the log; empty where the failure says all.
        cause: String,
        /// The upstream's own answer, where it reported the failure itself.
        answer: Option<Response<Bytes>>,
    },
}

impl Try {
    const fn failed(failure: Failure) -> Self {
        Self::Failed {
            failure,
            cause: String::new(),
            answer: None,
        }
    }

    fn caused(failure: Failure, error: &limpetsaddle_http::Error) -> Self {
        Self::Failed {
            failure,
            cause: error.to_string(),
            answer: None,
        }
    }
}

/// The beginning of an upstream's answer.
pub enum Answer {
    /// The whole answer.
    Whole(Response<Bytes>),
    /// A stream whose first event has come.
    Stream(Box<Stream>),
}

/// A `Stream` is a streamed answer that is being read.
pub struct Stream {
    head: Response<()>,
    res: limpetsaddle_http::Response,
    splitter: EventSplitter,
    ended: bool,
}

/// An `Origin` is the upstream that an answer comes from.
pub struct Origin {
    /// The claim on the upstream.
    pub claim: Claim,
    /// Where the request went.
    pub placement: Placement,
}

/// An `Opened` is an answer that has begun.
pub struct Opened {
    /// Where it comes from.
    pub origin: Origin,
    /// The answer.
    pub answer: Answer,
}

/// Sends a request to an upstream and waits until it begins to answer.
pub async fn open(
    forwarding: &Forwarding<'_>,
    placement: &Placement,
    claim: &mut Claim,
    left: Duration,
) -> Try {
    let Some(req) = forwarding.outbound(placement, left) else {
        return Try::failed(Failure::Rejected);
    };
    let client = &forwarding.instance.upstream_client;
    let res = match client.send(placement.address, req).await {
        Ok(res) => res,
        Err(error) if error.not_sent() => return Try::caused(Failure::ConnectFailed, &error),
        Err(error) => return Try::caused(Failure::ConnectionLost, &error),
    };
    let marks = headers::answer_marks(&res.head.headers);
    learn_weights(forwarding, placement, res.head.status, &marks);
    if let Some(failure) = turned_away(res.head.status, &marks) {
        return Try::failed(failure);
    }
    if !belongs(forwarding, &marks) {
        return Try::failed(Failure::InvalidResponse);
    }
    let status = res.head.status;
    let streams = matches!(forwarding.accepted.route.kind, RouteKind::Stream { .. });
    if status.is_success() && !marks.signed {
        return Try::failed(Failure::InvalidResponse);
    }
    if status.is_success() && streams {
        return open_stream(placement, res, claim).await;
    }
    read_whole(forwarding, placement, res, claim).await
}

fn learn_weights(
    forwarding: &Forwarding<'_>,
    placement: &Placement,
    status: StatusCode,
    marks: &AnswerMarks,
) {
    let mut upstreams = forwarding.instance.upstreams.borrow_mut();
    let other = marks
        .upstream
        .as_ref()
        .filter(|id| **id != placement.upstream);
    if status == StatusCode::MISDIRECTED_REQUEST && other.is_some() {
        upstreams.mark_replaced(&placement.upstream);
        return;
    }
    let prompt = forwarding.accepted.inquiry.prompt.as_ref();
    let model = prompt.and_then(|p| p.model.as_deref());
    if let Some((model, version)) = model.zip(marks.weights) {
        if status == StatusCode::MISDIRECTED_REQUEST {
            upstreams.reset_weights(&placement.upstream, model, version);
        } else {
            upstreams.observe_weights(&placement.upstream, model, version);
        }
    }
}

/// Returns how the upstream turned the request away, if it did.
fn turned_away(status: StatusCode, marks: &AnswerMarks) -> Option<Failure> {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Failure::Misdirected);
    }
    marks.not_run.then_some(Failure::Rejected)
}

/// Returns whether an answer is one to this request, as the upstream made it.
fn belongs(forwarding: &Forwarding<'_>, marks: &AnswerMarks) -> bool {
    let own = forwarding.accepted.inquiry.id.as_deref();
    !marks.encoded && own.is_none_or(|own| marks.request_id.as_deref() == Some(own))
}

async fn read_whole(
    forwarding: &Forwarding<'_>,
    placement: &Placement,
    res: limpetsaddle_http::Response,
    claim: &mut Claim,
) -> Try {
    let (head, read) = split(res);
    let body = match read.collect(MAX_ANSWER_BYTES).await {
        Ok(body) => body,
        Err(error) => return Try::caused(Failure::ConnectionLost, &error),
    };
    claim.first_event(placement);
    let status = head.status;
    let answer = whole(head, body);
    if status.is_success() {
        claim.verdict = Some(RequestOutcome::Responded);
        return Try::Opened(Answer::Whole(answer));
    }
    // A status that promises that nothing ran is not passed on from an upstream
    // that does not state it.
    if promises_not_run(status) {
        return Try::failed(Failure::InvalidResponse);
    }
    if forwarding.accepted.route.kind.may_repeat() && status.is_server_error() {
        return Try::Failed {
            failure: Failure::UpstreamError,
            cause: status.to_string(),
            answer: Some(answer),
        };
    }
    claim.verdict = Some(RequestOutcome::UpstreamError);
    Try::Opened(Answer::Whole(answer))
}

fn promises_not_run(status: StatusCode) -> bool {
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
    claim: &mut Claim,
) -> Try {
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
        return Try::caused(Failure::ConnectionLost, &error);
    }
    claim.first_event(placement);
    Try::Opened(Answer::Stream(Box::new(stream)))
}

impl Stream {
    /// Reads until at least one more event may be whole, or the stream has ended.
    async fn fill(&mut self) -> limpetsaddle_http::Result<()> {
        match self.res.next().await? {
            Some(bytes) => self.splitter.push(&bytes),
            None => self.ended = true,
        }
        Ok(())
    }

    /// Returns the next event, or `None` at the stream's end.
    async fn next(&mut self) -> Result<Option<RawEvent>, Failure> {
        loop {
            if let Some(event) = self.splitter.next() {
                return Ok(Some(event));
            }
            if self.ended {
                // A stream that ends within an event was cut off.
                let whole = !self.splitter.has_partial_event();
                return if whole {
                    Ok(None)
                } else {
                    Err(Failure::ConnectionLost)
                };
            }
            match monoio::time::timeout(STREAM_SILENCE, self.fill()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Err(Failure::ConnectionLost),
                Err(_) => return Err(Failure::TimedOut),
            }
        }
    }
}

/// Writes an answer to the caller.
pub async fn relay(
    forwarding: &mut Forwarding<'_>,
    conn: &mut Connection,
    opened: Opened,
) -> Ended {
    let Opened { origin, answer } = opened;
    match answer {
        Answer::Whole(res) => {
            let status = res.status().as_u16();
            let open = conn.respond(res).await.is_ok();
            log_end(forwarding, &origin.placement, status, open, 0);
            Ended::Answered { open }
        }
        Answer::Stream(stream) => relay_stream(forwarding, conn, origin, *stream).await,
    }
}

fn log_end(
    forwarding: &Forwarding<'_>,
    placement: &Placement,
    status: u16,
    complete: bool,
    first_event_ms: u64,
) {
    let instance = forwarding.instance;
    let accepted = forwarding.accepted;
    let span = instance.now().since(accepted.arrived);
    instance.metrics.answered(complete, span);
    let id = accepted.inquiry.id.as_deref().unwrap_or_default();
    let team = accepted.team.as_ref().map_or("", |team| &team.name);
    info!(
        id, status, complete, team,
        route:display = accepted.route.name,
        upstream:display = placement.upstream,
        weights = placement.weights.unwrap_or_default(),
        fetch = placement.cache.as_ref().is_some_and(|c| c.fetch_from.is_some()),
        sent = forwarding.sent(),
        configuration = accepted.configuration.version,
        expected_ms = millis(placement.expected_latency),
        first_event_ms,
        took_ms = millis(span);
        "request answered"
    );
}

async fn relay_stream(
    forwarding: &mut Forwarding<'_>,
    conn: &mut Connection,
    mut origin: Origin,
    mut stream: Stream,
) -> Ended {
    let first_event_ms = elapsed_ms(forwarding.instance, forwarding.accepted.arrived);
    let first = forwarding.instance.now().since(forwarding.accepted.arrived);
    forwarding.instance.metrics.first_event(first);
    let head = std::mem::take(&mut stream.head);
    let status = head.status().as_u16();
    if conn.start(head).await.is_err() {
        log_end(forwarding, &origin.placement, status, false, first_event_ms);
        return Ended::Abandoned;
    }
    loop {
        let left = forwarding
            .accepted
            .deadline
            .since(forwarding.instance.now());
        let copied = copy_events(forwarding, conn, &mut stream);
        let end = match monoio::time::timeout(left, copied).await {
            Ok(end) => end,
            Err(_) => CopyEnd::OutOfTime,
        };
        match end {
            CopyEnd::Complete => {
                origin.claim.verdict = Some(RequestOutcome::Responded);
                let open = conn.finish().await.is_ok();
                log_end(forwarding, &origin.placement, status, open, first_event_ms);
                return Ended::Answered { open };
            }
            CopyEnd::CallerLeft | CopyEnd::OutOfTime => {
                log_end(forwarding, &origin.placement, status, false, first_event_ms);
                return Ended::Abandoned;
            }
            CopyEnd::Broke(failure) => {
                // The connection closes first, so that the engine stops.
                drop(stream);
                origin.claim.verdict = failure.outcome();
                match resume(forwarding, conn, failure, origin).await {
                    Some((next, next_stream)) => {
                        origin = next;
                        stream = next_stream;
                    }
                    None => return Ended::Abandoned,
                }
            }
        }
    }
}

/// How copying events to the caller ended.
enum CopyEnd {
    Complete,
    CallerLeft,
    OutOfTime,
    Broke(Failure),
}

async fn copy_events(
    forwarding: &mut Forwarding<'_>,
    conn: &mut Connection,
    stream: &mut Stream,
) -> CopyEnd {
    loop {
        let next = {
            let next = std::pin::pin!(stream.next());
            let closed = std::pin::pin!(conn.closed());
            match futures::future::select(next, closed).await {
                futures::future::Either::Left((next, _)) => next,
                futures::future::Either::Right(_) => return CopyEnd::CallerLeft,
            }
        };
        let event = match next {
            Ok(Some(event)) => event,
            Ok(None) => return CopyEnd::Complete,
            Err(failure) => return CopyEnd::Broke(failure),
        };
        if is_repeated(event.id.as_deref(), forwarding.last_event.as_deref()) {
            continue;
        }
        if conn.send(event.bytes.into()).await.is_err() {
            return CopyEnd::CallerLeft;
        }
        if event.id.is_some() {
            forwarding.last_event = event.id;
        }
    }
}

/// Returns whether the caller has got an event before; ids grow.
fn is_repeated(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |text: Option<&str>| text.and_then(|t| t.parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}

/// Continues a broken stream at another upstream, if it may be continued.
async fn resume(
    forwarding: &mut Forwarding<'_>,
    conn: &mut Connection,
    failure: Failure,
    origin: Origin,
) -> Option<(Origin, Stream)> {
    forwarding.give_up_on(&origin.placement);
    drop(origin);
    let instance = forwarding.instance;
    let service = forwarding.service.clone();
    let step = forwarding
        .attempts
        .record_failure(failure, instance.now(), || instance.take_retry(&service));
    let refusal = match step {
        NextStep::Retry => {
            instance.metrics.retried(failure);
            match reopen(forwarding, conn).await {
                Ok(next) => return Some(next),
                Err(refusal) => refusal,
            }
        }
        NextStep::GiveUp(refusal) => refusal,
    };
    let id = forwarding
        .accepted
        .inquiry
        .id
        .as_deref()
        .unwrap_or_default();
    let after_ms = elapsed_ms(instance, forwarding.accepted.arrived);
    let last_event = forwarding.last_event.as_deref().unwrap_or_default();
    info!(
        id, failure = failure.code(), last_event, after_ms,
        reason = refusal.reason.code();
        "stream broken off"
    );
    None
}

async fn reopen(
    forwarding: &mut Forwarding<'_>,
    conn: &mut Connection,
) -> Result<(Origin, Stream), Refusal> {
    let opened = {
        let open = std::pin::pin!(forwarding.open());
        let closed = std::pin::pin!(conn.closed());
        match futures::future::select(open, closed).await {
            futures::future::Either::Left((opened, _)) => opened?,
            futures::future::Either::Right(_) => {
                return Err(Refusal::new(Reason::UpstreamFailed));
            }
        }
    };
    match opened.answer {
        Answer::Stream(stream) => Ok((opened.origin, *stream)),
        Answer::Whole(_) => Err(Refusal::new(Reason::UpstreamFailed)),
    }
}
