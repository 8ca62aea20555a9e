//! Runs everything on loopback: stand-ins, nine instances in three failure
//! domains, a team with a key, and one streamed answer.

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use getopts::Options;
use limpetsaddle_core::keys::issue;
use limpetsaddle_fakes::EngineOptions;
use limpetsaddle_fakes::FakeEngine;
use limpetsaddle_fakes::FakePlatform;
use limpetsaddle_fakes::FakeService;
use limpetsaddle_fakes::Instance;
use limpetsaddle_fakes::PlatformOptions;
use limpetsaddle_fakes::any_port;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_http::Request;
use limpetsaddle_router::errors::Result;
use limpetsaddle_router::run::block_on;
use limpetsaddle_router::run::serve_until;
use limpetsaddle_router::settings::Command;
use limpetsaddle_router::settings::parse;
use serde_json::Value;
use serde_json::json;

/// The failure domains.
const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "voss-c"];

/// The instances of each failure domain.
const INSTANCES: u16 = 3;

/// The engines.
const ENGINES: usize = 10;

/// The model that the engines serve.
const MODEL: &str = "birch-7b";

/// The name of the team.
const TEAM: &str = "yard";

/// The time between two tries of the first request.
const PAUSE: Duration = Duration::from_millis(500);

/// The time between two tokens of an answer.
const TOKEN_DELAY: Duration = Duration::from_millis(30);

/// A `Place` is one instance of the demonstration.
struct Place {
    name: String,
    domain: &'static str,
    base: u16,
}

