//! One attempt at a completion: the request to an engine and its stream.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Event as SseEvent;
use eventsource_stream::Eventsource as _;
use futures::Stream;
use futures::StreamExt as _;
use futures::future::Either;
use http::Method;
use http::Response as HttpResponse;
use http::StatusCode;
use http::header;
use http::response::Parts;
use limpetsaddle_core::blackboard::Placement;
use limpetsaddle_core::keys::is_key_valid;
use limpetsaddle_core::placement::Feedback;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_core::retry::Failure;
use limpetsaddle_core::stream::EventClass;
use limpetsaddle_core::stream::StreamStatus;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;
use limpetsaddle_core::upstreams::AttemptOutcome;
use limpetsaddle_core::upstreams::Identity;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Error as HttpError;
use limpetsaddle_http::Request;
use limpetsaddle_http::Response;

use super::Exchange;
use super::completions::Job;
use super::forward;
use crate::completion::EngineFields;
use crate::completion::TokenEvent;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::responses::REQUEST_ID_HEADER;

/// The longest time between two checks of the key while an engine is silent.
/// Each token is preceded by a check as well.
const KEY_CHECK: Duration = Duration::from_millis(500);

/// The header in which an engine names its incarnation.
const INCARNATION_HEADER: &str = "x-engine-incarnation";

/// The header in which an engine names the version of its weights.
const WEIGHTS_HEADER: &str = "x-weights-version";

/// An `Ended` is how an attempt ended.
pub(super) enum Ended {
    /// Every token has been passed on.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The request gets its final answer.
    Refused(Refusal),
    /// The attempt failed and may be followed by another one.
    Failed(Failure),
    /// The engine holds other weights than it was known for, which is noted.
    OtherWeights,
}

/// A `Next` is what a running stream waited for.
enum Next {
    Token(Box<TokenEvent>),
    End(Option<Failure>),
    CallerLeft,
    Tick,
}

impl Job {
    /// Sends the request to the chosen engine and passes its tokens on.
    pub(super) async fn attempt(
        &mut self,
        exchange: &mut Exchange<'_>,
        placement: Placement,
    ) -> Ended {
        let instance = Rc::clone(exchange.instance);
        let req = self.request(exchange, &placement);
        let mut attempt = Attempt::new(&instance, placement);
        let answer = {
            let call = std::pin::pin!(instance.upstream.send(attempt.placement.address, req));
            let left = std::pin::pin!(exchange.conn.closed());
            match futures::future::select(call, left).await {
                Either::Left((answer, _)) => answer,
                Either::Right(_) => {
                    attempt.end(AttemptOutcome::Cancelled);
                    return Ended::CallerLeft;
                }
            }
        };
        let ended = match answer {
            Ok(res) => match attempt.check(&res.head, self, &exchange.id) {
                Ok(()) => self.relay(exchange, &mut attempt, res).await,
                Err(ended) => ended,
            },
            Err(error) => Ended::Failed(forward::failure(&error)),
        };
        attempt.end(end_of(&ended));
        ended
    }

    fn request(&self, exchange: &Exchange<'_>, placement: &Placement) -> Request {
        let instance = exchange.instance;
        let now = instance.now();
        let board = instance.board.borrow();
        let dispatch = EngineFields {
            salt: self.scope.salt(),
            priority: board.usage.priority(&self.caller.team, now),
            resume_from: self.progress.forwarded(),
        };
        let mut req = Request::new(self.completion.upstream_body(&dispatch));
        *req.method_mut() = Method::POST;
        *req.uri_mut() = http::Uri::from_static(self.completion.endpoint.path());
        let headers = req.headers_mut();
        let json = header::HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        forward::set_header(headers, header::HOST, &placement.address.to_string());
        let id = header::HeaderName::from_static(REQUEST_ID_HEADER);
        forward::set_header(headers, id, &exchange.id);
        req
    }

