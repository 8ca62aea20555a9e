//! Forwarding between callers and upstreams: headers, keys and failures.

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

/// The header with which an upstream reports that it has not run a request.
const NOT_RUN_HEADER: &str = "x-not-run";

/// The header that carries the team's name to a plain service.
pub const TEAM_HEADER: &str = "x-team";

/// Checks that the path contains no key and the body not the caller's key, as both
/// are sent to upstreams.
///
/// # Errors
///
/// Returns a refusal with [`Reason::BadRequest`] if there is one.
pub fn refuse_leaked_key(exchange: &Exchange<'_>) -> Result<(), Refusal> {
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

/// Returns the headers of a message without credentials and hop-by-hop headers.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    remove_hop_by_hop(&mut kept, &[]);
    let is_secret = |name: &HeaderName, value: &HeaderValue| {
        is_credential_header(name.as_str()) || contains_key_prefix(value.as_bytes())
    };
    let secret = kept.iter().filter(|(name, value)| is_secret(name, value));
    let secret: Vec<HeaderName> = secret.map(|(name, _)| name.clone()).collect();
    for name in secret {
        kept.remove(name);
    }
    // The HTTP client and server set the length themselves.
    kept.remove(http::header::CONTENT_LENGTH);
    kept.remove(http::header::EXPECT);
    kept.remove(TEAM_HEADER);
    kept
}

/// Sets a header. Does nothing if the value is not a valid header value.
pub fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns whether an upstream reports that it has not run the request.
pub fn reports_not_run(head: &Parts) -> bool {
    let header = head.headers.get(NOT_RUN_HEADER);
    header.is_some_and(|value| value.as_bytes() == b"true")
}

/// Returns the failure of an attempt without a response.
pub fn failure_before_response(error: &HttpError) -> Failure {
    if error.not_sent() {
        return Failure::ConnectFailed;
    }
    if error.is_timeout() {
        return Failure::TimedOut;
    }
    Failure::ResetBeforeResponse
}

/// Returns the failure of an attempt whose response was interrupted.
pub fn failure_during_response(error: &HttpError) -> Failure {
    if error.is_timeout() {
        return Failure::TimedOut;
    }
    Failure::StreamBroken
}

/// Returns the outcome that a failed attempt counts as for the upstream's health.
pub const fn attempt_outcome(failure: Failure) -> AttemptOutcome {
    match failure {
        // An upstream that rejects requests, for example while it loads weights, is
        // avoided like a slow one if others are available.
        Failure::TimedOut | Failure::Rejected => AttemptOutcome::TimedOut,
        Failure::InvalidResponse => AttemptOutcome::Cancelled,
        Failure::ConnectFailed | Failure::ResetBeforeResponse | Failure::StreamBroken => {
            AttemptOutcome::Unreachable
        }
    }
}
