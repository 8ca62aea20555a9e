//! Commands and the parsing of the command line into them.

use std::net::SocketAddr;

use limpetsaddle_core::config::PoolKind;
use limpetsaddle_core::config::PoolSpec;
use limpetsaddle_core::config::Preset;
use limpetsaddle_core::config::RouteSpec;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::KeyId;
use limpetsaddle_core::names::ModelName;
use limpetsaddle_core::names::ObjectName;
use limpetsaddle_core::names::PoolName;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::TokenRate;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;

use crate::arg_reader::ArgReader;
use crate::settings::Settings;
use crate::usage_error::UsageError;
use crate::usage_error::UsageErrorKind;
use crate::usage_error::ValueFormat;

/// The weight of a team created without `--weight`.
const DEFAULT_WEIGHT: u32 = 1;

/// The action that a command line requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Invocation {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Run a command.
    Run(Settings, Command),
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Creates a team.
    TeamCreate(TeamName, TeamChange),
    /// Changes a team.
    TeamSet(TeamName, TeamChange),
    /// Lists objects of one kind.
    List(ObjectKind),
    /// Shows a team.
    TeamShow(TeamName),
    /// Issues a key.
    KeyIssue(TeamName),
    /// Lists the keys of a team.
    KeyList(TeamName),
    /// Withdraws a key.
    KeyWithdraw(TeamName, KeyId),
    /// Shows the claim of an idempotency key.
    ClaimShow(TeamName, String),
    /// Declares that the request of a claim has not run.
    ClaimRelease(TeamName, String),
    /// Shows the presets.
    PresetShow,
    /// Activates a preset.
    PresetSwitch(Preset),
    /// Creates or changes a failure domain.
    DomainSet(ObjectName, DomainName, u16),
    /// Creates or changes a pool.
    PoolSet(ObjectName, PoolSpec),
    /// Creates an upstream, or changes it and sets its phase to live.
    UpstreamSet(ObjectName, PoolName, DomainName, SocketAddr),
    /// Sets the phase of an upstream to leaving, so that it finishes its requests.
    UpstreamLeave(ObjectName),
    /// Creates or changes a route.
    RouteSet(ObjectName, RouteSpec),
    /// Retires an object.
    Retire(ObjectKind, ObjectName),
    /// Checks a file of objects.
    Validate(String),
    /// Checks and writes a file of objects.
    Apply(String),
    /// Shows the status of each instance.
    Status,
    /// Waits until a revision is in force at every instance.
    Wait(Revision),
}

/// A kind of object that the `list` and `retire` commands accept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectKind {
    /// Failure domains.
    Domain,
    /// Pools.
    Pool,
    /// Routes.
    Route,
    /// Teams.
    Team,
    /// Upstreams.
    Upstream,
}

/// The fields of a team that a command sets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TeamChange {
    /// The rate limit, in tokens per second.
    pub rate: Option<TokenRate>,
    /// The burst limit, in tokens.
    pub burst: Option<Tokens>,
    /// The share of contended capacity, relative to other teams.
    pub weight: Option<u32>,
    /// The models; if empty, they stay unchanged.
    pub models: Vec<ModelName>,
    /// The failure domains with their parts of the limits; if empty, they stay
    /// unchanged.
    pub domains: Vec<DomainParts>,
}

/// A failure domain and its portion of a team's limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainParts {
    /// The failure domain.
    pub domain: DomainName,
    /// The portion out of 1000, or `None` for an equal split.
    pub parts: Option<u16>,
}

