//! The commands and how a command line names them.

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

use crate::mistakes::Expected;
use crate::mistakes::Mistake;
use crate::mistakes::Problem;
use crate::scanner::Scanner;
use crate::settings::Settings;

/// The weight of a team unless an option gives another.
const DEFAULT_WEIGHT: u32 = 1;

/// An `Invocation` is what a command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Invocation {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Carry out a command.
    Run(Settings, Command),
}

/// A `Command` is one command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Creates a team.
    TeamCreate(TeamName, TeamChange),
    /// Changes a team.
    TeamSet(TeamName, TeamChange),
    /// Lists objects of one kind.
    List(Listed),
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
    /// Puts a preset in force.
    PresetSwitch(Preset),
    /// Creates or changes a failure domain.
    DomainSet(ObjectName, DomainName, u16),
    /// Creates or changes a pool.
    PoolSet(ObjectName, PoolSpec),
    /// Creates an upstream, or changes it and takes it into service.
    UpstreamSet(ObjectName, PoolName, DomainName, SocketAddr),
    /// Lets an upstream end its work.
    UpstreamLeave(ObjectName),
    /// Creates or changes a route.
    RouteSet(ObjectName, RouteSpec),
    /// Retires an object.
    Retire(Listed, ObjectName),
    /// Checks a file of objects.
    Validate(String),
    /// Checks and writes a file of objects.
    Apply(String),
    /// Shows what each instance reports.
    Status,
    /// Waits until a revision is in force everywhere.
    Wait(Revision),
}

/// A `Listed` is a kind of object that commands name directly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listed {
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

/// A `TeamChange` holds what a command says about a team.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TeamChange {
    /// The rate.
    pub rate: Option<TokenRate>,
    /// The burst.
    pub burst: Option<Tokens>,
    /// The weight.
    pub weight: Option<u32>,
    /// The models; empty leaves them as they are.
    pub models: Vec<ModelName>,
    /// The failure domains with their parts; empty leaves them as they are.
    pub domains: Vec<DomainParts>,
}

/// A `DomainParts` is a failure domain with its part of a team's limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainParts {
    /// The failure domain.
    pub domain: DomainName,
    /// Its part of 1000, or `None` for an equal split.
    pub parts: Option<u16>,
}

/// Returns what a command line and the environment ask for.
///
/// # Errors
///
/// Returns every mistake of the command line and the environment.
pub fn parse(
    args: &[String],
    variable: &dyn Fn(&str) -> Option<String>,
) -> Result<Invocation, Vec<Mistake>> {
    let mut scanner = Scanner::new(args, variable);
    if scanner.flag("help") {
        return Ok(Invocation::Help);
    }
    if scanner.flag("version") {
        return Ok(Invocation::Version);
    }
    let found = scan(&mut scanner);
    let offline = matches!(found, Scanned::Command(Command::Validate(_)));
    let settings = Settings::scan(&mut scanner, !offline);
    let mistakes = scanner.finish(!matches!(found, Scanned::Unknown));
    match found {
        Scanned::Command(command) if mistakes.is_empty() => Ok(Invocation::Run(settings, command)),
        _ => Err(mistakes),
    }
}

/// A `Scanned` is the command that the words of a command line name.
enum Scanned {
    Command(Command),
    /// A known command whose arguments have mistakes.
    Faulty,
    Unknown,
}

impl From<Option<Command>> for Scanned {
    fn from(command: Option<Command>) -> Self {
        command.map_or(Self::Faulty, Self::Command)
    }
}

fn scan(s: &mut Scanner) -> Scanned {
    let Some(noun) = s.next_word() else {
        s.missing("COMMAND");
        return Scanned::Unknown;
    };
    match noun.as_str() {
        "validate" => s.word("FILE", Expected::Text).map(Command::Validate).into(),
        "apply" => s.word("FILE", Expected::Text).map(Command::Apply).into(),
        "status" => Scanned::Command(Command::Status),
        "wait" => {
            let revision = s.word("REVISION", Expected::Number).map(Revision);
            revision.map(Command::Wait).into()
        }
        noun => scan_pair(s, noun),
    }
}

fn scan_pair(s: &mut Scanner, noun: &str) -> Scanned {
    let verb = s.next_word().unwrap_or_default();
    let command = match (noun, verb.as_str()) {
        ("team", "create") => team_create(s),
        ("team", "set") => team_set(s),
        ("team", "show") => team(s).map(Command::TeamShow),
        ("key", "issue") => team(s).map(Command::KeyIssue),
        ("key", "list") => team(s).map(Command::KeyList),
        ("key", "withdraw") => key_withdraw(s),
        ("claim", "show") => claim(s).map(|(team, key)| Command::ClaimShow(team, key)),
        ("claim", "release") => claim(s).map(|(team, key)| Command::ClaimRelease(team, key)),
        ("preset", "show") => Some(Command::PresetShow),
        ("preset", "switch") => preset(s).map(Command::PresetSwitch),
        ("domain", "set") => domain_set(s),
        ("pool", "set") => pool_set(s),
        ("upstream", "set") => upstream_set(s),
        ("upstream", "leave") => name(s).map(Command::UpstreamLeave),
        ("route", "set") => route_set(s),
        (noun, verb) => return scan_listed(s, noun, verb),
    };
    command.into()
}

