//! Responses that the instance generates itself.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
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

/// Returns a copy of the head of a response, and the response.
pub fn split(res: limpetsaddle_http::Response) -> (Parts, limpetsaddle_http::Response) {
    (clone_head(&res.head), res)
}

fn clone_head(head: &Parts) -> Parts {
    let mut copy = Response::new(()).into_parts().0;
    copy.status = head.status;
    copy.headers = head.headers.clone();
    copy
}
