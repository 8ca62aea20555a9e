//! A team's rate and burst limits across daemons, checked on a recorded history.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_fakes::Outage;
use serde_json::json;
use support::Fleet;
use support::FleetOptions;
use support::Team;

/// Serializes the tests of this file. While a daemon is stopped, its ports are
/// free, and a daemon of another fleet that bound one would mix the two.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// The maximum length of a completion, in tokens.
const MAX_TOKENS: u64 = 40;

/// An admitted request. It was admitted between `sent` and `completed`, both
/// since the start of the test.
#[derive(Clone, Copy, Debug)]
struct AdmittedRequest {
    sent: Duration,
    completed: Duration,
    tokens: u64,
}

/// A rate limit in tokens per second, with a burst in tokens.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: u64,
    burst: u64,
}

/// Returns a description of the first window whose usage exceeded the limit, if
/// any. A window counts only requests that were certainly admitted within it.
/// From `changed` on, the second of `limits` applies.
fn excess(history: &[AdmittedRequest], limits: [Limit; 2], changed: Duration) -> Option<String> {
    let mut by_end = history.to_vec();
    by_end.sort_by_key(|u| u.completed);
    for from in history.iter().map(|u| u.sent) {
        let mut used = 0;
        for u in by_end.iter().filter(|u| u.sent >= from) {
            used += u.tokens;
            let limit = limits[usize::from(u.completed >= changed)];
            let span = u.completed.saturating_sub(from);
            let refilled = u128::from(limit.rate) * span.as_nanos() / 1_000_000_000;
            let bound = u128::from(limit.burst) + refilled + 1;
            if u128::from(used) > bound {
                return Some(format!("{used} over {bound} in {span:?} from {from:?}"));
            }
        }
    }
    None
}

/// Collects the results of a team's requests.
#[derive(Clone, Default)]
struct RequestLog {
    admitted: Arc<Mutex<Vec<AdmittedRequest>>>,
    refused: Arc<Mutex<u64>>,
}

impl RequestLog {
    /// Sends a request and records its result.
    fn call(&self, start: Instant, address: std::net::SocketAddr, key: &str, max_tokens: u64) {
        let mut body = support::chat_body("what is the tide", max_tokens);
        body["stream"] = false.into();
        let bearer = format!("Bearer {key}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        let sent = start.elapsed();
        let path = "/v1/chat/completions";
        let res = support::post(address, path, &headers, &body.to_string());
        let completed = start.elapsed();
        if res.status == 200 {
            let usage = &res.json()["usage"];
            let count = |field: &str| usage[field].as_u64().expect("a response without usage");
            let tokens = count("prompt_tokens") + count("completion_tokens");
            let used = AdmittedRequest {
                sent,
                completed,
                tokens,
            };
            self.admitted.lock().expect("poisoned lock").push(used);
        } else if res.status == 429 {
            *self.refused.lock().expect("poisoned lock") += 1;
        }
    }

    fn admitted(&self) -> Vec<AdmittedRequest> {
        self.admitted.lock().expect("poisoned lock").clone()
    }

    fn refused(&self) -> u64 {
        *self.refused.lock().expect("poisoned lock")
    }
}

/// A group of callers that pause and resume together.
struct Load {
    start: Instant,
    paused: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            paused: Arc::default(),
            ended: Arc::default(),
            callers: Vec::new(),
        }
    }

    /// Starts a caller that waits `pause` milliseconds between requests.
    fn add(&mut self, daemon: std::net::SocketAddr, team: &Team, record: &RequestLog, pause: u64) {
        let (start, key, record) = (self.start, team.key.clone(), record.clone());
        let (paused, ended) = (Arc::clone(&self.paused), Arc::clone(&self.ended));
        self.callers.push(thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                if !paused.load(Ordering::Relaxed) {
                    record.call(start, daemon, &key, MAX_TOKENS);
                }
                thread::sleep(Duration::from_millis(pause));
            }
        }));
    }

    /// Pauses until the bursts have refilled, then spends them at once, so that
    /// any excess token is detected.
    fn run_burst(&self) {
        self.paused.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(1_500));
        self.paused.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(1_500));
    }

    fn end(self) {
        self.ended.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().expect("a caller panicked");
        }
    }
}

