//! Command-line client for operators of limpetsaddle.
//!
//! [`run`] parses a command line, changes the configuration in the platform by
//! conditional writes and prints a report as text or, with `--json`, as JSON.

mod arg_reader;
mod command;
mod commands;
mod error;
mod report;
mod settings;
mod usage;
mod usage_error;

use std::io::Write;

use limpetsaddle_platform::Platform;
use limpetsaddle_platform::PlatformOptions;

pub use crate::command::Invocation;
pub use crate::command::parse;
pub use crate::error::Error;
pub use crate::error::ExitCode;
pub use crate::error::Result;
pub use crate::settings::Settings;
pub use crate::usage_error::UsageError;
pub use crate::usage_error::UsageErrorKind;
pub use crate::usage_error::ValueFormat;

/// Runs a command line and returns the exit code.
///
/// `env` returns the value of an environment variable. Reports go to `out`
/// and errors to `err`.
///
/// ```
/// use limpetsaddle_ctl::ExitCode;
///
/// # let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
/// # runtime.enable_timer().build().unwrap().block_on(async {
/// let args = vec!["--version".to_owned()];
/// let mut out = Vec::new();
/// let code = limpetsaddle_ctl::run(&args, |_| None, &mut out, &mut Vec::new()).await;
/// assert_eq!(code, ExitCode::Success);
/// assert!(out.starts_with(b"limpetctl "));
/// # });
/// ```
pub async fn run(
    args: &[String],
    env: impl Fn(&str) -> Option<String>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> ExitCode {
    let json = settings::is_json_requested(args, &env);
    let result = match parse(args, &env) {
        Ok(Invocation::Help) => usage::write_help(out),
        Ok(Invocation::Version) => usage::write_version(out),
        Ok(Invocation::Run(settings, command)) => {
            let options = PlatformOptions::default();
            let platform = Platform::new(settings.platform.clone(), options);
            match commands::run(&platform, &settings, command).await {
                Ok(report) => report.write(settings.json, out),
                Err(e) => Err(e),
            }
        }
        Err(errors) => Err(Error::Usage(errors)),
    };
    let Err(e) = result else {
        return ExitCode::Success;
    };
    // If the error cannot be written, the exit code still reports the failure.
    let _ = error::write(&e, json, err);
    e.exit_code()
}
