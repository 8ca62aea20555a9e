//! Calls for the tests of whole processes, which have no access to the state.
//!
//! `GET /_fake` gives the state, `PUT /_fake/faults` replaces the faults.

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::answers::Answer;
use crate::answers::empty;
use crate::answers::json;
use crate::host::Shared;

/// Answers `req` if it is a control call.
pub fn control<S, F>(
    req: &Request,
    state: &mut S,
    faults: impl FnOnce(&mut S) -> &mut F,
) -> Option<Answer>
where
    S: Serialize,
    F: DeserializeOwned,
{
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/_fake") => Some(json(StatusCode::OK, state)),
        (&Method::PUT, "/_fake/faults") => Some(replace(req.body(), faults(state))),
        _ => None,
    }
}

/// Answers the requests of one connection, until `serve` returns `None` or the
/// caller leaves. Calls that `controlled` answers do not reach `serve`.
pub async fn attend<S>(
    mut connection: Connection,
    shared: Shared<S>,
    controlled: fn(&Request, &mut S) -> Option<Answer>,
    serve: impl AsyncFn(&Request, &mut Connection, &Shared<S>) -> Option<Answer>,
) {
    while let Ok(Some(req)) = connection.next_request().await {
        let answered = controlled(&req, &mut shared.lock());
        let res = match answered {
            Some(res) => Some(res),
            None => serve(&req, &mut connection, &shared).await,
        };
        let Some(res) = res else {
            return;
        };
        if connection.respond(res).await.is_err() {
            return;
        }
    }
}

/// Replaces `target` by what `body` says.
pub fn replace<T: DeserializeOwned>(body: &Bytes, target: &mut T) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => {
            *target = value;
            empty(StatusCode::NO_CONTENT)
        }
        Err(_) => empty(StatusCode::BAD_REQUEST),
    }
}
