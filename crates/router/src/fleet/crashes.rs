//! Detection of upstreams that end while they answer.
//!
//! A connection that is lost may have been reset alone. Only an upstream whose host refuses
//! connections immediately afterwards, or closes them before anything is sent, has ended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::availability::Incarnation;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::runs::CrashedRun;
use log::info;

use super::forward::Forwarder;
use super::instance::FleetInstance;
use super::reach;
use super::upstream_calls::Probe;
use super::upstream_calls::Recipient;
use crate::clock::millis;
use crate::shutdown::Stopping;
use crate::shutdown::channel;

/// The longest time for which a request waits for the result of a probe.
const PROBE_WAIT: Duration = Duration::from_millis(30);

/// The longest wait for a sign of life of an upstream whose answer has ended with its connection.
const LIFE_SIGN_WAIT: Duration = Duration::from_millis(700);

/// The number of attempts to connect, as a lost packet makes one time out.
const MAX_PROBES: u32 = 3;

/// The probes in progress, by the hashes of the upstreams' processes.
#[derive(Debug, Default)]
pub struct Probes {
    running: RefCell<HashMap<u64, Stopping>>,
}

/// Finds out whether the upstream of a request has ended, if its connection was lost.
///
/// The result is recorded when this returns, unless the probe takes long.
pub async fn check_after(forwarder: &Forwarder<'_>, placement: &Placement, failure: Failure) {
    if failure != Failure::ConnectionLost {
        return;
    }
    let ended = start_probe(forwarder.instance, placement);
    // A probe that takes longer goes on by itself.
    let _ = monoio::time::timeout(PROBE_WAIT, ended.closed()).await;
}

/// Returns whether an upstream's process is known to live on, whether it takes requests or not.
///
/// A host that does not respond in time proves nothing.
pub async fn lives_on(instance: &FleetInstance, recipient: &Recipient) -> bool {
    let probe = probe(|| instance.upstream_client.connect(recipient));
    let result = monoio::time::timeout(LIFE_SIGN_WAIT, probe).await;
    result.is_ok_and(|probe| probe == Probe::Listening)
}

/// Starts a probe of an upstream, unless one is running, and returns its end.
fn start_probe(instance: &Rc<FleetInstance>, placement: &Placement) -> Stopping {
    let incarnation = placement.incarnation();
    let process = incarnation.process();
    let mut running = instance.probes.running.borrow_mut();
    if let Some(ended) = running.get(&process) {
        return ended.clone();
    }
    let (stopper, ended) = channel();
    running.insert(process, ended.clone());
    let instance = Rc::clone(instance);
    let recipient = Recipient::Upstream {
        incarnation: incarnation.clone(),
        address: placement.address,
    };
    monoio::spawn(async move {
        let connect = || instance.upstream_client.probe(&instance, &recipient);
        if probe(connect).await == Probe::Ended {
            if reach::is_cut_off(&instance, &recipient).await {
                let upstream = &incarnation.upstream;
                info!(upstream:display; "connection lost by a cut of this instance");
            } else {
                record_crash(&instance, &incarnation);
            }
        }
        instance.probes.running.borrow_mut().remove(&process);
        drop(stopper);
    });
    ended
}

/// Returns what is known of a recipient after up to [`MAX_PROBES`] attempts to connect. A host
/// that closes two connections in a row has no process behind it.
async fn probe<F: Future<Output = Probe>>(connect: impl Fn() -> F) -> Probe {
    let mut has_closed = false;
    for _ in 0..MAX_PROBES {
        match connect().await {
            Probe::Closing if has_closed => return Probe::Ended,
            Probe::Closing => has_closed = true,
            Probe::Unknown => (),
            result @ (Probe::Listening | Probe::Ended) => return result,
        }
    }
    Probe::Unknown
}

/// Records that an upstream's process has ended, and logs the requests that may be the cause.
fn record_crash(instance: &FleetInstance, incarnation: &Incarnation) {
    let now = instance.now();
    let process = incarnation.process();
    let (runs, at) = instance.runs.borrow_mut().record_crash(process, now);
    instance.metrics.record_crash();
    let suspects = describe(&runs);
    let mut quarantine = instance.quarantine.borrow_mut();
    quarantine.record_crash(process, at, runs);
    drop(quarantine);
    info!(
        upstream:display = incarnation.upstream,
        born_ms = incarnation.born_ms,
        noticed_after_ms = millis(now.since(at)),
        suspects = suspects.as_str();
        "upstream crashed"
    );
}

/// Returns the content and the parts of each run for a log line, with its age and, if the
/// upstream had begun to answer, the time since then.
fn describe(runs: &[CrashedRun]) -> String {
    let run = |run: &CrashedRun| {
        let parts: Vec<String> = run.parts.iter().map(ToString::to_string).collect();
        let begun = run.begun_ms.map_or(String::new(), |ms| format!("+{ms}ms"));
        let (request, key, age_ms) = (run.request, run.key, run.age_ms);
        format!("{request:08x}/{key}@{age_ms}ms{begun}:{}", parts.join(","))
    };
    let runs: Vec<String> = runs.iter().map(run).collect();
    runs.join(" ")
}
