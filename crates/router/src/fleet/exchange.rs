//! Handling of one request of a caller, from admission to its response.

use std::rc::Rc;
use std::time::Duration;

use http::header;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::admission;
use limpetsaddle_fleet::configuration::Charge;
use limpetsaddle_fleet::configuration::Configuration;
use limpetsaddle_fleet::configuration::Route;
use limpetsaddle_fleet::configuration::Team;
use limpetsaddle_fleet::limits::Demand;
use limpetsaddle_fleet::newer_versions::Reliance;
use limpetsaddle_fleet::part_list::PartList;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_fleet::request_key::RequestContent;
use limpetsaddle_fleet::request_key::RequestKey;
use limpetsaddle_http::BufferBudget;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire::headers;
use limpetsaddle_platform_wire::headers::RequestFields;
use log::info;

use super::forward;
use super::forward::ForwardOutcome;
use super::hop_by_hop;
use super::instance::FleetInstance;
use super::peer_requests;
use super::responses;
use crate::clock::millis;

/// The time after which a caller may retry when the instance is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The time after which a caller may retry at another instance when this one stops.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request that the configuration and the team's limit permit.
pub struct AcceptedRequest {
    /// The configuration that was applied.
    pub configuration: Rc<Configuration>,
    pub route: Rc<Route>,
    /// The team whose key the request carries.
    pub team: Option<Rc<Team>>,
    /// The decoded header fields.
    pub fields: RequestFields,
    /// The key of the content.
    pub key: RequestKey,
    /// The parts of the prompt that other prompts share, if the request has a prompt.
    pub parts: Option<PartList>,
    /// The time at which the request was read.
    pub arrived: Time,
    /// The time by which the response is due.
    pub deadline: Time,
    /// The units charged to the team's limit: requests or tokens.
    pub cost: u64,
    /// Whether a peer has passed the request on.
    pub from_peer: bool,
    /// The memory for responses, counted for the caller's address and the team.
    pub relayed: BufferBudget,
}

/// The sender of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
    Caller,
    /// An instance that doesn't reach the service.
    Peer,
}

/// Handles a request whose first byte arrived at `begun`, and returns whether the connection
/// can be reused.
pub async fn handle(
    instance: &Rc<FleetInstance>,
    conn: &mut Connection,
    mut req: Request,
    begun: Time,
    sender: Sender,
) -> bool {
    instance.metrics.record_request();
    // Before anything is added that the sender's `Connection` may name.
    hop_by_hop::remove(req.headers_mut());
    let arrived = instance.now();
    let id = headers::request_fields(req.headers())
        .ok()
        .and_then(|f| f.id);
    let accepted = match accept(instance, &req, begun, arrived) {
        Ok(accepted) => AcceptedRequest {
            from_peer: sender == Sender::Peer,
            relayed: conn.charge(&accepted.relayed),
            ..accepted
        },
        Err(Declined {
            refusal,
            route,
            team,
        }) => {
            if let Some(route) = &route {
                count_by_priority(instance, route, team.as_deref(), refusal.reason);
            }
            let names = Names::new(route.as_deref(), team.as_deref());
            log_refusal(instance, id.as_deref(), &names, &refusal, arrived);
            return refuse(instance, conn, &refusal, id.as_deref(), sender).await;
        }
    };
    match forward::forward(instance, conn, &req, &accepted).await {
        ForwardOutcome::Responded { reusable } => reusable,
        ForwardOutcome::Aborted => false,
        ForwardOutcome::Refused {
            refusal,
            may_have_run,
        } => {
            if !may_have_run && let Some(team) = &accepted.team {
                let mut limits = instance.limits.borrow_mut();
                limits.refund(&team.name, accepted.cost);
            }
            let team = accepted.team.as_deref();
            count_by_priority(instance, &accepted.route, team, refusal.reason);
            let names = Names::new(Some(&accepted.route), team);
            log_refusal(instance, id.as_deref(), &names, &refusal, arrived);
            refuse(instance, conn, &refusal, id.as_deref(), sender).await
        }
    }
}

async fn refuse(
    instance: &FleetInstance,
    conn: &mut Connection,
    refusal: &Refusal,
    id: Option<&str>,
    sender: Sender,
) -> bool {
    instance.metrics.record_refusal(refusal.reason);
    let mut res = responses::refusal(refusal, id);
    if sender == Sender::Peer && peer_requests::is_of_this_instance(refusal.reason) {
        peer_requests::mark_declined(instance, res.headers_mut());
    }
    instance.announce_close(conn);
    conn.respond(res).await.is_ok()
}

/// A request that is refused before it is forwarded.
struct Declined {
    refusal: Refusal,
    /// The route, if it is known by then.
    route: Option<Rc<Route>>,
    /// The team, if it is known by then.
    team: Option<Rc<Team>>,
}

impl From<Refusal> for Declined {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            route: None,
            team: None,
        }
    }
}

/// The names of a request's route and team in logs; empty if they are unknown.
struct Names<'a> {
    route: &'a str,
    team: &'a str,
}

impl<'a> Names<'a> {
    fn new(route: Option<&'a Route>, team: Option<&'a Team>) -> Self {
        Self {
            route: route.map_or("", |route| &route.name),
            team: team.map_or("", |team| &team.name),
        }
    }
}

fn log_refusal(
    instance: &FleetInstance,
    id: Option<&str>,
    names: &Names<'_>,
    refusal: &Refusal,
    arrived: Time,
) {
    let now = instance.now();
    let configuration = instance.configuration().map_or(0, |c| c.version);
    let age = instance.freshness.borrow().age(now);
    let age_ms = age.map_or(u64::MAX, millis);
    info!(
        id = id.unwrap_or_default(),
        reason = refusal.reason.code(),
        status = refusal.reason.status(),
        retry_after_ms = millis(refusal.retry_after.unwrap_or_default()),
        route = names.route,
        team = names.team,
        configuration,
        configuration_age_ms = age_ms,
        after_ms = millis(now.since(arrived));
        "request refused"
    );
}

