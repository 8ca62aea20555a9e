//! The whole path with every part in a process of its own.

mod support;

use std::io::BufRead as _;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::Value;
use serde_json::json;
use support::Daemon;
use support::DaemonOptions;
use support::MODEL;
use support::Team;
use support::chat;
use support::chat_body;
use support::free_address;
use support::get;
use support::post;
use support::put;
use support::tokens;
use support::wait_until;

/// The tokens of each answer.
const TOKENS: u64 = 20;

/// The answers that are asked for.
const ANSWERS: usize = 10;

/// A `StandIn` is a stand-in's process, which is killed when this is dropped.
struct StandIn {
    child: Child,
    address: SocketAddr,
}

impl StandIn {
    /// Starts an example of the stand-ins' package, which a build of the whole
    /// workspace puts beside the daemon.
    fn start(example: &str, flags: &[&str]) -> Self {
        let daemon = Path::new(env!("CARGO_BIN_EXE_limpetsaddle"));
        let folder = daemon.with_file_name("examples");
        let mut child = Command::new(folder.join(example))
            .args(["--port", "0"])
            .args(flags)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the workspace's examples are built");
        let out = child.stdout.take().expect("a pipe");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("a line");
        let address = line.trim().trim_start_matches("listening on ");
        Self {
            child,
            address: address.parse().expect("an address"),
        }
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        // A process that has ended already needs no killing.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn configure(platform: SocketAddr, id: &str, spec: &Value) {
    let path = format!("/v1/config/{id}");
    let written = put(platform, &path, &json!({"expected": 0, "spec": spec}));
    assert_eq!(written.status, 200, "{id}: {}", written.body);
}

fn put_upstream(platform: SocketAddr, name: &str, pool: &str, address: SocketAddr) {
    let spec = json!({"upstream": {"pool": pool, "domain": "a", "address": address}});
    configure(platform, &format!("upstream/{name}"), &spec);
}

fn start_daemons(platform: SocketAddr) -> Vec<Daemon> {
    let peers = [free_address(), free_address()];
    let daemons = peers.iter().enumerate().map(|(i, peer)| {
        Daemon::start(DaemonOptions {
            name: format!("a-{i}"),
            domain: "a".to_owned(),
            platform,
            listen: free_address(),
            admin: free_address(),
            peer: *peer,
            advertise: *peer,
            seeds: peers.to_vec(),
            flags: Vec::new(),
        })
    });
    daemons.collect()
}

#[test]
fn verify_the_whole_path_in_processes() {
    let platform = StandIn::start("fake_platform", &[]);
    let service = StandIn::start("fake_service", &[]);
    let engine = || StandIn::start("fake_engine", &["--model", MODEL]);
    let engines = [engine(), engine(), engine()];
    let team = Team::new("yard", 1_000_000, 10_000_000, &["a"]);
    let at = platform.address;
    configure(
        at,
        "domain/a",
        &json!({"domain": {"region": "north", "slots": 6}}),
    );
    let kind = json!({"engine": {"model": MODEL, "weights": 1, "block": 256}});
    configure(at, "pool/lm-pool", &json!({"pool": {"kind": kind}}));
    configure(at, "pool/desk", &json!({"pool": {"kind": "service"}}));
    let route = json!({"route": {"path": "/orders", "pool": "desk"}});
    configure(at, "route/orders", &route);
    configure(at, "team/yard", &team.spec);
    put_upstream(at, "desk", "desk", service.address);
    for (i, engine) in engines.iter().enumerate() {
        put_upstream(at, &format!("engine-{i}"), "lm-pool", engine.address);
    }
    let daemons = start_daemons(at);
    for daemon in &daemons {
        daemon.wait_ready();
        wait_until("tokens of the team", || {
            chat(daemon.listen(), &team.key, "warm up", 1).status == 200
        });
    }
    for i in 0..ANSWERS {
        let prompt = format!("question {i}");
        let address = daemons[i % daemons.len()].listen();
        let answer = chat(address, &team.key, &prompt, TOKENS);
        assert!(answer.is_done(), "{}", answer.body);
        let body = chat_body(&prompt, TOKENS);
        let expected = limpetsaddle_fakes::expected_completion(&body, TOKENS);
        assert_eq!(tokens(&answer.body), expected);
    }
    let headers = [("x-api-key", team.key.as_str())];
    let order = post(daemons[0].listen(), "/orders", &headers, "a cord of birch");
    assert_eq!(order.status, 200, "{}", order.body);
    for upstream in engines.iter().chain([&service]) {
        let seen = get(upstream.address, "/_fake", &[]);
        assert_eq!(seen.status, 200);
        assert!(!seen.body.contains(&team.key), "an upstream saw the key");
    }
}