#[test]
fn verify_limit_holds_under_faults() {
    let _alone = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = Fleet::start(&FleetOptions {
        daemons: vec!["a", "a", "a", "b", "b", "b", "c", "c", "c"],
        engines: vec!["a", "b", "c"],
        ..FleetOptions::default()
    });
    let limits = [(300, 300), (450, 450)].map(|(rate, burst)| Limit { rate, burst });
    let domains = ["a", "b", "c"];
    let yard = Team::new("yard", limits[0].rate, limits[0].burst, &domains);
    let raised = Team::new("yard", limits[1].rate, limits[1].burst, &domains);
    let small = ["ferry", "quay"].map(|name| Team::new(name, 400, 1_200, &domains[..1]));
    let mut revision = fleet.put_team(&yard);
    for team in &small {
        revision = fleet.put_team(team);
    }
    fleet.wait_revision(&[0, 1, 2, 3, 4, 5, 6, 7, 8], revision);

    let (record, within_limits) = (RequestLog::default(), RequestLog::default());
    let mut load = Load::new();
    for (i, daemon) in fleet.daemons.iter().enumerate() {
        let pause = if i % 3 == 0 { 5 } else { 60 };
        load.add(daemon.listen(), &yard, &record, pause);
        load.add(daemon.listen(), &small[i % 2], &within_limits, 1_000);
    }
    load.run_burst();
    fleet.daemons[7].freeze();
    fleet.daemons[1].kill();
    load.run_burst();
    fleet.daemons[4].restart();
    load.run_burst();
    let changed = load.start.elapsed();
    fleet.put_team(&raised);
    load.run_burst();
    fleet.daemons[1].restart();
    for i in 3..6 {
        fleet.platform_paths[i].cut();
        fleet.peer_paths[i].cut();
    }
    load.run_burst();
    fleet.daemons[7].thaw();
    load.run_burst();
    for i in 3..6 {
        fleet.platform_paths[i].heal();
        fleet.peer_paths[i].heal();
    }
    fleet.platform.state().faults.lost_answers = 4;
    load.run_burst();
    fleet.platform.state().faults.outage = Outage::Silent;
    load.run_burst();
    fleet.platform.state().faults.outage = Outage::None;
    fleet.platform.state().faults.lost_answers = 4;
    load.run_burst();
    load.end();

    let history = record.admitted();
    println!(
        "team over its limit: {} admitted, {} refused",
        history.len(),
        record.refused()
    );
    println!(
        "teams within their limits: {} admitted, {} refused",
        within_limits.admitted().len(),
        within_limits.refused()
    );
    assert!(!history.is_empty() && record.refused() > 0);
    assert_eq!(excess(&history, limits, changed), None);
}

/// Guards against double spending: slot owners are frozen with full buckets and
/// resume after another daemon has taken over and spent the burst. Requests that
/// wait at the old owners must not be admitted from their stale buckets.
#[test]
fn verify_resumed_owners_spend_no_stale_tokens() {
    const RATE: u64 = 200;
    const BURST: u64 = 1_000;
    let _alone = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::start(&FleetOptions {
        daemons: vec!["a", "a", "a"],
        engines: vec!["a"],
        ..FleetOptions::default()
    });
    let yard = Team::new("yard", RATE, BURST, &["a"]);
    let mut spread = yard.spec.clone();
    spread["team"]["allotments"] = json!([{"domain": "a", "parts": 1_000, "spread": 6}]);
    let revision = fleet.put("team/yard", spread);
    fleet.wait_revision(&[0, 1, 2], revision);
    let (start, record) = (Instant::now(), RequestLog::default());
    let spend = |daemon: usize| {
        let address = fleet.daemons[daemon].listen();
        let (record, key) = (record.clone(), yard.key.clone());
        thread::spawn(move || {
            for _ in 0..3 {
                record.call(start, address, &key, MAX_TOKENS);
            }
        })
    };
    thread::sleep(Duration::from_secs(9));
    fleet.daemons[0].freeze();
    fleet.daemons[1].freeze();
    support::wait_until("a takeover", || {
        fleet.daemons[2].metric("limpetsaddle_level{of=\"owned_slots\"") == 6
    });
    thread::sleep(Duration::from_secs(14));
    let callers: Vec<_> = [2, 0, 1].repeat(12).into_iter().map(spend).collect();
    thread::sleep(Duration::from_millis(100));
    fleet.daemons[0].thaw();
    fleet.daemons[1].thaw();
    for caller in callers {
        caller.join().expect("a caller panicked");
    }
    let limit = Limit {
        rate: RATE,
        burst: BURST,
    };
    let history = record.admitted();
    println!("{} admitted, {} refused", history.len(), record.refused());
    assert!(!history.is_empty() && record.refused() > 0);
    assert_eq!(excess(&history, [limit; 2], Duration::ZERO), None);
}
