//! Measures what a daemon adds to an engine that is asked directly.
//!
//! One daemon in a process of its own, one engine's stand-in, the same streams
//! through the daemon and past it, at several numbers of streams at once.

mod support;

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;
use hdrhistogram::Histogram;
use limpetsaddle_fakes::EngineOptions;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_http::Request;
use limpetsaddle_router::errors::Result;
use limpetsaddle_router::run::block_on;

use crate::support::caller::Streamed;
use crate::support::caller::request;
use crate::support::caller::stream;
use crate::support::caller::until_served;
use crate::support::process::Process;
use crate::support::setup::BLOCK_TOKENS;
use crate::support::setup::Setup;
use crate::support::setup::places;

/// The numbers of streams at once.
const STREAMS: [usize; 3] = [1, 32, 256];

/// The tokens of each answer.
const TOKENS: u64 = 64;

/// The time between two tokens at the engine.
const TOKEN_DELAY: Duration = Duration::from_millis(10);

/// The answers of each stream, one after the other.
const ROUNDS: usize = 16;

/// The failure domain.
const DOMAIN: &str = "bergen-a";

/// The characters of the prompt: two blocks, which are found cached, and a
/// short question.
const PROMPT_CHARACTERS: usize = 2 * BLOCK_TOKENS * 4 + 40;

