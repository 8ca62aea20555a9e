//! Detection of upstreams that end while they answer.
//!
//! After a lost connection the upstream's process is checked for signs of life, and suspected to
//! have ended until it shows one; see [`limpetsaddle_fleet::loss`].

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::channel::mpsc;
use futures::channel::oneshot;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::attempt::Failure;
use limpetsaddle_fleet::loss::AnswerEnd;
use limpetsaddle_fleet::loss::Completeness;
use limpetsaddle_fleet::loss::LifeSign;
use limpetsaddle_fleet::loss::Loss;
use limpetsaddle_fleet::loss::LossChange;
use limpetsaddle_fleet::loss::LossOptions;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::runs::CrashedRun;
use log::debug;
use log::info;

use super::forward::Forwarder;
use super::instance::FleetInstance;
use super::life_signs;
use super::life_signs::Process;
use super::reach;
use super::upstream_calls::Recipient;
use crate::clock::millis;

/// The largest number of parts of a prompt in a log line. The last ones are shared least.
const MAX_LOGGED_PARTS: usize = 32;

/// The longest time for which a request waits until it is known whether its upstream has ended.
const CHECK_WAIT: Duration = Duration::from_millis(30);

/// The losses that wait for the next check of a process.
type Waiting = Vec<oneshot::Sender<()>>;

/// The processes to which connections were lost, by their hashes.
#[derive(Debug, Default)]
pub struct Losses {
    /// The processes that are being checked, with the channel for further losses. Closing it ends
    /// the checks.
    checked: RefCell<HashMap<u64, mpsc::UnboundedSender<oneshot::Sender<()>>>>,
    /// The number of answers of each process that have ended with their connections, and are held
    /// until it is known whether they are complete.
    held: RefCell<HashMap<u64, usize>>,
    /// When processes that are silent were last checked.
    silent: RefCell<HashMap<u64, Time>>,
}

/// Counts an answer as held until it is dropped.
struct Held<'a> {
    losses: &'a Losses,
    process: u64,
}

impl<'a> Held<'a> {
    fn new(losses: &'a Losses, process: u64) -> Self {
        *losses.held.borrow_mut().entry(process).or_default() += 1;
        Self { losses, process }
    }

    /// Returns the number of other answers of the process that are held.
    fn others(&self) -> usize {
        let held = self.losses.held.borrow();
        held.get(&self.process).map_or(0, |held| held - 1)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let mut held = self.losses.held.borrow_mut();
        if let Some(left) = held.get_mut(&self.process) {
            *left -= 1;
            if *left == 0 {
                held.remove(&self.process);
            }
        }
    }
}

/// Finds out whether the upstream of a request has ended, if its connection was lost.
///
/// What is known by then is recorded when this returns; the checks go on by themselves.
pub async fn check_after(forwarder: &Forwarder<'_>, placement: &Placement, failure: Failure) {
    if failure != Failure::ConnectionLost {
        return;
    }
    let recipient = Recipient::Upstream {
        incarnation: placement.incarnation(),
        address: placement.address,
    };
    let Some(process) = Process::of(&recipient) else {
        return;
    };
    let checked = report_loss(forwarder.instance, process);
    // Both results, the end of a check and the timeout, end the wait.
    let _ = monoio::time::timeout(CHECK_WAIT, checked).await;
}

/// Returns whether an answer that has ended with its connection is complete: only if its upstream
/// is known to live on, whether it takes requests or not.
pub async fn is_complete(forwarder: &Forwarder<'_>, recipient: &Recipient) -> bool {
    let instance = forwarder.instance;
    let Some(process) = Process::of(recipient) else {
        return false;
    };
    let hash = process.hash();
    let held = Held::new(&instance.losses, hash);
    let ended = instance.now();
    monoio::time::sleep(AnswerEnd::CLOSING_SPREAD).await;
    loop {
        let asked = life_signs::ask(instance, &process, ended);
        let sign = monoio::time::timeout(AnswerEnd::CHECK_TIME, asked).await;
        let running = instance.runs.borrow().running_since(hash, ended);
        let is_checked = instance.losses.checked.borrow().contains_key(&hash);
        let end = AnswerEnd {
            age: instance.now().since(ended),
            left: forwarder.accepted.deadline.since(ended),
            is_leaving: process.is_leaving(instance),
            open: running.saturating_sub(held.others() + 1),
            ended: held.others() + usize::from(is_checked),
        };
        match end.judge(sign.unwrap_or(LifeSign::Missing)) {
            Completeness::Complete => return true,
            Completeness::BrokenOff => return false,
            Completeness::AskAgain(pause) => monoio::time::sleep(pause).await,
        }
    }
}

/// Has a process checked after a loss, and returns the end of the first check.
fn report_loss(instance: &Rc<FleetInstance>, process: Process) -> oneshot::Receiver<()> {
    let (checked, end) = oneshot::channel();
    let hash = process.hash();
    // The end of one that leaves is planned.
    if process.is_leaving(instance) {
        return end;
    }
    let all = instance.losses.checked.borrow();
    if let Some(tx) = all.get(&hash) {
        if tx.unbounded_send(checked).is_err() {
            let upstream = &process.incarnation.upstream;
            debug!(upstream:display; "the checks of an upstream have just ended");
        }
        return end;
    }
    drop(all);
    let loss = Loss::new(LossOptions::default(), instance.now());
    start_watch(instance, process, loss, vec![checked]);
    end
}

