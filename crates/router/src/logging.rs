//! Structured log lines, one JSON object a line on standard error.
//!
//! Lines are written for changes of state only; whatever happens for each
//! request is a counter.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::Record;
use log::kv::Error as KvError;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::json;

use crate::errors::Result;

/// Installs the logger for this process.
///
/// # Errors
///
/// Returns [`crate::Error::Logging`] when a logger is installed already.
pub fn init(level: LevelFilter) -> Result<()> {
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(env!("CARGO_CRATE_NAME"), level)
        .format(|out, message, record| out.finish(format_args!("{}", line(record, message))))
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

fn line(record: &Record<'_>, message: &std::fmt::Arguments<'_>) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("time_ms".into(), json!(now.as_millis()));
    fields
        .0
        .insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("event".into(), json!(message.to_string()));
    // A field whose value cannot be formatted is left out of the line.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> std::result::Result<(), KvError> {
        let number = value.to_u64().map(|number| json!(number));
        let flag = value.to_bool().map(|flag| json!(flag));
        let value = number.or(flag).unwrap_or_else(|| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
