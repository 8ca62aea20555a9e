//! Passing of requests on to peers that reach a service which this instance doesn't reach.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::Either;
use http::header;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::attempt::NextStep;
use limpetsaddle_fleet::configuration::RouteKind;
use limpetsaddle_fleet::heartbeat::name_hash;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_fleet::relays;
use limpetsaddle_fleet::relays::Relay;
use limpetsaddle_fleet::service_reach::Reach;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use limpetsaddle_http::Response;
use limpetsaddle_platform_wire::headers;
use log::info;
use thiserror::Error as ThisError;

use super::forward::ForwardOutcome;
use super::forward::Forwarder;
use super::forward::buffered_response;
use super::forward::elapsed_ms;
use super::hop_by_hop;
use super::instance::FleetInstance;
use super::peer_requests::DECLINED;
use super::peer_requests::SECRET;
use crate::clock::Random;

/// The timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of peers that may decline a request before it is refused.
const MAX_PEERS: usize = 3;

/// The maximum size in bytes of the bodies of all requests that are passed on.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The requests that are passed on to peers, and the secret that theirs need.
pub struct Relays {
    client: Client,
    secret: RefCell<Option<Name>>,
    /// The requests in progress at each peer.
    outstanding: RefCell<HashMap<Name, u32>>,
    body_bytes: Cell<usize>,
}

impl Default for Relays {
    fn default() -> Self {
        Self {
            client: Client::new(ClientOptions {
                connect_timeout: CONNECT_TIMEOUT,
                // The deadline of each request is the only limit on silence.
                head_timeout: Duration::MAX,
                idle_timeout: Duration::MAX,
                ..ClientOptions::default()
            }),
            secret: RefCell::default(),
            outstanding: RefCell::default(),
            body_bytes: Cell::default(),
        }
    }
}

impl Relays {
    /// Returns this instance's secret, once it is known.
    pub fn secret(&self) -> Option<Name> {
        self.secret.borrow().clone()
    }

    /// Adopts the secret of this instance's registration.
    pub fn adopt_secret(&self, stored: Option<&Name>) {
        if let Some(stored) = stored {
            self.secret.replace(Some(Name::clone(stored)));
        }
    }

    /// Returns this instance's secret, a new one if none is known.
    pub fn secret_or_new(&self, random: &Random) -> Name {
        let new = || format!("{:016x}{:016x}", random.draw(), random.draw()).into();
        let mut secret = self.secret.borrow_mut();
        Name::clone(secret.get_or_insert_with(new))
    }

    fn outstanding(&self, peer: &str) -> u32 {
        let outstanding = self.outstanding.borrow();
        outstanding.get(peer).copied().unwrap_or(0)
    }
}

/// Counts a request as in progress at a peer until it is dropped.
struct Outstanding {
    instance: Rc<FleetInstance>,
    peer: Name,
    bytes: usize,
}

impl Outstanding {
    /// Returns `None` if the bodies of all requests would take too much memory.
    fn begin(instance: &Rc<FleetInstance>, peer: &Name, bytes: usize) -> Option<Self> {
        let relays = &instance.relays;
        let total = relays.body_bytes.get() + bytes;
        if total > MAX_BODY_BYTES {
            return None;
        }
        relays.body_bytes.set(total);
        let mut outstanding = relays.outstanding.borrow_mut();
        *outstanding.entry(Name::clone(peer)).or_default() += 1;
        Some(Self {
            instance: Rc::clone(instance),
            peer: Name::clone(peer),
            bytes,
        })
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        let relays = &self.instance.relays;
        relays.body_bytes.set(relays.body_bytes.get() - self.bytes);
        let mut outstanding = relays.outstanding.borrow_mut();
        if let Some(count) = outstanding.get_mut(&self.peer) {
            *count -= 1;
            if *count == 0 {
                outstanding.remove(&self.peer);
            }
        }
    }
}

/// What became of a request at a peer.
enum Attempt {
    /// The peer has begun to answer.
    Answered(Box<Response>),
    /// The peer has not run the request, and will not.
    Declined(String),
    /// The peer may have run the request.
    Lost(Failure, String),
    /// The caller has closed the connection.
    CallerClosed,
}

