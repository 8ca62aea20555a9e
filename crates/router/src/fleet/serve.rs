//! Serving of callers' connections.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use limpetsaddle_fleet::configuration::CallerLimits;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Error as HttpError;
use limpetsaddle_http::Request;
use limpetsaddle_http::ServerOptions;
use log::info;

use super::exchange;
use super::instance::FleetInstance;
use super::responses;
use crate::running::Running;

/// The time that an open connection gets for one more request once the
/// instance takes no new connections.
pub const LAST_REQUEST: Duration = Duration::from_millis(700);

/// The time between two looks at the longest idle time, which a configuration
/// may change.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// The longest time from the end of a head to the end of the body. Large bodies
/// of callers take some seconds over narrow links.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest time for writing one piece of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the requests of one connection, one after the other.
pub async fn serve_connection(instance: Rc<FleetInstance>, mut conn: Connection) {
    conn.set_options(options(&instance));
    while let Some(running) = begun(&instance, &mut conn).await {
        conn.set_options(options(&instance));
        let Some(req) = next_request(&instance, &mut conn).await else {
            return;
        };
        if instance.draining.is_closed() {
            conn.close_after_answer();
        }
        let open = exchange::answer(&instance, &mut conn, req).await;
        drop(running);
        if !open || !conn.keep_alive() {
            return;
        }
    }
}

fn limits(instance: &FleetInstance) -> CallerLimits {
    let configuration = instance.configuration();
    configuration.map_or_else(CallerLimits::default, |c| c.limits)
}

fn options(instance: &FleetInstance) -> ServerOptions {
    let limits = limits(instance);
    ServerOptions {
        max_head_bytes: limits.max_head_bytes,
        max_body_bytes: limits.max_body_bytes,
        head_timeout: limits.head_timeout,
        body_timeout: BODY_TIMEOUT,
        // Idle connections are closed here, as the limit may change meanwhile.
        idle_timeout: Duration::MAX,
        write_timeout: WRITE_TIMEOUT,
    }
}

/// Waits until a request begins, or returns `None` when the connection is to be
/// closed. A request counts as in progress from its first byte.
async fn begun(instance: &Rc<FleetInstance>, conn: &mut Connection) -> Option<Running> {
    let since = instance.now();
    let mut ready = std::pin::pin!(conn.ready().fuse());
    loop {
        let mut check = std::pin::pin!(monoio::time::sleep(IDLE_CHECK).fuse());
        let mut drain = std::pin::pin!(instance.draining.closed().fuse());
        if instance.left_for_last_requests().is_zero() {
            return None;
        }
        futures::select_biased! {
            ready = ready => return ready.then(|| instance.running().begin()),
            () = drain => break,
            () = check => {}
        }
        if instance.now().since(since) > limits(instance).idle_timeout {
            return None;
        }
    }
    // The caller has not been told that this connection ends, so that a stop
    // waits for one more request, but for none that it could not finish.
    let running = instance.running().begin();
    let limit = LAST_REQUEST.min(instance.left_for_last_requests());
    let ready = monoio::time::timeout(limit, ready).await;
    ready.unwrap_or(false).then_some(running)
}

/// Returns the next request, or `None` when the connection is to be closed.
async fn next_request(instance: &FleetInstance, conn: &mut Connection) -> Option<Request> {
    let error = match conn.next_request().await.transpose()? {
        Ok(req) => return Some(req),
        Err(error) => error,
    };
    let reason = match error {
        HttpError::OversizedHead => Reason::HeadTooLarge,
        HttpError::OversizedBody => Reason::BodyTooLarge,
        HttpError::Timeout { .. } => Reason::RequestTimeout,
        HttpError::ClosedEarly { .. } | HttpError::Io { .. } => return None,
        _ => Reason::BadRequest,
    };
    instance.metrics.request();
    instance.metrics.refused(reason);
    info!(reason = reason.code(), error:display; "request not readable");
    let res = responses::refusal(&Refusal::new(reason), None);
    // The connection is closed in any case, as its framing is not certain.
    if let Err(error) = conn.respond(res).await {
        log::debug!(error:display; "refusal not written");
    }
    None
}