/// Parses a command line, with defaults from environment variables.
///
/// # Errors
///
/// Returns every error in the command line and the environment variables.
pub fn parse(
    args: &[String],
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<Invocation, Vec<UsageError>> {
    let mut reader = ArgReader::new(args, env);
    if reader.flag("help") {
        return Ok(Invocation::Help);
    }
    if reader.flag("version") {
        return Ok(Invocation::Version);
    }
    let parsed = parse_command(&mut reader);
    let offline = matches!(parsed, ParsedCommand::Valid(Command::Validate(_)));
    let settings = Settings::read(&mut reader, !offline);
    let errors = reader.into_errors(!matches!(parsed, ParsedCommand::Unknown));
    match parsed {
        ParsedCommand::Valid(command) if errors.is_empty() => {
            Ok(Invocation::Run(settings, command))
        }
        _ => Err(errors),
    }
}

/// The result of parsing the positional arguments and their options.
enum ParsedCommand {
    Valid(Command),
    /// A known command with invalid arguments.
    Invalid,
    Unknown,
}

impl From<Option<Command>> for ParsedCommand {
    fn from(command: Option<Command>) -> Self {
        command.map_or(Self::Invalid, Self::Valid)
    }
}

fn parse_command(args: &mut ArgReader) -> ParsedCommand {
    let Some(noun) = args.next_positional() else {
        args.report_missing("COMMAND");
        return ParsedCommand::Unknown;
    };
    match noun.as_str() {
        "validate" => args
            .positional("FILE", ValueFormat::Text)
            .map(Command::Validate)
            .into(),
        "apply" => args
            .positional("FILE", ValueFormat::Text)
            .map(Command::Apply)
            .into(),
        "status" => ParsedCommand::Valid(Command::Status),
        "wait" => {
            let revision = args
                .positional("REVISION", ValueFormat::Number)
                .map(Revision);
            revision.map(Command::Wait).into()
        }
        noun => parse_noun_and_verb(args, noun),
    }
}

fn parse_noun_and_verb(args: &mut ArgReader, noun: &str) -> ParsedCommand {
    let verb = args.next_positional().unwrap_or_default();
    let command = match (noun, verb.as_str()) {
        ("team", "create") => team_create(args),
        ("team", "set") => team_set(args),
        ("team", "show") => team(args).map(Command::TeamShow),
        ("key", "issue") => team(args).map(Command::KeyIssue),
        ("key", "list") => team(args).map(Command::KeyList),
        ("key", "withdraw") => key_withdraw(args),
        ("claim", "show") => claim(args).map(|(team, key)| Command::ClaimShow(team, key)),
        ("claim", "release") => claim(args).map(|(team, key)| Command::ClaimRelease(team, key)),
        ("preset", "show") => Some(Command::PresetShow),
        ("preset", "switch") => preset(args).map(Command::PresetSwitch),
        ("domain", "set") => domain_set(args),
        ("pool", "set") => pool_set(args),
        ("upstream", "set") => upstream_set(args),
        ("upstream", "leave") => name(args).map(Command::UpstreamLeave),
        ("route", "set") => route_set(args),
        (noun, verb) => return parse_shared_verb(args, noun, verb),
    };
    command.into()
}

/// Parses the commands that several kinds of objects share.
fn parse_shared_verb(args: &mut ArgReader, noun: &str, verb: &str) -> ParsedCommand {
    match (object_kind(noun), verb) {
        (Some(kind), "list") => ParsedCommand::Valid(Command::List(kind)),
        (Some(kind @ (ObjectKind::Route | ObjectKind::Team | ObjectKind::Upstream)), "retire") => {
            name(args).map(|name| Command::Retire(kind, name)).into()
        }
        _ => {
            let text = format!("{noun} {verb}");
            args.report(text.trim(), UsageErrorKind::UnknownCommand);
            ParsedCommand::Unknown
        }
    }
}

fn key_withdraw(args: &mut ArgReader) -> Option<Command> {
    let team = team(args);
    let key = args.positional("KEYID", ValueFormat::Name);
    Some(Command::KeyWithdraw(team?, key?))
}

fn object_kind(noun: &str) -> Option<ObjectKind> {
    Some(match noun {
        "domain" => ObjectKind::Domain,
        "pool" => ObjectKind::Pool,
        "route" => ObjectKind::Route,
        "team" => ObjectKind::Team,
        "upstream" => ObjectKind::Upstream,
        _ => return None,
    })
}

fn team(args: &mut ArgReader) -> Option<TeamName> {
    args.positional("TEAM", ValueFormat::Name)
}

fn name(args: &mut ArgReader) -> Option<ObjectName> {
    args.positional("NAME", ValueFormat::Name)
}

fn claim(args: &mut ArgReader) -> Option<(TeamName, String)> {
    let team = team(args);
    let key = args.positional("KEY", ValueFormat::Text);
    Some((team?, key?))
}

fn preset(args: &mut ArgReader) -> Option<Preset> {
    let text: String = args.positional("PRESET", ValueFormat::Preset)?;
    let found = Preset::ALL.into_iter().find(|p| p.as_str() == text);
    if found.is_none() {
        let expected = ValueFormat::Preset;
        args.report(
            "PRESET",
            UsageErrorKind::Invalid {
                value: text,
                expected,
            },
        );
    }
    found
}

fn team_change(args: &mut ArgReader) -> Option<TeamChange> {
    let rate = args.optional("rate", ValueFormat::Number);
    let burst = args.optional("burst", ValueFormat::Number);
    let weight = args.optional("weight", ValueFormat::Number);
    let models = args.list("model", ValueFormat::Name, |text| text.parse().ok());
    let domains = args.list("domain", ValueFormat::DomainParts, domain_parts)?;
    let with_parts = domains.iter().filter(|d| d.parts.is_some()).count();
    if with_parts != 0 && with_parts != domains.len() {
        args.report("--domain", UsageErrorKind::MixedParts);
    }
    Some(TeamChange {
        rate: rate.map(TokenRate),
        burst: burst.map(Tokens),
        weight,
        models: models?,
        domains,
    })
}

fn domain_parts(text: &str) -> Option<DomainParts> {
    let (domain, parts) = match text.split_once('=') {
        Some((domain, parts)) => (domain, Some(parts.parse().ok()?)),
        None => (text, None),
    };
    let domain = domain.parse().ok()?;
    let fits = parts.is_none_or(|parts| parts <= limpetsaddle_core::config::TOTAL_PARTS);
    fits.then_some(DomainParts { domain, parts })
}

fn team_create(args: &mut ArgReader) -> Option<Command> {
    let team = team(args);
    for name in ["rate", "burst"] {
        if !args.has_option(name) {
            args.report_missing(&format!("--{name}"));
        }
    }
    let mut change = team_change(args)?;
    change.weight = change.weight.or(Some(DEFAULT_WEIGHT));
    Some(Command::TeamCreate(team?, change))
}

fn team_set(args: &mut ArgReader) -> Option<Command> {
    let team = team(args);
    let change = team_change(args)?;
    if change == TeamChange::default() {
        args.report("team set", UsageErrorKind::NothingToChange);
    }
    Some(Command::TeamSet(team?, change))
}

fn domain_set(args: &mut ArgReader) -> Option<Command> {
    let name = name(args);
    let region = args.required("region", ValueFormat::Name);
    let slots = args.required("slots", ValueFormat::Number);
    Some(Command::DomainSet(name?, region?, slots?))
}

fn pool_set(args: &mut ArgReader) -> Option<Command> {
    let name = name(args);
    let checks_fencing = args.flag("checks-fencing");
    let Some(text) = args.required::<String>("kind", ValueFormat::PoolKind) else {
        args.suppress_unused(&["model", "weights", "block"]);
        return None;
    };
    let kind = match text.as_str() {
        "engine" => engine_kind(args),
        "kv-store" => Some(PoolKind::KvStore),
        "service" => Some(PoolKind::Service),
        _ => {
            let expected = ValueFormat::PoolKind;
            args.report(
                "--kind",
                UsageErrorKind::Invalid {
                    value: text,
                    expected,
                },
            );
            None
        }
    };
    let spec = PoolSpec {
        kind: kind?,
        checks_fencing,
    };
    Some(Command::PoolSet(name?, spec))
}

fn engine_kind(args: &mut ArgReader) -> Option<PoolKind> {
    let model = args.required("model", ValueFormat::Name);
    let weights = args.required("weights", ValueFormat::Number);
    let block = args.required("block", ValueFormat::Number);
    Some(PoolKind::Engine {
        model: model?,
        weights: WeightsVersion(weights?),
        block: Tokens(block?),
    })
}

fn upstream_set(args: &mut ArgReader) -> Option<Command> {
    let name = name(args);
    let pool = args.required("pool", ValueFormat::Name);
    let domain = args.required("domain", ValueFormat::Name);
    let address = args.required("address", ValueFormat::Address);
    Some(Command::UpstreamSet(name?, pool?, domain?, address?))
}

fn route_set(args: &mut ArgReader) -> Option<Command> {
    let name = name(args);
    let path = args.required("path", ValueFormat::Text);
    let pool = args.required("pool", ValueFormat::Name);
    let idempotent = args.flag("idempotent");
    let open = args.flag("open");
    let cost = args.optional("cost", ValueFormat::Number);
    let spec = RouteSpec {
        path: path?,
        pool: pool?,
        idempotent,
        open,
        cost: Tokens(cost.unwrap_or_default()),
    };
    Some(Command::RouteSet(name?, spec))
}
