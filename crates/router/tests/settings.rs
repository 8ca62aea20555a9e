//! Tests of command-line and environment settings.

use limpetsaddle_router::settings::Command;
use limpetsaddle_router::settings::Settings;
use limpetsaddle_router::settings::parse;
use yare::parameterized;

const VALID: [&str; 6] = [
    "--name",
    "a1",
    "--domain",
    "a",
    "--platform",
    "127.0.0.1:7000",
];

fn args(extra: &[&str]) -> Vec<String> {
    VALID.iter().chain(extra).map(ToString::to_string).collect()
}

fn settings(command: Command) -> Settings {
    match command {
        Command::Run(settings) | Command::Check(settings) => *settings,
        other => panic!("no settings in {other:?}"),
    }
}

#[test]
fn verify_flag_overrides_environment_variable() {
    let variable = |name: &str| match name {
        "LIMPETSADDLE_DOMAIN" => Some("b".to_owned()),
        "LIMPETSADDLE_DRAIN_SECONDS" => Some("7".to_owned()),
        _ => None,
    };
    let settings = settings(parse(&args(&[]), variable).expect("valid settings"));
    assert_eq!(settings.domain.as_str(), "a");
    assert_eq!(settings.drain_timeout.as_secs(), 7);
}

#[test]
fn verify_all_errors_are_reported_together() {
    let bad = [
        "--name",
        "Not A Name",
        "--listen",
        "nowhere",
        "--log-level",
        "loud",
        "extra",
    ];
    let errors = parse(&bad.map(String::from), |_| None).expect_err("invalid settings");
    let text = errors.to_string();
    for part in [
        "--name (LIMPETSADDLE_NAME)",
        "--domain (LIMPETSADDLE_DOMAIN): is required",
        "--platform (LIMPETSADDLE_PLATFORM): is required",
        "--listen (LIMPETSADDLE_LISTEN)",
        "--log-level (LIMPETSADDLE_LOG_LEVEL)",
        "unexpected argument \"extra\"",
    ] {
        assert!(text.contains(part), "{part} is missing in: {text}");
    }
}

#[parameterized(
    unknown_flag = { "--no-such-flag" },
    flag_without_value = { "--listen" },
)]
fn verify_invalid_command_line(extra: &str) {
    assert!(parse(&args(&[extra]), |_| None).is_err());
}

#[test]
fn verify_other_commands() {
    let check = parse(&args(&["--check-settings"]), |_| None).expect("valid settings");
    assert!(matches!(check, Command::Check(_)));
    let version = parse(&["--version".to_owned()], |_| None).expect("a command");
    assert_eq!(version, Command::Version);
    let Command::Help(text) = parse(&["--help".to_owned()], |_| None).expect("a command") else {
        panic!("no help text");
    };
    assert!(text.contains("LIMPETSADDLE_PLATFORM"));
}
