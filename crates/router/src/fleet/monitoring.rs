//! Readiness checks of the load balancer, metrics, and the withheld parts of prompts.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use limpetsaddle_http::CallerBudgetOptions;
use limpetsaddle_http::Request;
use limpetsaddle_platform_wire::READINESS_PATH;
use monoio::net::TcpListener;

use super::instance::FleetInstance;
use super::permits;
use super::quarantine;
use crate::documents;
use crate::responses;
use crate::shutdown::Stopping;

const METRICS_PATH: &str = "/metrics";

const LIMITS_PATH: &str = "/limits";

const WITHHELD_PARTS_PATH: &str = "/withheld-parts";

/// What the requests of one listener may use. Balancers and operators send small ones, one
/// after the other.
const BUDGET: CallerBudgetOptions = CallerBudgetOptions {
    memory: 1024 * 1024,
    connections: 8,
    descriptors: 16,
};

/// Serves readiness and metrics until the instance stops.
pub async fn serve(instance: Rc<FleetInstance>, listener: TcpListener, stopping: Stopping) {
    let respond = move |req: &Request| respond(&instance, req);
    documents::serve_within(listener, BUDGET, stopping, respond).await;
}

fn respond(instance: &FleetInstance, req: &Request) -> Response<Bytes> {
    match req.uri().path() {
        READINESS_PATH => readiness(instance),
        METRICS_PATH => documents::metrics(instance.metrics.render()),
        LIMITS_PATH => responses::document(StatusCode::OK, permits::document(instance)),
        WITHHELD_PARTS_PATH => responses::document(StatusCode::OK, quarantine::document(instance)),
        _ => responses::document(StatusCode::NOT_FOUND, Bytes::from_static(b"{}")),
    }
}

fn readiness(instance: &FleetInstance) -> Response<Bytes> {
    let status = if instance.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    responses::document(status, Bytes::from_static(b"{}"))
}
