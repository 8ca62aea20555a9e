//! Forwarding of a request to upstreams until one responds.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use http::Response;
use http::header;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::admission;
use limpetsaddle_fleet::attempt::Attempts;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::attempt::NextStep;
use limpetsaddle_fleet::configuration::KvStore;
use limpetsaddle_fleet::configuration::RouteKind;
use limpetsaddle_fleet::configuration::Service;
use limpetsaddle_fleet::configuration::share_hash;
use limpetsaddle_fleet::configuration::store_hash;
use limpetsaddle_fleet::directory::CacheUpdate;
use limpetsaddle_fleet::health::RequestOutcome;
use limpetsaddle_fleet::placement;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::placement::PlacementContext;
use limpetsaddle_fleet::placement::PromptRequest;
use limpetsaddle_fleet::prompt::Prompt;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_fleet::upstreams::RequestLoad;
use limpetsaddle_fleet::upstreams::Ticket;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire::headers;
use limpetsaddle_platform_wire::headers::UpstreamFields;
use log::info;

use super::exchange::AcceptedRequest;
use super::instance::FleetInstance;
use super::outage;
use super::relay;
use super::relay::AttemptOutcome;
use super::relay::Origin;
use super::relay::PendingResponse;
use crate::clock::millis;

/// The time after which a caller may retry when no upstream accepts requests.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The divisor of the remaining time that gives the timeout of one attempt of an
/// idempotent request.
const ATTEMPT_TIMEOUT_DIVISOR: u32 = 2;

/// The shortest timeout of one attempt of an idempotent request.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// The time beyond the expected time to the first event after which a resumable
/// stream is sent to another engine.
const FIRST_EVENT_SLACK: Duration = Duration::from_secs(2);

/// The outcome of a request.
pub enum ForwardOutcome {
    /// The caller has the response of an upstream.
    Responded {
        /// Whether the connection can be reused.
        reusable: bool,
    },
    /// The caller disconnected, or the response was cut off and the connection
    /// has to be closed.
    Aborted,
    /// The caller has to get a refusal.
    Refused {
        refusal: Refusal,
        /// Whether an upstream may have run the request.
        may_have_run: bool,
    },
}

/// Counts a request as in flight at an upstream until it is dropped.
pub struct InFlightGuard {
    instance: Rc<FleetInstance>,
    ticket: Option<Ticket>,
    /// The outcome for the upstream's health; `None` if the caller disconnects
    /// first.
    pub outcome: Option<RequestOutcome>,
}

impl InFlightGuard {
    fn new(instance: &Rc<FleetInstance>, placement: &Placement, request_load: RequestLoad) -> Self {
        let now = instance.now();
        let mut upstreams = instance.upstreams.borrow_mut();
        Self {
            ticket: upstreams.start(&placement.upstream, request_load, now),
            instance: Rc::clone(instance),
            outcome: None,
        }
    }

    /// Returns a guard that counts nothing, for a response that was read whole.
    fn none(instance: &Rc<FleetInstance>) -> Self {
        Self {
            instance: Rc::clone(instance),
            ticket: None,
            outcome: None,
        }
    }

    /// Records the first event, and that the upstream and the KV store now cache
    /// the prompt.
    pub fn record_first_event(&mut self, placement: &Placement) {
        let now = self.instance.now();
        let Some(ticket) = &mut self.ticket else {
            return;
        };
        let mut upstreams = self.instance.upstreams.borrow_mut();
        upstreams.record_first_event(ticket, now);
        let Some(cache) = &placement.cache else {
            return;
        };
        let keys = || placement.chain.iter().map(|link| link.key).collect();
        let mut directory = self.instance.directory.borrow_mut();
        if let Some(row) = upstreams.get(&placement.upstream) {
            let report = CacheUpdate {
                holder: row.hash,
                keys: keys(),
                new_tokens: u32::try_from(placement.new_tokens).unwrap_or(u32::MAX),
            };
            directory.record_read(report, now);
        }
        if let Some(store) = cache.save_to {
            let report = CacheUpdate {
                holder: store_hash(store),
                keys: keys(),
                new_tokens: u32::try_from(placement.new_tokens).unwrap_or(u32::MAX),
            };
            directory.record_read(report, now);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.instance.now();
            let mut upstreams = self.instance.upstreams.borrow_mut();
            upstreams.finish(&ticket, self.outcome, now);
        }
    }
}

