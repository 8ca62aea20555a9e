//! Settings that every command shares.

use std::net::SocketAddr;
use std::time::Duration;

use crate::mistakes::Expected;
use crate::scanner::Scanner;

/// The variable with the platform's addresses.
pub(crate) const PLATFORM_VARIABLE: &str = "LIMPETSADDLE_PLATFORM";

/// The variable that chooses output for programs.
pub(crate) const JSON_VARIABLE: &str = "LIMPETSADDLE_JSON";

/// The variable with the longest wait in seconds.
pub(crate) const TIMEOUT_VARIABLE: &str = "LIMPETSADDLE_TIMEOUT";

/// The longest wait unless a setting gives another, in seconds.
const DEFAULT_TIMEOUT_SECONDS: u64 = 30;

/// A `Settings` holds the settings that every command shares.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The addresses of the platform.
    pub platform: Vec<SocketAddr>,
    /// Whether reports are for programs.
    pub json: bool,
    /// The longest wait for a revision to be in force everywhere.
    pub timeout: Duration,
}

impl Settings {
    pub(crate) fn scan(scanner: &mut Scanner, needs_platform: bool) -> Self {
        let platform =
            scanner.setting("platform", PLATFORM_VARIABLE, Expected::Addresses, |text| {
                text.split(',')
                    .map(|part| part.trim().parse().ok())
                    .collect()
            });
        let given = scanner.has_setting("platform", PLATFORM_VARIABLE);
        if needs_platform && !given {
            scanner.missing(&format!("--platform or {PLATFORM_VARIABLE}"));
        }
        let json = scanner.switch("json", JSON_VARIABLE);
        let timeout = scanner.setting("timeout", TIMEOUT_VARIABLE, Expected::Seconds, |text| {
            text.parse().ok()
        });
        Self {
            platform: platform.unwrap_or_default(),
            json,
            timeout: Duration::from_secs(timeout.unwrap_or(DEFAULT_TIMEOUT_SECONDS)),
        }
    }
}

/// Returns whether errors are for programs, also when the command line is wrong.
pub(crate) fn wants_json(args: &[String], variable: impl Fn(&str) -> Option<String>) -> bool {
    let by_variable = variable(JSON_VARIABLE).is_some_and(|text| text == "true");
    by_variable || args.iter().any(|arg| arg == "--json")
}