    /// Passes the tokens of an answer on until it ends.
    async fn relay(
        &mut self,
        exchange: &mut Exchange<'_>,
        attempt: &mut Attempt<'_>,
        res: Response,
    ) -> Ended {
        let mut events = std::pin::pin!(events(res));
        loop {
            let event = match next(exchange.conn, events.as_mut()).await {
                Next::Token(_) | Next::Tick if !self.may_go_on(attempt.instance) => {
                    return Ended::Refused(Refusal::unknown(Reason::WithdrawnKey));
                }
                Next::Token(event) => event,
                Next::Tick => continue,
                Next::CallerLeft => return Ended::CallerLeft,
                Next::End(failure) => return self.stream_ended(failure),
            };
            match self.progress.accept(&event.position()) {
                EventClass::InOrder => {}
                EventClass::Duplicate => {
                    attempt.instance.metrics.count(Event::DuplicateToken);
                    continue;
                }
                EventClass::OtherRequest => {
                    attempt.instance.metrics.count(Event::ForeignToken);
                    continue;
                }
                EventClass::Gap => {
                    attempt.instance.metrics.count(Event::TokenGap);
                    return Ended::Failed(Failure::InvalidResponse);
                }
            }
            self.note_token(attempt, &event);
            self.assembly.add(&event);
            if self.completion.stream && !forward_token(exchange, &event).await {
                return Ended::CallerLeft;
            }
            if self.progress.status() == StreamStatus::Complete {
                self.learn(attempt);
                return Ended::Complete;
            }
        }
    }

    fn stream_ended(&self, failure: Option<Failure>) -> Ended {
        match self.progress.status() {
            StreamStatus::Complete => Ended::Complete,
            StreamStatus::ResumeAt(0) => {
                Ended::Failed(failure.unwrap_or(Failure::ResetBeforeResponse))
            }
            StreamStatus::ResumeAt(_) => Ended::Failed(failure.unwrap_or(Failure::StreamBroken)),
        }
    }

    fn may_go_on(&self, instance: &Instance) -> bool {
        let board = instance.board.borrow();
        is_key_valid(&board.store, &self.caller.team, &self.caller.key_id)
    }

    /// Records the times that callers feel.
    fn note_token(&mut self, attempt: &mut Attempt<'_>, event: &TokenEvent) {
        let now = attempt.instance.now();
        let metrics = &attempt.instance.metrics;
        match self.last_token {
            None => metrics.first_token(now.since(self.arrived)),
            Some(last) => metrics.between_tokens(now.since(last)),
        }
        self.last_token = Some(now);
        attempt.first_token();
        if let Some(usage) = event.usage() {
            let cached = usage.prompt_tokens_details.cached_tokens;
            metrics.prompt_tokens(cached, usage.prompt_tokens.saturating_sub(cached));
        }
    }

    fn learn(&self, attempt: &Attempt<'_>) {
        let Some(usage) = self.assembly.usage() else {
            return;
        };
        let now = attempt.instance.now();
        let first_token = attempt.first_token_after;
        let feedback = Feedback {
            cached: Tokens(usage.prompt_tokens_details.cached_tokens),
            time_to_first_token: first_token.unwrap_or_default(),
        };
        let choice = &attempt.placement.choice;
        let mut board = attempt.instance.board.borrow_mut();
        board.record_response(&self.pool, &self.chain, choice, feedback, now);
    }
}

/// An `Attempt` is one attempt's place at an engine.
pub(super) struct Attempt<'a> {
    instance: &'a Rc<Instance>,
    placement: Placement,
    sent: Time,
    first_token_after: Option<Duration>,
}

impl<'a> Attempt<'a> {
    fn new(instance: &'a Rc<Instance>, placement: Placement) -> Self {
        Self {
            instance,
            placement,
            sent: instance.now(),
            first_token_after: None,
        }
    }

