//! Serving of callers' requests.
//!
//! Provides the loop over the requests of one connection and the dispatch to
//! completions, plain services and the daemon's own documents.

mod admission;
mod attempt;
mod claimed;
mod completions;
mod exchange;
mod forward;
mod placing;
mod services;

use std::rc::Rc;

use futures::FutureExt as _;
use http::Method;
use http::Uri;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Error as HttpError;
use limpetsaddle_http::Request;
use serde::Serialize;

use crate::completion::Endpoint;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::responses;
use crate::running::Running;

pub use self::admission::send_grant_request;
pub use self::exchange::Caller;
pub use self::exchange::Exchange;

/// The time in which an open connection may start one more request after the
/// instance has stopped accepting connections.
pub const LAST_REQUEST_WAIT: std::time::Duration = std::time::Duration::from_secs(1);

/// Serves the requests of one connection, one after the other.
pub async fn serve_connection(instance: Rc<Instance>, mut conn: Connection) {
    while let Some(running) = wait_for_request(&instance, &mut conn).await {
        let Some(req) = next_request(&instance, &mut conn).await else {
            return;
        };
        let id = instance.next_request_id();
        let exchange = Exchange {
            instance: &instance,
            conn: &mut conn,
            client_id: req.headers().get(responses::REQUEST_ID_HEADER).cloned(),
            id,
            req,
            response_started: false,
            response_truncated: false,
        };
        let keep_open = handle(exchange).await;
        drop(running);
        if !keep_open || !conn.keep_alive() {
            return;
        }
    }
}

/// Waits for the first byte of a request, from which on it counts as in progress.
/// Returns `None` when the connection is to be closed.
async fn wait_for_request(instance: &Rc<Instance>, conn: &mut Connection) -> Option<Running> {
    {
        let mut ready = std::pin::pin!(conn.ready().fuse());
        let mut drain = std::pin::pin!(instance.draining.closed().fuse());
        futures::select_biased! {
            ready = ready => return ready.then(|| instance.running().begin()),
            () = drain => {}
        }
    }
    // The caller does not know yet that this connection will close, so the stop
    // waits for one more request.
    let running = instance.running().begin();
    let ready = conn.ready_within(LAST_REQUEST_WAIT).await;
    ready?.then_some(running)
}

/// Returns the next request, or `None` when the connection is to be closed.
async fn next_request(instance: &Rc<Instance>, conn: &mut Connection) -> Option<Request> {
    let error = match conn.next_request().await.transpose()? {
        Ok(req) => return Some(req),
        Err(error) => error,
    };
    let reason = match error {
        HttpError::OversizedHead | HttpError::OversizedBody => Reason::TooLarge,
        HttpError::Timeout { .. } => Reason::RequestTimeout,
        HttpError::ClosedEarly { .. } | HttpError::Io { .. } => return None,
        _ => Reason::BadRequest,
    };
    instance.metrics.request();
    instance.metrics.refused(reason);
    let id = instance.next_request_id();
    // The connection is closed in any case, because the framing is unreliable.
    let _ = conn
        .respond(responses::refusal(&Refusal::not_run(reason), &id))
        .await;
    None
}

/// Handles a request and returns whether the connection can be reused.
async fn handle(mut exchange: Exchange<'_>) -> bool {
    let instance = Rc::clone(exchange.instance);
    instance.metrics.request();
    let outcome = dispatch(&mut exchange).await;
    let Err(refusal) = outcome else {
        return !exchange.response_truncated;
    };
    instance.metrics.refused(refusal.reason);
    if exchange.response_started {
        instance.metrics.count(Event::StreamBroken);
        return exchange.end_with_error(&refusal).await;
    }
    let mut res = responses::refusal(&refusal, &exchange.id);
    exchange.announce_close();
    exchange.identify(res.headers_mut());
    exchange.conn.respond(res).await.is_ok()
}

async fn dispatch(exchange: &mut Exchange<'_>) -> Result<(), Refusal> {
    let path = exchange.req.uri().path().to_owned();
    let method = exchange.req.method().clone();
    match path.as_str() {
        "/healthz" => {
            exchange.document(&Health { status: "ok" }).await;
            return Ok(());
        }
        "/readyz" => return serve_readiness(exchange).await,
        _ => {}
    }
    if !exchange.instance.is_ready() {
        let wait = std::time::Duration::from_secs(1);
        return Err(Refusal::not_run(Reason::NotReady).retry_after(wait));
    }
    let endpoint = [Endpoint::Chat, Endpoint::Text]
        .into_iter()
        .find(|e| e.path() == path);
    match endpoint {
        Some(endpoint) if method == Method::POST => completions::serve(exchange, endpoint).await,
        Some(_) => Err(Refusal::not_run(Reason::MethodNotAllowed)),
        None if path == "/v1/models" => models(exchange, &method).await,
        None => services::serve(exchange, &path).await,
    }
}

#[derive(Serialize)]
struct Health {
    status: &'static str,
}

async fn serve_readiness(exchange: &mut Exchange<'_>) -> Result<(), Refusal> {
    if exchange.instance.draining.is_closed() {
        return Err(Refusal::not_run(Reason::Stopping));
    }
    if !exchange.instance.is_ready() {
        return Err(Refusal::not_run(Reason::NotReady));
    }
    exchange.document(&Health { status: "ready" }).await;
    Ok(())
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

async fn models(exchange: &mut Exchange<'_>, method: &Method) -> Result<(), Refusal> {
    if method != Method::GET {
        return Err(Refusal::not_run(Reason::MethodNotAllowed));
    }
    let caller = exchange.authenticate()?;
    let list = {
        let board = exchange.instance.board.borrow();
        let team = board.store.team(&caller.team);
        let permitted =
            |model: &&_| team.is_some_and(|t| t.models.is_empty() || t.models.contains(model));
        let data = board
            .store
            .models()
            .filter(permitted)
            .map(|model| ModelEntry {
                id: model.to_string(),
                object: "model",
                owned_by: "limpetsaddle",
            });
        ModelList {
            object: "list",
            data: data.collect(),
        }
    };
    exchange.document(&list).await;
    Ok(())
}

/// Returns the path and query of a URI as sent to an upstream, without credentials.
fn path_and_query(uri: &Uri) -> String {
    let path = uri.path();
    let Some(query) = uri.query() else {
        return path.to_owned();
    };
    let query = limpetsaddle_core::keys::strip_query_credentials(query);
    if query.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{query}")
}
