//! The address for operators: metrics, health and what is in force.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::header;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_http::Request;
use monoio::net::TcpListener;

use crate::answers;
use crate::controllers::status;
use crate::documents;
use crate::instance::Instance;
use crate::shutdown::Stopping;

/// The type of the text in which metrics are printed.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves operators until the instance ends.
pub async fn serve(instance: Rc<Instance>, listener: TcpListener, stopping: Stopping) {
    documents::serve(listener, stopping, move |req| answer(&instance, req)).await;
}

fn answer(instance: &Instance, req: &Request) -> Response<Bytes> {
    match req.uri().path() {
        "/metrics" => metrics(instance),
        "/status" => {
            let status = status::status(instance);
            answers::document(StatusCode::OK, answers::json(&status))
        }
        "/healthz" => answers::document(StatusCode::OK, Bytes::from_static(b"{}")),
        "/readyz" if is_ready(instance) => {
            answers::document(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        "/readyz" => answers::refusal(&Refusal::not_run(Reason::NotReady), ""),
        _ => answers::refusal(&Refusal::not_run(Reason::NoRoute), ""),
    }
}

fn is_ready(instance: &Instance) -> bool {
    !instance.draining.is_closed() && instance.is_ready()
}

fn metrics(instance: &Instance) -> Response<Bytes> {
    let Ok(text) = instance.metrics.render() else {
        let mut res = Response::new(Bytes::new());
        *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return res;
    };
    let mut res = Response::new(text.into());
    let kind = header::HeaderValue::from_static(METRICS_TYPE);
    res.headers_mut().insert(header::CONTENT_TYPE, kind);
    res
}
