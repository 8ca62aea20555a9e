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
use super::completions::CompletionCall;
use super::forward;
use crate::completion::EngineFields;
use crate::completion::TokenEvent;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::responses::REQUEST_ID_HEADER;

/// The time between two checks of the caller's key while an engine sends nothing.
/// The key is also checked before each token is forwarded.
const KEY_CHECK: Duration = Duration::from_millis(500);

/// The response header with the engine's incarnation.
const INCARNATION_HEADER: &str = "x-engine-incarnation";

/// The response header with the version of the engine's weights.
const WEIGHTS_HEADER: &str = "x-weights-version";

/// The result of an attempt.
pub(super) enum AttemptResult {
    /// All tokens have been received.
    Complete,
    /// The caller has disconnected.
    CallerDisconnected,
    /// The request is refused without another attempt.
    Refused(Refusal),
    /// The attempt failed and may be retried.
    Failed(Failure),
    /// The engine serves another version of the weights, which has been recorded.
    WeightsMismatch,
}

/// The next input of a response stream.
enum StreamInput {
    Token(Box<TokenEvent>),
    End(Option<Failure>),
    CallerDisconnected,
    KeyCheck,
}

impl CompletionCall {
    /// Sends the request to the chosen engine and forwards its tokens.
    pub(super) async fn attempt(
        &mut self,
        exchange: &mut Exchange<'_>,
        placement: Placement,
    ) -> AttemptResult {
        let instance = Rc::clone(exchange.instance);
        let req = self.request(exchange, &placement);
        let mut attempt = Attempt::new(&instance, placement);
        let response = {
            let call = std::pin::pin!(instance.upstream.send(attempt.placement.address, req));
            let disconnected = std::pin::pin!(exchange.conn.closed());
            match futures::future::select(call, disconnected).await {
                Either::Left((response, _)) => response,
                Either::Right(_) => {
                    attempt.end(AttemptOutcome::Cancelled);
                    return AttemptResult::CallerDisconnected;
                }
            }
        };
        let result = match response {
            Ok(res) => match attempt.check(&res.head, self, &exchange.id) {
                Ok(()) => self.relay(exchange, &mut attempt, res).await,
                Err(result) => result,
            },
            Err(error) => AttemptResult::Failed(forward::failure_before_response(&error)),
        };
        attempt.end(attempt_outcome(&result));
        result
    }

    fn request(&self, exchange: &Exchange<'_>, placement: &Placement) -> Request {
        let instance = exchange.instance;
        let now = instance.now();
        let board = instance.board.borrow();
        let fields = EngineFields {
            salt: self.scope.salt(),
            priority: board.usage.priority(&self.caller.team, now),
            resume_from: self.progress.forwarded(),
        };
        let mut req = Request::new(self.completion.upstream_body(&fields));
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

    /// Forwards the tokens of a response until it ends.
    async fn relay(
        &mut self,
        exchange: &mut Exchange<'_>,
        attempt: &mut Attempt<'_>,
        res: Response,
    ) -> AttemptResult {
        let mut events = std::pin::pin!(events(res));
        loop {
            let event = match next_input(exchange.conn, events.as_mut()).await {
                StreamInput::Token(_) | StreamInput::KeyCheck
                    if !self.has_valid_key(attempt.instance) =>
                {
                    return AttemptResult::Refused(Refusal::unknown(Reason::WithdrawnKey));
                }
                StreamInput::Token(event) => event,
                StreamInput::KeyCheck => continue,
                StreamInput::CallerDisconnected => return AttemptResult::CallerDisconnected,
                StreamInput::End(failure) => return self.stream_ended(failure),
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
                    return AttemptResult::Failed(Failure::InvalidResponse);
                }
            }
            self.record_token(attempt, &event);
            self.assembly.add(&event);
            if self.completion.stream && !forward_token(exchange, &event).await {
                return AttemptResult::CallerDisconnected;
            }
            if self.progress.status() == StreamStatus::Complete {
                self.record_feedback(attempt);
                return AttemptResult::Complete;
            }
        }
    }

    fn stream_ended(&self, failure: Option<Failure>) -> AttemptResult {
        match self.progress.status() {
            StreamStatus::Complete => AttemptResult::Complete,
            StreamStatus::ResumeAt(0) => {
                AttemptResult::Failed(failure.unwrap_or(Failure::ResetBeforeResponse))
            }
            StreamStatus::ResumeAt(_) => {
                AttemptResult::Failed(failure.unwrap_or(Failure::StreamBroken))
            }
        }
    }

    fn has_valid_key(&self, instance: &Instance) -> bool {
        let board = instance.board.borrow();
        is_key_valid(&board.store, &self.caller.team, &self.caller.key_id)
    }

