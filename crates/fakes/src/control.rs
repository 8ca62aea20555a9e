//! HTTP control calls, for tests that run the fakes as separate processes.
//!
//! `GET /_fake` returns the state, `PUT /_fake/faults` replaces the faults.

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::host::Shared;
use crate::responses::HttpResponse;
use crate::responses::empty;
use crate::responses::json;

/// Responds to `req` if it is a control call.
pub fn handle_control_call<S, F>(
    req: &Request,
    state: &mut S,
    faults: impl FnOnce(&mut S) -> &mut F,
) -> Option<HttpResponse>
where
    S: Serialize,
    F: DeserializeOwned,
{
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/_fake") => Some(json(StatusCode::OK, state)),
        (&Method::PUT, "/_fake/faults") => Some(replace_from_json(req.body(), faults(state))),
        _ => None,
    }
}

/// Responds to the requests of one connection until `handle` returns `None` or
/// the connection closes. `handle` gets the requests for which `handle_control`
/// returns `None`.
pub async fn serve_connection<S>(
    mut connection: Connection,
    shared: Shared<S>,
    handle_control: fn(&Request, &mut S) -> Option<HttpResponse>,
    handle: impl AsyncFn(&Request, &mut Connection, &Shared<S>) -> Option<HttpResponse>,
) {
    while let Ok(Some(req)) = connection.next_request().await {
        let control_response = handle_control(&req, &mut shared.lock());
        let res = match control_response {
            Some(res) => Some(res),
            None => handle(&req, &mut connection, &shared).await,
        };
        let Some(res) = res else {
            return;
        };
        if connection.respond(res).await.is_err() {
            return;
        }
    }
}

/// Replaces `target` by the JSON value in `body`.
pub fn replace_from_json<T: DeserializeOwned>(body: &Bytes, target: &mut T) -> HttpResponse {
    match serde_json::from_slice(body) {
        Ok(value) => {
            *target = value;
            empty(StatusCode::NO_CONTENT)
        }
        Err(_) => empty(StatusCode::BAD_REQUEST),
    }
}
