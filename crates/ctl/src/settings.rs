//! Settings common to all commands.

use std::net::SocketAddr;
use std::time::Duration;

use crate::arg_reader::ArgReader;
use crate::usage_error::ValueFormat;

/// The environment variable with the platform's addresses.
pub(crate) const PLATFORM_VARIABLE: &str = "LIMPETSADDLE_PLATFORM";

/// The environment variable that selects JSON output.
pub(crate) const JSON_VARIABLE: &str = "LIMPETSADDLE_JSON";

/// The environment variable with the timeout, in seconds.
pub(crate) const TIMEOUT_VARIABLE: &str = "LIMPETSADDLE_TIMEOUT";

/// The default timeout.
const DEFAULT_TIMEOUT_SECS: u64 = 30;

/// The settings common to all commands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The addresses of the platform.
    pub platform: Vec<SocketAddr>,
    /// Whether reports and errors are JSON.
    pub json: bool,
    /// The maximum wait for a revision to be in force at every instance.
    pub timeout: Duration,
}

impl Settings {
    pub(crate) fn read(reader: &mut ArgReader, requires_platform: bool) -> Self {
        let platform = reader.option_or_env(
            "platform",
            PLATFORM_VARIABLE,
            ValueFormat::Addresses,
            |text| {
                text.split(',')
                    .map(|part| part.trim().parse().ok())
                    .collect()
            },
        );
        let has_platform = reader.has_option_or_env("platform", PLATFORM_VARIABLE);
        if requires_platform && !has_platform {
            reader.report_missing(&format!("--platform or {PLATFORM_VARIABLE}"));
        }
        let json = reader.flag_or_env("json", JSON_VARIABLE);
        let timeout =
            reader.option_or_env("timeout", TIMEOUT_VARIABLE, ValueFormat::Seconds, |text| {
                text.parse().ok()
            });
        Self {
            platform: platform.unwrap_or_default(),
            json,
            timeout: Duration::from_secs(timeout.unwrap_or(DEFAULT_TIMEOUT_SECS)),
        }
    }
}

/// Returns whether JSON output is requested, also if the command line is invalid.
pub(crate) fn is_json_requested(args: &[String], env: impl Fn(&str) -> Option<String>) -> bool {
    let by_variable = env(JSON_VARIABLE).is_some_and(|text| text == "true");
    by_variable || args.iter().any(|arg| arg == "--json")
}