/// Checks the upstreams that owe an answer and have been silent for longer than a sound one. One
/// whose host drops everything loses no connection.
pub fn check_silent(instance: &Rc<FleetInstance>) {
    let options = LossOptions::default();
    let now = instance.now();
    let silent = instance.runs.borrow().silent(options.max_silence, now);
    let mut known = instance.losses.silent.borrow_mut();
    known.retain(|_, at| now.since(*at) < options.silence_interval);
    for hash in silent {
        let is_checked = instance.losses.checked.borrow().contains_key(&hash);
        if is_checked || known.contains_key(&hash) {
            continue;
        }
        known.insert(hash, now);
        let process = Process::find(instance, hash);
        if let Some(process) = process.filter(|process| !process.is_leaving(instance)) {
            start_watch(
                instance,
                process,
                Loss::of_silence(options, now),
                Vec::new(),
            );
        }
    }
}

/// Starts the checks of a process, which has none.
fn start_watch(instance: &Rc<FleetInstance>, process: Process, loss: Loss, waiting: Waiting) {
    let hash = process.hash();
    let (tx, rx) = mpsc::unbounded();
    instance.losses.checked.borrow_mut().insert(hash, tx);
    let instance = Rc::clone(instance);
    monoio::spawn(async move {
        watch(&instance, &process, loss, waiting, rx).await;
        instance.losses.checked.borrow_mut().remove(&hash);
    });
}

/// Checks a process until it is known whether it lives on, or for the longest time.
async fn watch(
    instance: &FleetInstance,
    process: &Process,
    mut loss: Loss,
    mut waiting: Waiting,
    mut losses: mpsc::UnboundedReceiver<oneshot::Sender<()>>,
) {
    loop {
        check(instance, process, &mut loss, waiting).await;
        let now = instance.now();
        let Some(next) = loss.next_check(now) else {
            return;
        };
        waiting = match monoio::time::timeout(next.since(now), losses.next()).await {
            // Further losses are checked at once, all together.
            Ok(Some(first)) => {
                let mut all = vec![first];
                while let Ok(another) = losses.try_recv() {
                    all.push(another);
                }
                all
            }
            Ok(None) => return,
            Err(_) => Vec::new(),
        };
    }
}

/// Checks a process once. The senders are dropped as soon as something is recorded.
async fn check(instance: &FleetInstance, process: &Process, loss: &mut Loss, waiting: Waiting) {
    let options = LossOptions::default();
    let mut asked = std::pin::pin!(life_signs::ask(instance, process, loss.at()));
    let early = monoio::time::timeout(options.doubt_time, &mut asked).await;
    let sign = if let Ok(sign) = early {
        sign
    } else {
        record(instance, process, loss, LifeSign::Missing).await;
        drop(waiting);
        let late = monoio::time::timeout(options.max_silence, asked).await;
        late.unwrap_or(LifeSign::Missing)
    };
    record(instance, process, loss, sign).await;
}

/// Records what a check has shown.
async fn record(instance: &FleetInstance, process: &Process, loss: &mut Loss, sign: LifeSign) {
    let upstream = &process.incarnation.upstream;
    let hash = process.hash();
    match loss.record(sign) {
        Some(change @ (LossChange::Suspected | LossChange::Confirmed)) => {
            if reach::is_cut_off(instance, &process.recipient).await {
                info!(upstream:display; "connection lost by a cut of this instance");
                return;
            }
            record_crash(instance, process, loss.at(), change);
        }
        Some(LossChange::Withdrawn) => {
            let now = instance.now();
            info!(upstream:display, sign = sign.code(); "upstream has not crashed");
            let mut quarantine = instance.quarantine.borrow_mut();
            quarantine.record_life(hash, now);
        }
        None => (),
    }
}

/// Records that an upstream's process has ended, or is suspected to, and logs the requests that
/// may be the cause.
fn record_crash(instance: &FleetInstance, process: &Process, lost: Time, change: LossChange) {
    let now = instance.now();
    let incarnation = &process.incarnation;
    let hash = process.hash();
    let (runs, at) = {
        let mut runs = instance.runs.borrow_mut();
        runs.record_crash_after(hash, lost, now)
    };
    let suspects = describe(&runs);
    let mut quarantine = instance.quarantine.borrow_mut();
    let message = if change == LossChange::Confirmed {
        instance.metrics.record_crash();
        quarantine.record_crash(hash, at, runs);
        "upstream crashed"
    } else {
        quarantine.record_suspicion(hash, at, runs);
        "upstream suspected to have crashed"
    };
    drop(quarantine);
    info!(
        upstream:display = incarnation.upstream,
        born_ms = incarnation.born_ms,
        noticed_after_ms = millis(now.since(at)),
        suspects = suspects.as_str();
        "{message}"
    );
}

/// Returns the content and the parts of each run for a log line, with its age and, if the
/// upstream had begun to answer, the time since then.
fn describe(runs: &[CrashedRun]) -> String {
    let run = |run: &CrashedRun| {
        let omitted = run.parts.len().saturating_sub(MAX_LOGGED_PARTS);
        let parts = run.parts.iter().skip(omitted);
        let mut parts: Vec<String> = parts.map(ToString::to_string).collect();
        if omitted > 0 {
            parts.insert(0, format!("{omitted} more"));
        }
        let begun = run.begun_ms.map_or(String::new(), |ms| format!("+{ms}ms"));
        let (request, key, age_ms) = (run.request, run.key, run.age_ms);
        format!("{request:08x}/{key}@{age_ms}ms{begun}:{}", parts.join(","))
    };
    let runs: Vec<String> = runs.iter().map(run).collect();
    runs.join(" ")
}
