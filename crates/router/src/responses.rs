//! Responses of the daemon itself: refusals and small JSON documents.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::header;
use limpetsaddle_core::refusal::Execution;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use serde::Serialize;

/// The header that states whether a refused request may have run.
pub const RAN_HEADER: &str = "x-request-ran";

/// The header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header that returns the caller's own id of a request.
pub const CLIENT_REQUEST_ID_HEADER: &str = "x-client-request-id";

/// The JSON document of a refusal.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    message: &'static str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    ran: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

/// Returns the JSON document of a refusal.
///
/// ```
/// use limpetsaddle_core::refusal::Reason;
/// use limpetsaddle_core::refusal::Refusal;
/// use limpetsaddle_router::responses::refusal_body;
///
/// let body = refusal_body(&Refusal::not_run(Reason::NoUpstream), "r1");
/// assert!(body.starts_with(br#"{"error":{"message""#));
/// ```
#[must_use]
pub fn refusal_body(refusal: &Refusal, request_id: &str) -> Bytes {
    let retry_after = refusal.retry_after;
    let body = ErrorBody {
        error: ErrorDetail {
            message: message(refusal.reason),
            kind: kind(refusal.reason),
            code: refusal.reason.code(),
            ran: ran(refusal.ran),
            retry_after_ms: retry_after.map(|s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX)),
            request_id,
        },
    };
    json(&body)
}

/// Returns the response to a refused request.
#[must_use]
pub fn refusal(refusal: &Refusal, request_id: &str) -> Response<Bytes> {
    let body = refusal_body(refusal, request_id);
    let status = StatusCode::from_u16(refusal.reason.status());
    let mut res = document(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), body);
    let headers = res.headers_mut();
    let ran = header::HeaderValue::from_static(ran(refusal.ran));
    headers.insert(RAN_HEADER, ran);
    if let Ok(id) = request_id.parse() {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if let Some(retry_after) = refusal.retry_after {
        // The header is in whole seconds; rounded down, it would be too early.
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
        if let Ok(value) = seconds.to_string().parse() {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    res
}

/// Returns a response with a JSON document.
#[must_use]
pub fn document(status: StatusCode, body: Bytes) -> Response<Bytes> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Returns `value` as a JSON document.
///
/// Encoding cannot fail, as maps in the daemon's responses have string keys only;
/// if it did, the document would be empty.
pub fn json<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

const fn ran(ran: Execution) -> &'static str {
    match ran {
        Execution::NotRun => "not_run",
        Execution::Unknown => "unknown",
    }
}

const fn kind(reason: Reason) -> &'static str {
    match reason.status() {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

const fn message(reason: Reason) -> &'static str {
    match reason {
        Reason::BadRequest => "The request is malformed.",
        Reason::BadBody => "The body is invalid for this endpoint.",
        Reason::TooLarge => "The request is too large.",
        Reason::RequestTimeout => "The request was not received in time.",
        Reason::MissingKey => "The request has no key.",
        Reason::UnknownKey => "The key is unknown.",
        Reason::WithdrawnKey => "The key has been withdrawn.",
        Reason::Forbidden => "The team may not use this model or route.",
        Reason::NoRoute => "There is no such endpoint.",
        Reason::MethodNotAllowed => "The endpoint does not accept this method.",
        Reason::UnknownModel => "The model does not exist.",
        Reason::RateLimited => "The team has exceeded its rate limit.",
        Reason::ExceedsBurst => "The request needs more tokens than the team's burst limit.",
        Reason::LimitsUnavailable => "The team's rate limit cannot be checked at present.",
        Reason::Overloaded => "The queue is full.",
        Reason::NoUpstream => "No upstream can take the request.",
        Reason::UpstreamUnreachable => "The upstream could not be reached.",
        Reason::UpstreamFailed => "The upstream failed while it handled the request.",
        Reason::UpstreamTimeout => "The upstream did not respond in time.",
        Reason::Maintenance => "The preset in force does not admit this request.",
        Reason::Stopping => "The instance is stopping.",
        Reason::NotReady => "The instance has no configuration yet.",
        Reason::IdempotencyConflict => "An earlier request with this key has no known outcome.",
        Reason::IdempotencyMismatch => "The idempotency key was used with a different request.",
        Reason::ClaimUnavailable => "The idempotency key could not be recorded.",
    }
}
