//! Runs everything on loopback: stand-ins, nine instances in three failure
//! domains, a team with a key, and one streamed answer.

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
use crate::support::setup::places;

/// The failure domains.
const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "voss-c"];

/// The instances of each failure domain.
const INSTANCES: usize = 3;

/// The engines.
const ENGINES: usize = 10;

/// The name of the team.
const TEAM: &str = "yard";

/// The team's rate in tokens a second.
const RATE: u64 = 50_000;

/// The team's burst in tokens.
const BURST: u64 = 400_000;

/// The prompt of the first request.
const PROMPT: &str = "How dry is the birch?";

/// The longest answer to the first request, in tokens.
const ANSWER_TOKENS: u64 = 16;

/// The time between two tries of the first request.
const PAUSE: Duration = Duration::from_millis(500);

/// The time between two tokens of an answer.
const TOKEN_DELAY: Duration = Duration::from_millis(30);

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
    let engine = EngineOptions {
        token_delay: TOKEN_DELAY,
        ..EngineOptions::default()
    };
    let setup = Setup::start(&DOMAINS, ENGINES, &engine)?;
    let key = setup.put_team(TEAM, RATE, BURST);
    let places = places(&DOMAINS, INSTANCES, port);
    setup.list_instances(&places);
    let platform = setup.platform.address();
    for place in &places {
        start(&place.flags(platform, &places));
    }
    let first = places[0].listen;
    println!("Nine instances start; the first tokens of a new fleet come after some seconds.");
    let answered: Result<()> = block_on(async {
        show_answer(first, &key).await;
        Ok(())
    });
    if let Err(error) = answered {
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

/// Starts an instance on a thread of its own.
fn start(flags: &[String]) {
    let Ok(Command::Run(settings)) = parse(flags, |_| None) else {
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
        let sent = client
            .send(address, request(key, None, PROMPT, ANSWER_TOKENS))
            .await;
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
