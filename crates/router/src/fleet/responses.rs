//! Responses that the instance generates itself.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use limpetsaddle_fleet::refusal::Refusal;
use limpetsaddle_platform_wire as wire;

use crate::responses::document;

/// Returns the error response to the request with the caller's `id`.
pub fn refusal(refusal: &Refusal, id: Option<&str>) -> Response<Bytes> {
    let code = refusal.reason.code();
    let status = StatusCode::from_u16(refusal.reason.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut res = document(status, format!("{{\"error\":\"{code}\"}}").into());
    if let Some(after) = refusal.retry_after {
        let seconds = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            res.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    if let Some(id) = id {
        wire::headers::set_request_id(res.headers_mut(), id);
    }
    res
}