/// Forwards one request, in one or more attempts.
pub struct Forwarder<'a> {
    pub instance: &'a Rc<FleetInstance>,
    /// The request as read from the caller.
    pub req: &'a Request,
    pub accepted: &'a AcceptedRequest,
    /// The service that was drawn from the route's shares.
    pub service: Name,
    /// The attempts so far.
    pub attempts: Attempts,
    /// The id of the last event that the caller has received.
    pub last_event: Option<String>,
    /// The upstreams that were attempted.
    pub attempted: Vec<Name>,
    sent: u32,
}

/// Forwards a request and relays the response to the caller.
pub async fn forward(
    instance: &Rc<FleetInstance>,
    conn: &mut Connection,
    req: &Request,
    accepted: &AcceptedRequest,
) -> ForwardOutcome {
    let id = accepted.fields.id.as_deref().unwrap_or_default();
    let route = &accepted.route;
    let mut forwarder = Forwarder {
        instance,
        req,
        accepted,
        service: Name::clone(route.service(share_hash(id))),
        attempts: Attempts::new(route.kind, route.max_attempts, accepted.deadline),
        last_event: None,
        attempted: Vec::new(),
        sent: 0,
    };
    let pending = {
        let send = std::pin::pin!(forwarder.send().fuse());
        let closed = std::pin::pin!(conn.closed().fuse());
        match futures::future::select(send, closed).await {
            futures::future::Either::Left((pending, _)) => Some(pending),
            futures::future::Either::Right(_) => None,
        }
    };
    match pending {
        None => {
            let after_ms = millis(instance.now().since(accepted.arrived));
            info!(id, route:display = route.name, sent = forwarder.sent, after_ms; "caller disconnected");
            ForwardOutcome::Aborted
        }
        Some(Ok(pending)) => relay::relay(&mut forwarder, conn, pending).await,
        Some(Err(refusal)) => ForwardOutcome::Refused {
            refusal,
            may_have_run: forwarder.attempts.may_have_run(),
        },
    }
}

