//! Forwarding of a request to upstreams until one responds.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use http::Response;
use http::header;
use limpetsaddle_core::hash::stable_hash;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::admission;
use limpetsaddle_fleet::attempt::Attempts;
use limpetsaddle_fleet::begin_limit::Waiting;
use limpetsaddle_fleet::canary::Admission;
use limpetsaddle_fleet::configuration::KvStore;
use limpetsaddle_fleet::configuration::Service;
use limpetsaddle_fleet::configuration::share_hash;
use limpetsaddle_fleet::configuration::store_hash;
use limpetsaddle_fleet::outage::StreamWaits;
use limpetsaddle_fleet::placement;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::placement::PlacementContext;
use limpetsaddle_fleet::placement::PromptRequest;
use limpetsaddle_fleet::prompt::Prompt;
use limpetsaddle_fleet::quarantine::Subject;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_fleet::runs::RunContent;
use limpetsaddle_fleet::runs::RunId;
use limpetsaddle_fleet::upstreams::RequestLoad;
use limpetsaddle_fleet::upstreams::Upstream;
use limpetsaddle_fleet::weights::Outdated;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire::headers;
use limpetsaddle_platform_wire::headers::UpstreamFields;
use log::info;

use super::canary;
use super::exchange;
use super::exchange::AcceptedRequest;
use super::hop_by_hop;
use super::instance::FleetInstance;
use super::pass_on;
use super::permits;
use super::reach;
use super::relay;
use super::relay::PendingResponse;
use crate::clock::millis;

/// The shortest time that an upstream can be given, which is stated in whole milliseconds.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// The time after which a caller may retry when no upstream accepts requests.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The time after which a caller may retry when this instance has not read the target
/// weights yet.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The time after which a caller may retry a request that is withheld.
const WITHHELD_RETRY_AFTER: Duration = Duration::from_mins(1);

/// The time between two checks of whether a service has become unreachable.
const UNREACHED_CHECK_INTERVAL: Duration = Duration::from_millis(200);

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

/// Forwards one request, in one or more attempts.
pub struct Forwarder<'a> {
    pub instance: &'a Rc<FleetInstance>,
    /// The request as read from the caller, without hop-by-hop header fields.
    pub req: &'a Request,
    pub accepted: &'a AcceptedRequest,
    /// The service that was drawn from the route's shares.
    pub service: Name,
    /// The id of the last event that the caller has received.
    pub last_event: RefCell<Option<String>>,
    /// The attempts so far.
    pub attempts: Cell<Attempts>,
    /// The upstreams that were attempted.
    pub attempted: RefCell<Vec<Name>>,
    /// The upstream that was given up for its silence alone.
    pub given_up: RefCell<Option<Name>>,
    /// The number of attempts so far.
    pub sent: Cell<u32>,
    /// The waits for an upstream that can continue the stream.
    pub waits: Cell<StreamWaits>,
    /// Whether an upstream has ended the connection, perhaps because its process has ended.
    pub has_lost_upstream: Cell<bool>,
    /// Whether the next attempt needs a retry that the budget has not permitted yet.
    pub owes_retry: Cell<bool>,
    /// Whether the request is withheld, and sent once nevertheless.
    pub is_trial: Cell<bool>,
}