/// Passes a request on, and relays the answer. Returns `None` if no peer has taken it, so that
/// it has not run at any.
pub async fn pass_on(forwarder: &Forwarder<'_>, conn: &mut Connection) -> Option<ForwardOutcome> {
    let instance = forwarder.instance;
    let mut excluded: Vec<Name> = Vec::new();
    while excluded.len() < MAX_PEERS {
        let Some(relay) = choose(forwarder, &excluded) else {
            break;
        };
        // Peers that know nothing of the service may take long to find out.
        if relay.reach == Reach::Unknown && !excluded.is_empty() {
            break;
        }
        let bytes = forwarder.req.body().len();
        let Some(outstanding) = Outstanding::begin(instance, &relay.name, bytes) else {
            break;
        };
        excluded.push(Name::clone(&relay.name));
        let Some(result) = attempt(forwarder, conn, &relay, excluded.len()).await else {
            break;
        };
        match result {
            Attempt::Answered(res) => {
                refund(forwarder);
                let outcome = relay_answer(forwarder, conn, &relay, *res).await;
                drop(outstanding);
                return Some(outcome);
            }
            Attempt::CallerClosed => return Some(ForwardOutcome::Aborted),
            Attempt::Declined(cause) => log_failure(forwarder, &relay, "declined", &cause),
            Attempt::Lost(failure, cause) => {
                log_failure(forwarder, &relay, failure.code(), &cause);
                if let NextStep::GiveUp(refusal) = forwarder.step_after(failure) {
                    // The peer has charged the team if the request has run.
                    refund(forwarder);
                    return Some(ForwardOutcome::Refused {
                        refusal,
                        may_have_run: true,
                    });
                }
            }
        }
    }
    let attempts = forwarder.attempts.get();
    attempts.may_have_run().then(|| ForwardOutcome::Refused {
        refusal: Refusal::new(Reason::UpstreamFailed),
        may_have_run: true,
    })
}

fn choose(forwarder: &Forwarder<'_>, excluded: &[Name]) -> Option<Relay> {
    let instance = forwarder.instance;
    let now = instance.now();
    let service = name_hash(&forwarder.service);
    let mut all = instance.peers.borrow().relays(service, now);
    all.retain(|relay| !excluded.contains(&relay.name));
    for relay in &mut all {
        // Heartbeats report requests late.
        relay.load += instance.relays.outstanding(&relay.name);
    }
    relays::choose(all, instance.random.draw())
}

/// Returns the team's units: the peer charges them.
fn refund(forwarder: &Forwarder<'_>) {
    if let Some(team) = &forwarder.accepted.team {
        let mut limits = forwarder.instance.limits.borrow_mut();
        limits.refund(&team.name, forwarder.accepted.cost);
    }
}

/// Returns the caller's request with the time that is left, or `None` if none is left or a
/// field cannot be encoded.
fn request(forwarder: &Forwarder<'_>, relay: &Relay, now: Time) -> Option<Request> {
    let remaining = forwarder.accepted.deadline.since(now);
    if remaining.is_zero() {
        return None;
    }
    let mut req = forwarder.req.clone();
    let fields = req.headers_mut();
    fields.remove(header::EXPECT);
    fields.insert(SECRET, relay.secret.parse().ok()?);
    headers::set_deadline(fields, remaining).ok()?;
    Some(req)
}

/// Sends a request to a peer, the `number`th, and waits for the head of the answer.
async fn attempt(
    forwarder: &Forwarder<'_>,
    conn: &mut Connection,
    relay: &Relay,
    number: usize,
) -> Option<Attempt> {
    let instance = forwarder.instance;
    let opened = match instance.relays.client.open(relay.address).await {
        Ok(opened) => opened,
        Err(error) => return Some(Attempt::Declined(error.to_string())),
    };
    let now = instance.now();
    let req = request(forwarder, relay, now)?;
    let remaining = forwarder.accepted.deadline.since(now);
    // A request that may run twice has time for a second peer.
    let may_repeat = forwarder.accepted.route.kind.may_repeat();
    let patience = if may_repeat && number == 1 {
        remaining / 2
    } else {
        remaining
    };
    let id = forwarder.accepted.fields.id.as_deref().unwrap_or_default();
    info!(id, peer:display = relay.name, service:display = forwarder.service; "passing request on");
    let answer = std::pin::pin!(monoio::time::timeout(patience, opened.send(req)));
    let closed = std::pin::pin!(conn.closed().fuse());
    let answered = match futures::future::select(closed, answer).await {
        Either::Left(_) => return Some(Attempt::CallerClosed),
        Either::Right((answered, _)) => answered,
    };
    let res = match answered {
        Ok(Ok(res)) => res,
        Ok(Err(error)) if error.not_sent() => return Some(Attempt::Declined(error.to_string())),
        Ok(Err(error)) => return Some(Attempt::Lost(Failure::ConnectionLost, error.to_string())),
        Err(_) => return Some(Attempt::Lost(Failure::TimedOut, String::from("no answer"))),
    };
    Some(judge(forwarder, relay, res))
}

