//! The calls that an engine answers.

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
use crate::answers::Answer;
use crate::answers::empty;
use crate::answers::json;
use crate::answers::pause;
use crate::answers::query_number;
use crate::answers::stream_head;
use crate::control;
use crate::control::control;
use crate::host::POLL;
use crate::host::Shared;
use crate::service::header_lines;

/// A `Report` is a load report with the time at which it was made.
#[derive(Clone, Debug)]
pub struct Report {
    made_at: Instant,
    load: Load,
}

#[derive(Clone, Debug, Serialize)]
struct Load {
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
struct OrderCall {
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

pub async fn attend(connection: Connection, shared: Shared<Engine>) {
    control::attend(connection, shared, control_call, serve_call).await;
}

fn control_call(req: &Request, engine: &mut Engine) -> Option<Answer> {
    match req.uri().path() {
        "/_fake/crash" => engine.crash(),
        "/_fake/restart" => engine.restart_empty(),
        _ => return control(req, engine, |engine| &mut engine.faults),
    }
    Some(empty(StatusCode::NO_CONTENT))
}

/// Answers a call, or returns `None` when the connection is to be closed.
async fn serve_call(
    req: &Request,
    connection: &mut Connection,
    shared: &Shared<Engine>,
) -> Option<Answer> {
    if shared.lock().is_down {
        return None;
    }
    record(req, &mut shared.lock());
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            streaming::generate(req, connection, shared).await
        }
        (&Method::GET, "/load") => Some(json(StatusCode::OK, &report(&mut shared.lock()))),
        (&Method::GET, "/cache/events") => {
            let after = query_number(req.uri(), "after").unwrap_or(0);
            send_cache_events(after, connection, shared).await;
            None
        }
        (&Method::POST, "/orders") => Some(order(req, &mut shared.lock())),
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

fn report(engine: &mut Engine) -> Load {
    let lag = engine.options.report_lag;
    if let Some(report) = &engine.report
        && report.made_at.elapsed() < lag
    {
        return report.load.clone();
    }
    let load = Load {
        incarnation: engine.incarnation,
        weights: engine.weights,
        model: engine.model.clone(),
        running: engine.schedule.running(),
        waiting: engine.schedule.waiting(),
        queued_tokens: engine.schedule.queued_tokens(),
        role: engine.role,
        loading: engine.is_loading(),
    };
    engine.report = Some(Report {
        made_at: Instant::now(),
        load: load.clone(),
    });
    load
}

fn order(req: &Request, engine: &mut Engine) -> Answer {
    let Ok(call) = serde_json::from_slice::<OrderCall>(req.body()) else {
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
    let done = value!({"incarnation": engine.incarnation, "fencing": call.fencing});
    json(StatusCode::OK, &done)
}

async fn send_cache_events(mut after: u64, connection: &mut Connection, shared: &Shared<Engine>) {
    if connection.start(stream_head()).await.is_err() {
        return;
    }
    let incarnation = shared.lock().incarnation;
    while !shared.lock().is_gone(incarnation) && pause(connection, POLL).await {
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