    /// Checks that an answer is one to this request, from the right weights.
    fn check(&self, head: &Parts, job: &Job, id: &str) -> Result<(), Ended> {
        if head.status == StatusCode::SERVICE_UNAVAILABLE && forward::says_not_run(head) {
            return Err(Ended::Failed(Failure::Rejected));
        }
        if head.status.is_client_error() {
            return Err(Ended::Refused(Refusal::unknown(Reason::BadBody)));
        }
        if head.status != StatusCode::OK {
            return Err(Ended::Failed(Failure::InvalidResponse));
        }
        let incarnation = number(head, INCARNATION_HEADER).map(Incarnation);
        let weights = number(head, WEIGHTS_HEADER).map(WeightsVersion);
        if let (Some(incarnation), Some(weights)) = (incarnation, weights) {
            let identity = Identity {
                incarnation,
                weights,
            };
            let now = self.instance.now();
            let mut board = self.instance.board.borrow_mut();
            board
                .upstreams
                .record_identity(&self.placement.ticket, identity, now);
        }
        let own = head.headers.get(REQUEST_ID_HEADER);
        let crossed = own.is_some_and(|own| own.as_bytes() != id.as_bytes());
        let stale = weights.is_some_and(|weights| weights != job.scope.weights);
        if crossed {
            return Err(Ended::Failed(Failure::InvalidResponse));
        }
        if stale {
            return Err(Ended::OtherWeights);
        }
        Ok(())
    }

    fn first_token(&mut self) {
        if self.first_token_after.is_some() {
            return;
        }
        self.first_token_after = Some(self.instance.now().since(self.sent));
        let mut board = self.instance.board.borrow_mut();
        board
            .upstreams
            .record_first_token(&mut self.placement.ticket);
    }

    fn end(self, end: AttemptOutcome) {
        let now = self.instance.now();
        let random = self.instance.random.draw();
        let mut board = self.instance.board.borrow_mut();
        board
            .upstreams
            .finish(self.placement.ticket, end, now, random);
    }
}

fn number(head: &Parts, name: &str) -> Option<u64> {
    head.headers.get(name)?.to_str().ok()?.parse().ok()
}

fn end_of(ended: &Ended) -> AttemptOutcome {
    match ended {
        Ended::Complete => AttemptOutcome::Responded,
        Ended::CallerLeft | Ended::Refused(_) | Ended::OtherWeights => AttemptOutcome::Cancelled,
        Ended::Failed(failure) => forward::end_of(*failure),
    }
}

/// Returns the events of an answer. The stream keeps a read that is under way,
/// so that waiting for it can be broken off and taken up again.
fn events(
    res: Response,
) -> impl Stream<Item = Result<SseEvent, eventsource_stream::EventStreamError<HttpError>>> {
    let pieces = futures::stream::unfold(Some(res), |res| async {
        let mut res = res?;
        match res.next().await {
            Ok(Some(piece)) => Some((Ok::<Bytes, HttpError>(piece), Some(res))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    pieces.eventsource()
}

/// Waits for the next token, the end of the stream, the caller's leaving or the
/// next check of the key, whichever comes first.
async fn next<S>(conn: &mut Connection, events: std::pin::Pin<&mut S>) -> Next
where
    S: Stream<Item = Result<SseEvent, eventsource_stream::EventStreamError<HttpError>>>,
{
    let mut events = events;
    let event = std::pin::pin!(events.next());
    let left = std::pin::pin!(conn.closed());
    let tick = std::pin::pin!(monoio::time::sleep(KEY_CHECK));
    let other = futures::future::select(left, tick);
    let event = match futures::future::select(event, other).await {
        Either::Left((event, _)) => event,
        Either::Right((Either::Left(_), _)) => return Next::CallerLeft,
        Either::Right((Either::Right(_), _)) => return Next::Tick,
    };
    match event {
        None => Next::End(None),
        Some(Err(eventsource_stream::EventStreamError::Transport(error))) => {
            Next::End(Some(forward::stream_failure(&error)))
        }
        Some(Err(_)) => Next::End(Some(Failure::InvalidResponse)),
        Some(Ok(event)) if event.data == "[DONE]" => Next::End(None),
        Some(Ok(event)) => match TokenEvent::parse(&event.data) {
            Some(token) => Next::Token(Box::new(token)),
            None => Next::End(Some(Failure::InvalidResponse)),
        },
    }
}

/// Passes one token on and returns whether the caller is still there.
async fn forward_token(exchange: &mut Exchange<'_>, event: &TokenEvent) -> bool {
    if !exchange.started {
        let mut res = HttpResponse::new(());
        let headers = res.headers_mut();
        let stream = header::HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, stream);
        let no_cache = header::HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, no_cache);
        exchange.identify(headers);
        if exchange.conn.start(res).await.is_err() {
            return false;
        }
        exchange.started = true;
    }
    exchange.conn.send(event.encode()).await.is_ok()
}
