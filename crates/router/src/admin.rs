//! The HTTP endpoints for operators: metrics, status and health checks.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_http::Request;
use monoio::net::TcpListener;

use crate::controllers::status;
use crate::documents;
use crate::instance::Instance;
use crate::responses;
use crate::shutdown::Stopping;

/// Serves operators until the instance stops.
pub async fn serve(instance: Rc<Instance>, listener: TcpListener, stopping: Stopping) {
    documents::serve(listener, stopping, move |req| handle(&instance, req)).await;
}

fn handle(instance: &Instance, req: &Request) -> Response<Bytes> {
    match req.uri().path() {
        "/metrics" => documents::metrics(instance.metrics.render()),
        "/status" => {
            let status = status::status(instance);
            responses::document(StatusCode::OK, responses::json(&status))
        }
        "/healthz" => responses::document(StatusCode::OK, Bytes::from_static(b"{}")),
        "/readyz" if is_ready(instance) => {
            responses::document(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        "/readyz" => responses::refusal(&Refusal::not_run(Reason::NotReady), ""),
        _ => responses::refusal(&Refusal::not_run(Reason::NoRoute), ""),
    }
}

fn is_ready(instance: &Instance) -> bool {
    !instance.draining.is_closed() && instance.is_ready()
}
