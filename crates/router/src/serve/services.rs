//! Requests to plain services on configured routes.

use std::rc::Rc;
use std::time::Duration;

use http::HeaderName;
use http::Method;
use http::Response as HttpResponse;
use http::StatusCode;
use http::header;
use limpetsaddle_core::blackboard::Placement;
use limpetsaddle_core::blackboard::PlacementRequest;
use limpetsaddle_core::config::RouteSpec;
use limpetsaddle_core::limits::Reservation;
use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::refusal::Execution;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_core::retry::Attempts;
use limpetsaddle_core::retry::RetryDecision;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::upstreams::AttemptOutcome;
use limpetsaddle_core::upstreams::UpstreamId;
use limpetsaddle_http::Request;
use limpetsaddle_http::Response;

use super::Caller;
use super::Exchange;
use super::admission;
use super::claimed;
use super::completions::decide_retry;
use super::completions::record_for_retry_budget;
use super::completions::with_prior_execution;
use super::forward;
use super::placing;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::responses::REQUEST_ID_HEADER;

/// The header with the idempotency key of a request.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// The longest idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 255;

/// The time after the arrival of a request in which it may start another attempt.
const ATTEMPTS_DEADLINE: Duration = Duration::from_secs(30);

/// A request to a plain service and the state that its attempts share.
pub(super) struct ServiceCall {
    pub(super) route: RouteSpec,
    pub(super) caller: Option<Caller>,
    pub(super) attempts: Attempts,
}

/// Serves a request on a configured route.
///
/// # Errors
///
/// Returns a refusal if the request cannot be served.
pub(super) async fn serve(exchange: &mut Exchange<'_>, path: &str) -> Result<(), Refusal> {
    let instance = Rc::clone(exchange.instance);
    let route = {
        let board = instance.board.borrow();
        board.store.route_for(path).map(|(_, route)| route.clone())
    };
    let caller = match &route {
        Some(route) if route.open => None,
        // Only callers with a valid key learn whether a path exists.
        _ => Some(exchange.authenticate()?),
    };
    let route = route.ok_or(Refusal::not_run(Reason::NoRoute))?;
    forward::refuse_leaked_key(exchange)?;
    let idempotent = route.idempotent || is_safe(exchange.req.method());
    if !idempotent && !instance.board.borrow().policy().admit_non_idempotent {
        return Err(Refusal::not_run(Reason::Maintenance));
    }
    let reservation = reserve(&instance, &route, caller.as_ref()).await?;
    let deadline = instance.now() + ATTEMPTS_DEADLINE;
    let mut call = ServiceCall {
        attempts: Attempts::new(idempotent, deadline),
        route,
        caller,
    };
    let outcome = match idempotency_key(exchange, &call)? {
        Some(key) if !idempotent => claimed::serve(exchange, &mut call, &key).await,
        _ => call.relay(exchange).await,
    };
    let not_run = outcome.is_err_and(|refusal| refusal.ran == Execution::NotRun);
    if let Some(reservation) = reservation {
        let used = if not_run {
            Tokens::ZERO
        } else {
            call.route.cost
        };
        admission::settle(&instance, reservation, used);
    }
    outcome
}

const fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

async fn reserve(
    instance: &Rc<Instance>,
    route: &RouteSpec,
    caller: Option<&Caller>,
) -> Result<Option<Reservation>, Refusal> {
    let Some(caller) = caller.filter(|_| route.cost > Tokens::ZERO) else {
        return Ok(None);
    };
    let reservation = admission::reserve(instance, &caller.team, route.cost).await?;
    Ok(Some(reservation))
}

fn idempotency_key(exchange: &Exchange<'_>, call: &ServiceCall) -> Result<Option<String>, Refusal> {
    let bad = Refusal::not_run(Reason::BadRequest);
    let mut values = exchange.req.headers().get_all(IDEMPOTENCY_HEADER).iter();
    let Some(value) = values.next().filter(|_| call.caller.is_some()) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_| bad)?;
    let fits = (1..=MAX_IDEMPOTENCY_KEY).contains(&key.len());
    if !fits || values.next().is_some() {
        return Err(bad);
    }
    Ok(Some(key.to_owned()))
}

impl ServiceCall {
    /// Sends the request until an upstream responds, and forwards the response.
    async fn relay(&mut self, exchange: &mut Exchange<'_>) -> Result<(), Refusal> {
        let (res, placement) = self.send(exchange).await?;
        let instance = Rc::clone(exchange.instance);
        let result = forward_response(exchange, res).await;
        finish_attempt(&instance, placement, AttemptOutcome::Responded);
        result
    }

