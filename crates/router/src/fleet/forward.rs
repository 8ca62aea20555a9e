//! Forwarding of a request to upstreams until one answers.

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
use limpetsaddle_platform_wire::headers::Dispatch;
use log::info;

use super::exchange::Accepted;
use super::instance::FleetInstance;
use super::relay;
use super::relay::Opened;
use super::relay::Origin;
use super::relay::Try;
use crate::clock::millis;

/// The time after which an upstream may take work again where none does.
const NO_UPSTREAM_WAIT: Duration = Duration::from_millis(400);

/// The part of the time left that one try of a request gets that may run again.
const REPEATABLE_TRY_PART: u32 = 2;

/// The shortest time that such a try gets.
const SHORTEST_TRY: Duration = Duration::from_millis(150);

/// The longest silence of an engine beyond the expected time to the first event
/// before a stream that may be resumed goes elsewhere.
const FIRST_EVENT_SLACK: Duration = Duration::from_secs(2);

/// How a request ended.
pub enum Ended {
    /// The caller got an upstream's answer.
    Answered {
        /// Whether the connection can go on.
        open: bool,
    },
    /// The caller left, or the answer broke off and the connection has to close.
    Abandoned,
    /// The caller is to get a refusal.
    Refused {
        /// The refusal.
        refusal: Refusal,
        /// Whether an upstream may have run the request.
        ran: bool,
    },
}

/// A `Claim` counts a request as sent to an upstream until it is dropped.
pub struct Claim {
    instance: Rc<FleetInstance>,
    ticket: Option<Ticket>,
    /// What the request met; nothing while the caller may still leave first.
    pub verdict: Option<RequestOutcome>,
}

impl Claim {
    fn new(instance: &Rc<FleetInstance>, placement: &Placement, work: RequestLoad) -> Self {
        let now = instance.now();
        let mut upstreams = instance.upstreams.borrow_mut();
        Self {
            ticket: upstreams.start(&placement.upstream, work, now),
            instance: Rc::clone(instance),
            verdict: None,
        }
    }

    /// Returns a claim on nothing, for an answer that has ended.
    fn none(instance: &Rc<FleetInstance>) -> Self {
        Self {
            instance: Rc::clone(instance),
            ticket: None,
            verdict: None,
        }
    }

    /// Records that the first event has come, and with it that the prompt is in
    /// the upstream's memory.
    pub fn first_event(&mut self, placement: &Placement) {
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
            let news = CacheUpdate {
                holder: row.hash,
                keys: keys(),
                new_tokens: u32::try_from(placement.new_tokens).unwrap_or(u32::MAX),
            };
            directory.record_read(news, now);
        }
        if let Some(store) = cache.save_to {
            let news = CacheUpdate {
                holder: store_hash(store),
                keys: keys(),
                new_tokens: u32::try_from(placement.new_tokens).unwrap_or(u32::MAX),
            };
            directory.record_read(news, now);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.instance.now();
            let mut upstreams = self.instance.upstreams.borrow_mut();
            upstreams.finish(&ticket, self.verdict, now);
        }
    }
}

/// A `Forwarding` is the state of one request on its way to upstreams.
pub struct Forwarding<'a> {
    /// The instance.
    pub instance: &'a Rc<FleetInstance>,
    /// The request as read.
    pub req: &'a Request,
    /// What was decided about it.
    pub accepted: &'a Accepted,
    /// The service that gets it.
    pub service: Name,
    /// The tries so far.
    pub attempts: Attempts,
    /// The last event that the caller has got.
    pub last_event: Option<String>,
    tried: Vec<Name>,
    sent: u32,
}

/// Forwards a request and writes the answer to the caller.
pub async fn forward(
    instance: &Rc<FleetInstance>,
    conn: &mut Connection,
    req: &Request,
    accepted: &Accepted,
) -> Ended {
    let id = accepted.inquiry.id.as_deref().unwrap_or_default();
    let route = &accepted.route;
    let mut forwarding = Forwarding {
        instance,
        req,
        accepted,
        service: Name::clone(route.service(share_hash(id))),
        attempts: Attempts::new(route.kind, route.max_attempts, accepted.deadline),
        last_event: None,
        tried: Vec::new(),
        sent: 0,
    };
    let opened = {
        let open = std::pin::pin!(forwarding.open().fuse());
        let closed = std::pin::pin!(conn.closed().fuse());
        match futures::future::select(open, closed).await {
            futures::future::Either::Left((opened, _)) => Some(opened),
            futures::future::Either::Right(_) => None,
        }
    };
    match opened {
        None => {
            let after_ms = millis(instance.now().since(accepted.arrived));
            info!(id, route:display = route.name, sent = forwarding.sent, after_ms; "caller left");
            Ended::Abandoned
        }
        Some(Ok(opened)) => relay::relay(&mut forwarding, conn, opened).await,
        Some(Err(refusal)) => Ended::Refused {
            refusal,
            ran: forwarding.attempts.may_have_run(),
        },
    }
}

