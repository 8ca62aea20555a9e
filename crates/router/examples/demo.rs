//! Runs a complete fleet on loopback: fake upstreams, nine instances in three
//! failure domains, a team with a key, and one streamed completion.

mod support;

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use getopts::Options;
use limpetsaddle_fakes::EngineOptions;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_router::errors::Result;
use limpetsaddle_router::run::block_on;
use limpetsaddle_router::run::serve_until;
use limpetsaddle_router::settings::Command;
use limpetsaddle_router::settings::parse;
use serde_json::json;

use crate::support::caller::request;
use crate::support::setup::MODEL;
use crate::support::setup::Setup;
use crate::support::setup::instances;

/// The failure domains.
const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "voss-c"];

/// The number of instances in each failure domain.
const INSTANCES: usize = 3;

/// The number of engines.
const ENGINES: usize = 10;

/// The name of the team.
const TEAM: &str = "yard";

/// The team's rate, in tokens per second.
const RATE: u64 = 50_000;

/// The team's burst, in tokens.
const BURST: u64 = 400_000;

/// The prompt of the first request.
const PROMPT: &str = "How dry is the birch?";

/// The maximum length of the first completion, in tokens.
const MAX_TOKENS: u64 = 16;

/// The delay between two attempts of the first request.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The time between two tokens of a completion.
const TOKEN_DELAY: Duration = Duration::from_millis(30);

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("", "once", "exit after the first response");
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
    match run_demo(port, matches.opt_present("once")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_demo(port: u16, once: bool) -> std::io::Result<()> {
    let engine = EngineOptions {
        token_delay: TOKEN_DELAY,
        ..EngineOptions::default()
    };
    let setup = Setup::start(&DOMAINS, ENGINES, &engine)?;
    let key = setup.put_team(TEAM, RATE, BURST);
    let instances = instances(&DOMAINS, INSTANCES, port);
    setup.register_instances(&instances);
    let platform = setup.platform.address();
    for instance in &instances {
        start_instance(&instance.flags(platform, &instances));
    }
    let first = instances[0].listen;
    println!("Starting nine instances. A new fleet issues its first tokens after a few seconds.");
    let result: Result<()> = block_on(async {
        print_response(first, &key).await;
        Ok(())
    });
    if let Err(error) = result {
        eprintln!("demo: {error}");
    }
    print_next_steps(first, platform, &key);
    if once {
        return Ok(());
    }
    loop {
        thread::park();
    }
}

/// Starts an instance on a new thread.
fn start_instance(flags: &[String]) {
    let Ok(Command::Run(settings)) = parse(flags, |_| None) else {
        unreachable!("the settings are valid");
    };
    thread::spawn(move || {
        let run = block_on(serve_until(*settings, std::future::pending::<()>()));
        if let Err(error) = run {
            eprintln!("demo: {error}");
        }
    });
}

/// Requests a streamed completion, retrying until the team has tokens, and prints
/// it.
async fn print_response(address: SocketAddr, key: &str) {
    let client = Client::new(ClientOptions::default());
    loop {
        let sent = client
            .send(address, request(key, None, PROMPT, MAX_TOKENS))
            .await;
        if let Ok(mut res) = sent
            && res.head.status.is_success()
        {
            while let Ok(Some(chunk)) = res.next().await {
                print!("{}", String::from_utf8_lossy(&chunk));
                // A write to a closed output ends the demo anyway.
                let _ = std::io::stdout().flush();
            }
            return;
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

fn print_next_steps(first: SocketAddr, platform: SocketAddr, key: &str) {
    let messages = json!([{"role": "user", "content": "Hello"}]);
    let body = json!({"model": MODEL, "stream": true, "messages": messages});
    println!("Next steps:\n");
    println!(
        "curl -N http://{first}/v1/chat/completions -H 'authorization: Bearer {key}' -d '{body}'"
    );
    for command in ["status", "team list", "preset switch peak"] {
        println!("cargo run -q -p limpetsaddle-ctl -- --platform {platform} {command}");
    }
    println!("\nPress Ctrl-C to stop.");
}
