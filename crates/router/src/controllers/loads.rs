//! Load reports of engines and probes of upstreams that are down.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;
use limpetsaddle_core::upstreams::Identity;
use limpetsaddle_core::upstreams::LoadReport;
use limpetsaddle_core::upstreams::UpstreamId;
use limpetsaddle_http::Request;
use serde::Deserialize;

use super::exchange::jittered;
use crate::instance::Instance;
use crate::shutdown::Stopping;

/// The time between two rounds of reports.
const PERIOD: Duration = Duration::from_millis(500);

/// The upstreams that are asked in one round at most, whatever their number.
const MAX_ASKED: usize = 8;

/// The longest report in bytes.
const MAX_REPORT_BYTES: usize = 4_096;

/// The longest wait for a report.
const TIMEOUT: Duration = Duration::from_secs(1);

/// A `Report` is an engine's answer to `GET /load`.
#[derive(Debug, Deserialize)]
struct Report {
    incarnation: Incarnation,
    weights: WeightsVersion,
    running: u32,
    waiting: u32,
    queued_tokens: Tokens,
}

/// Asks the engines in use for their load, and probes those that are down.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    while stopping.pause(jittered(&instance, PERIOD)).await {
        for id in due(&instance) {
            monoio::spawn(ask(Rc::clone(&instance), id));
        }
    }
}

/// Returns the upstreams to ask: those that are down and due, and those with
/// work of this instance, in turns.
fn due(instance: &Instance) -> Vec<UpstreamId> {
    let now = instance.now();
    let board = instance.board.borrow();
    let mut due = board.upstreams.due_probes(now);
    let busy = board.upstreams.ids_with_requests();
    if !busy.is_empty() {
        let start = usize::try_from(instance.random.draw() % busy.len() as u64).unwrap_or(0);
        due.extend(busy.iter().cycle().skip(start).take(busy.len()));
    }
    due.truncate(MAX_ASKED);
    due
}

async fn ask(instance: Rc<Instance>, id: UpstreamId) {
    let target = {
        let board = instance.board.borrow();
        let row = board.upstreams.get(id);
        row.map(|row| (row.spec.address, board.is_engine_pool(&row.spec.pool)))
    };
    let Some((address, engine)) = target else {
        return;
    };
    let sent = instance.now();
    let asked = fetch(
        &instance,
        address,
        if engine { "/load" } else { "/healthz" },
    );
    let answer = monoio::time::timeout(TIMEOUT, asked).await;
    let now = instance.now();
    let random = instance.random.draw();
    let mut board = instance.board.borrow_mut();
    let Ok(Some(body)) = answer else {
        // Attempts tell whether an upstream in use is slow or dead.
        if board.upstreams.is_down(id) {
            board.upstreams.record_probe_failure(id, now, random);
        }
        return;
    };
    if !engine {
        let idle = LoadReport::default();
        board.upstreams.record_report(id, idle, None, sent, now);
        return;
    }
    // An answer that cannot be read says nothing about the load.
    let Ok(report) = serde_json::from_slice::<Report>(&body) else {
        return;
    };
    let load = LoadReport {
        requests: report.running.saturating_add(report.waiting),
        queued_tokens: report.queued_tokens,
    };
    let identity = Identity {
        incarnation: report.incarnation,
        weights: report.weights,
    };
    board
        .upstreams
        .record_report(id, load, Some(identity), sent, now);
}

/// Returns the body of an upstream's short answer to a GET request, or `None`
/// when none came.
pub async fn fetch(instance: &Instance, address: SocketAddr, path: &'static str) -> Option<Bytes> {
    let mut req = Request::new(Bytes::new());
    *req.uri_mut() = http::Uri::from_static(path);
    let host = address.to_string().parse().ok()?;
    req.headers_mut().insert(header::HOST, host);
    let res = instance.upstream.send(address, req).await.ok()?;
    res.collect(MAX_REPORT_BYTES).await.ok()
}
