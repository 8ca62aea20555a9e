//! The HTTP API of an engine.

use std::fmt::Write as _;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use limpetsaddle_core::units::FencingNumber;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::WeightsVersion;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json as value;

use super::Engine;
use super::Received;
use super::Role;
use super::streaming;
use crate::control;
use crate::control::handle_control_call;
use crate::host::POLL_INTERVAL;
use crate::host::Shared;
use crate::responses::HttpResponse;
use crate::responses::empty;
use crate::responses::json;
use crate::responses::query_number;
use crate::responses::sleep_while_connected;
use crate::responses::stream_head;
use crate::service::header_lines;

/// A load report with the time of its creation.
#[derive(Clone, Debug)]
pub struct CachedLoadReport {
    created_at: Instant,
    load: LoadReport,
}

#[derive(Clone, Debug, Serialize)]
struct LoadReport {
    incarnation: Incarnation,
    weights: WeightsVersion,
    model: String,
    running: usize,
    waiting: usize,
    queued_tokens: u64,
    role: Role,
    loading: bool,
}

/// The body of an order.
#[derive(Deserialize)]
struct OrderRequest {
    fencing: FencingNumber,
    order: Order,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Order {
    Load {
        model: String,
        weights: WeightsVersion,
    },
    Role(Role),
}

pub async fn serve_connection(connection: Connection, shared: Shared<Engine>) {
    control::serve_connection(connection, shared, handle_control, serve_call).await;
}

fn handle_control(req: &Request, engine: &mut Engine) -> Option<HttpResponse> {
    match req.uri().path() {
        "/_fake/crash" => engine.crash(),
        "/_fake/restart" => engine.restart_empty(),
        _ => return handle_control_call(req, engine, |engine| &mut engine.faults),
    }
    Some(empty(StatusCode::NO_CONTENT))
}

/// Responds to a call, or returns `None` to close the connection.
async fn serve_call(
    req: &Request,
    connection: &mut Connection,
    shared: &Shared<Engine>,
) -> Option<HttpResponse> {
    if shared.lock().is_down {
        return None;
    }
    record(req, &mut shared.lock());
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            streaming::generate(req, connection, shared).await
        }
        (&Method::GET, "/load") => Some(json(StatusCode::OK, &load_report(&mut shared.lock()))),
        (&Method::GET, "/cache/events") => {
            let after = query_number(req.uri(), "after").unwrap_or(0);
            send_cache_events(after, connection, shared).await;
            None
        }
        (&Method::POST, "/orders") => Some(apply_order(req, &mut shared.lock())),
        _ => Some(empty(StatusCode::NOT_FOUND)),
    }
}

fn record(req: &Request, engine: &mut Engine) {
    if !engine.options.records {
        return;
    }
    engine.received.push(Received {
        method: req.method().to_string(),
        path: req.uri().to_string(),
        headers: header_lines(req),
        body: String::from_utf8_lossy(req.body()).into_owned(),
    });
}

fn load_report(engine: &mut Engine) -> LoadReport {
    let lag = engine.options.report_lag;
    if let Some(report) = &engine.report
        && report.created_at.elapsed() < lag
    {
        return report.load.clone();
    }
    let load = LoadReport {
        incarnation: engine.incarnation,
        weights: engine.weights,
        model: engine.model.clone(),
        running: engine.schedule.running(),
        waiting: engine.schedule.waiting(),
        queued_tokens: engine.schedule.queued_tokens(),
        role: engine.role,
        loading: engine.is_loading(),
    };
    engine.report = Some(CachedLoadReport {
        created_at: Instant::now(),
        load: load.clone(),
    });
    load
}

fn apply_order(req: &Request, engine: &mut Engine) -> HttpResponse {
    let Ok(call) = serde_json::from_slice::<OrderRequest>(req.body()) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let newest = engine.orders.iter().max().copied().unwrap_or_default();
    if engine.options.checks_fencing && call.fencing < newest {
        return json(StatusCode::CONFLICT, &value!({"fencing": newest}));
    }
    engine.orders.push(call.fencing);
    match call.order {
        Order::Load { model, weights } => {
            engine.model = model;
            engine.weights = weights;
            engine.cache.clear();
            engine.loading_until = Instant::now() + engine.options.load_time;
        }
        Order::Role(role) => engine.role = role,
    }
    let result = value!({"incarnation": engine.incarnation, "fencing": call.fencing});
    json(StatusCode::OK, &result)
}

async fn send_cache_events(mut after: u64, connection: &mut Connection, shared: &Shared<Engine>) {
    if connection.start(stream_head()).await.is_err() {
        return;
    }
    let incarnation = shared.lock().incarnation;
    while !shared.lock().is_stopped(incarnation)
        && sleep_while_connected(connection, POLL_INTERVAL).await
    {
        let lines = due_events(&mut after, &shared.lock());
        if !lines.is_empty() && connection.send(Bytes::from(lines)).await.is_err() {
            return;
        }
    }
}

fn due_events(after: &mut u64, engine: &Engine) -> String {
    let lag = engine.options.event_lag;
    let gap = engine.options.event_gap;
    let mut lines = String::new();
    let due = engine.cache.events_after(*after);
    for event in due.take_while(|event| event.at.elapsed() >= lag) {
        *after = event.seq;
        if gap > 0 && event.seq % gap == 0 {
            continue;
        }
        let data = value!({
            "seq": event.seq,
            "incarnation": engine.incarnation,
            "stored": event.stored,
            "removed": event.removed,
        });
        let _ = write!(lines, "data: {data}\n\n");
    }
    lines
}
