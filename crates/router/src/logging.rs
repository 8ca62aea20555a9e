//! Structured logs with one JSON object per line.
//!
//! A daemon that runs alone logs changes of state to standard error. An instance
//! of a fleet logs each decision to standard output, at a limited rate and without
//! blocking.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::Record;
use log::kv::Error as KvError;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use rustix::fs::OFlags;
use serde_json::Map;
use serde_json::json;

use crate::errors::Error;
use crate::errors::Result;

/// Installs the logger for this process.
///
/// # Errors
///
/// Returns [`crate::Error::Logging`] if a logger is already installed.
pub fn init(level: LevelFilter) -> Result<()> {
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(env!("CARGO_CRATE_NAME"), level)
        .format(|out, message, record| out.finish(format_args!("{}", line(record, message))))
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// Installs the logger of an instance of a fleet, which writes to standard output.
///
/// # Errors
///
/// Returns an error if a logger is already installed or standard output cannot be
/// set up.
pub fn init_fleet(level: LevelFilter) -> Result<()> {
    let sink = Mutex::new(LineSink::new()?);
    let output = fern::Output::call(move |record| {
        let mut sink = sink.lock().unwrap_or_else(PoisonError::into_inner);
        sink.write(&line(record, record.args()), Instant::now());
    });
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(env!("CARGO_CRATE_NAME"), level)
        .chain(output)
        .apply()?;
    Ok(())
}

/// The maximum number of lines in a burst.
const LINE_BURST: f64 = 600.0;

/// The maximum rate of lines in lines per second. At the users' stated peak load,
/// an instance writes about a hundred.
const LINES_PER_SECOND: f64 = 300.0;

/// The maximum length of a line in bytes, up to which writes to a pipe are atomic.
const MAX_LINE_BYTES: usize = 4_096;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start of the process.
#[must_use]
pub fn lost_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes lines to standard output. Drops and counts lines over the rate limit and
/// lines that the reader does not accept at once.
struct LineSink {
    available_lines: f64,
    refilled: Instant,
    dropped: u64,
}

impl LineSink {
    fn new() -> Result<Self> {
        let output = rustix::stdio::stdout();
        let flags = rustix::fs::fcntl_getfl(output).map_err(|e| Error::Output(e.into()))?;
        rustix::fs::fcntl_setfl(output, flags | OFlags::NONBLOCK)
            .map_err(|e| Error::Output(e.into()))?;
        Ok(Self {
            available_lines: LINE_BURST,
            refilled: Instant::now(),
            dropped: 0,
        })
    }

    fn write(&mut self, line: &str, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.available_lines = (self.available_lines + elapsed * LINES_PER_SECOND).min(LINE_BURST);
        if self.available_lines < 1.0 {
            self.drop_line();
            return;
        }
        if self.dropped > 0 {
            let note = json!({"event": "log lines dropped", "count": self.dropped});
            if !try_write(&note.to_string()) {
                self.drop_line();
                return;
            }
            self.dropped = 0;
        }
        self.available_lines -= 1.0;
        if !try_write(line) {
            self.drop_line();
        }
    }

    fn drop_line(&mut self) {
        self.dropped += 1;
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes a line atomically and returns whether it was written.
fn try_write(line: &str) -> bool {
    let mut bytes = Vec::with_capacity(line.len() + 1);
    bytes.extend_from_slice(line.as_bytes());
    bytes.push(b'\n');
    if bytes.len() > MAX_LINE_BYTES {
        return false;
    }
    rustix::io::write(rustix::stdio::stdout(), &bytes).is_ok_and(|n| n == bytes.len())
}

fn line(record: &Record<'_>, message: &std::fmt::Arguments<'_>) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = FieldVisitor(Map::new());
    fields.0.insert("time_ms".into(), json!(now.as_millis()));
    fields
        .0
        .insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("event".into(), json!(message.to_string()));
    // Fields whose values cannot be formatted are omitted.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

struct FieldVisitor(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> std::result::Result<(), KvError> {
        let unsigned = value.to_u64().map(|number| json!(number));
        let number = unsigned.or(value.to_i64().map(|number| json!(number)));
        let flag = value.to_bool().map(|flag| json!(flag));
        let value = number.or(flag).unwrap_or_else(|| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
