//! Requests that find no available upstream.

use std::time::Duration;

use limpetsaddle_fleet::outage::Outage;
use limpetsaddle_fleet::outage::WaitOptions;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::refusal::Reason;
use limpetsaddle_fleet::refusal::Refusal;

use super::canary;
use super::forward::Forwarder;
use super::permits;
use super::permits::PermitWait;

/// Places a request, after a short wait if all upstreams rest.
///
/// # Errors
///
/// Returns the refusal if no upstream can take the request in time.
pub async fn place_or_wait(forwarder: &Forwarder<'_>) -> Result<Placement, Refusal> {
    let instance = forwarder.instance;
    if forwarder.attempts.get().has_begun() {
        return place_stream(forwarder).await;
    }
    if forwarder.sent() > 0 && forwarder.leads_elsewhere() {
        return Err(Refusal::new(Reason::NoUpstream));
    }
    let mut waited = Duration::ZERO;
    let mut queued = None;
    loop {
        let refusal = match forwarder.place() {
            Ok(placement) => return Ok(placement),
            Err(refusal) => refusal,
        };
        let now = instance.now();
        queued = queued.or_else(|| PermitWait::begin(instance, &forwarder.service));
        let options = WaitOptions {
            left: forwarder.accepted.deadline.since(now),
            waited,
            expected: forwarder.accepted.route.target_latency,
            may_queue: queued.is_some(),
        };
        let outage = outage(forwarder);
        let wait = outage.and_then(|outage| outage.wait(&options, now, instance.random.draw()));
        let Some(wait) = wait else {
            return Err(with_rest(forwarder, refusal));
        };
        waited += wait;
        monoio::time::sleep(wait).await;
    }
}

/// Places a stream that the caller has a part of. As it can't be refused any more, it waits until
/// an upstream can continue it.
///
/// # Errors
///
/// Returns the refusal if no upstream can continue the stream in time.
async fn place_stream(forwarder: &Forwarder<'_>) -> Result<Placement, Refusal> {
    // After a wait that was in vain, another one comes before the next attempt.
    let must_wait = !forwarder.waits.get().is_new() || forwarder.attempts.get().must_wait();
    let mut placed = if must_wait || forwarder.owes_retry.get() {
        Err(Refusal::new(Reason::UpstreamFailed))
    } else {
        forwarder.place()
    };
    loop {
        let refusal = match placed {
            Ok(placement) => return Ok(placement),
            Err(refusal) => refusal,
        };
        if forwarder.withheld_subject().is_some() || !forwarder.permits_repeat() {
            return Err(refusal);
        }
        let left = forwarder.accepted.deadline.since(forwarder.instance.now());
        let expected = forwarder.accepted.route.target_latency;
        let mut waits = forwarder.waits.get();
        let wait = waits.next(left, expected).ok_or(refusal)?;
        forwarder.waits.set(waits);
        monoio::time::sleep(wait).await;
        placed = place_again(forwarder);
    }
}

/// Places a stream after a wait, in which upstreams that have rejected it may have become able
/// to take it. The latest one is the last choice.
fn place_again(forwarder: &Forwarder<'_>) -> Result<Placement, Refusal> {
    if forwarder.owes_retry.get() && !forwarder.instance.withdraw_retry(&forwarder.service) {
        return Err(Refusal::new(Reason::UpstreamFailed));
    }
    forwarder.owes_retry.set(false);
    let mut attempts = forwarder.attempts.get();
    attempts.record_wait();
    forwarder.attempts.set(attempts);
    let mut attempted = forwarder.attempted.take();
    let latest = attempted.pop();
    forwarder.attempted.borrow_mut().extend(latest);
    forwarder.place().or_else(|_| {
        forwarder.attempted.borrow_mut().clear();
        forwarder.place()
    })
}

/// Returns a refusal with the end of the first rest as the time to retry, if all upstreams
/// rest or leave and the refusal states a time.
pub fn with_rest(forwarder: &Forwarder<'_>, refusal: Refusal) -> Refusal {
    let instance = forwarder.instance;
    let (now, random) = (instance.now(), instance.random.draw());
    let Some(outage) = outage(forwarder).filter(|_| refusal.retry_after.is_some()) else {
        return refusal;
    };
    let backlog = permits::record_refusal(instance, &forwarder.service, &outage);
    let refusal = match refusal.reason {
        Reason::NoUpstream if outage.first_permit.is_some() => Refusal {
            reason: Reason::UpstreamLimit,
            ..refusal
        },
        _ => refusal,
    };
    match outage.retry_after(backlog, now, random) {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    }
}

fn outage(forwarder: &Forwarder<'_>) -> Option<Outage> {
    // No upstream will get the request, whether it rests or not.
    if forwarder.withheld_subject().is_some() {
        return None;
    }
    let instance = forwarder.instance;
    let upstreams = instance.upstreams.borrow();
    let mut excluded = canary::barred(instance, &forwarder.service);
    excluded.extend_from_slice(&forwarder.attempted.borrow());
    upstreams.outage(&forwarder.service, &excluded, instance.now())
}
