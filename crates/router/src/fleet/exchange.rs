//! One request of a caller: whether it is carried out, and how that ended.

use std::rc::Rc;
use std::time::Duration;

use http::header;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::configuration::Charge;
use limpetsaddle_fleet::configuration::Configuration;
use limpetsaddle_fleet::configuration::Route;
use limpetsaddle_fleet::configuration::Team;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire::headers;
use limpetsaddle_platform_wire::headers::Inquiry;
use log::info;

use super::forward;
use super::forward::Ended;
use super::instance::FleetInstance;
use super::responses;
use crate::clock::millis;

/// The time after which an instance that is not ready may be.
const NOT_READY_WAIT: Duration = Duration::from_millis(300);

/// An `Accepted` is a request that the configuration permits.
pub struct Accepted {
    /// The configuration on which that was decided.
    pub configuration: Rc<Configuration>,
    /// The route.
    pub route: Rc<Route>,
    /// The team whose key came with the request.
    pub team: Option<Rc<Team>>,
    /// What the header fields say.
    pub inquiry: Inquiry,
    /// When the request was read.
    pub arrived: Time,
    /// When it has to be answered.
    pub deadline: Time,
    /// The units that it counts against its team's limit.
    pub cost: u64,
}

/// Answers a request and returns whether the connection can go on.
pub async fn answer(instance: &Rc<FleetInstance>, conn: &mut Connection, req: Request) -> bool {
    instance.metrics.request();
    let arrived = instance.now();
    let id = headers::inquiry(req.headers()).ok().and_then(|i| i.id);
    let accepted = match decide(instance, &req, arrived) {
        Ok(accepted) => accepted,
        Err(refusal) => {
            log_refusal(instance, id.as_deref(), None, &refusal, arrived);
            return refuse(instance, conn, &refusal, id.as_deref()).await;
        }
    };
    match forward::forward(instance, conn, &req, &accepted).await {
        Ended::Answered { open } => open,
        Ended::Abandoned => false,
        Ended::Refused { refusal, ran } => {
            if !ran && let Some(team) = &accepted.team {
                let mut limits = instance.limits.borrow_mut();
                limits.refund(&team.name, accepted.cost);
            }
            log_refusal(instance, id.as_deref(), Some(&accepted), &refusal, arrived);
            refuse(instance, conn, &refusal, id.as_deref()).await
        }
    }
}

async fn refuse(
    instance: &FleetInstance,
    conn: &mut Connection,
    refusal: &Refusal,
    id: Option<&str>,
) -> bool {
    instance.metrics.refused(refusal.reason);
    let res = responses::refusal(refusal, id);
    conn.respond(res).await.is_ok()
}

fn log_refusal(
    instance: &FleetInstance,
    id: Option<&str>,
    accepted: Option<&Accepted>,
    refusal: &Refusal,
    arrived: Time,
) {
    let now = instance.now();
    let configuration = instance.configuration().map_or(0, |c| c.version);
    let age = instance.freshness.borrow().age(now);
    let age_ms = age.map_or(u64::MAX, millis);
    let route = accepted.map_or("", |a| &a.route.name);
    let team = accepted.and_then(|a| a.team.as_ref());
    let team = team.map_or("", |team| &team.name);
    info!(
        id = id.unwrap_or_default(),
        reason = refusal.reason.code(),
        status = refusal.reason.status(),
        retry_after_ms = millis(refusal.retry_after.unwrap_or_default()),
        route,
        team,
        configuration,
        configuration_age_ms = age_ms,
        after_ms = millis(now.since(arrived));
        "request refused"
    );
}

/// Decides whether the configuration and the team's limit permit a request.
fn decide(instance: &FleetInstance, req: &Request, arrived: Time) -> Result<Accepted, Refusal> {
    let Some(configuration) = instance.configuration() else {
        return Err(Refusal::new(Reason::NotReady).retry_after(NOT_READY_WAIT));
    };
    let inquiry = headers::inquiry(req.headers()).map_err(|_| Refusal::new(Reason::BadRequest))?;
    let trusted = instance.freshness.borrow().trusts_keys(arrived);
    let stale = Refusal::new(Reason::StaleConfiguration).retry_after(NOT_READY_WAIT);
    // An instance that may have missed a change cannot tell that a route or a
    // key does not exist.
    let missing = |reason| if trusted { Refusal::new(reason) } else { stale };
    let host = host(req).ok_or(Refusal::new(Reason::BadRequest))?;
    let route = configuration.route(&host, req.uri().path()).cloned();
    let route = route.ok_or_else(|| missing(Reason::NoRoute))?;
    let needs_key = configuration.has_teams() && !route.public;
    let key = inquiry.key.as_deref();
    let team = key.and_then(|key| configuration.team_of(key)).cloned();
    if needs_key {
        if team.is_none() {
            return Err(missing(Reason::UnknownKey));
        }
        if !trusted {
            return Err(stale);
        }
    }
    // A key on an open route counts for its team only while it can be trusted.
    let team = team.filter(|_| trusted);
    let cost = team.as_ref().map_or(0, |team| cost(team, &inquiry));
    if let Some(team) = &team {
        let mut limits = instance.limits.borrow_mut();
        let taken = limits.take(&team.name, cost, arrived);
        taken.map_err(|wait| Refusal::new(Reason::OverLimit).retry_after(wait))?;
    }
    let patience = inquiry.patience.unwrap_or(route.timeout);
    Ok(Accepted {
        deadline: arrived + patience.min(route.timeout),
        configuration,
        route,
        team,
        inquiry,
        arrived,
        cost,
    })
}

fn host(req: &Request) -> Option<Name> {
    let value = req.headers().get(header::HOST)?.to_str().ok()?;
    let name = value.rsplit_once(':').map_or(value, |(name, _)| name);
    Some(name.to_ascii_lowercase().into())
}

fn cost(team: &Team, inquiry: &Inquiry) -> u64 {
    match team.charge {
        Charge::Requests => 1,
        Charge::Tokens { otherwise } => {
            let prompt = inquiry.prompt.as_ref();
            prompt.map_or(
                otherwise,
                limpetsaddle_fleet::prompt::Prompt::charged_tokens,
            )
        }
    }
}
