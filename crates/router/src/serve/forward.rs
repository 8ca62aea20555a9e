//! What goes to upstreams and what comes back: headers, keys and failures.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::response::Parts;
use limpetsaddle_core::keys::body_contains_key;
use limpetsaddle_core::keys::contains_key_prefix;
use limpetsaddle_core::keys::is_credential_header;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_core::retry::Failure;
use limpetsaddle_core::upstreams::AttemptOutcome;
use limpetsaddle_http::Error as HttpError;
use limpetsaddle_http::remove_hop_by_hop;

use super::Exchange;

/// The header by which an upstream says that it has not run a request.
const NOT_RUN_HEADER: &str = "x-not-run";

/// The header that names the team to a plain service.
pub const TEAM_HEADER: &str = "x-team";

/// Refuses a request that carries the caller's key where it would reach an
/// upstream: in the path or in the body.
///
/// # Errors
///
/// Returns a refusal with [`Reason::BadRequest`].
pub fn check_for_key(exchange: &Exchange<'_>) -> Result<(), Refusal> {
    let bad = Refusal::not_run(Reason::BadRequest);
    if contains_key_prefix(exchange.req.uri().path().as_bytes()) {
        return Err(bad);
    }
    let Ok(key) = exchange.key() else {
        return Ok(());
    };
    if body_contains_key(exchange.req.body(), key) {
        return Err(bad);
    }
    Ok(())
}

/// Returns the caller's headers without credentials and without those that
/// concern one connection only.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    remove_hop_by_hop(&mut kept);
    let is_secret = |name: &HeaderName, value: &HeaderValue| {
        is_credential_header(name.as_str()) || contains_key_prefix(value.as_bytes())
    };
    let secret = kept.iter().filter(|(name, value)| is_secret(name, value));
    let secret: Vec<HeaderName> = secret.map(|(name, _)| name.clone()).collect();
    for name in secret {
        kept.remove(name);
    }
    // The sender of a message states its length itself.
    kept.remove(http::header::CONTENT_LENGTH);
    kept.remove(http::header::EXPECT);
    kept.remove(TEAM_HEADER);
    kept
}

/// Sets a header whose value holds visible characters only.
pub fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns whether an upstream says that it has not run the request.
pub fn says_not_run(head: &Parts) -> bool {
    let said = head.headers.get(NOT_RUN_HEADER);
    said.is_some_and(|value| value.as_bytes() == b"true")
}

/// Returns how an attempt failed that got no answer.
pub fn failure(error: &HttpError) -> Failure {
    if error.not_sent() {
        return Failure::ConnectFailed;
    }
    if error.is_timeout() {
        return Failure::TimedOut;
    }
    Failure::ResetBeforeResponse
}

/// Returns how an attempt failed whose answer broke off.
pub fn stream_failure(error: &HttpError) -> Failure {
    if error.is_timeout() {
        return Failure::TimedOut;
    }
    Failure::StreamBroken
}

/// Returns what a failed attempt says of the upstream's health.
pub const fn end_of(failure: Failure) -> AttemptOutcome {
    match failure {
        // An upstream that refuses, for example while it loads weights, is
        // avoided while there are others, just as one that is slow.
        Failure::TimedOut | Failure::Rejected => AttemptOutcome::TimedOut,
        Failure::InvalidResponse => AttemptOutcome::Cancelled,
        Failure::ConnectFailed | Failure::ResetBeforeResponse | Failure::StreamBroken => {
            AttemptOutcome::Unreachable
        }
    }
}
