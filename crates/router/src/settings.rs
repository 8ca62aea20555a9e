//! Settings of the daemon, by flag and environment variable.
//!
//! A flag goes before its environment variable. All settings are checked
//! together, so that one start lists every mistake.

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

/// A `Settings` is the checked set of settings of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The name of this instance.
    pub name: InstanceName,
    /// The failure domain of this instance.
    pub domain: DomainName,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for metrics and health.
    pub admin: SocketAddr,
    /// The address for other instances.
    pub peer: SocketAddr,
    /// The address under which other instances reach this one.
    pub advertise: SocketAddr,
    /// The addresses of the platform's object API.
    pub platform: Vec<SocketAddr>,
    /// The peer addresses to ask at start.
    pub seeds: Vec<SocketAddr>,
    /// The longest time that a stop waits for running requests.
    pub drain_timeout: Duration,
    /// The largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// The largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// The connections of callers held at once.
    pub max_callers: usize,
    /// The longest answer where the request names none.
    pub default_max_tokens: Tokens,
    /// The level from which lines are logged.
    pub log_level: LevelFilter,
}

/// A `Command` is what the command line asks for.
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

/// A `Problem` is what is wrong with one setting.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Problem {
    /// The setting has no value and no default.
    #[error("is required")]
    Missing,
    /// The value cannot be read.
    #[error("has the invalid value {0:?}")]
    Invalid(String),
    /// The command line itself cannot be read.
    #[error("{0}")]
    CommandLine(#[from] getopts::Fail),
    /// A free argument is left over.
    #[error("unexpected argument {0:?}")]
    FreeArgument(String),
}

/// A `SettingError` names a setting and its problem.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
#[error("{setting}: {problem}")]
pub struct SettingError {
    /// The setting, by flag and variable.
    pub setting: String,
    /// What is wrong with it.
    pub problem: Problem,
}

/// A `SettingErrors` lists every mistake in the settings.
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

/// Returns what the arguments and environment variables ask for.
///
/// `variable` looks up an environment variable.
///
/// # Errors
///
/// Returns every missing or invalid setting.
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
    text.push_str("\nEnvironment variables (a flag goes before its variable):\n");
    for setting in &SETTINGS {
        let default = setting.default.map_or("required", |value| value);
        let variable = setting.variable;
        text.extend(["    ", variable, " [", default, "]\n"]);
    }
    text
}