/// Returns what an answer says. A peer's answer is signed by its upstream, or a refusal.
fn judge(forwarder: &Forwarder<'_>, relay: &Relay, res: Response) -> Attempt {
    let declined = res.head.headers.get(DECLINED);
    if declined.is_some_and(|value| value.as_bytes() == relay.secret.as_bytes()) {
        return Attempt::Declined(String::from("not run"));
    }
    if res.head.status == http::StatusCode::FORBIDDEN && !has_signature(&res) {
        return Attempt::Declined(String::from("the secret is not the peer's"));
    }
    let fields = headers::response_fields(&res.head.headers);
    let own = forwarder.accepted.fields.id.as_deref();
    let is_own = own.is_none_or(|own| fields.request_id.as_deref() == Some(own));
    if !is_own || (res.head.status.is_success() && !fields.signed) {
        return Attempt::Lost(Failure::InvalidResponse, String::from("invalid answer"));
    }
    // An instance frames all its answers, so that a lost one can be told from a whole one.
    if res.ends_with_connection {
        return Attempt::Lost(Failure::InvalidResponse, String::from("unframed answer"));
    }
    Attempt::Answered(Box::new(res))
}

fn has_signature(res: &Response) -> bool {
    headers::response_fields(&res.head.headers).signed
}

fn log_failure(forwarder: &Forwarder<'_>, relay: &Relay, result: &'static str, cause: &str) {
    forwarder.instance.metrics.record_passed_on(result);
    let id = forwarder.accepted.fields.id.as_deref().unwrap_or_default();
    let after_ms = elapsed_ms(forwarder.instance, forwarder.accepted.arrived);
    info!(id, peer:display = relay.name, result, cause, after_ms; "request not served by peer");
}

/// Writes a peer's answer to the caller.
async fn relay_answer(
    forwarder: &Forwarder<'_>,
    conn: &mut Connection,
    relay: &Relay,
    mut res: Response,
) -> ForwardOutcome {
    let instance = forwarder.instance;
    instance.announce_close(conn);
    let status = res.head.status;
    let mut head = http::Response::new(());
    *head.status_mut() = status;
    std::mem::swap(head.headers_mut(), &mut res.head.headers);
    hop_by_hop::remove(head.headers_mut());
    let streams = matches!(forwarder.accepted.route.kind, RouteKind::Stream { .. });
    let remaining = forwarder.accepted.deadline.since(instance.now());
    let result = if streams && status.is_success() {
        let copied = copy_stream(conn, head, res);
        monoio::time::timeout(remaining, copied).await
    } else {
        let buffers = &instance.upstream_client.buffers;
        let read = res.collect_within(buffers.limits.relayed, &forwarder.accepted.relayed);
        match monoio::time::timeout(remaining, read).await {
            Ok(Ok(body)) => Ok(respond(conn, head, body).await),
            Ok(Err(error)) => {
                log_failure(forwarder, relay, "broke", &error.to_string());
                return lost(Reason::UpstreamFailed);
            }
            Err(_) => {
                log_failure(forwarder, relay, "silent", "the deadline has passed");
                return lost(Reason::UpstreamTimeout);
            }
        }
    };
    let reusable = matches!(result, Ok(Ok(())));
    let span = instance.now().since(forwarder.accepted.arrived);
    instance.metrics.record_response(reusable, span);
    let code = if reusable { "served" } else { "cut_off" };
    let cause = match result {
        Ok(Ok(())) => String::new(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => String::from("the deadline has passed"),
    };
    instance.metrics.record_passed_on(code);
    let id = forwarder.accepted.fields.id.as_deref().unwrap_or_default();
    let after_ms = elapsed_ms(instance, forwarder.accepted.arrived);
    info!(
        id, status = status.as_u16(), complete = reusable, cause, after_ms,
        peer:display = relay.name;
        "answer of peer relayed"
    );
    if reusable {
        ForwardOutcome::Responded { reusable }
    } else {
        ForwardOutcome::Aborted
    }
}

const fn lost(reason: Reason) -> ForwardOutcome {
    ForwardOutcome::Refused {
        refusal: Refusal::new(reason),
        may_have_run: true,
    }
}

async fn respond(
    conn: &mut Connection,
    head: http::Response<()>,
    body: Bytes,
) -> Result<(), CopyError> {
    let (head, ()) = head.into_parts();
    Ok(conn.respond(buffered_response(head, body)).await?)
}

/// The reason why an answer did not reach the caller as a whole.
#[derive(Debug, ThisError)]
enum CopyError {
    /// Reading from the peer or writing to the caller failed.
    #[error(transparent)]
    Http(#[from] limpetsaddle_http::Error),
    /// The caller has closed the connection.
    #[error("the caller has closed the connection")]
    CallerClosed,
}

/// Copies a stream as it arrives. One that breaks off leaves the caller's answer incomplete.
async fn copy_stream(
    conn: &mut Connection,
    head: http::Response<()>,
    mut res: Response,
) -> Result<(), CopyError> {
    conn.start(head).await?;
    loop {
        let next = {
            let next = std::pin::pin!(res.next());
            let closed = std::pin::pin!(conn.closed());
            match futures::future::select(next, closed).await {
                Either::Left((next, _)) => next?,
                Either::Right(_) => return Err(CopyError::CallerClosed),
            }
        };
        match next {
            Some(bytes) => conn.send(bytes).await?,
            None => return Ok(conn.finish().await?),
        }
    }
}