/// Checks a request against the configuration, and charges it to the team's
/// limit.
fn accept(
    instance: &FleetInstance,
    req: &Request,
    begun: Time,
    arrived: Time,
) -> Result<AcceptedRequest, Declined> {
    if instance.remaining_accept_time().is_zero() {
        let refusal = Refusal::new(Reason::Stopping).retry_after(STOPPING_RETRY_AFTER);
        return Err(refusal.into());
    }
    let Some(configuration) = instance.configuration() else {
        let refusal = Refusal::new(Reason::NotReady).retry_after(NOT_READY_RETRY_AFTER);
        return Err(refusal.into());
    };
    let fields =
        headers::request_fields(req.headers()).map_err(|_| Refusal::new(Reason::BadRequest))?;
    let trusted = instance.freshness.borrow().trusts_keys(arrived);
    let stale = Refusal::new(Reason::StaleConfiguration).retry_after(NOT_READY_RETRY_AFTER);
    let reliance = instance.reliance();
    if reliance == Reliance::Outdated {
        return Err(stale.into());
    }
    // A route or a key that is missing here may exist in a newer configuration.
    let missing = |reason| match reliance {
        Reliance::Full if trusted => Refusal::new(reason),
        Reliance::Full | Reliance::Partial | Reliance::Outdated => stale,
    };
    let host = host(req).ok_or(Refusal::new(Reason::BadRequest))?;
    let route = configuration.route(&host, req.uri().path()).cloned();
    let route = route.ok_or_else(|| missing(Reason::NoRoute))?;
    let decline = |refusal, team| Declined {
        refusal,
        route: Some(Rc::clone(&route)),
        team,
    };
    let needs_key = configuration.has_teams() && !route.public;
    let key = fields.key.as_deref();
    let team = key.and_then(|key| configuration.team_of(key)).cloned();
    if needs_key {
        if team.is_none() {
            return Err(decline(missing(Reason::UnknownKey), None));
        }
        if !trusted {
            return Err(decline(stale, team));
        }
    }
    // A key on a public route is charged to its team only while it is trusted.
    let team = team.filter(|_| trusted);
    let cost = team.as_ref().map_or(0, |team| cost(team, &fields));
    let timeout = fields.timeout.unwrap_or(route.timeout).min(route.timeout);
    if let Some(team) = &team {
        let priority = priority(instance, &configuration, &route, Some(team));
        let charged = instance.charge(team, Demand { cost, priority }, arrived);
        charged.map_err(|wait| {
            let left = (begun + timeout).since(arrived);
            let wait = spread(instance, wait, left);
            let refusal = Refusal::new(Reason::OverLimit).retry_after(wait);
            decline(refusal, Some(Rc::clone(team)))
        })?;
    }
    Ok(AcceptedRequest {
        // The caller waits from when it sent the request, whose body may take long.
        deadline: begun + timeout,
        key: content_key(req, &host, team.as_deref()),
        parts: fields.prompt.as_ref().map(|prompt| {
            let keys = prompt.shared_keys();
            instance.runs.borrow_mut().intern(&keys)
        }),
        configuration,
        route,
        team,
        fields,
        arrived,
        cost,
        from_peer: false,
        relayed: instance.upstream_client.buffers.relayed.clone(),
    })
}

/// Counts a refusal for want of a limit or of room, where requests contend for them.
fn count_by_priority(instance: &FleetInstance, route: &Route, team: Option<&Team>, reason: Reason) {
    let is_contended = matches!(
        reason,
        Reason::OverLimit | Reason::Overloaded | Reason::Rejected
    );
    if is_contended
        && instance.settings.features.pressure
        && let Some(configuration) = instance.configuration()
    {
        let priority = priority(instance, &configuration, route, team);
        instance.metrics.record_contention_refusal(reason, priority);
    }
}

/// Returns the priority of a request's team, or else of its route. Where requests contend, it is
/// the request's rank, by which requests of one team differ.
pub fn priority(
    instance: &FleetInstance,
    configuration: &Configuration,
    route: &Route,
    team: Option<&Team>,
) -> u8 {
    if instance.settings.features.pressure {
        return configuration.rank(route, team);
    }
    let priority = team.and_then(|team| team.priority);
    priority.unwrap_or(route.priority)
}

/// Returns the time after which a refused caller best returns, where requests contend.
fn spread(instance: &FleetInstance, wait: Duration, left: Duration) -> Duration {
    if !instance.settings.features.pressure {
        return wait;
    }
    admission::spread_retry_after(wait, left, instance.random.draw())
}

fn content_key(req: &Request, host: &str, team: Option<&Team>) -> RequestKey {
    let target = req.uri().path_and_query();
    RequestKey::of(&RequestContent {
        method: req.method().as_str(),
        host,
        target: target.map_or("", |target| target.as_str()),
        team: team.map_or("", |team| &team.name),
        body: req.body(),
    })
}

fn host(req: &Request) -> Option<Name> {
    let value = req.headers().get(header::HOST)?.to_str().ok()?;
    let name = value.rsplit_once(':').map_or(value, |(name, _)| name);
    Some(name.to_ascii_lowercase().into())
}

fn cost(team: &Team, fields: &RequestFields) -> u64 {
    match team.charge {
        Charge::Requests => 1,
        Charge::Tokens { default_tokens } => {
            let prompt = fields.prompt.as_ref();
            prompt.map_or(
                default_tokens,
                limpetsaddle_fleet::prompt::Prompt::charged_tokens,
            )
        }
    }
}
