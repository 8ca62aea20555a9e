//! Serving of callers' connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::configuration::CallerLimits;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Error as HttpError;
use limpetsaddle_http::Request;
use limpetsaddle_http::ServerOptions;
use limpetsaddle_http::TeamLookup;
use limpetsaddle_platform_wire::headers;
use log::info;

use super::exchange;
use super::exchange::Sender;
use super::instance::FleetInstance;
use super::responses;
use super::unfinished::IdleCloseCause;
use super::unfinished::record_idle_close;
use crate::running::Running;

/// The time that an open connection gets for one more request once the
/// instance accepts no new connections.
pub const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

/// The time between two checks of the idle timeout, which a configuration may
/// change.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The longest time from the end of a head to the end of the body. Large bodies
/// take several seconds over narrow links.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest time in which a caller accepts no byte of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The time after which a caller may retry when the memory or descriptors are used up: bodies
/// that stall are ended after half a second.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The name under which requests without a team's key count, which no team has.
const STRANGERS: &str = "";

/// The number of log lines a second about requests that cannot be read.
const MAX_UNREAD_LINES: u32 = 10;

/// Limits the log lines about requests that cannot be read, of which strangers can send any
/// number.
#[derive(Default)]
pub struct UnreadLog {
    since: Cell<Option<Time>>,
    lines: Cell<u32>,
    suppressed: Cell<u64>,
}

impl UnreadLog {
    /// Returns the number of lines that were left out before, or `None` if this one is to be
    /// left out too.
    pub fn permit(&self, now: Time) -> Option<u64> {
        let since = self.since.get();
        if since.is_none_or(|since| now.since(since) >= Duration::from_secs(1)) {
            self.since.set(Some(now));
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_UNREAD_LINES {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.suppressed.take())
    }
}

/// Serves the requests of one connection, one after the other.
pub async fn serve_connection(instance: Rc<FleetInstance>, mut conn: Connection) {
    conn.set_options(options(&instance));
    conn.set_team_lookup(team_lookup(&instance));
    while let Some(running) = wait_for_request(&instance, &mut conn).await {
        let begun = instance.now();
        conn.set_options(options(&instance));
        let Some(req) = read_request(&instance, &mut conn).await else {
            return;
        };
        let reusable = exchange::handle(&instance, &mut conn, req, begun, Sender::Caller).await;
        drop(running);
        if !reusable || !conn.keep_alive() {
            return;
        }
    }
}

/// Returns what finds the team whose key a request carries. Where there are teams, requests
/// without the key of one count as those of a further team.
pub fn team_lookup(instance: &Rc<FleetInstance>) -> TeamLookup {
    let instance = Rc::clone(instance);
    Rc::new(move |fields| {
        let configuration = instance.configuration()?;
        let key = headers::team_key(fields);
        let team = key.and_then(|key| configuration.team_of(key));
        match team {
            Some(team) => Some(Rc::clone(&team.name)),
            None => configuration.has_teams().then(|| STRANGERS.into()),
        }
    })
}

fn limits(instance: &FleetInstance) -> CallerLimits {
    let configuration = instance.configuration();
    configuration.map_or_else(CallerLimits::default, |c| c.limits)
}

/// Returns the limits on a connection of a caller.
pub fn options(instance: &FleetInstance) -> ServerOptions {
    let limits = limits(instance);
    ServerOptions {
        max_head_bytes: limits.max_head_bytes,
        max_body_bytes: limits.max_body_bytes,
        head_timeout: limits.head_timeout,
        body_timeout: BODY_TIMEOUT,
        // `wait_for_request` closes idle connections, as the limit may change
        // meanwhile.
        idle_timeout: Duration::MAX,
        write_timeout: WRITE_TIMEOUT,
    }
}

/// Waits for the first byte of a request, from which on it counts as in
/// progress, or returns `None` when the connection is to be closed.
async fn wait_for_request(instance: &Rc<FleetInstance>, conn: &mut Connection) -> Option<Running> {
    let since = instance.now();
    let (cause, limit) = match wait_while_serving(instance, conn, since).await {
        Wait::Ready(ready) => return ready.then(|| instance.running().begin()),
        Wait::LimitExceeded(limit) => (IdleCloseCause::IdleLimit, limit),
        Wait::Stopping => (IdleCloseCause::Stop, LAST_REQUEST_TIMEOUT),
    };
    // The caller does not expect this connection to close, so a stop waits for
    // one more request.
    let running = instance.running().begin();
    let wait = match cause {
        IdleCloseCause::IdleLimit => Duration::ZERO,
        IdleCloseCause::Stop => LAST_REQUEST_TIMEOUT,
    };
    let ready = conn.ready_within(wait).await;
    if ready.is_none() {
        record_idle_close(instance, cause, since, limit);
    }
    ready?.then_some(running)
}

/// The end of a wait for a request.
enum Wait {
    /// Bytes have arrived, or the caller has closed the connection (false).
    Ready(bool),
    /// The connection was idle for longer than this limit.
    LimitExceeded(Duration),
    /// The instance stops.
    Stopping,
}

/// Waits for a request until the idle limit is exceeded or the instance stops.
///
/// The limit is the longest one that was in force while the connection was idle: the
/// caller may not know of a lower one yet.
async fn wait_while_serving(
    instance: &Rc<FleetInstance>,
    conn: &mut Connection,
    since: Time,
) -> Wait {
    let mut limit = limits(instance).idle_timeout;
    let mut ready = std::pin::pin!(conn.ready().fuse());
    while !instance.draining.is_closed() {
        let mut check = std::pin::pin!(monoio::time::sleep(IDLE_CHECK_INTERVAL).fuse());
        let mut drain = std::pin::pin!(instance.draining.closed().fuse());
        futures::select_biased! {
            ready = ready => return Wait::Ready(ready),
            () = drain => break,
            () = check => {}
        }
        limit = limit.max(limits(instance).idle_timeout);
        if instance.now().since(since) > limit {
            return Wait::LimitExceeded(limit);
        }
    }
    Wait::Stopping
}

/// Reads the next request, or returns `None` when the connection is to be
/// closed.
async fn read_request(instance: &FleetInstance, conn: &mut Connection) -> Option<Request> {
    let error = match conn.next_request().await.transpose()? {
        Ok(req) => return Some(req),
        Err(error) => error,
    };
    let reason = match error {
        HttpError::OversizedHead => Reason::HeadTooLarge,
        HttpError::OversizedBody => Reason::BodyTooLarge,
        HttpError::Timeout { .. } => Reason::RequestTimeout,
        HttpError::OverBudget => Reason::InstanceFull,
        HttpError::ClosedEarly { .. } | HttpError::Io { .. } => return None,
        _ => Reason::BadRequest,
    };
    instance.metrics.record_request();
    instance.metrics.record_refusal(reason);
    if let Some(suppressed) = instance.unread_log.permit(instance.now()) {
        info!(reason = reason.code(), error:display, suppressed; "cannot read request");
    }
    let refusal = match reason {
        Reason::InstanceFull => Refusal::new(reason).retry_after(FULL_RETRY_AFTER),
        _ => Refusal::new(reason),
    };
    let res = responses::refusal(&refusal, None);
    // The connection is closed in any case, as its framing is uncertain.
    if let Err(error) = conn.respond(res).await {
        log::debug!(error:display; "cannot write refusal");
    }
    None
}
