//! Callers' keys: withdrawn keys are refused within seconds, and no upstream
//! receives a key.

mod support;

use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_fakes::EngineOptions;
use limpetsaddle_fakes::StreamFault;
use limpetsaddle_fakes::StreamFaultKind;
use serde_json::json;
use support::Fleet;
use support::FleetOptions;
use support::WAIT_TIMEOUT;
use support::chat;
use support::chat_body;
use support::get;
use support::post;
use support::wait_until;
use yare::parameterized;

/// The length of a stream that outlasts every test, in tokens.
const LONG_STREAM_TOKENS: u64 = 10_000;

/// A fault that stalls every stream before its first token.
const STALLED_STREAM: StreamFault = StreamFault {
    kind: StreamFaultKind::Stall,
    after: 0,
    streams: u32::MAX,
};

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

fn lookup(address: SocketAddr, key: &str) -> support::Response {
    get(address, "/lookups", &[("authorization", &bearer(key))])
}

/// A caller that sends all requests on one connection.
struct Caller {
    stream: BufReader<TcpStream>,
}

impl Caller {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("failed to connect to the daemon");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("failed to set the read timeout");
        Self {
            stream: BufReader::new(stream),
        }
    }

    /// Requests the list of models, which involves no upstream, and returns the
    /// status.
    fn models(&mut self, key: &str) -> u16 {
        let head = format!(
            "GET /v1/models HTTP/1.1\r\nhost: limpetsaddle.test\r\nx-api-key: {key}\r\n\r\n"
        );
        let stream = self.stream.get_mut();
        stream
            .write_all(head.as_bytes())
            .expect("the connection is closed");
        let status = self.line();
        let mut length = 0;
        loop {
            let line = self.line().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().expect("invalid content-length");
            }
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).expect("truncated body");
        let code = status.split(' ').nth(1).and_then(|code| code.parse().ok());
        code.expect("invalid status line")
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.stream
            .read_line(&mut line)
            .expect("the connection is closed");
        line.trim_end().to_owned()
    }
}

#[parameterized(
    quick_platform = { Duration::ZERO, Duration::from_millis(20), None },
    slow_platform = { Duration::from_millis(400), Duration::from_millis(20), None },
    slow_stream = { Duration::ZERO, Duration::from_millis(700), None },
    silent_engine = { Duration::ZERO, Duration::ZERO, Some(STALLED_STREAM) },
)]
fn verify_withdrawn_key_stops_working(
    platform_delay: Duration,
    token_delay: Duration,
    stream: Option<StreamFault>,
) {
    let fleet = Fleet::start(&FleetOptions {
        daemons: vec!["a", "a", "b"],
        engine: EngineOptions {
            token_delay,
            ..EngineOptions::default()
        },
        ..FleetOptions::default()
    });
    let key = fleet.team.key.clone();
    let listens: Vec<_> = fleet.daemons.iter().map(support::Daemon::listen).collect();
    let mut callers: Vec<_> = listens
        .iter()
        .map(|address| Caller::connect(*address))
        .collect();
    for caller in &mut callers {
        assert_eq!(caller.models(&key), 200);
    }
    fleet.engines[0].state().faults.stream = stream;
    let stream = |(i, address): (usize, &SocketAddr)| {
        let (address, key) = (*address, key.clone());
        thread::spawn(move || {
            loop {
                let response = chat(address, &key, &format!("stream {i}"), LONG_STREAM_TOKENS);
                // The daemon may not have obtained enough tokens yet.
                if response.code() != "rate_limited" {
                    return response;
                }
                thread::sleep(Duration::from_millis(100));
            }
        })
    };
    let streams: Vec<_> = listens.iter().enumerate().map(stream).collect();
    wait_until("running streams", || {
        fleet.engines[0].state().runs.len() >= streams.len()
    });
    // Both daemons receive changes only from peers: one has a peer in its failure
    // domain that reaches the platform, the other is in another failure domain.
    fleet.platform_paths[1].cut();
    fleet.platform_paths[2].cut();
    fleet.platform.state().faults.delay = platform_delay;
    fleet.put("team/ample", fleet.team.withdrawn());
    let withdrawn = Instant::now();
    for (caller, address) in callers.iter_mut().zip(&listens) {
        wait_until("a refusal on the open connection", || {
            caller.models(&key) == 401
        });
        // Once one connection is refused, the daemon refuses the key everywhere.
        let response = lookup(*address, &key);
        assert_eq!(
            (response.status, response.code().as_str()),
            (401, "withdrawn_key")
        );
        assert!(response.reports_not_run());
    }
    println!(
        "refused everywhere {:?} after the write",
        withdrawn.elapsed()
    );
    for stream in streams {
        let response = stream.join().expect("a caller panicked");
        assert_eq!(response.code(), "withdrawn_key", "{}", response.body.len());
        assert!(!response.is_done());
    }
    println!("streams ended {:?} after the write", withdrawn.elapsed());
}

