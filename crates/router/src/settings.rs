//! Settings of the daemon, by flag and environment variable.
//!
//! A flag goes before its environment variable. All settings are checked
//! together, so that one start lists every mistake.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::units::Tokens;
use log::LevelFilter;
use thiserror::Error as ThisError;

/// A `Setting` describes one setting: its flag, its variable and its default.
#[derive(Clone, Copy, Debug)]
struct Setting {
    flag: &'static str,
    variable: &'static str,
    hint: &'static str,
    help: &'static str,
    default: Option<&'static str>,
}

const fn setting(
    flag: &'static str,
    variable: &'static str,
    hint: &'static str,
    help: &'static str,
    default: Option<&'static str>,
) -> Setting {
    Setting {
        flag,
        variable,
        hint,
        help,
        default,
    }
}

const NAME: Setting = setting(
    "name",
    "LIMPETSADDLE_NAME",
    "NAME",
    "name of this instance, unique in the fleet",
    None,
);
const DOMAIN: Setting = setting(
    "domain",
    "LIMPETSADDLE_DOMAIN",
    "NAME",
    "failure domain that this instance runs in",
    None,
);
const LISTEN: Setting = setting(
    "listen",
    "LIMPETSADDLE_LISTEN",
    "IP:PORT",
    "address for callers",
    Some("127.0.0.1:8080"),
);
const ADMIN: Setting = setting(
    "admin",
    "LIMPETSADDLE_ADMIN",
    "IP:PORT",
    "address for metrics and health",
    Some("127.0.0.1:8081"),
);
const PEER: Setting = setting(
    "peer",
    "LIMPETSADDLE_PEER",
    "IP:PORT",
    "address for other instances",
    Some("127.0.0.1:8082"),
);
const ADVERTISE: Setting = setting(
    "advertise",
    "LIMPETSADDLE_ADVERTISE",
    "IP:PORT",
    "address under which other instances reach --peer; --peer itself if empty",
    Some(""),
);
const PLATFORM: Setting = setting(
    "platform",
    "LIMPETSADDLE_PLATFORM",
    "IP:PORT,...",
    "addresses of the platform's object API",
    None,
);
const SEEDS: Setting = setting(
    "seeds",
    "LIMPETSADDLE_SEEDS",
    "IP:PORT,...",
    "peer addresses to ask at start",
    Some(""),
);
const DRAIN: Setting = setting(
    "drain-seconds",
    "LIMPETSADDLE_DRAIN_SECONDS",
    "SECONDS",
    "longest time that a stop waits for running requests",
    Some("120"),
);
const MAX_HEAD: Setting = setting(
    "max-head-bytes",
    "LIMPETSADDLE_MAX_HEAD_BYTES",
    "BYTES",
    "largest head of a request",
    Some("32768"),
);
const MAX_BODY: Setting = setting(
    "max-body-bytes",
    "LIMPETSADDLE_MAX_BODY_BYTES",
    "BYTES",
    "largest body of a request",
    Some("8388608"),
);
const MAX_CALLERS: Setting = setting(
    "max-callers",
    "LIMPETSADDLE_MAX_CALLERS",
    "COUNT",
    "connections of callers held at once",
    Some("4096"),
);
const DEFAULT_ANSWER: Setting = setting(
    "default-answer-tokens",
    "LIMPETSADDLE_DEFAULT_ANSWER_TOKENS",
    "TOKENS",
    "longest answer where the request names none",
    Some("512"),
);
const LOG_LEVEL: Setting = setting(
    "log-level",
    "LIMPETSADDLE_LOG_LEVEL",
    "LEVEL",
    "off, error, warn, info, debug or trace",
    Some("info"),
);

const SETTINGS: [Setting; 14] = [
    NAME,
    DOMAIN,
    LISTEN,
    ADMIN,
    PEER,
    ADVERTISE,
    PLATFORM,
    SEEDS,
    DRAIN,
    MAX_HEAD,
    MAX_BODY,
    MAX_CALLERS,
    DEFAULT_ANSWER,
    LOG_LEVEL,
];

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
    pub drain: Duration,
    /// The largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// The largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// The connections of callers held at once.
    pub max_callers: usize,
    /// The longest answer where the request names none.
    pub default_answer: Tokens,
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

/// A `Reader` reads values and collects what is wrong with them.
struct Reader<'a> {
    matches: &'a Matches,
    variable: &'a dyn Fn(&str) -> Option<String>,
    errors: Vec<SettingError>,
}

impl<'a> Reader<'a> {
    fn new(matches: &'a Matches, variable: &'a dyn Fn(&str) -> Option<String>) -> Self {
        Self {
            matches,
            variable,
            errors: Vec::new(),
        }
    }

    fn settings(mut self) -> Result<Settings, SettingErrors> {
        self.check_free_arguments();
        let name = self.value(&NAME);
        let domain = self.value(&DOMAIN);
        let listen = self.value(&LISTEN);
        let admin = self.value(&ADMIN);
        let peer = self.value(&PEER);
        let advertise: Option<Vec<SocketAddr>> = self.list(&ADVERTISE);
        let platform = self.list(&PLATFORM);
        let seeds = self.list(&SEEDS);
        let drain: Option<u64> = self.value(&DRAIN);
        let max_head_bytes = self.value(&MAX_HEAD);
        let max_body_bytes = self.value(&MAX_BODY);
        let max_callers = self.value(&MAX_CALLERS);
        let default_answer: Option<u64> = self.value(&DEFAULT_ANSWER);
        let log_level = self.value(&LOG_LEVEL);
        let errors = self.errors;
        let complete = || {
            Some(Settings {
                name: name?,
                domain: domain?,
                listen: listen?,
                admin: admin?,
                peer: peer?,
                advertise: advertise?.first().copied().or(peer)?,
                platform: platform?,
                seeds: seeds?,
                drain: Duration::from_secs(drain?),
                max_head_bytes: max_head_bytes?,
                max_body_bytes: max_body_bytes?,
                max_callers: max_callers?,
                default_answer: Tokens(default_answer?),
                log_level: log_level?,
            })
        };
        match complete() {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingErrors(errors)),
        }
    }

    fn check_free_arguments(&mut self) {
        for argument in &self.matches.free {
            self.errors.push(SettingError {
                setting: "command line".to_owned(),
                problem: Problem::FreeArgument(argument.clone()),
            });
        }
    }

    fn text(&mut self, setting: &Setting) -> Option<String> {
        let given = self
            .matches
            .opt_str(setting.flag)
            .or_else(|| (self.variable)(setting.variable))
            .or_else(|| setting.default.map(str::to_owned));
        if given.is_none() {
            self.reject(setting, Problem::Missing);
        }
        given
    }

    fn value<T: FromStr>(&mut self, setting: &Setting) -> Option<T> {
        let text = self.text(setting)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.reject(setting, Problem::Invalid(text));
        }
        parsed
    }

    fn list<T: FromStr>(&mut self, setting: &Setting) -> Option<Vec<T>> {
        let text = self.text(setting)?;
        let items = text.split(',').filter(|item| !item.is_empty());
        let parsed: Result<Vec<T>, T::Err> = items.map(str::parse).collect();
        if parsed.is_err() {
            self.reject(setting, Problem::Invalid(text));
        }
        parsed.ok()
    }

    fn reject(&mut self, setting: &Setting, problem: Problem) {
        self.errors.push(SettingError {
            setting: format!("--{} ({})", setting.flag, setting.variable),
            problem,
        });
    }
}
