//! The balancer's question for readiness, and metrics.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire::READINESS_PATH;
use log::warn;
use monoio::net::TcpListener;

use super::answers;
use super::instance::FleetInstance;
use crate::documents;
use crate::shutdown::Stopping;

/// The path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics until the instance ends.
pub async fn serve(instance: Rc<FleetInstance>, listener: TcpListener, stopping: Stopping) {
    documents::serve(listener, stopping, move |req| answer(&instance, req)).await;
}

fn answer(instance: &FleetInstance, req: &Request) -> Response<Bytes> {
    match req.uri().path() {
        READINESS_PATH => readiness(instance),
        METRICS_PATH => metrics(instance),
        _ => {
            let mut res = answers::document(Bytes::from_static(b"{}"));
            *res.status_mut() = StatusCode::NOT_FOUND;
            res
        }
    }
}

fn readiness(instance: &FleetInstance) -> Response<Bytes> {
    let mut res = answers::document(Bytes::from_static(b"{}"));
    if !instance.wants_callers() {
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    res
}

fn metrics(instance: &FleetInstance) -> Response<Bytes> {
    match instance.metrics.render() {
        Ok(text) => {
            let mut res = Response::new(Bytes::from(text));
            let kind = HeaderValue::from_static("text/plain; version=0.0.4");
            res.headers_mut().insert(header::CONTENT_TYPE, kind);
            res
        }
        Err(error) => {
            warn!(error:display; "metrics not rendered");
            let mut res = Response::new(Bytes::new());
            *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            res
        }
    }
}