    /// Sends the request until an upstream responds.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream responds.
    pub(super) async fn send(
        &mut self,
        exchange: &Exchange<'_>,
    ) -> Result<(Response, Placement), Refusal> {
        let instance = exchange.instance;
        let mut failed: Vec<UpstreamId> = Vec::new();
        record_for_retry_budget(instance);
        loop {
            let wanted = PlacementRequest {
                pool: &self.route.pool,
                chain: &PrefixChain::EMPTY,
                weights: None,
                exclude: &failed,
            };
            let team = self.caller.as_ref().map(|c| &c.team);
            let placed = placing::place(instance, team, &wanted).await;
            let placement =
                placed.map_err(|refusal| with_prior_execution(refusal, &self.attempts))?;
            let req = self.request(exchange, &placement);
            let failure = match instance.upstream.send(placement.address, req).await {
                Ok(res) if is_rejected(&res) => limpetsaddle_core::retry::Failure::Rejected,
                Ok(res) => return Ok((res, placement)),
                Err(error) => forward::failure_before_response(&error),
            };
            failed.push(placement.choice.upstream);
            finish_attempt(instance, placement, forward::attempt_outcome(failure));
            match decide_retry(instance, &mut self.attempts, failure) {
                RetryDecision::GiveUp(refusal) => return Err(refusal),
                RetryDecision::Retry { after, reason } => {
                    instance.metrics.retried(reason);
                    monoio::time::sleep(after).await;
                }
            }
        }
    }

    fn request(&self, exchange: &Exchange<'_>, placement: &Placement) -> Request {
        let mut req = Request::new(exchange.req.body().clone());
        *req.method_mut() = exchange.req.method().clone();
        let target = super::path_and_query(exchange.req.uri());
        if let Ok(uri) = target.parse() {
            *req.uri_mut() = uri;
        }
        let mut headers = forward::end_to_end(exchange.req.headers());
        forward::set_header(&mut headers, header::HOST, &placement.address.to_string());
        let id = HeaderName::from_static(REQUEST_ID_HEADER);
        forward::set_header(&mut headers, id, &exchange.id);
        if let Some(caller) = &self.caller {
            let team = HeaderName::from_static(forward::TEAM_HEADER);
            forward::set_header(&mut headers, team, caller.team.as_str());
        }
        *req.headers_mut() = headers;
        req
    }
}

fn is_rejected(res: &Response) -> bool {
    res.head.status == StatusCode::SERVICE_UNAVAILABLE && forward::reports_not_run(&res.head)
}

/// Records the outcome of an attempt and serves the queue.
pub(super) fn finish_attempt(instance: &Instance, placement: Placement, end: AttemptOutcome) {
    let now = instance.now();
    let random = instance.random.draw();
    let mut board = instance.board.borrow_mut();
    board.upstreams.finish(placement.ticket, end, now, random);
    drop(board);
    instance.serve_queue();
}

/// Forwards a response chunk by chunk.
///
/// # Errors
///
/// Returns a refusal if the upstream's response fails before its first chunk.
async fn forward_response(exchange: &mut Exchange<'_>, mut res: Response) -> Result<(), Refusal> {
    let broken = Refusal::unknown(Reason::UpstreamFailed);
    let mut head = HttpResponse::new(());
    *head.status_mut() = res.head.status;
    *head.headers_mut() = forward::end_to_end(&res.head.headers);
    exchange.identify(head.headers_mut());
    let first = res.next().await.map_err(|_| broken)?;
    exchange.announce_close();
    if exchange.conn.start(head).await.is_err() {
        exchange.instance.metrics.count(Event::CallerDisconnected);
        return Ok(());
    }
    let mut chunk = first;
    while let Some(bytes) = chunk {
        if exchange.conn.send(bytes).await.is_err() {
            exchange.instance.metrics.count(Event::CallerDisconnected);
            return Ok(());
        }
        let Ok(next) = res.next().await else {
            // The connection is closed without the last chunk, so that the
            // caller detects the incomplete response.
            exchange.response_truncated = true;
            exchange.instance.metrics.refused(broken.reason);
            return Ok(());
        };
        chunk = next;
    }
    if exchange.conn.finish().await.is_err() {
        exchange.instance.metrics.count(Event::CallerDisconnected);
    }
    Ok(())
}