#[test]
fn verify_withdrawal_survives_restart_beside_outdated_peer() {
    let mut fleet = Fleet::start_without_waiting(&FleetOptions {
        daemons: vec!["a", "a", "a"],
        ..FleetOptions::default()
    });
    for daemon in &fleet.daemons {
        daemon.wait_ready();
    }
    let key = fleet.team.key.clone();
    fleet.daemons[0].freeze();
    let revision = fleet.put("team/ample", fleet.team.withdrawn());
    fleet.wait_revision(&[1, 2], revision);
    assert_eq!(lookup(fleet.daemons[2].listen(), &key).status, 401);
    // The restarted daemon reaches only the outdated peer.
    fleet.platform_paths[1].cut();
    fleet.peer_paths[2].cut();
    fleet.daemons[1].restart();
    fleet.daemons[0].thaw();
    fleet.daemons[1].wait_ready();
    let mut refused = 0;
    let mut statuses = Vec::new();
    wait_until("lasting refusal of the key", || {
        let status = lookup(fleet.daemons[1].listen(), &key).status;
        statuses.push(status);
        refused = if status == 401 { refused + 1 } else { 0 };
        refused > 100
    });
    let first = statuses.iter().position(|status| *status == 401);
    let after = &statuses[first.expect("a refusal")..];
    assert!(after.iter().all(|status| *status == 401), "{statuses:?}");
    fleet.peer_paths[2].heal();
    for i in [0, 1, 2] {
        wait_until("a refusal", || {
            lookup(fleet.daemons[i].listen(), &key).status == 401
        });
    }
}

#[parameterized(
    missing = { None, 401, "missing_key" },
    empty = { Some("Bearer"), 401, "missing_key" },
    unknown = { Some("Bearer lsk-other-0707"), 401, "unknown_key" },
    wrong_secret = { Some("Bearer lsk-ample1-070707070707070707070707070707070707070707070708"), 401, "unknown_key" },
    id_only = { Some("Bearer lsk-ample1-"), 401, "unknown_key" },
    malformed = { Some("Bearer <script>"), 401, "unknown_key" },
    wrong_scheme = { Some("Basic YTpi"), 401, "unknown_key" },
)]
fn verify_request_without_valid_key_never_runs(value: Option<&str>, status: u16, code: &str) {
    let fleet = start_fleet();
    let headers: Vec<_> = value.map(|v| ("authorization", v)).into_iter().collect();
    let listen = fleet.daemons[0].listen();
    let body = chat_body("question", 4).to_string();
    for response in [
        get(listen, "/lookups", &headers),
        post(listen, "/orders", &headers, "order"),
        get(listen, "/v1/models", &headers),
        post(listen, "/v1/chat/completions", &headers, &body),
    ] {
        assert_eq!((response.status, response.code().as_str()), (status, code));
        assert!(response.reports_not_run());
    }
    assert!(fleet.service.state().runs.iter().all(is_probe));
    assert!(fleet.engines[0].state().runs.is_empty());
}

fn is_probe(run: &limpetsaddle_fakes::ServiceRun) -> bool {
    run.path == "/healthz"
}

fn start_fleet() -> Fleet {
    let fleet = Fleet::start_without_waiting(&FleetOptions::default());
    fleet.daemons[0].wait_ready();
    let key = &fleet.team.key;
    wait_until("a response of the service", || {
        lookup(fleet.daemons[0].listen(), key).status == 200
    });
    fleet.service.state().runs.clear();
    fleet
}