/// A `Load` is what one side measured.
struct Load {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    failed: BTreeMap<String, u64>,
    resident: u64,
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt(
        "",
        "daemon",
        "the daemon [target/release/limpetsaddle]",
        "PATH",
    );
    options.optopt("", "port", "first of the ports to use [19080]", "PORT");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = options.parse(args).ok();
    let port = matches
        .as_ref()
        .and_then(|m| m.opt_get_default("port", 19_080).ok());
    let (Some(matches), Some(port)) = (matches, port) else {
        eprint!("{}", options.usage("Usage: overhead [OPTIONS]"));
        return ExitCode::FAILURE;
    };
    let daemon = matches.opt_str("daemon");
    let daemon = daemon.unwrap_or_else(|| "target/release/limpetsaddle".to_owned());
    match measure(Path::new(&daemon), port) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("overhead: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(program: &Path, port: u16) -> io::Result<()> {
    let engine = EngineOptions {
        token_delay: TOKEN_DELAY,
        slots: 1_024,
        records: false,
        ..EngineOptions::default()
    };
    let setup = Setup::start(&[DOMAIN], 1, &engine)?;
    let key = setup.put_team("yard", 100_000_000, 100_000_000);
    // The bound on outstanding requests must not be what is measured.
    let policy = serde_json::json!({"max_outstanding": 1_024});
    let presets = serde_json::json!({"presets": {"active": "ordinary", "ordinary": policy}});
    setup.put("presets/current", presets);
    let places = places(&[DOMAIN], 1, port);
    let daemon = Process::start(program, &places[0].flags(setup.platform.address(), &places))?;
    let listen = places[0].listen;
    let direct = setup.engines[0].address();
    for address in [direct, listen] {
        // This leaves the prompt cached, too.
        let client = Client::new(ClientOptions::default());
        run(until_served(&client, address, || prompt(&key)))??;
    }
    println!(
        "| streams | time to first token, direct | through the daemon | added p50 | added p95 | between tokens, direct | through the daemon | added p50 | added p95 |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut costs = Vec::new();
    for streams in STREAMS {
        let resident = daemon.resident();
        let began = daemon.processor_time();
        let past = run(load(direct, &key, streams, &daemon))?;
        // The daemon is idle meanwhile, and what it uses then is not for streams.
        let idle = daemon.processor_time().saturating_sub(began);
        let through = run(load(listen, &key, streams, &daemon))?;
        let used = daemon.processor_time().saturating_sub(began + idle * 2);
        print_row(streams, &past, &through);
        costs.push((streams, resident, used, through));
    }
    print_costs(&costs);
    Ok(())
}

fn run<T>(work: impl Future<Output = T>) -> io::Result<T> {
    let mut out = None;
    let ran: Result<()> = block_on(async {
        out = Some(work.await);
        Ok(())
    });
    ran.map_err(io::Error::other)?;
    out.ok_or_else(|| io::ErrorKind::Other.into())
}

fn prompt(key: &str) -> Request {
    request(key, Some("direct"), &"x".repeat(PROMPT_CHARACTERS), TOKENS)
}

/// Keeps `streams` answers running, which begin at even distances.
async fn load(address: SocketAddr, key: &str, streams: usize, daemon: &Process) -> Load {
    let histogram = || Histogram::new(3).expect("a valid precision");
    let mut load = Load {
        first: histogram(),
        gaps: histogram(),
        failed: BTreeMap::new(),
        resident: 0,
    };
    let answer = TOKEN_DELAY * u32::try_from(TOKENS).unwrap_or(u32::MAX);
    let apart = answer / u32::try_from(streams).unwrap_or(u32::MAX);
    let tasks: Vec<_> = (0..streams)
        .map(|i| {
            let key = key.to_owned();
            let delay = apart * u32::try_from(i).unwrap_or(u32::MAX);
            monoio::spawn(async move {
                monoio::time::sleep(delay).await;
                let client = Client::new(ClientOptions::default());
                let mut answers = Vec::new();
                for _ in 0..ROUNDS {
                    answers.push(stream(&client, address, prompt(&key)).await);
                }
                answers
            })
        })
        .collect();
    // By then every stream has begun its second answer.
    monoio::time::sleep(answer * 3).await;
    load.resident = daemon.resident();
    for task in tasks {
        for seen in task.await {
            load.add(&seen);
        }
    }
    load
}

impl Load {
    fn add(&mut self, seen: &Streamed) {
        if !seen.complete {
            *self.failed.entry(seen.code()).or_default() += 1;
            return;
        }
        record(&mut self.first, seen.first);
        for gap in &seen.gaps {
            record(&mut self.gaps, Some(*gap));
        }
    }
}

fn record(histogram: &mut Histogram<u64>, span: Option<Duration>) {
    if let Some(span) = span {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        histogram.record(micros).expect("the histogram grows");
    }
}

fn print_row(streams: usize, past: &Load, through: &Load) {
    let pair = |h: &Histogram<u64>| {
        let (p50, p95) = (h.value_at_quantile(0.5), h.value_at_quantile(0.95));
        format!("{p50} / {p95} µs")
    };
    let added = |a: &Histogram<u64>, b: &Histogram<u64>, q: f64| {
        let (a, b) = (a.value_at_quantile(q), b.value_at_quantile(q));
        format!("{} µs", b.cast_signed() - a.cast_signed())
    };
    println!(
        "| {streams} | {} | {} | {} | {} | {} | {} | {} | {} |",
        pair(&past.first),
        pair(&through.first),
        added(&past.first, &through.first, 0.5),
        added(&past.first, &through.first, 0.95),
        pair(&past.gaps),
        pair(&through.gaps),
        added(&past.gaps, &through.gaps, 0.5),
        added(&past.gaps, &through.gaps, 0.95),
    );
    if !past.failed.is_empty() || !through.failed.is_empty() {
        eprintln!(
            "failed, direct: {:?}, through: {:?}",
            past.failed, through.failed
        );
    }
}

fn print_costs(costs: &[(usize, u64, Duration, Load)]) {
    println!(
        "\n| streams | processor time an answer | a token | answers a second a core | resident, idle | in use | a stream |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (streams, idle, used, load) in costs {
        let answers = (streams * ROUNDS) as u64;
        let each = u64::try_from(used.as_micros()).unwrap_or(0) / answers;
        println!(
            "| {streams} | {each} µs | {} µs | {} | {} kB | {} kB | {} kB |",
            each / TOKENS,
            1_000_000 / each.max(1),
            idle / 1_000,
            load.resident / 1_000,
            load.resident.saturating_sub(*idle) / 1_000 / *streams as u64,
        );
    }
}
