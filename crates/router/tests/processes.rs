//! An end-to-end test with every component in a separate process.

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

/// The number of tokens in each response.
const TOKENS: u64 = 20;

/// The number of completion requests.
const REQUESTS: usize = 10;

/// A process that runs a fake upstream or platform, killed on drop.
struct FakeProcess {
    child: Child,
    address: SocketAddr,
}

impl FakeProcess {
    /// Starts an example of `limpetsaddle-fakes`. A build of the whole workspace
    /// places it next to the daemon.
    fn start(example: &str, flags: &[&str]) -> Self {
        let daemon = Path::new(env!("CARGO_BIN_EXE_limpetsaddle"));
        let folder = daemon.with_file_name("examples");
        let mut child = Command::new(folder.join(example))
            .args(["--port", "0"])
            .args(flags)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("failed to start the example; build the examples of the workspace");
        let out = child.stdout.take().expect("stdout is not piped");
        let mut line = String::new();
        BufReader::new(out)
            .read_line(&mut line)
            .expect("failed to read the address");
        let address = line.trim().trim_start_matches("listening on ");
        Self {
            child,
            address: address.parse().expect("invalid address"),
        }
    }
}

impl Drop for FakeProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn configure(platform: SocketAddr, id: &str, spec: &Value) {
    let path = format!("/v1/config/{id}");
    let res = put(platform, &path, &json!({"expected": 0, "spec": spec}));
    assert_eq!(res.status, 200, "{id}: {}", res.body);
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
fn verify_end_to_end_with_separate_processes() {
    let platform = FakeProcess::start("fake_platform", &[]);
    let service = FakeProcess::start("fake_service", &[]);
    let engine = || FakeProcess::start("fake_engine", &["--model", MODEL]);
    let engines = [engine(), engine(), engine()];
    let team = Team::new("yard", 1_000_000, 10_000_000, &["a"]);
    let platform_address = platform.address;
    configure(
        platform_address,
        "domain/a",
        &json!({"domain": {"region": "north", "slots": 6}}),
    );
    let kind = json!({"engine": {"model": MODEL, "weights": 1, "block": 256}});
    configure(
        platform_address,
        "pool/lm-pool",
        &json!({"pool": {"kind": kind}}),
    );
    configure(
        platform_address,
        "pool/desk",
        &json!({"pool": {"kind": "service"}}),
    );
    let route = json!({"route": {"path": "/orders", "pool": "desk"}});
    configure(platform_address, "route/orders", &route);
    configure(platform_address, "team/yard", &team.spec);
    put_upstream(platform_address, "desk", "desk", service.address);
    for (i, engine) in engines.iter().enumerate() {
        put_upstream(
            platform_address,
            &format!("engine-{i}"),
            "lm-pool",
            engine.address,
        );
    }
    let daemons = start_daemons(platform_address);
    for daemon in &daemons {
        daemon.wait_ready();
        wait_until("tokens of the team", || {
            chat(daemon.listen(), &team.key, "warm up", 1).status == 200
        });
    }
    for i in 0..REQUESTS {
        let prompt = format!("question {i}");
        let address = daemons[i % daemons.len()].listen();
        let response = chat(address, &team.key, &prompt, TOKENS);
        assert!(response.is_done(), "{}", response.body);
        let body = chat_body(&prompt, TOKENS);
        let expected = limpetsaddle_fakes::expected_completion(&body, TOKENS);
        assert_eq!(tokens(&response.body), expected);
    }
    let headers = [("x-api-key", team.key.as_str())];
    let order = post(daemons[0].listen(), "/orders", &headers, "a cord of birch");
    assert_eq!(order.status, 200, "{}", order.body);
    for upstream in engines.iter().chain([&service]) {
        let recorded = get(upstream.address, "/_fake", &[]);
        assert_eq!(recorded.status, 200);
        assert!(
            !recorded.body.contains(&team.key),
            "an upstream received the key"
        );
    }
}
