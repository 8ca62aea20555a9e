//! Requests that instances without a way to a service pass on to this one.
//!
//! They are handled like those of callers, with the key, deadline and prompt that the caller has
//! sent, but go no further.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_http::Connection;
use limpetsaddle_http::ServerOptions;
use log::info;
use log::warn;
use monoio::net::TcpListener;

use super::exchange;
use super::exchange::Sender;
use super::instance::FleetInstance;
use super::serve;
use crate::responses;
use crate::shutdown::Stopping;

/// Holds the secret of the instance that a request is passed on to.
pub const SECRET: HeaderName = HeaderName::from_static("relay-secret");

/// Holds the secret of an instance that has not run a request which was passed on to it, so
/// that another one may. An upstream doesn't know the secret.
pub const DECLINED: HeaderName = HeaderName::from_static("relay-declined");

/// The maximum number of requests of peers in progress.
const MAX_REQUESTS: u32 = 128;

/// The maximum number of connections of peers, which strangers may open too.
const MAX_CONNECTIONS: u32 = 256;

/// The time for the first byte of a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Counts something until it is dropped.
struct Counted(Rc<Cell<u32>>);

impl Counted {
    /// Returns `None` if there are `max` already.
    fn begin(count: &Rc<Cell<u32>>, max: u32) -> Option<Self> {
        if count.get() >= max {
            return None;
        }
        count.set(count.get() + 1);
        Some(Self(Rc::clone(count)))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves the requests of peers until the instance stops.
pub async fn serve(instance: Rc<FleetInstance>, listener: TcpListener, stopping: Stopping) {
    let (end, ended) = oneshot::channel();
    monoio::spawn(async move {
        stopping.closed().await;
        drop(end);
    });
    let connections = Rc::new(Cell::new(0));
    let requests = Rc::new(Cell::new(0));
    let handler = move |conn| {
        let instance = Rc::clone(&instance);
        let connection = Counted::begin(&connections, MAX_CONNECTIONS);
        let requests = Rc::clone(&requests);
        async move {
            match connection {
                Some(_connection) => serve_connection(&instance, conn, &requests).await,
                None => instance.metrics.record_peer_request("too_many"),
            }
        }
    };
    limpetsaddle_http::serve(listener, ServerOptions::default(), ended, handler).await;
}

/// Serves the only request of a connection.
async fn serve_connection(
    instance: &Rc<FleetInstance>,
    mut conn: Connection,
    requests: &Rc<Cell<u32>>,
) {
    // The address is that of an instance, which passes on requests of many callers.
    conn.set_budget(&instance.callers);
    conn.set_team_lookup(serve::team_lookup(instance));
    conn.set_options(ServerOptions {
        idle_timeout: IDLE_TIMEOUT,
        ..serve::options(instance)
    });
    if !conn.ready().await {
        return;
    }
    let begun = instance.now();
    let _running = instance.running().begin();
    let mut req = match conn.next_request().await {
        Ok(Some(req)) => req,
        Ok(None) => return,
        Err(error) => {
            if let Some(suppressed) = instance.unread_log.permit(instance.now()) {
                info!(error:display, suppressed; "cannot read request of peer");
            }
            return;
        }
    };
    let secret = req.headers_mut().remove(SECRET);
    if !is_own_secret(instance, secret.as_ref()) {
        instance.metrics.record_peer_request("stranger");
        warn!("refusing a request that was passed on without this instance's secret");
        let res = responses::document(StatusCode::FORBIDDEN, "{}".into());
        write(&mut conn, res).await;
        return;
    }
    let request = Counted::begin(requests, MAX_REQUESTS);
    if request.is_none() || instance.draining.is_closed() {
        instance.metrics.record_peer_request("declined");
        let mut res = responses::document(StatusCode::SERVICE_UNAVAILABLE, "{}".into());
        mark_declined(instance, res.headers_mut());
        write(&mut conn, res).await;
        return;
    }
    instance.metrics.record_peer_request("accepted");
    exchange::handle(instance, &mut conn, req, begun, Sender::Peer).await;
}

async fn write(conn: &mut Connection, res: http::Response<bytes::Bytes>) {
    if let Err(error) = conn.respond(res).await {
        log::debug!(error:display; "cannot answer peer");
    }
}

/// Compares in a time that doesn't depend on the position of the first difference.
fn is_own_secret(instance: &FleetInstance, value: Option<&HeaderValue>) -> bool {
    let Some((own, value)) = instance.relays.secret().zip(value) else {
        return false;
    };
    let (own, value) = (own.as_bytes(), value.as_bytes());
    let differences = own.iter().zip(value).map(|(a, b)| a ^ b);
    own.len() == value.len() && differences.fold(0, |all, one| all | one) == 0
}

/// Returns whether a refusal says something of this instance alone, so that another one may
/// serve the request.
pub const fn is_of_this_instance(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NotReady | Reason::Stopping | Reason::StaleConfiguration | Reason::NoUpstream
    )
}

/// Marks the answer to a request of a peer that has not run here.
pub fn mark_declined(instance: &FleetInstance, headers: &mut HeaderMap) {
    let secret = instance.relays.secret();
    let secret = secret.and_then(|secret: Name| HeaderValue::from_str(&secret).ok());
    if let Some(secret) = secret {
        headers.insert(DECLINED, secret);
    }
}