    /// Records the token latencies and prompt tokens in the metrics.
    fn record_token(&mut self, attempt: &mut Attempt<'_>, event: &TokenEvent) {
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

    fn record_feedback(&self, attempt: &Attempt<'_>) {
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

/// An attempt in progress at an engine.
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

    /// Checks that the response belongs to this request and comes from the expected weights.
    fn check(&self, head: &Parts, call: &CompletionCall, id: &str) -> Result<(), AttemptResult> {
        if head.status == StatusCode::SERVICE_UNAVAILABLE && forward::reports_not_run(head) {
            return Err(AttemptResult::Failed(Failure::Rejected));
        }
        if head.status.is_client_error() {
            return Err(AttemptResult::Refused(Refusal::unknown(Reason::BadBody)));
        }
        if head.status != StatusCode::OK {
            return Err(AttemptResult::Failed(Failure::InvalidResponse));
        }
        let incarnation = numeric_header(head, INCARNATION_HEADER).map(Incarnation);
        let weights = numeric_header(head, WEIGHTS_HEADER).map(WeightsVersion);
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
        let response_id = head.headers.get(REQUEST_ID_HEADER);
        let is_other_request =
            response_id.is_some_and(|response_id| response_id.as_bytes() != id.as_bytes());
        let has_other_weights = weights.is_some_and(|weights| weights != call.scope.weights);
        if is_other_request {
            return Err(AttemptResult::Failed(Failure::InvalidResponse));
        }
        if has_other_weights {
            return Err(AttemptResult::WeightsMismatch);
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

fn numeric_header(head: &Parts, name: &str) -> Option<u64> {
    head.headers.get(name)?.to_str().ok()?.parse().ok()
}

fn attempt_outcome(result: &AttemptResult) -> AttemptOutcome {
    match result {
        AttemptResult::Complete => AttemptOutcome::Responded,
        AttemptResult::CallerDisconnected
        | AttemptResult::Refused(_)
        | AttemptResult::WeightsMismatch => AttemptOutcome::Cancelled,
        AttemptResult::Failed(failure) => forward::attempt_outcome(*failure),
    }
}

/// Returns the events of a response. The stream keeps a pending read, so that
/// waiting for the next event is cancellation-safe.
fn events(
    res: Response,
) -> impl Stream<Item = Result<SseEvent, eventsource_stream::EventStreamError<HttpError>>> {
    let chunks = futures::stream::unfold(Some(res), |res| async {
        let mut res = res?;
        match res.next().await {
            Ok(Some(chunk)) => Some((Ok::<Bytes, HttpError>(chunk), Some(res))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    chunks.eventsource()
}

/// Waits for the next token, the end of the stream, the caller's disconnect or the
/// next check of the key, whichever comes first.
async fn next_input<S>(conn: &mut Connection, events: std::pin::Pin<&mut S>) -> StreamInput
where
    S: Stream<Item = Result<SseEvent, eventsource_stream::EventStreamError<HttpError>>>,
{
    let mut events = events;
    let event = std::pin::pin!(events.next());
    let disconnected = std::pin::pin!(conn.closed());
    let tick = std::pin::pin!(monoio::time::sleep(KEY_CHECK));
    let other = futures::future::select(disconnected, tick);
    let event = match futures::future::select(event, other).await {
        Either::Left((event, _)) => event,
        Either::Right((Either::Left(_), _)) => return StreamInput::CallerDisconnected,
        Either::Right((Either::Right(_), _)) => return StreamInput::KeyCheck,
    };
    match event {
        None => StreamInput::End(None),
        Some(Err(eventsource_stream::EventStreamError::Transport(error))) => {
            StreamInput::End(Some(forward::failure_during_response(&error)))
        }
        Some(Err(_)) => StreamInput::End(Some(Failure::InvalidResponse)),
        Some(Ok(event)) if event.data == "[DONE]" => StreamInput::End(None),
        Some(Ok(event)) => match TokenEvent::parse(&event.data) {
            Some(token) => StreamInput::Token(Box::new(token)),
            None => StreamInput::End(Some(Failure::InvalidResponse)),
        },
    }
}

/// Forwards a token and returns whether the caller is still connected.
async fn forward_token(exchange: &mut Exchange<'_>, event: &TokenEvent) -> bool {
    if !exchange.response_started {
        let mut res = HttpResponse::new(());
        let headers = res.headers_mut();
        let stream = header::HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, stream);
        let no_cache = header::HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, no_cache);
        exchange.identify(headers);
        exchange.announce_close();
        if exchange.conn.start(res).await.is_err() {
            return false;
        }
        exchange.response_started = true;
    }
    exchange.conn.send(event.encode()).await.is_ok()
}
