//! A team's rate and burst over whole daemons, checked on a recorded history.

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

/// Held by the run whose fleet is up. Ports of stopped daemons are free for a
/// while, and a daemon of another fleet that took one would mix the two.
static FLEET: Mutex<()> = Mutex::new(());

/// The longest answer that a caller asks for, in tokens.
const ANSWER: u64 = 40;

/// A `Use` is one admitted request. Its admission lies between the two times.
#[derive(Clone, Copy, Debug)]
struct Use {
    sent: Duration,
    answered: Duration,
    tokens: u64,
}

/// A `Limit` is a rate in tokens a second and a burst in tokens.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: u64,
    burst: u64,
}

/// Returns what a window used too much, where some window did. Only requests
/// that were certainly admitted within a window count for it. `changed` is the
/// time at which the limits rose to the second of `limits`.
fn excess(history: &[Use], limits: [Limit; 2], changed: Duration) -> Option<String> {
    let mut by_end = history.to_vec();
    by_end.sort_by_key(|u| u.answered);
    for from in history.iter().map(|u| u.sent) {
        let mut used = 0;
        for u in by_end.iter().filter(|u| u.sent >= from) {
            used += u.tokens;
            let limit = limits[usize::from(u.answered >= changed)];
            let span = u.answered.saturating_sub(from);
            let minted = u128::from(limit.rate) * span.as_nanos() / 1_000_000_000;
            let bound = u128::from(limit.burst) + minted + 1;
            if u128::from(used) > bound {
                return Some(format!("{used} over {bound} in {span:?} from {from:?}"));
            }
        }
    }
    None
}

/// A `Record` collects what came of the requests of one team.
#[derive(Clone, Default)]
struct Record {
    uses: Arc<Mutex<Vec<Use>>>,
    refused: Arc<Mutex<u64>>,
}

impl Record {
    /// Makes one request and records what came of it.
    fn call(&self, start: Instant, address: std::net::SocketAddr, key: &str, answer: u64) {
        let mut body = support::chat_body("what is the tide", answer);
        body["stream"] = false.into();
        let bearer = format!("Bearer {key}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        let sent = start.elapsed();
        let path = "/v1/chat/completions";
        let res = support::post(address, path, &headers, &body.to_string());
        let answered = start.elapsed();
        if res.status == 200 {
            let usage = &res.json()["usage"];
            let count = |field: &str| usage[field].as_u64().expect("an answer tells its usage");
            let tokens = count("prompt_tokens") + count("completion_tokens");
            let used = Use {
                sent,
                answered,
                tokens,
            };
            self.uses.lock().expect("no holder panics").push(used);
        } else if res.status == 429 {
            *self.refused.lock().expect("no holder panics") += 1;
        }
    }

    fn uses(&self) -> Vec<Use> {
        self.uses.lock().expect("no holder panics").clone()
    }

    fn refused(&self) -> u64 {
        *self.refused.lock().expect("no holder panics")
    }
}

/// A `Load` is a number of callers, which pause and go on together.
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

    /// Starts a caller that waits for `pause` between its requests.
    fn add(&mut self, daemon: std::net::SocketAddr, team: &Team, record: &Record, pause: u64) {
        let (start, key, record) = (self.start, team.key.clone(), record.clone());
        let (paused, ended) = (Arc::clone(&self.paused), Arc::clone(&self.ended));
        self.callers.push(thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                if !paused.load(Ordering::Relaxed) {
                    record.call(start, daemon, &key, ANSWER);
                }
                thread::sleep(Duration::from_millis(pause));
            }
        }));
    }

    /// Lets the bursts fill up and spends them at once, so that each token
    /// beyond the bound shows.
    fn wave(&self) {
        self.paused.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(1_500));
        self.paused.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(1_500));
    }

    fn end(self) {
        self.ended.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().expect("no caller panics");
        }
    }
}

#[test]
fn verify_bound_under_faults() {
    let _alone = FLEET.lock().unwrap_or_else(PoisonError::into_inner);
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

    let (record, inside) = (Record::default(), Record::default());
    let mut load = Load::new();
    for (i, daemon) in fleet.daemons.iter().enumerate() {
        let pause = if i % 3 == 0 { 5 } else { 60 };
        load.add(daemon.listen(), &yard, &record, pause);
        load.add(daemon.listen(), &small[i % 2], &inside, 1_000);
    }
    load.wave();
    fleet.daemons[7].freeze();
    fleet.daemons[1].kill();
    load.wave();
    fleet.daemons[4].restart();
    load.wave();
    let changed = load.start.elapsed();
    fleet.put_team(&raised);
    load.wave();
    fleet.daemons[1].restart();
    for i in 3..6 {
        fleet.platform_paths[i].cut();
        fleet.peer_paths[i].cut();
    }
    load.wave();
    fleet.daemons[7].thaw();
    load.wave();
    for i in 3..6 {
        fleet.platform_paths[i].heal();
        fleet.peer_paths[i].heal();
    }
    fleet.platform.state().faults.lost_answers = 4;
    load.wave();
    fleet.platform.state().faults.outage = Outage::Silent;
    load.wave();
    fleet.platform.state().faults.outage = Outage::None;
    fleet.platform.state().faults.lost_answers = 4;
    load.wave();
    load.end();

    let history = record.uses();
    println!(
        "team beyond its rate: {} admitted, {} refused",
        history.len(),
        record.refused()
    );
    println!(
        "teams inside: {} admitted, {} refused",
        inside.uses().len(),
        inside.refused()
    );
    assert!(!history.is_empty() && record.refused() > 0);
    assert_eq!(excess(&history, limits, changed), None);
}

/// Owners that are frozen with full accounts thaw when others have taken over
/// and have spent the burst. The requests that wait at them must not be paid
/// from the old accounts.
#[test]
fn verify_thawed_owners_spend_nothing() {
    const RATE: u64 = 200;
    const BURST: u64 = 1_000;
    let _alone = FLEET.lock().unwrap_or_else(PoisonError::into_inner);
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
    let (start, record) = (Instant::now(), Record::default());
    let spend = |daemon: usize| {
        let address = fleet.daemons[daemon].listen();
        let (record, key) = (record.clone(), yard.key.clone());
        thread::spawn(move || {
            for _ in 0..3 {
                record.call(start, address, &key, ANSWER);
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
        caller.join().expect("no caller panics");
    }
    let limit = Limit {
        rate: RATE,
        burst: BURST,
    };
    let history = record.uses();
    println!("{} admitted, {} refused", history.len(), record.refused());
    assert!(!history.is_empty() && record.refused() > 0);
    assert_eq!(excess(&history, [limit; 2], Duration::ZERO), None);
}