/// What happened first while a request was being sent.
enum Pending {
    CallerClosed,
    Ended(Box<Result<PendingResponse, Refusal>>),
    /// The service has become unreachable, while peers reach it.
    Outlasted,
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
    let forwarder = Forwarder {
        instance,
        req,
        accepted,
        service: Name::clone(route.service(share_hash(id))),
        attempts: Cell::new(Attempts::new(
            route.kind,
            route.max_attempts,
            accepted.deadline,
        )),
        last_event: RefCell::default(),
        attempted: RefCell::default(),
        given_up: RefCell::default(),
        sent: Cell::new(0),
        waits: Cell::default(),
        has_lost_upstream: Cell::default(),
        owes_retry: Cell::default(),
        is_trial: Cell::default(),
    };
    if accepted.from_peer && reach::is_failing(instance, &forwarder.service) {
        // The instance that has passed the request on tries another peer.
        return ForwardOutcome::Refused {
            refusal: forwarder
                .attempts
                .get()
                .give_up(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER),
            may_have_run: false,
        };
    }
    if forwarder.leads_elsewhere()
        && let Some(outcome) = pass_on::pass_on(&forwarder, conn).await
    {
        return outcome;
    }
    let pending = {
        let mut send = std::pin::pin!(forwarder.send().fuse());
        let mut outlasted = std::pin::pin!(forwarder.outlasted().fuse());
        let mut closed = std::pin::pin!(conn.closed().fuse());
        // Polled first, so that nothing more is sent for a caller that is known to have left.
        futures::select_biased! {
            () = closed => Pending::CallerClosed,
            ended = send => Pending::Ended(Box::new(ended)),
            () = outlasted => Pending::Outlasted,
        }
    };
    let sent = match pending {
        Pending::CallerClosed => None,
        Pending::Ended(ended) => Some(*ended),
        Pending::Outlasted => match pass_on::pass_on(&forwarder, conn).await {
            Some(outcome) => return outcome,
            None => Some(Err(Refusal::new(Reason::UpstreamTimeout))),
        },
    };
    match sent {
        None => {
            let after_ms = millis(instance.now().since(accepted.arrived));
            info!(id, route:display = route.name, sent = forwarder.sent(), after_ms; "caller disconnected");
            ForwardOutcome::Aborted
        }
        Some(Ok(pending)) => relay::relay(&forwarder, conn, pending).await,
        Some(Err(refusal)) => {
            if forwarder.may_pass_on()
                && let Some(outcome) = pass_on::pass_on(&forwarder, conn).await
            {
                return outcome;
            }
            ForwardOutcome::Refused {
                refusal,
                may_have_run: forwarder.attempts.get().may_have_run(),
            }
        }
    }
}