impl Forwarder<'_> {
    /// Sends the request to upstreams until one responds.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no upstream responds and none may be attempted
    /// any more.
    pub async fn send(&mut self) -> Result<PendingResponse, Refusal> {
        loop {
            let placement = outage::place_or_wait(self).await?;
            let mut in_flight =
                InFlightGuard::new(self.instance, &placement, self.request_load(&placement));
            let (outcome, timed_out_early) = self.attempt(&placement, &mut in_flight).await;
            let (failure, cause, response) = match outcome {
                AttemptOutcome::Responded(response) => {
                    let origin = Origin {
                        in_flight,
                        placement,
                    };
                    return Ok(PendingResponse { origin, response });
                }
                AttemptOutcome::Failed {
                    failure,
                    cause,
                    response,
                } => (failure, cause, response),
            };
            in_flight.outcome = self.health_outcome(failure, &placement, timed_out_early);
            drop(in_flight);
            self.record_failure(failure, &cause, &placement);
            let service = Name::clone(&self.service);
            let instance = self.instance;
            let now = instance.now();
            let step = self
                .attempts
                .record_failure(failure, now, || instance.withdraw_retry(&service));
            match (step, response) {
                (NextStep::Retry, _) => instance.metrics.record_retry(failure),
                // After the last attempt, the upstream's error response is
                // relayed.
                (NextStep::GiveUp(_), Some(response)) => {
                    let in_flight = InFlightGuard::none(instance);
                    return Ok(PendingResponse {
                        origin: Origin {
                            in_flight,
                            placement,
                        },
                        response: relay::UpstreamResponse::Buffered(response),
                    });
                }
                (NextStep::GiveUp(refusal), None) => return Err(outage::with_rest(self, refusal)),
            }
        }
    }

    /// Returns the prompt that the request declares.
    fn prompt(&self) -> Option<&Prompt> {
        self.accepted.fields.prompt.as_ref()
    }

    /// Returns the KV store for the prompt's shared parts, if it is up.
    fn kv_store(&self, now: Time) -> Option<&KvStore> {
        let scope = self.isolated_team().unwrap_or_default();
        let hash = self.prompt()?.shared_hash(scope);
        let store = self.accepted.configuration.kv_store_for(hash)?;
        let stores = self.instance.kv_stores.borrow();
        stores
            .is_up(store_hash(store.address), now)
            .then_some(store)
    }

    /// Returns the team if it shares no cached prompts with others.
    fn isolated_team(&self) -> Option<&str> {
        let team = self.accepted.team.as_ref().filter(|team| team.isolated);
        team.map(|team| &*team.name)
    }

    fn request_load(&self, placement: &Placement) -> RequestLoad {
        let prompt = self.prompt();
        RequestLoad {
            waiting_tokens: placement.prompt_tokens,
            held_tokens: prompt.map_or(0, Prompt::charged_tokens),
            fragile: !self.accepted.route.kind.may_repeat(),
            expected_latency: placement.expected_latency,
        }
    }

    /// Selects an upstream for the next attempt.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there is none, or none that responds in time.
    pub fn place(&self) -> Result<Placement, Refusal> {
        let instance = self.instance;
        let now = instance.now();
        let remaining = self.accepted.deadline.since(now);
        if remaining.is_zero() {
            return Err(self
                .attempts
                .give_up(Reason::DeadlineExceeded, Duration::ZERO));
        }
        let service = self.accepted.configuration.service(&self.service);
        let upstreams = instance.upstreams.borrow();
        let peers = instance.peers.borrow();
        let directory = instance.directory.borrow();
        let context = PlacementContext {
            upstreams: &upstreams,
            peers: &peers,
            directory: &directory,
            domain: &instance.settings.domain,
            attempted: &self.attempted,
            now,
            random: instance.random.draw(),
        };
        let placement = match self.prompt().zip(service.and_then(|s| s.engine.as_ref())) {
            Some((prompt, engine)) => {
                let targets = instance.target_weights.borrow();
                let model = prompt.model.as_deref().unwrap_or_default();
                let req = PromptRequest {
                    service: &self.service,
                    engine,
                    prompt,
                    isolated_team: self.isolated_team(),
                    target_weights: targets.iter().find(|t| &*t.model == model),
                    store: self.kv_store(now),
                    rate: instance.request_rate(&self.service),
                };
                placement::place_prompt(&req, &instance.placement, &context)
            }
            None => placement::place_plain(&self.service, &context),
        };
        let refusal = || {
            self.attempts
                .give_up(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER)
        };
        let placement = placement.ok_or_else(refusal)?;
        self.admit(&placement, service.map(|s| &**s), remaining)?;
        Ok(placement)
    }

    fn admit(
        &self,
        placement: &Placement,
        service: Option<&Service>,
        remaining: Duration,
    ) -> Result<(), Refusal> {
        if self.attempts.may_have_run() {
            return Ok(());
        }
        if service.is_some_and(|s| s.engine.is_some()) {
            return admission::admit(placement.expected_latency, remaining);
        }
        let instance = self.instance;
        let upstreams = instance.upstreams.borrow();
        let Some(row) = upstreams.get(&placement.upstream) else {
            return Ok(());
        };
        let peers_load = instance
            .peers
            .borrow()
            .remote_load(row.hash, instance.now());
        let requests = row.local_load.requests + peers_load.requests;
        admission::admit_plain(requests, row.entry.slots)
    }

    /// Attempts the request at one upstream. The second value is true if the
    /// attempt timed out before the request's deadline.
    async fn attempt(
        &mut self,
        placement: &Placement,
        in_flight: &mut InFlightGuard,
    ) -> (AttemptOutcome, bool) {
        if self.sent == 0 {
            self.instance.count_request(&self.service);
        }
        self.sent += 1;
        let now = self.instance.now();
        let remaining = self.accepted.deadline.since(now);
        let timeout = self.attempt_timeout(placement, remaining);
        let attempt = relay::send_attempt(self, placement, in_flight, remaining);
        if let Ok(outcome) = monoio::time::timeout(timeout, attempt).await {
            (outcome, false)
        } else {
            let timed_out = AttemptOutcome::Failed {
                failure: Failure::TimedOut,
                cause: format!("no response within {} ms", timeout.as_millis()),
                response: None,
            };
            (timed_out, timeout < remaining)
        }
    }

    /// Returns the timeout of one attempt, which leaves time for another one if
    /// the request may run again.
    fn attempt_timeout(&self, placement: &Placement, remaining: Duration) -> Duration {
        match self.accepted.route.kind {
            RouteKind::NonIdempotent | RouteKind::Stream { resumable: false } => remaining,
            RouteKind::Idempotent => {
                let timeout = remaining / ATTEMPT_TIMEOUT_DIVISOR;
                timeout.max(MIN_ATTEMPT_TIMEOUT).min(remaining)
            }
            RouteKind::Stream { resumable: true } => {
                (placement.expected_latency * 2 + FIRST_EVENT_SLACK).min(remaining)
            }
        }
    }

    /// Returns the outcome for the upstream's health. A timeout is ignored if the
    /// request's own deadline was too short.
    fn health_outcome(
        &self,
        failure: Failure,
        placement: &Placement,
        timed_out_early: bool,
    ) -> Option<RequestOutcome> {
        let waited = self.instance.now().since(self.accepted.arrived);
        let expected = placement.expected_latency * 2 + FIRST_EVENT_SLACK / 2;
        if failure == Failure::TimedOut && !timed_out_early && waited < expected {
            return None;
        }
        failure.outcome()
    }

    fn record_failure(&mut self, failure: Failure, cause: &str, placement: &Placement) {
        let upstream = &placement.upstream;
        if failure == Failure::Rejected {
            let now = self.instance.now();
            let mut upstreams = self.instance.upstreams.borrow_mut();
            upstreams.record_rejection(upstream, now);
        }
        if !self.has_changed_weights(failure, placement) {
            self.attempted.push(Name::clone(upstream));
        }
        let id = self.accepted.fields.id.as_deref().unwrap_or_default();
        let after = self.instance.now().since(self.accepted.arrived);
        info!(
            id, upstream:display,
            failure = failure.code(),
            cause,
            weights = placement.weights.unwrap_or_default(),
            sent = self.sent,
            after_ms = millis(after),
            expected_ms = millis(placement.expected_latency);
            "attempt failed"
        );
    }

    /// Returns whether an engine has rejected the request because it now has
    /// other weights, with which it can be attempted again.
    fn has_changed_weights(&self, failure: Failure, placement: &Placement) -> bool {
        if failure != Failure::Misdirected {
            return false;
        }
        let model = self.prompt().and_then(|p| p.model.as_deref());
        let upstreams = self.instance.upstreams.borrow();
        let row = upstreams.get(&placement.upstream);
        let weights = row.zip(model).and_then(|(row, model)| row.weights(model));
        weights != placement.weights
    }

    /// Returns the request for an upstream, or `None` if a header field cannot be
    /// encoded.
    pub fn upstream_request(&self, placement: &Placement, remaining: Duration) -> Option<Request> {
        let mut req = self.req.clone();
        req.headers_mut().remove(header::EXPECT);
        let team = self.accepted.team.as_ref();
        let priority = team.and_then(|team| team.priority);
        let fields = UpstreamFields {
            upstream: &placement.upstream,
            remaining,
            team: team.map(|team| &*team.name),
            priority: priority.unwrap_or(self.accepted.route.priority),
            weights: placement.weights,
            cache: placement.cache.as_ref(),
            last_event: self.last_event.as_deref(),
        };
        match headers::set_upstream_fields(req.headers_mut(), &fields) {
            Ok(()) => Some(req),
            Err(error) => {
                log::warn!(error:display; "cannot encode request for upstream");
                None
            }
        }
    }

    /// Excludes an upstream whose stream failed from further attempts.
    pub fn exclude(&mut self, placement: &Placement) {
        self.attempted.push(Name::clone(&placement.upstream));
    }

    /// Returns the number of attempts so far.
    pub const fn sent(&self) -> u32 {
        self.sent
    }
}

/// Returns a response that was read whole, without hop-by-hop header fields.
pub fn buffered_response(head: http::response::Parts, body: Bytes) -> Response<Bytes> {
    let mut res = Response::from_parts(head, body);
    limpetsaddle_http::remove_hop_by_hop(res.headers_mut());
    res
}

/// Returns the time since `since` in milliseconds, for logs.
pub fn elapsed_ms(instance: &FleetInstance, since: Time) -> u64 {
    millis(instance.now().since(since))
}