/// Scans the commands that are alike for several kinds of objects.
fn scan_listed(s: &mut Scanner, noun: &str, verb: &str) -> Scanned {
    match (listed(noun), verb) {
        (Some(kind), "list") => Scanned::Command(Command::List(kind)),
        (Some(kind @ (Listed::Route | Listed::Team | Listed::Upstream)), "retire") => {
            name(s).map(|name| Command::Retire(kind, name)).into()
        }
        _ => {
            let text = format!("{noun} {verb}");
            s.mistake(text.trim(), Problem::UnknownCommand);
            Scanned::Unknown
        }
    }
}

fn key_withdraw(s: &mut Scanner) -> Option<Command> {
    let team = team(s);
    let key = s.word("KEYID", Expected::Name);
    Some(Command::KeyWithdraw(team?, key?))
}

fn listed(noun: &str) -> Option<Listed> {
    Some(match noun {
        "domain" => Listed::Domain,
        "pool" => Listed::Pool,
        "route" => Listed::Route,
        "team" => Listed::Team,
        "upstream" => Listed::Upstream,
        _ => return None,
    })
}

fn team(s: &mut Scanner) -> Option<TeamName> {
    s.word("TEAM", Expected::Name)
}

fn name(s: &mut Scanner) -> Option<ObjectName> {
    s.word("NAME", Expected::Name)
}

fn claim(s: &mut Scanner) -> Option<(TeamName, String)> {
    let team = team(s);
    let key = s.word("KEY", Expected::Text);
    Some((team?, key?))
}

fn preset(s: &mut Scanner) -> Option<Preset> {
    let text: String = s.word("PRESET", Expected::Preset)?;
    let found = Preset::ALL.into_iter().find(|p| p.as_str() == text);
    if found.is_none() {
        let expected = Expected::Preset;
        s.mistake(
            "PRESET",
            Problem::Invalid {
                value: text,
                expected,
            },
        );
    }
    found
}

fn team_change(s: &mut Scanner) -> Option<TeamChange> {
    let rate = s.optional("rate", Expected::Number);
    let burst = s.optional("burst", Expected::Number);
    let weight = s.optional("weight", Expected::Number);
    let models = s.list("model", Expected::Name, |text| text.parse().ok());
    let domains = s.list("domain", Expected::DomainParts, domain_parts)?;
    let with_parts = domains.iter().filter(|d| d.parts.is_some()).count();
    if with_parts != 0 && with_parts != domains.len() {
        s.mistake("--domain", Problem::MixedParts);
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

fn team_create(s: &mut Scanner) -> Option<Command> {
    let team = team(s);
    for name in ["rate", "burst"] {
        if !s.has_option(name) {
            s.missing(&format!("--{name}"));
        }
    }
    let mut change = team_change(s)?;
    change.weight = change.weight.or(Some(DEFAULT_WEIGHT));
    Some(Command::TeamCreate(team?, change))
}

fn team_set(s: &mut Scanner) -> Option<Command> {
    let team = team(s);
    let change = team_change(s)?;
    if change == TeamChange::default() {
        s.mistake("team set", Problem::NothingToChange);
    }
    Some(Command::TeamSet(team?, change))
}

fn domain_set(s: &mut Scanner) -> Option<Command> {
    let name = name(s);
    let region = s.required("region", Expected::Name);
    let slots = s.required("slots", Expected::Number);
    Some(Command::DomainSet(name?, region?, slots?))
}

fn pool_set(s: &mut Scanner) -> Option<Command> {
    let name = name(s);
    let checks_fencing = s.flag("checks-fencing");
    let Some(text) = s.required::<String>("kind", Expected::PoolKind) else {
        s.ignore(&["model", "weights", "block"]);
        return None;
    };
    let kind = match text.as_str() {
        "engine" => engine_kind(s),
        "kv-store" => Some(PoolKind::KvStore),
        "service" => Some(PoolKind::Service),
        _ => {
            let expected = Expected::PoolKind;
            s.mistake(
                "--kind",
                Problem::Invalid {
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

fn engine_kind(s: &mut Scanner) -> Option<PoolKind> {
    let model = s.required("model", Expected::Name);
    let weights = s.required("weights", Expected::Number);
    let block = s.required("block", Expected::Number);
    Some(PoolKind::Engine {
        model: model?,
        weights: WeightsVersion(weights?),
        block: Tokens(block?),
    })
}

fn upstream_set(s: &mut Scanner) -> Option<Command> {
    let name = name(s);
    let pool = s.required("pool", Expected::Name);
    let domain = s.required("domain", Expected::Name);
    let address = s.required("address", Expected::Address);
    Some(Command::UpstreamSet(name?, pool?, domain?, address?))
}

fn route_set(s: &mut Scanner) -> Option<Command> {
    let name = name(s);
    let path = s.required("path", Expected::Text);
    let pool = s.required("pool", Expected::Name);
    let idempotent = s.flag("idempotent");
    let open = s.flag("open");
    let cost = s.optional("cost", Expected::Number);
    let spec = RouteSpec {
        path: path?,
        pool: pool?,
        idempotent,
        open,
        cost: Tokens(cost.unwrap_or_default()),
    };
    Some(Command::RouteSet(name?, spec))
}