#[test]
fn verify_no_upstream_sees_a_key() {
    let fleet = Fleet::start(&FleetOptions::default());
    let key = fleet.team.key.clone();
    let bearer = bearer(&key);
    let custom = format!("my key is {key}");
    let cookie = format!("session=1; key={key}");
    let upper = key.to_uppercase();
    let own = ("authorization", bearer.as_str());
    let places: [&[(&str, &str)]; 8] = [
        &[own],
        &[("x-api-key", &key)],
        &[own, ("x-api-key", &key)],
        &[own, ("cookie", &cookie)],
        &[own, ("x-note", &custom)],
        &[own, ("x-note", &upper)],
        &[own, ("proxy-authorization", &bearer)],
        &[own, ("x-team", "other"), ("x-trace", "kept")],
    ];
    let escaped = key.replacen('l', "%6c", 1);
    let queries = [
        String::new(),
        format!("?a=1&api_key={key}&b=2"),
        format!("?note={key}"),
        format!("?note={escaped}&%6bey={key}"),
    ];
    let listen = fleet.daemons[0].listen();
    let mut served = 0;
    for headers in places {
        for query in &queries {
            let response = get(listen, &format!("/lookups/7{query}"), headers);
            assert_eq!(response.status, 200, "{headers:?} {query}");
            let path = format!("/v1/chat/completions{query}");
            let body = chat_body("question", 2).to_string();
            let response = post(listen, &path, headers, &body);
            assert_eq!(
                response.status, 200,
                "{headers:?} {query}: {}",
                response.body
            );
            served += 1;
        }
    }
    let runs = fleet.service.state().runs.clone();
    let runs: Vec<_> = runs.iter().filter(|run| !is_probe(run)).collect();
    assert!(runs.len() >= served);
    for run in &runs {
        let team = run
            .headers
            .iter()
            .filter(|line| line.starts_with("x-team:"));
        assert_eq!(team.collect::<Vec<_>>(), ["x-team: ample"], "{run:?}");
    }
    assert!(runs.iter().any(|run| run.path.contains("a=1&b=2")));
    assert!(
        runs.iter()
            .any(|run| run.headers.contains(&"x-trace: kept".to_owned()))
    );
    assert_key_not_forwarded(&fleet);
}

#[test]
fn verify_open_route_sends_no_team_header() {
    let fleet = start_fleet();
    let open = json!({"route": {"path": "/hours", "pool": "order-desk", "idempotent": true, "open": true}});
    let revision = fleet.put("route/hours", open);
    fleet.wait_revision(&[0], revision);
    let bearer = bearer(&fleet.team.key);
    let listen = fleet.daemons[0].listen();
    for headers in [
        &[("x-team", "ample")][..],
        &[("x-team", "ample"), ("authorization", &bearer)][..],
    ] {
        assert_eq!(get(listen, "/hours", headers).status, 200);
    }
    let runs = fleet.service.state().runs.clone();
    assert!(runs.iter().any(|run| run.path == "/hours"));
    let names_team = |line: &String| line.starts_with("x-team:");
    assert!(!runs.iter().flat_map(|run| &run.headers).any(names_team));
    assert_key_not_forwarded(&fleet);
}

#[test]
fn verify_key_in_path_or_body_is_refused() {
    let fleet = Fleet::start(&FleetOptions::default());
    let key = fleet.team.key.clone();
    let bearer = bearer(&key);
    let headers = [("authorization", bearer.as_str())];
    let listen = fleet.daemons[0].listen();
    let escaped = key.replacen('l', "%6C", 1);
    let in_json = key.replacen('l', "\\u006c", 1);
    let plain = chat_body(&format!("my key is {key}"), 2).to_string();
    let hidden = plain.replace(&key, &in_json);
    let as_name = chat_body("question", 2).to_string();
    let as_name = as_name.replacen('{', &format!("{{\"{in_json}\": 1, "), 1);
    for path in [format!("/lookups/{key}"), format!("/lookups/{escaped}/1")] {
        let response = get(listen, &path, &headers);
        assert_eq!(response.status, 400, "{path}");
        assert!(response.reports_not_run());
    }
    for (path, body) in [
        ("/lookups", format!("key={key}")),
        ("/lookups", format!("{{\"key\": \"{in_json}\"}}")),
        ("/v1/chat/completions", plain),
        ("/v1/chat/completions", hidden),
        ("/v1/chat/completions", as_name),
    ] {
        let response = post(listen, path, &headers, &body);
        assert_eq!(response.status, 400, "{path} {body}");
        assert!(response.reports_not_run());
    }
    assert_key_not_forwarded(&fleet);
}

/// Checks that no upstream received any part of the fleet's key.
fn assert_key_not_forwarded(fleet: &Fleet) {
    let key = &fleet.team.key;
    let secret = key.rsplit('-').next().expect("a key has a secret");
    for received in &fleet.engines[0].state().received {
        assert!(!received.contains(secret), "{received:?}");
        assert!(!received.contains("ample1"), "{received:?}");
    }
    for run in &fleet.service.state().runs {
        let seen = format!("{run:?}");
        assert!(!seen.contains(secret), "{seen}");
    }
}
