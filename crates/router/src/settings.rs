//! Settings of the daemon from command-line flags and environment variables.
//!
//! A flag takes precedence over its environment variable. All settings are
//! validated together, so that one start reports every error.

mod reader;
mod table;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use getopts::Options;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::units::Tokens;
use log::LevelFilter;
use thiserror::Error as ThisError;

use self::reader::Reader;
use self::table::SETTINGS;

/// The validated settings of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The name of this instance.
    pub name: InstanceName,
    /// The failure domain of this instance.
    pub domain: DomainName,
    /// The address to listen on for callers.
    pub listen: SocketAddr,
    /// The address to listen on for metrics and health checks.
    pub admin: SocketAddr,
    /// The address to listen on for other instances.
    pub peer: SocketAddr,
    /// The address under which other instances reach this one.
    pub advertise: SocketAddr,
    /// The addresses of the platform's object API.
    pub platform: Vec<SocketAddr>,
    /// The addresses of peers to contact at startup.
    pub seeds: Vec<SocketAddr>,
    /// The maximum time that a stop waits for requests in progress.
    pub drain_timeout: Duration,
    /// The maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// The maximum number of open connections of callers.
    pub max_callers: usize,
    /// The maximum number of output tokens if a request sets none.
    pub default_max_tokens: Tokens,
    /// The minimum level of logged events.
    pub log_level: LevelFilter,
}

/// The action that the command line requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Run the daemon.
    Run(Box<Settings>),
    /// Check the settings and exit.
    Check(Box<Settings>),
    /// Print the usage text.
    Help(String),
    /// Print the version.
    Version,
}

/// The reason why a setting is invalid.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Problem {
    /// The setting has no value and no default.
    #[error("is required")]
    Missing,
    /// The value cannot be parsed.
    #[error("has the invalid value {0:?}")]
    Invalid(String),
    /// The command line cannot be parsed.
    #[error("{0}")]
    CommandLine(#[from] getopts::Fail),
    /// There is a positional argument.
    #[error("unexpected argument {0:?}")]
    FreeArgument(String),
}

/// An invalid setting and the reason.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
#[error("{setting}: {problem}")]
pub struct SettingError {
    /// The flag and variable of the setting, or `command line`.
    pub setting: String,
    /// Why it is invalid.
    pub problem: Problem,
}

/// All invalid settings.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub struct SettingErrors(pub Vec<SettingError>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings:")?;
        for error in &self.0 {
            write!(f, "\n  {error}")?;
        }
        Ok(())
    }
}

impl SettingErrors {
    fn one(problem: Problem) -> Self {
        let setting = "command line".to_owned();
        Self(vec![SettingError { setting, problem }])
    }
}

/// Parses the arguments and environment variables.
///
/// `variable` looks up an environment variable.
///
/// # Errors
///
/// Returns all missing and invalid settings.
///
/// ```
/// use limpetsaddle_router::settings::Command;
/// use limpetsaddle_router::settings::parse;
///
/// let args = ["--name", "a1", "--domain", "a", "--platform", "127.0.0.1:7000"];
/// let command = parse(&args.map(String::from), |_| None)?;
/// assert!(matches!(command, Command::Run(_)));
/// # Ok::<(), limpetsaddle_router::settings::SettingErrors>(())
/// ```
pub fn parse(
    args: &[String],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Command, SettingErrors> {
    let options = options();
    let matches = options
        .parse(args)
        .map_err(|fail| SettingErrors::one(fail.into()))?;
    if matches.opt_present("help") {
        return Ok(Command::Help(usage(&options)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let check_only = matches.opt_present("check-settings");
    let settings = Box::new(Reader::new(&matches, &variable).settings()?);
    if check_only {
        return Ok(Command::Check(settings));
    }
    Ok(Command::Run(settings))
}

fn options() -> Options {
    let mut options = Options::new();
    for setting in &SETTINGS {
        options.optopt("", setting.flag, setting.help, setting.hint);
    }
    options.optflag("", "check-settings", "check the settings and exit");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

fn usage(options: &Options) -> String {
    let mut text = options.usage("Usage: limpetsaddle [OPTIONS]\n\nThe entry daemon.");
    text.push_str("\nEnvironment variables (a flag takes precedence over its variable):\n");
    for setting in &SETTINGS {
        let default = setting.default.map_or("required", |value| value);
        let variable = setting.variable;
        text.extend(["    ", variable, " [", default, "]\n"]);
    }
    text
}
