//! Non-idempotent requests with an idempotency key, which run at most once.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Response as HttpResponse;
use http::StatusCode;
use limpetsaddle_core::claims::AttemptEnd;
use limpetsaddle_core::claims::AttemptId;
use limpetsaddle_core::claims::CallerResponse;
use limpetsaddle_core::claims::ClaimName;
use limpetsaddle_core::claims::ClaimOptions;
use limpetsaddle_core::claims::ClaimRequest;
use limpetsaddle_core::claims::HeldClaim;
use limpetsaddle_core::claims::SendOutcome;
use limpetsaddle_core::claims::Settlement;
use limpetsaddle_core::claims::StoredBody;
use limpetsaddle_core::claims::StoredHeader;
use limpetsaddle_core::claims::StoredResponse;
use limpetsaddle_core::claims::request_digest;
use limpetsaddle_core::refusal::Execution;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_core::upstreams::AttemptOutcome;
use limpetsaddle_platform::ClaimResult;

use super::Caller;
use super::Exchange;
use super::forward;
use super::services::ServiceCall;
use super::services::finish_attempt;
use crate::instance::Instance;
use crate::running::Running;

/// The largest response body that is read for a claimed request, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The header that marks a response as the stored one of an earlier attempt.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// A complete response of a service.
struct ServiceResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Serves a request with an idempotency key, which runs at most once.
///
/// # Errors
///
/// Returns a refusal if the request cannot be served.
pub(super) async fn serve(
    exchange: &mut Exchange<'_>,
    call: &mut ServiceCall,
    key: &str,
) -> Result<(), Refusal> {
    let Some(caller) = call.caller.clone() else {
        return Err(Refusal::not_run(Reason::MissingKey));
    };
    let instance = Rc::clone(exchange.instance);
    let request = claim_request(exchange, &caller, key);
    let clock = instance.clock;
    let options = ClaimOptions::default();
    let claimed = instance.platform.claim(request, options, || clock.now());
    let (finish, response) = match claimed.await {
        ClaimResult::Held(held) => send(exchange, call, held).await,
        ClaimResult::Finished(finish) => (finish, None),
    };
    if let Some(settlement) = finish.settlement {
        let running = instance.running().begin();
        monoio::spawn(settle(Rc::clone(&instance), settlement, running));
    }
    match (finish.response, response) {
        (CallerResponse::Forward, Some(response)) => {
            respond(exchange, response).await;
            Ok(())
        }
        (CallerResponse::Forward, None) => Err(Refusal::unknown(Reason::UpstreamFailed)),
        (CallerResponse::Replay(outcome), _) => replay(exchange, &outcome).await,
        (CallerResponse::Refuse(refusal), _) => Err(refusal),
    }
}

fn claim_request(exchange: &Exchange<'_>, caller: &Caller, key: &str) -> ClaimRequest {
    let req = &exchange.req;
    let target = super::path_and_query(req.uri());
    ClaimRequest {
        name: ClaimName::new(&caller.team, key),
        digest: request_digest(req.method().as_str(), &target, req.body()),
        attempt: AttemptId {
            incarnation: exchange.instance.incarnation(),
            number: exchange.instance.next_number(),
        },
    }
}

async fn send(
    exchange: &Exchange<'_>,
    call: &mut ServiceCall,
    held: HeldClaim,
) -> (AttemptEnd, Option<ServiceResponse>) {
    let instance = exchange.instance;
    let sending = match held.begin(instance.now()) {
        Ok(sending) => sending,
        Err(finish) => return (finish, None),
    };
    let sent = send_and_collect(exchange, call).await;
    let now = instance.now();
    match sent {
        Ok(response) => {
            let outcome = SendOutcome::Responded(to_stored(&response));
            (sending.finish(outcome, now), Some(response))
        }
        Err(refusal) => {
            let outcome = match refusal.ran {
                Execution::NotRun => SendOutcome::NotRun(refusal.reason),
                Execution::Unknown => SendOutcome::Unknown(refusal.reason),
            };
            (sending.finish(outcome, now), None)
        }
    }
}

/// Sends the request and reads the complete response.
async fn send_and_collect(
    exchange: &Exchange<'_>,
    call: &mut ServiceCall,
) -> Result<ServiceResponse, Refusal> {
    let (res, placement) = call.send(exchange).await?;
    let status = res.head.status;
    let headers = forward::end_to_end(&res.head.headers);
    let body = res.collect(MAX_RESPONSE_BYTES).await;
    finish_attempt(exchange.instance, placement, AttemptOutcome::Responded);
    let body = body.map_err(|_| Refusal::unknown(Reason::UpstreamFailed))?;
    Ok(ServiceResponse {
        status,
        headers,
        body,
    })
}

fn to_stored(response: &ServiceResponse) -> StoredResponse {
    let headers = response.headers.iter().filter_map(|(name, value)| {
        Some(StoredHeader {
            name: name.as_str().into(),
            value: value.to_str().ok()?.into(),
        })
    });
    StoredResponse {
        status: response.status.as_u16(),
        headers: headers.collect(),
        body: StoredBody::of(&response.body),
    }
}

async fn respond(exchange: &mut Exchange<'_>, response: ServiceResponse) {
    let mut res = HttpResponse::new(response.body);
    *res.status_mut() = response.status;
    *res.headers_mut() = response.headers;
    exchange.respond(res).await;
}

/// Responds with the stored response of an earlier attempt.
async fn replay(exchange: &mut Exchange<'_>, outcome: &StoredResponse) -> Result<(), Refusal> {
    let StoredBody::Text(body) = &outcome.body else {
        // The request has run, but its response was too large to be stored.
        return Err(Refusal::unknown(Reason::IdempotencyConflict));
    };
    let mut res = HttpResponse::new(Bytes::copy_from_slice(body.as_bytes()));
    if let Ok(status) = StatusCode::from_u16(outcome.status) {
        *res.status_mut() = status;
    }
    let headers = res.headers_mut();
    for header in &outcome.headers {
        if let Ok(name) = HeaderName::from_bytes(header.name.as_bytes()) {
            forward::set_header(headers, name, &header.value);
        }
    }
    let replayed = HeaderName::from_static(REPLAYED_HEADER);
    forward::set_header(headers, replayed, "true");
    exchange.respond(res).await;
    Ok(())
}

/// Records the end of an attempt at the platform, retrying until the platform
/// responds. Counts as a request in progress, so that a stop waits for it.
async fn settle(instance: Rc<Instance>, settlement: Box<Settlement>, _running: Running) {
    let clock = instance.clock;
    instance.platform.settle(settlement, || clock.now()).await;
}
