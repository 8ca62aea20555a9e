//! The streamed response to a model request.

use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Request;
use serde_json::Value;
use serde_json::json as value;

use super::Engine;
use super::Run;
use super::StreamFault;
use super::StreamFaultKind;
use super::prompt;
use super::schedule::QueuePosition;
use crate::host::POLL_INTERVAL;
use crate::host::Shared;
use crate::responses::HttpResponse;
use crate::responses::empty;
use crate::responses::not_run;
use crate::responses::sleep_while_connected;
use crate::responses::stall;
use crate::responses::stream_head;
use crate::service::header_text;

/// A running model request.
struct Job {
    id: String,
    is_chat: bool,
    seed: u64,
    resume_from: u64,
    end: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    blocks: Vec<u64>,
    incarnation: Incarnation,
    fault: Option<StreamFault>,
    run: Option<usize>,
}

/// Runs a model request and streams its completion, or returns a response if the
/// request is rejected.
pub async fn generate(
    req: &Request,
    connection: &mut Connection,
    shared: &Shared<Engine>,
) -> Option<HttpResponse> {
    let Ok(body) = serde_json::from_slice::<Value>(req.body()) else {
        return Some(empty(StatusCode::BAD_REQUEST));
    };
    if let Some(rejection) = reject(&body, &shared.lock()) {
        return Some(rejection);
    }
    let mut job = Job::new(req, &body, &shared.lock());
    let priority = body["priority"].as_i64().unwrap_or(0);
    wait_for_slot(&job, priority, connection, shared).await?;
    let done = run(&mut job, &body, connection, shared).await;
    if !shared.lock().is_stopped(job.incarnation) {
        shared.lock().schedule.release_slot();
    }
    done?;
    connection.finish().await.ok()?;
    update_run(&job, shared, |run| run.finished = true);
    // The response has been sent; `None` closes the connection.
    None
}

fn reject(body: &Value, engine: &Engine) -> Option<HttpResponse> {
    if engine.faults.refuses || engine.is_loading() {
        return Some(not_run(StatusCode::SERVICE_UNAVAILABLE));
    }
    if body["model"].as_str() != Some(&engine.model) {
        return Some(not_run(StatusCode::NOT_FOUND));
    }
    None
}

impl Job {
    fn new(req: &Request, body: &Value, engine: &Engine) -> Self {
        let prompt = prompt::prompt_bytes(body);
        let salt = body["cache_salt"].as_str().unwrap_or_default();
        Self {
            id: header_text(req, "x-request-id"),
            is_chat: req.uri().path().starts_with("/v1/chat/"),
            seed: prompt::completion_seed(body),
            resume_from: body["resume_from"].as_u64().unwrap_or(0),
            end: prompt::completion_tokens(body),
            prompt_tokens: prompt.len().div_ceil(prompt::BYTES_PER_TOKEN) as u64,
            cached_tokens: 0,
            blocks: prompt::block_hashes(salt, &prompt, engine.options.block_tokens),
            incarnation: engine.incarnation,
            fault: None,
            run: None,
        }
    }

    fn event(&self, index: u64, is_last: bool) -> Value {
        let text = prompt::token(self.seed, index);
        let reason = if is_last { value!("stop") } else { Value::Null };
        let mut choice = value!({"index": 0, "finish_reason": reason});
        if self.is_chat {
            choice["delta"] = value!({"content": text});
        } else {
            choice["text"] = text.into();
        }
        let mut event = value!({"id": self.id, "index": index, "choices": [choice]});
        if is_last {
            event["usage"] = value!({
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.end,
                "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
            });
        }
        event
    }
}

async fn wait_for_slot(
    job: &Job,
    priority: i64,
    connection: &mut Connection,
    shared: &Shared<Engine>,
) -> Option<()> {
    let (position, mut slot_rx) = shared.lock().schedule.enqueue(priority, job.prompt_tokens);
    loop {
        if shared.lock().is_stopped(job.incarnation) {
            return None;
        }
        if matches!(slot_rx.try_recv(), Ok(Some(()))) {
            return Some(());
        }
        let slot = monoio::time::timeout(POLL_INTERVAL, &mut slot_rx).await;
        if matches!(slot, Ok(Ok(()))) {
            return Some(());
        }
        if !sleep_while_connected(connection, std::time::Duration::ZERO).await {
            cancel(position, job, shared);
            return None;
        }
    }
}

fn cancel(position: QueuePosition, job: &Job, shared: &Shared<Engine>) {
    let mut engine = shared.lock();
    if !engine.is_stopped(job.incarnation) {
        engine.schedule.cancel(position);
    }
}

