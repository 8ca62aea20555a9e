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

/// The interval at which load reports are requested.
const PERIOD: Duration = Duration::from_millis(500);

/// The maximum number of upstreams that are asked in one round.
const MAX_REQUESTS_PER_ROUND: usize = 8;

/// The maximum length of a report in bytes.
const MAX_REPORT_BYTES: usize = 4_096;

/// The time after which a request for a report is abandoned.
const TIMEOUT: Duration = Duration::from_secs(1);

/// An engine's response to `GET /load`.
#[derive(Debug, Deserialize)]
struct Report {
    incarnation: Incarnation,
    weights: WeightsVersion,
    running: u32,
    waiting: u32,
    queued_tokens: Tokens,
}

/// Requests load reports of upstreams in use and probes those that are down.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    while stopping.pause(jittered(&instance, PERIOD)).await {
        for id in due(&instance) {
            monoio::spawn(request_report(Rc::clone(&instance), id));
        }
    }
}

/// Returns the upstreams to ask: those that are down and due for a probe, then
/// those with requests of this instance, from a random start.
fn due(instance: &Instance) -> Vec<UpstreamId> {
    let now = instance.now();
    let board = instance.board.borrow();
    let mut due = board.upstreams.due_probes(now);
    let busy = board.upstreams.ids_with_requests();
    if !busy.is_empty() {
        let start = usize::try_from(instance.random.draw() % busy.len() as u64).unwrap_or(0);
        due.extend(busy.iter().cycle().skip(start).take(busy.len()));
    }
    due.truncate(MAX_REQUESTS_PER_ROUND);
    due
}

async fn request_report(instance: Rc<Instance>, id: UpstreamId) {
    let target = {
        let board = instance.board.borrow();
        let row = board.upstreams.get(id);
        row.map(|row| (row.spec.address, board.is_engine_pool(&row.spec.pool)))
    };
    let Some((address, is_engine)) = target else {
        return;
    };
    let sent = instance.now();
    let report = fetch(
        &instance,
        address,
        if is_engine { "/load" } else { "/healthz" },
    );
    let response = monoio::time::timeout(TIMEOUT, report).await;
    let now = instance.now();
    let random = instance.random.draw();
    let mut board = instance.board.borrow_mut();
    let Ok(Some(body)) = response else {
        // For an upstream in use, attempts show whether it is slow or down.
        if board.upstreams.is_down(id) {
            board.upstreams.record_probe_failure(id, now, random);
        }
        return;
    };
    if !is_engine {
        let idle = LoadReport::default();
        board.upstreams.record_report(id, idle, None, sent, now);
        return;
    }
    // An invalid report is ignored.
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

/// Returns the body of an upstream's response to a GET request, or `None` if the
/// request fails or the body is longer than a report may be.
pub async fn fetch(instance: &Instance, address: SocketAddr, path: &'static str) -> Option<Bytes> {
    let mut req = Request::new(Bytes::new());
    *req.uri_mut() = http::Uri::from_static(path);
    let host = address.to_string().parse().ok()?;
    req.headers_mut().insert(header::HOST, host);
    let res = instance.upstream.send(address, req).await.ok()?;
    res.collect(MAX_REPORT_BYTES).await.ok()
}
