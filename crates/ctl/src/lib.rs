//! Operators' client of limpetsaddle.
//!
//! Provides [`run`], which carries out one command line: it reads settings and
//! command, changes the configuration in the platform by conditional updates and
//! prints a report for people or, with `--json`, for programs.

mod command;
mod commands;
mod error;
mod mistakes;
mod report;
mod scanner;
mod settings;
mod usage;

use std::io::Write;

use limpetsaddle_platform::Platform;
use limpetsaddle_platform::PlatformOptions;

pub use crate::command::Invocation;
pub use crate::command::parse;
pub use crate::error::Error;
pub use crate::error::ExitCode;
pub use crate::error::Result;
pub use crate::mistakes::Expected;
pub use crate::mistakes::Mistake;
pub use crate::mistakes::Problem;
pub use crate::settings::Settings;

/// Carries out one command line and returns the exit code.
///
/// `variable` gives the value of an environment variable. Reports go to `out`
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
    variable: impl Fn(&str) -> Option<String>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> ExitCode {
    let json = settings::wants_json(args, &variable);
    let result = match parse(args, &variable) {
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
        Err(mistakes) => Err(Error::Usage(mistakes)),
    };
    let Err(e) = result else {
        return ExitCode::Success;
    };
    // A failure to write the error itself leaves the exit code to tell.
    let _ = error::write(&e, json, err);
    e.exit_code()
}