async fn run(
    job: &mut Job,
    body: &Value,
    connection: &mut Connection,
    shared: &Shared<Engine>,
) -> Option<()> {
    let ready_at = start_run(job, body, &mut shared.lock());
    let wait = ready_at.saturating_duration_since(Instant::now());
    if !wait.is_zero() {
        sleep_while_connected(connection, wait)
            .await
            .then_some(())?;
    }
    shared.lock().cache.store(&job.blocks);
    let head = response_head(job, &shared.lock());
    connection.start(head).await.ok()?;
    for index in job.resume_from..job.end {
        send_token(job, index, connection, shared).await?;
    }
    if job.resume_from >= job.end {
        let last = job.end.saturating_sub(1);
        send_event(connection, &job.event(last, true)).await?;
    }
    send_text(connection, "data: [DONE]\n\n".to_owned()).await
}

/// Records the run and returns the time at which its prefill completes.
fn start_run(job: &mut Job, body: &Value, engine: &mut Engine) -> Instant {
    let block_tokens = engine.options.block_tokens as u64;
    job.cached_tokens = engine.cache.use_prefix(&job.blocks) as u64 * block_tokens;
    job.fault = engine.next_stream_fault();
    if engine.options.records {
        job.run = Some(engine.runs.len());
        engine.runs.push(Run {
            request_id: job.id.clone(),
            cache_salt: body["cache_salt"].as_str().unwrap_or_default().to_owned(),
            resume_from: job.resume_from,
            sent: 0,
            cached_tokens: job.cached_tokens,
            finished: false,
        });
    }
    let prefill_tokens = job.prompt_tokens - job.cached_tokens;
    engine.schedule.prefill(prefill_tokens)
}

fn response_head(job: &Job, engine: &Engine) -> Response<()> {
    let mut res = stream_head();
    let headers = res.headers_mut();
    let event_stream = HeaderValue::from_static("text/event-stream");
    headers.insert("content-type", event_stream);
    if let Ok(id) = HeaderValue::from_str(&job.id) {
        headers.insert("x-request-id", id);
    }
    headers.insert("x-engine-incarnation", job.incarnation.0.into());
    headers.insert("x-weights-version", engine.weights.0.into());
    res
}

async fn send_token(
    job: &Job,
    index: u64,
    connection: &mut Connection,
    shared: &Shared<Engine>,
) -> Option<()> {
    let delay = shared.lock().options.token_delay;
    if !delay.is_zero() {
        sleep_while_connected(connection, delay)
            .await
            .then_some(())?;
    }
    if shared.lock().is_stopped(job.incarnation) {
        return None;
    }
    let event = job.event(index, index + 1 == job.end);
    let fault = job
        .fault
        .filter(|fault| fault.after == index - job.resume_from);
    if let Some(fault) = fault {
        inject_fault(fault.kind, job, &event, connection, shared).await?;
    }
    if fault.is_none_or(|fault| fault.kind != StreamFaultKind::Skip) {
        send_event(connection, &event).await?;
    }
    update_run(job, shared, |run| run.sent += 1);
    Some(())
}

/// Applies the fault before the token is sent.
async fn inject_fault(
    kind: StreamFaultKind,
    job: &Job,
    event: &Value,
    connection: &mut Connection,
    shared: &Shared<Engine>,
) -> Option<()> {
    match kind {
        StreamFaultKind::Die => None,
        StreamFaultKind::End => {
            let _ = connection.finish().await;
            None
        }
        StreamFaultKind::Stall => {
            stall(connection, || shared.lock().is_stopped(job.incarnation)).await;
            None
        }
        StreamFaultKind::Repeat => send_event(connection, event).await,
        StreamFaultKind::Late => send_event(connection, &job.event(job.resume_from, false)).await,
        StreamFaultKind::Cross => {
            let mut other = event.clone();
            other["id"] = value!(format!("{}-other", job.id));
            send_event(connection, &other).await
        }
        StreamFaultKind::Skip => Some(()),
    }
}

async fn send_event(connection: &mut Connection, event: &Value) -> Option<()> {
    send_text(connection, format!("data: {event}\n\n")).await
}

async fn send_text(connection: &mut Connection, text: String) -> Option<()> {
    connection.send(Bytes::from(text)).await.ok()
}

/// Updates the record of the run, unless a test has cleared the records.
fn update_run(job: &Job, shared: &Shared<Engine>, change: impl FnOnce(&mut Run)) {
    let mut engine = shared.lock();
    if let Some(run) = job.run.and_then(|run| engine.runs.get_mut(run)) {
        change(run);
    }
}
