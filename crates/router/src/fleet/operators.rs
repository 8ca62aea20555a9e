//! The balancer's question for readiness, and metrics.

use std::rc::Rc;

use bytes::Bytes;
use futures::channel::oneshot;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use limpetsaddle_http::ServerOptions;
use limpetsaddle_platform_wire::READINESS_PATH;
use log::warn;
use monoio::net::TcpListener;

use super::answers;
use super::instance::FleetInstance;
use crate::shutdown::Stopping;

/// The path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics until the instance ends.
pub async fn serve(instance: Rc<FleetInstance>, listener: TcpListener, stopping: Stopping) {
    let (end, ended) = oneshot::channel();
    monoio::spawn(async move {
        stopping.closed().await;
        drop(end);
    });
    let handler = move |conn| serve_connection(Rc::clone(&instance), conn);
    limpetsaddle_http::serve(listener, ServerOptions::default(), ended, handler).await;
}

async fn serve_connection(instance: Rc<FleetInstance>, mut conn: Connection) {
    while let Ok(Some(req)) = conn.next_request().await {
        let res = answer(&instance, &req);
        if conn.respond(res).await.is_err() || !conn.keep_alive() {
            return;
        }
    }
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