impl Place {
    fn address(&self, offset: u16) -> SocketAddr {
        ([127, 0, 0, 1], self.base + offset).into()
    }
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("", "once", "exit after the first answer");
    options.optopt("", "port", "first of the ports to use [8080]", "PORT");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Ok(matches) = options.parse(args) else {
        eprint!("{}", options.usage("Usage: demo [OPTIONS]"));
        return ExitCode::FAILURE;
    };
    let Ok(port) = matches.opt_get_default("port", 8080) else {
        eprint!("{}", options.usage("Usage: demo [OPTIONS]"));
        return ExitCode::FAILURE;
    };
    match demonstrate(port, matches.opt_present("once")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn demonstrate(port: u16, once: bool) -> std::io::Result<()> {
    let platform = FakePlatform::start(PlatformOptions::default())?;
    let service = FakeService::start(any_port())?;
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let engine = EngineOptions {
            model: MODEL.to_owned(),
            token_delay: TOKEN_DELAY,
            block_tokens: 2_048,
            ..EngineOptions::default()
        };
        engines.push(FakeEngine::start(engine)?);
    }
    let key = configure(&platform, &engines, service.address());
    let places = places(port);
    list_instances(&platform, &places);
    for place in &places {
        start(place, platform.address(), &places);
    }
    let first = places[0].address(0);
    println!("Nine instances start; the first tokens of a new fleet come after some seconds.");
    let answered: Result<()> = block_on(async {
        show_answer(first, &key).await;
        Ok(())
    });
    if let Err(error) = answered {
        eprintln!("demo: {error}");
    }
    print_next_steps(first, platform.address(), &key);
    if once {
        return Ok(());
    }
    loop {
        thread::park();
    }
}

fn places(port: u16) -> Vec<Place> {
    let mut places = Vec::new();
    let mut base = port;
    for domain in DOMAINS {
        for number in 1..=INSTANCES {
            places.push(Place {
                name: format!("{domain}-{number}"),
                domain,
                base,
            });
            base += 3;
        }
    }
    places
}

/// Writes the configuration and returns the team's key.
fn configure(platform: &FakePlatform, engines: &[FakeEngine], service: SocketAddr) -> String {
    let mut state = platform.state();
    let mut put = |id: String, spec: Value| state.put_config(&id, spec);
    for domain in DOMAINS {
        let spec = json!({"domain": {"region": "vestland", "slots": 6}});
        put(format!("domain/{domain}"), spec);
    }
    let kind = json!({"engine": {"model": MODEL, "weights": 1, "block": 2_048}});
    let pool = json!({"pool": {"kind": kind, "checks_fencing": true}});
    put("pool/lm-pool".into(), pool);
    put(
        "pool/order-desk".into(),
        json!({"pool": {"kind": "service"}}),
    );
    let route = json!({"route": {"path": "/orders", "pool": "order-desk"}});
    put("route/orders".into(), route);
    let desk = json!({"upstream": {
        "pool": "order-desk", "domain": DOMAINS[0], "address": service,
    }});
    put("upstream/order-desk-1".into(), desk);
    for (i, engine) in engines.iter().enumerate() {
        let spec = json!({"upstream": {
            "pool": "lm-pool",
            "domain": DOMAINS[i % DOMAINS.len()],
            "address": engine.address(),
        }});
        put(format!("upstream/lm-{i}"), spec);
    }
    let key = issue(
        &"demo1".parse().expect("a name"),
        *b"demonstration-only-key!!",
    );
    let allotments: Vec<Value> = DOMAINS
        .iter()
        .map(|domain| json!({"domain": domain, "parts": 333, "spread": 1}))
        .collect();
    let team = json!({"team": {
        "rate": 50_000,
        "burst": 400_000,
        "weight": 1,
        "allotments": allotments,
        "keys": [key.record],
    }});
    put(format!("team/{TEAM}"), team);
    key.text
}

fn list_instances(platform: &FakePlatform, places: &[Place]) {
    let instances = places.iter().map(|place| Instance {
        name: place.name.clone(),
        domain: place.domain.to_owned(),
        address: place.address(2),
        phase: "live".to_owned(),
    });
    platform.state().set_instances(instances.collect());
}

/// Starts an instance on a thread of its own.
fn start(place: &Place, platform: SocketAddr, places: &[Place]) {
    let seeds: Vec<String> = places.iter().map(|p| p.address(2).to_string()).collect();
    let flags = [
        ("--name", place.name.clone()),
        ("--domain", place.domain.to_owned()),
        ("--platform", platform.to_string()),
        ("--seeds", seeds.join(",")),
        ("--listen", place.address(0).to_string()),
        ("--admin", place.address(1).to_string()),
        ("--peer", place.address(2).to_string()),
    ];
    let args: Vec<String> = flags
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect();
    let Ok(Command::Run(settings)) = parse(&args, |_| None) else {
        unreachable!("the settings are complete");
    };
    thread::spawn(move || {
        let run = block_on(serve_until(*settings, std::future::pending::<()>()));
        if let Err(error) = run {
            eprintln!("demo: {error}");
        }
    });
}

/// Asks for a streamed answer, again until the team has tokens, and prints it.
async fn show_answer(address: SocketAddr, key: &str) {
    let client = Client::new(ClientOptions::default());
    loop {
        let sent = client.send(address, request(key)).await;
        if let Ok(mut res) = sent
            && res.head.status.is_success()
        {
            while let Ok(Some(piece)) = res.next().await {
                print!("{}", String::from_utf8_lossy(&piece));
                // A closed output ends the demonstration by itself.
                let _ = std::io::stdout().flush();
            }
            return;
        }
        monoio::time::sleep(PAUSE).await;
    }
}

fn request(key: &str) -> Request {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": 16,
        "messages": [{"role": "user", "content": "How dry is the birch?"}],
    });
    http::Request::post("/v1/chat/completions")
        .header("host", "localhost")
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(body.to_string().into())
        .expect("a valid request")
}

fn print_next_steps(first: SocketAddr, platform: SocketAddr, key: &str) {
    let messages = json!([{"role": "user", "content": "Hello"}]);
    let body = json!({"model": MODEL, "stream": true, "messages": messages});
    println!("Go on with:\n");
    println!(
        "curl -N http://{first}/v1/chat/completions -H 'authorization: Bearer {key}' -d '{body}'"
    );
    for command in ["status", "team list", "preset switch peak"] {
        println!("cargo run -q -p limpetsaddle-ctl -- --platform {platform} {command}");
    }
    println!("\nCtrl-C ends all of it.");
}