impl Forwarding<'_> {
    /// Tries upstreams until one begins to answer.
    pub async fn open(&mut self) -> Result<Opened, Refusal> {
        loop {
            let placement = self.place()?;
            let mut claim = Claim::new(self.instance, &placement, self.work(&placement));
            let (outcome, limited) = self.try_at(&placement, &mut claim).await;
            let (failure, cause, answer) = match outcome {
                Try::Opened(answer) => {
                    let origin = Origin { claim, placement };
                    return Ok(Opened { origin, answer });
                }
                Try::Failed {
                    failure,
                    cause,
                    answer,
                } => (failure, cause, answer),
            };
            claim.verdict = self.verdict(failure, &placement, limited);
            drop(claim);
            self.note_failure(failure, &cause, &placement);
            let service = Name::clone(&self.service);
            let instance = self.instance;
            let now = instance.now();
            let step = self
                .attempts
                .record_failure(failure, now, || instance.take_retry(&service));
            match (step, answer) {
                (NextStep::Retry, _) => instance.metrics.retried(failure),
                // An upstream's own failure is the answer where nothing else is.
                (NextStep::GiveUp(_), Some(answer)) => {
                    let claim = Claim::none(instance);
                    return Ok(Opened {
                        origin: Origin { claim, placement },
                        answer: relay::Answer::Whole(answer),
                    });
                }
                (NextStep::GiveUp(refusal), None) => return Err(refusal),
            }
        }
    }

    /// Returns the work for a model engine, for a service that has engines.
    fn prompt(&self) -> Option<&Prompt> {
        self.accepted.inquiry.prompt.as_ref()
    }

    /// Returns the KV store of the prompt's shared parts, while it is up.
    fn store(&self, now: Time) -> Option<&KvStore> {
        let scope = self.isolated().unwrap_or_default();
        let parts = self.prompt()?.shared_hash(scope);
        let store = self.accepted.configuration.kv_store_for(parts)?;
        let stores = self.instance.kv_stores.borrow();
        stores
            .is_up(store_hash(store.address), now)
            .then_some(store)
    }

    /// Returns the team, where its prompts are kept apart from all others.
    fn isolated(&self) -> Option<&str> {
        let team = self.accepted.team.as_ref().filter(|team| team.isolated);
        team.map(|team| &*team.name)
    }

    fn work(&self, placement: &Placement) -> RequestLoad {
        let prompt = self.prompt();
        RequestLoad {
            waiting_tokens: placement.prompt_tokens,
            held_tokens: prompt.map_or(0, Prompt::charged_tokens),
            fragile: !self.accepted.route.kind.may_repeat(),
            expected_latency: placement.expected_latency,
        }
    }

    fn place(&self) -> Result<Placement, Refusal> {
        let instance = self.instance;
        let now = instance.now();
        let left = self.accepted.deadline.since(now);
        if left.is_zero() {
            return Err(self.attempts.give_up(Reason::OutOfTime, Duration::ZERO));
        }
        let service = self.accepted.configuration.service(&self.service);
        let upstreams = instance.upstreams.borrow();
        let peers = instance.peers.borrow();
        let directory = instance.directory.borrow();
        let around = PlacementContext {
            upstreams: &upstreams,
            peers: &peers,
            directory: &directory,
            domain: &instance.settings.domain,
            tried: &self.tried,
            now,
            random: instance.random.draw(),
        };
        let placement = match self.prompt().zip(service.and_then(|s| s.engine.as_ref())) {
            Some((prompt, engine)) => {
                let named = instance.named.borrow();
                let model = prompt.model.as_deref().unwrap_or_default();
                let req = PromptRequest {
                    service: &self.service,
                    engine,
                    prompt,
                    isolated_team: self.isolated(),
                    target_weights: named.iter().find(|n| &*n.model == model),
                    store: self.store(now),
                };
                placement::place_prompt(&req, &instance.placement, &around)
            }
            None => placement::place_plain(&self.service, &around),
        };
        let nowhere = || self.attempts.give_up(Reason::NoUpstream, NO_UPSTREAM_WAIT);
        let placement = placement.ok_or_else(nowhere)?;
        self.admit(&placement, service.map(|s| &**s), left)?;
        Ok(placement)
    }

    fn admit(
        &self,
        placement: &Placement,
        service: Option<&Service>,
        left: Duration,
    ) -> Result<(), Refusal> {
        if self.attempts.may_have_run() {
            return Ok(());
        }
        if service.is_some_and(|s| s.engine.is_some()) {
            return admission::admit(placement.expected_latency, left);
        }
        let instance = self.instance;
        let upstreams = instance.upstreams.borrow();
        let Some(row) = upstreams.get(&placement.upstream) else {
            return Ok(());
        };
        let elsewhere = instance
            .peers
            .borrow()
            .remote_load(row.hash, instance.now());
        let requests = row.local_load.requests + elsewhere.requests;
        admission::admit_plain(requests, row.entry.slots)
    }

    /// Tries one upstream; the second value tells whether the try ended with its
    /// own time and not with the request's.
    async fn try_at(&mut self, placement: &Placement, claim: &mut Claim) -> (Try, bool) {
        if self.sent == 0 {
            self.instance.count_request(&self.service);
        }
        self.sent += 1;
        let now = self.instance.now();
        let left = self.accepted.deadline.since(now);
        let limit = self.try_limit(placement, left);
        let try_once = relay::open(self, placement, claim, left);
        if let Ok(outcome) = monoio::time::timeout(limit, try_once).await {
            (outcome, false)
        } else {
            let silent = Try::Failed {
                failure: Failure::TimedOut,
                cause: format!("no answer within {} ms", limit.as_millis()),
                answer: None,
            };
            (silent, limit < left)
        }
    }

    /// Returns the time that one try gets: a request that may run again leaves
    /// time for another upstream.
    fn try_limit(&self, placement: &Placement, left: Duration) -> Duration {
        match self.accepted.route.kind {
            RouteKind::NonIdempotent | RouteKind::Stream { resumable: false } => left,
            RouteKind::Idempotent => {
                let part = left / REPEATABLE_TRY_PART;
                part.max(SHORTEST_TRY).min(left)
            }
            RouteKind::Stream { resumable: true } => {
                (placement.expected_latency * 2 + FIRST_EVENT_SLACK).min(left)
            }
        }
    }

    /// Returns what a failure says of the upstream. A request that ran out of
    /// its own short time says nothing.
    fn verdict(
        &self,
        failure: Failure,
        placement: &Placement,
        limited: bool,
    ) -> Option<RequestOutcome> {
        let waited = self.instance.now().since(self.accepted.arrived);
        let expected = placement.expected_latency * 2 + FIRST_EVENT_SLACK / 2;
        if failure == Failure::TimedOut && !limited && waited < expected {
            return None;
        }
        failure.outcome()
    }

    fn note_failure(&mut self, failure: Failure, cause: &str, placement: &Placement) {
        let upstream = &placement.upstream;
        if failure == Failure::Rejected {
            let now = self.instance.now();
            let mut upstreams = self.instance.upstreams.borrow_mut();
            upstreams.record_rejection(upstream, now);
        }
        if !self.has_other_weights_now(failure, placement) {
            self.tried.push(Name::clone(upstream));
        }
        let id = self.accepted.inquiry.id.as_deref().unwrap_or_default();
        let after = self.instance.now().since(self.accepted.arrived);
        info!(
            id, upstream:display,
            failure = failure.code(),
            cause,
            weights = placement.weights.unwrap_or_default(),
            sent = self.sent,
            after_ms = millis(after),
            expected_ms = millis(placement.expected_latency);
            "try failed"
        );
    }

    /// Returns whether an engine that refused a request for its weights has told
    /// that it runs others, so that it can be tried with these.
    fn has_other_weights_now(&self, failure: Failure, placement: &Placement) -> bool {
        if failure != Failure::Misdirected {
            return false;
        }
        let model = self.prompt().and_then(|p| p.model.as_deref());
        let upstreams = self.instance.upstreams.borrow();
        let row = upstreams.get(&placement.upstream);
        let weights = row.zip(model).and_then(|(row, model)| row.weights(model));
        weights != placement.weights
    }

    /// Returns the request for an upstream.
    pub fn outbound(&self, placement: &Placement, left: Duration) -> Option<Request> {
        let mut req = self.req.clone();
        req.headers_mut().remove(header::EXPECT);
        let team = self.accepted.team.as_ref();
        let priority = team.and_then(|team| team.priority);
        let to = Dispatch {
            upstream: &placement.upstream,
            left,
            team: team.map(|team| &*team.name),
            priority: priority.unwrap_or(self.accepted.route.priority),
            weights: placement.weights,
            cache: placement.cache.as_ref(),
            last_event: self.last_event.as_deref(),
        };
        match headers::dispatch(req.headers_mut(), &to) {
            Ok(()) => Some(req),
            Err(error) => {
                log::warn!(error:display; "request cannot be passed on");
                None
            }
        }
    }

    /// Leaves out an upstream whose stream broke off.
    pub fn give_up_on(&mut self, placement: &Placement) {
        self.tried.push(Name::clone(&placement.upstream));
    }

    /// Returns the number of sends so far.
    pub const fn sent(&self) -> u32 {
        self.sent
    }
}

/// Returns an answer that was read whole.
pub fn whole(head: http::response::Parts, body: Bytes) -> Response<Bytes> {
    let mut res = Response::from_parts(head, body);
    limpetsaddle_http::remove_hop_by_hop(res.headers_mut());
    res
}

/// Returns the time from `since` until now in milliseconds, for logs.
pub fn elapsed_ms(instance: &FleetInstance, since: Time) -> u64 {
    millis(instance.now().since(since))
}
