//! Measures the overhead of a daemon compared with direct requests to an engine.
//!
//! Runs one daemon process and one fake engine, and sends the same streams through
//! the daemon and directly, at several levels of concurrency.

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

use crate::support::caller::StreamResult;
use crate::support::caller::request;
use crate::support::caller::stream;
use crate::support::caller::wait_until_served;
use crate::support::process::Process;
use crate::support::setup::BLOCK_TOKENS;
use crate::support::setup::Setup;
use crate::support::setup::instances;

/// The numbers of concurrent streams.
const STREAMS: [usize; 3] = [1, 32, 256];

/// The number of tokens in each response.
const TOKENS: u64 = 64;

/// The time between two tokens of the engine.
const TOKEN_DELAY: Duration = Duration::from_millis(10);

/// The number of successive requests of each stream.
const ROUNDS: usize = 16;

/// The failure domain.
const DOMAIN: &str = "bergen-a";

/// The length of the prompt in characters: two blocks that are cached, and a short
/// question.
const PROMPT_CHARACTERS: usize = 2 * BLOCK_TOKENS * 4 + 40;

/// The measurements with or without the daemon; times in microseconds, memory in
/// bytes.
struct Measurement {
    time_to_first_chunk: Histogram<u64>,
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
    // The limit on outstanding requests must not affect the measurement.
    let policy = serde_json::json!({"max_outstanding": 1_024});
    let presets = serde_json::json!({"presets": {"active": "ordinary", "ordinary": policy}});
    setup.put("presets/current", presets);
    let instances = instances(&[DOMAIN], 1, port);
    let daemon = Process::start(
        program,
        &instances[0].flags(setup.platform.address(), &instances),
    )?;
    let listen = instances[0].listen;
    let direct = setup.engines[0].address();
    for address in [direct, listen] {
        // This also caches the prompt.
        let client = Client::new(ClientOptions::default());
        run(wait_until_served(&client, address, || prompt(&key)))??;
    }
    println!(
        "| streams | time to first token, direct | through the daemon | added p50 | added p95 | between tokens, direct | through the daemon | added p50 | added p95 |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut costs = Vec::new();
    for streams in STREAMS {
        let resident = daemon.resident_bytes();
        let cpu_before = daemon.cpu_time();
        let without_daemon = run(measure_streams(direct, &key, streams, &daemon))?;
        // The daemon is idle during the direct run; the CPU time it uses then is not
        // caused by streams.
        let idle = daemon.cpu_time().saturating_sub(cpu_before);
        let with_daemon = run(measure_streams(listen, &key, streams, &daemon))?;
        let used = daemon.cpu_time().saturating_sub(cpu_before + idle * 2);
        print_row(streams, &without_daemon, &with_daemon);
        costs.push((streams, resident, used, with_daemon));
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

/// Runs `streams` concurrent streams that start at even intervals.
async fn measure_streams(
    address: SocketAddr,
    key: &str,
    streams: usize,
    daemon: &Process,
) -> Measurement {
    let histogram = || Histogram::new(3).expect("invalid precision");
    let mut measurement = Measurement {
        time_to_first_chunk: histogram(),
        gaps: histogram(),
        failed: BTreeMap::new(),
        resident: 0,
    };
    let stream_duration = TOKEN_DELAY * u32::try_from(TOKENS).unwrap_or(u32::MAX);
    let stagger = stream_duration / u32::try_from(streams).unwrap_or(u32::MAX);
    let tasks: Vec<_> = (0..streams)
        .map(|i| {
            let key = key.to_owned();
            let delay = stagger * u32::try_from(i).unwrap_or(u32::MAX);
            monoio::spawn(async move {
                monoio::time::sleep(delay).await;
                let client = Client::new(ClientOptions::default());
                let mut responses = Vec::new();
                for _ in 0..ROUNDS {
                    responses.push(stream(&client, address, prompt(&key)).await);
                }
                responses
            })
        })
        .collect();
    // By then, every stream has started its second request.
    monoio::time::sleep(stream_duration * 3).await;
    measurement.resident = daemon.resident_bytes();
    for task in tasks {
        for result in task.await {
            measurement.add(&result);
        }
    }
    measurement
}

impl Measurement {
    fn add(&mut self, result: &StreamResult) {
        if !result.complete {
            *self.failed.entry(result.code()).or_default() += 1;
            return;
        }
        record(&mut self.time_to_first_chunk, result.time_to_first_chunk);
        for gap in &result.gaps {
            record(&mut self.gaps, Some(*gap));
        }
    }
}

fn record(histogram: &mut Histogram<u64>, span: Option<Duration>) {
    if let Some(span) = span {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        histogram
            .record(micros)
            .expect("failed to resize the histogram");
    }
}

fn print_row(streams: usize, without_daemon: &Measurement, with_daemon: &Measurement) {
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
        pair(&without_daemon.time_to_first_chunk),
        pair(&with_daemon.time_to_first_chunk),
        added(
            &without_daemon.time_to_first_chunk,
            &with_daemon.time_to_first_chunk,
            0.5
        ),
        added(
            &without_daemon.time_to_first_chunk,
            &with_daemon.time_to_first_chunk,
            0.95
        ),
        pair(&without_daemon.gaps),
        pair(&with_daemon.gaps),
        added(&without_daemon.gaps, &with_daemon.gaps, 0.5),
        added(&without_daemon.gaps, &with_daemon.gaps, 0.95),
    );
    if !without_daemon.failed.is_empty() || !with_daemon.failed.is_empty() {
        eprintln!(
            "failed, direct: {:?}, through: {:?}",
            without_daemon.failed, with_daemon.failed
        );
    }
}

fn print_costs(costs: &[(usize, u64, Duration, Measurement)]) {
    println!(
        "\n| streams | processor time an answer | a token | answers a second a core | resident, idle | in use | a stream |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (streams, idle, used, measurement) in costs {
        let responses = (streams * ROUNDS) as u64;
        let micros_per_response = u64::try_from(used.as_micros()).unwrap_or(0) / responses;
        println!(
            "| {streams} | {micros_per_response} µs | {} µs | {} | {} kB | {} kB | {} kB |",
            micros_per_response / TOKENS,
            1_000_000 / micros_per_response.max(1),
            idle / 1_000,
            measurement.resident / 1_000,
            measurement.resident.saturating_sub(*idle) / 1_000 / *streams as u64,
        );
    }
}