impl Forwarder<'_> {
    /// Returns the prompt that the request declares.
    pub fn prompt(&self) -> Option<&Prompt> {
        self.accepted.fields.prompt.as_ref()
    }

    fn priority(&self) -> u8 {
        let team = self.accepted.team.as_deref();
        let configuration = &self.accepted.configuration;
        exchange::priority(self.instance, configuration, &self.accepted.route, team)
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

    /// Records that the request is about to be sent to an upstream.
    pub fn start_run(&self, placement: &Placement) -> RunId {
        let id = self.accepted.fields.id.as_deref().unwrap_or_default();
        let content = RunContent {
            request: request_hash(id),
            key: self.accepted.key,
            parts: self.accepted.parts.as_deref(),
        };
        let process = placement.incarnation().process();
        let now = self.instance.now();
        let mut runs = self.instance.runs.borrow_mut();
        runs.start(process, &content, now)
    }

    pub fn request_load(&self, placement: &Placement) -> RequestLoad {
        let prompt = self.prompt();
        RequestLoad {
            waiting_tokens: placement.prompt_tokens,
            held_tokens: prompt.map_or(0, Prompt::charged_tokens),
            fragile: !self.accepted.route.kind.may_repeat(),
            expected_latency: placement.expected_latency,
        }
    }

    /// Selects an upstream for the next attempt. An upstream that was given up for its
    /// silence is selected again once no other is left.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there is none, or none that responds in time.
    pub fn place(&self) -> Result<Placement, Refusal> {
        let placed = self.place_anywhere();
        let uses_permit = placed.as_ref().is_ok_and(|placement| {
            let upstreams = self.instance.upstreams.borrow();
            let row = upstreams.get(&placement.upstream);
            row.is_some_and(|row| row.limit().is_some())
        });
        // Limited upstreams are used beside others as well.
        let is_usable = |row: &Upstream| self.may_use(row);
        let has_permit =
            !uses_permit && permits::seek(self.instance, &self.service, self.priority(), is_usable);
        if has_permit && placed.is_err() {
            return self.place_anywhere();
        }
        placed
    }

    /// Returns whether the request could be sent to an upstream with a permit.
    fn may_use(&self, row: &Upstream) -> bool {
        let model = self.prompt().and_then(|prompt| prompt.model.as_deref());
        let weights = model.and_then(|model| row.weights(model));
        let outdated = self.outdated(weights);
        let is_current = outdated
            .is_none_or(|outdated| outdated.age < self.instance.placement.old_weights_max_age);
        is_current
            && !self.attempted.borrow().contains(&row.entry.id)
            && canary::may_use(self.instance, &self.service, &row.entry.id)
    }

    fn place_anywhere(&self) -> Result<Placement, Refusal> {
        let refusal = match self.place_elsewhere() {
            Ok(placement) => return Ok(placement),
            Err(refusal) => refusal,
        };
        let silent = self.given_up.take().ok_or(refusal)?;
        self.attempted.borrow_mut().retain(|name| *name != silent);
        self.place_elsewhere()
    }

    /// Selects an upstream that was not attempted.
    fn place_elsewhere(&self) -> Result<Placement, Refusal> {
        let instance = self.instance;
        let now = instance.now();
        let remaining = self.accepted.deadline.since(now);
        if remaining.is_zero() {
            return Err(self
                .attempts
                .get()
                .give_up(Reason::DeadlineExceeded, Duration::ZERO));
        }
        if let Some(subject) = self.withheld_subject()
            && !self.begin_trial(subject)
        {
            let mut quarantine = instance.quarantine.borrow_mut();
            quarantine.record_refusal(subject, now);
            let reason = match subject {
                Subject::Part(_) => Reason::WithheldPart,
                Subject::Request(_) => Reason::WithheldRequest,
            };
            return Err(self.attempts.get().give_up(reason, WITHHELD_RETRY_AFTER));
        }
        if !self.permits_repeat() {
            return Err(Refusal::new(Reason::UpstreamFailed));
        }
        if !instance.quarantine_record.is_listed.get() {
            // The request, or parts of its prompt, may be withheld.
            let attempts = self.attempts.get();
            return Err(attempts.give_up(Reason::NotReady, NO_TARGET_RETRY_AFTER));
        }
        canary::place(instance, &self.service, |admission| {
            self.place_among(admission, now)
        })
    }

    /// Selects one of the upstreams that an attempt may use.
    fn place_among(&self, admission: Option<&Admission>, now: Time) -> Result<Placement, Refusal> {
        let instance = self.instance;
        let remaining = self.accepted.deadline.since(now);
        let service = self.accepted.configuration.service(&self.service);
        let upstreams = instance.upstreams.borrow();
        let peers = instance.peers.borrow();
        let directory = instance.directory.borrow();
        let attempted = self.attempted.borrow();
        let context = PlacementContext {
            upstreams: &upstreams,
            peers: &peers,
            directory: &directory,
            domain: &instance.settings.domain,
            attempted: &attempted,
            permitted: admission,
            now,
            random: instance.random.draw(),
        };
        let placement = match self.prompt().zip(service.and_then(|s| s.engine.as_ref())) {
            Some((prompt, engine)) => {
                let targets = instance.target_weights.borrow();
                let model = prompt.model.as_deref().unwrap_or_default();
                let target = targets.iter().find(|t| &*t.model == model);
                if target.is_none() && !instance.has_listed_weights.get() {
                    // Any weights may be too old.
                    let attempts = self.attempts.get();
                    return Err(attempts.give_up(Reason::NotReady, NO_TARGET_RETRY_AFTER));
                }
                let req = PromptRequest {
                    service: &self.service,
                    engine,
                    prompt,
                    isolated_team: self.isolated_team(),
                    target_weights: target,
                    store: self.kv_store(now),
                    rate: instance.request_rate(&self.service),
                };
                placement::place_prompt(&req, &instance.placement, &context)
            }
            None => placement::place_plain(&self.service, &context),
        };
        let refusal = || {
            self.attempts
                .get()
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
        if self.attempts.get().may_have_run() {
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

    /// Returns the request for an upstream with the time that it has now, or `None` if no time
    /// is left, the upstream's weights are too old by now, its version may get no request, or a
    /// header field cannot be encoded.
    pub fn upstream_request(&self, placement: &Placement, run: RunId) -> Option<Request> {
        let remaining = self.accepted.deadline.since(self.instance.now());
        if remaining < MIN_TIME_LEFT || self.check_begin(placement) == Waiting::Withdraw {
            return None;
        }
        let mut req = self.req.clone();
        req.headers_mut().remove(header::EXPECT);
        let team = self.accepted.team.as_ref();
        let last_event = self.last_event.borrow();
        let fields = UpstreamFields {
            upstream: &placement.upstream,
            remaining,
            team: team.map(|team| &*team.name),
            priority: self.priority(),
            weights: placement.weights,
            cache: placement.cache.as_ref(),
            last_event: last_event.as_deref(),
        };
        match headers::set_upstream_fields(req.headers_mut(), &fields) {
            Ok(()) => canary::begin(self, placement, run).then_some(req),
            Err(error) => {
                log::warn!(error:display; "cannot encode request for upstream");
                None
            }
        }
    }

    /// Returns for how long weights of the prompt's model have been outdated, or `None` if
    /// they are not.
    pub fn outdated(&self, weights: Option<u64>) -> Option<Outdated> {
        let model = self.prompt()?.model.as_deref()?;
        let targets = self.instance.target_weights.borrow();
        let target = targets.iter().find(|t| &*t.model == model)?;
        target.outdated(weights?, self.instance.now())
    }

    /// Returns what is withheld from upstreams: the first such part of the prompt, or the
    /// request, unless it is a trial.
    pub fn withheld_subject(&self) -> Option<Subject> {
        let quarantine = self.instance.quarantine.borrow();
        let parts = self.accepted.parts.as_deref().unwrap_or_default();
        if let Some(part) = quarantine.withheld(parts) {
            return Some(part.into());
        }
        let key = self.accepted.key;
        (quarantine.withholds(key) && !self.is_trial.get()).then_some(key.into())
    }

    /// Returns whether a withheld request is sent nevertheless, once, to see whether it is
    /// answered by now.
    fn begin_trial(&self, subject: Subject) -> bool {
        let Subject::Request(key) = subject else {
            return false;
        };
        if self.sent.get() > 0 {
            return false;
        }
        let now = self.instance.now();
        let (rank, instances) = {
            let peers = self.instance.peers.borrow();
            (peers.rank(now), peers.peer_counts(now).live)
        };
        let rank = usize::try_from(rank).unwrap_or(usize::MAX);
        let mut quarantine = self.instance.quarantine.borrow_mut();
        self.is_trial
            .set(quarantine.begin_trial(key, rank, instances, now));
        self.is_trial.get()
    }

    /// Returns whether the request may still begin at an upstream.
    pub fn check_begin(&self, placement: &Placement) -> Waiting {
        if self.withheld_subject().is_some() {
            return Waiting::Withdraw;
        }
        let limit = self.instance.begin_limit;
        limit.check(self.outdated(placement.weights))
    }

    /// Records that the caller has the beginning of the answer.
    pub fn record_begin(&self) {
        let mut attempts = self.attempts.get();
        attempts.record_begin();
        self.attempts.set(attempts);
    }

    /// Excludes an upstream whose stream failed from further attempts.
    pub fn exclude(&self, placement: &Placement) {
        let mut attempted = self.attempted.borrow_mut();
        attempted.push(Name::clone(&placement.upstream));
    }

    /// Excludes an upstream whose silence has outlasted the time beside another one.
    pub fn give_up_silent(&self, placement: &Placement) {
        self.exclude(placement);
        self.given_up
            .replace(Some(Name::clone(&placement.upstream)));
    }

    /// Returns whether the request may be passed on to a peer, as this instance fails to
    /// reach the service. One that a peer has passed on goes no further.
    fn may_pass_on(&self) -> bool {
        !self.accepted.from_peer
            && !self.attempts.get().may_have_run()
            && reach::is_failing(self.instance, &self.service)
    }

    /// Waits until the service is known to be unreachable from here though peers reach it, and
    /// a peer may run the request once more. Otherwise it never returns.
    async fn outlasted(&self) {
        let instance = self.instance;
        if self.accepted.from_peer || !self.accepted.route.kind.may_repeat() {
            return std::future::pending().await;
        }
        loop {
            monoio::time::sleep(UNREACHED_CHECK_INTERVAL).await;
            let is_silent =
                self.sent.get() > 0 && reach::is_silent_since(instance, self.accepted.arrived);
            if is_silent
                && reach::is_failing(instance, &self.service)
                && reach::peers_reach(instance, &self.service)
            {
                break;
            }
        }
        let mut attempts = self.attempts.get();
        let permitted = self.permits_repeat()
            && attempts.record_silence(instance.now(), || instance.withdraw_retry(&self.service));
        self.attempts.set(attempts);
        if !permitted {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the request is passed on rather than attempted here.
    pub fn leads_elsewhere(&self) -> bool {
        let may_repeat = self.accepted.route.kind.may_repeat();
        self.may_pass_on()
            && reach::peers_reach(self.instance, &self.service)
            && !reach::begin_trial(self.instance, &self.service, may_repeat)
    }

    /// Returns the number of attempts so far.
    pub const fn sent(&self) -> u32 {
        self.sent.get()
    }
}

/// Returns the hash of a request's id in reports of crashes.
fn request_hash(id: &str) -> u32 {
    let [a, b, c, d, ..] = stable_hash(&[id.as_bytes()]).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Returns a response that was read whole, without hop-by-hop header fields.
pub fn buffered_response(head: http::response::Parts, body: Bytes) -> Response<Bytes> {
    let mut res = Response::from_parts(head, body);
    hop_by_hop::remove(res.headers_mut());
    res
}

/// Returns the time since `since` in milliseconds, for logs.
pub fn elapsed_ms(instance: &FleetInstance, since: Time) -> u64 {
    millis(instance.now().since(since))
}
