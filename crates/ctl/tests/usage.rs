//! Tests of command-line parsing and its errors.

use std::time::Duration;

use limpetsaddle_ctl::Invocation;
use limpetsaddle_ctl::UsageError;
use limpetsaddle_ctl::UsageErrorKind;
use limpetsaddle_ctl::ValueFormat;
use limpetsaddle_ctl::parse;
use yare::parameterized;

fn words(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

fn with_platform(name: &str) -> Option<String> {
    (name == "LIMPETSADDLE_PLATFORM").then(|| "127.0.0.1:7100".to_owned())
}

fn usage_errors(line: &str) -> Vec<UsageError> {
    parse(&words(line), &with_platform).unwrap_err()
}

fn usage_error(setting: &str, kind: UsageErrorKind) -> UsageError {
    UsageError {
        setting: setting.to_owned(),
        kind,
    }
}

fn invalid(setting: &str, value: &str, expected: ValueFormat) -> UsageError {
    let value = value.to_owned();
    usage_error(setting, UsageErrorKind::Invalid { value, expected })
}

#[parameterized(
    create = { "team create yard --rate 100 --burst 1000" },
    create_in_domains = { "team create yard --rate 1 --burst 2 --domain bergen-a=400 --domain voss-c=600" },
    set = { "team set yard --weight 3" },
    list = { "team list" },
    retire = { "team retire yard" },
    issue = { "key issue yard" },
    withdraw = { "key withdraw yard k1" },
    switch = { "preset switch peak" },
    domain = { "domain set bergen-a --region vestland --slots 9" },
    engine_pool = { "pool set lm --kind engine --model lm --weights 1 --block 2048 --checks-fencing" },
    service_pool = { "pool set order-desk --kind service" },
    upstream = { "upstream set lm-1 --pool lm --domain bergen-a --address 127.0.0.1:1" },
    leave = { "upstream leave lm-1" },
    route = { "route set orders --path /orders --pool order-desk --cost 10 --open" },
    apply = { "apply objects.json --json" },
    wait = { "wait 12 --timeout 5" },
    options_first = { "--json status" },
)]
fn verify_valid_command_line(line: &str) {
    let parsed = parse(&words(line), &with_platform);
    assert!(matches!(parsed, Ok(Invocation::Run(..))), "{parsed:?}");
}

#[parameterized(
    no_command = { "", vec![usage_error("COMMAND", UsageErrorKind::Missing)] },
    unknown_command = { "team paint yard", vec![usage_error("team paint", UsageErrorKind::UnknownCommand)] },
    pools_are_not_retired = { "pool retire lm", vec![usage_error("pool retire", UsageErrorKind::UnknownCommand)] },
    several_errors = {
        "team create Yard --rate x --colour red --weight 1 --weight 2",
        vec![
            usage_error("--colour", UsageErrorKind::UnknownOption),
            invalid("TEAM", "Yard", ValueFormat::Name),
            usage_error("--burst", UsageErrorKind::Missing),
            invalid("--rate", "x", ValueFormat::Number),
            usage_error("--weight", UsageErrorKind::Duplicate),
            usage_error("red", UsageErrorKind::Unused),
        ]
    },
    unused = {
        "team list --burst 1 extra",
        vec![usage_error("--burst", UsageErrorKind::Unused), usage_error("extra", UsageErrorKind::Unused)]
    },
    mixed_parts = {
        "team set yard --domain a=500 --domain b",
        vec![usage_error("--domain", UsageErrorKind::MixedParts)]
    },
    too_many_parts = {
        "team set yard --domain a=1001",
        vec![invalid("--domain", "a=1001", ValueFormat::DomainParts)]
    },
    nothing_to_change = { "team set yard", vec![usage_error("team set", UsageErrorKind::NothingToChange)] },
    preset = { "preset switch noon", vec![invalid("PRESET", "noon", ValueFormat::Preset)] },
    pool_without_kind = { "pool set lm --model lm", vec![usage_error("--kind", UsageErrorKind::Missing)] },
    engine_without_model = {
        "pool set lm --kind engine --weights 1",
        vec![usage_error("--model", UsageErrorKind::Missing), usage_error("--block", UsageErrorKind::Missing)]
    },
    no_value = { "team list --platform", vec![usage_error("--platform", UsageErrorKind::MissingValue)] },
    address = {
        "upstream set e --pool p --domain d --address here",
        vec![invalid("--address", "here", ValueFormat::Address)]
    },
)]
fn verify_usage_errors(line: &str, expected: Vec<UsageError>) {
    assert_eq!(usage_errors(line), expected);
}

#[test]
fn verify_flag_overrides_environment_variable() {
    let variable = |name: &str| match name {
        "LIMPETSADDLE_PLATFORM" => Some("127.0.0.1:1, 127.0.0.1:2".to_owned()),
        "LIMPETSADDLE_TIMEOUT" => Some("7".to_owned()),
        "LIMPETSADDLE_JSON" => Some("true".to_owned()),
        _ => None,
    };
    let Ok(Invocation::Run(by_variable, _)) = parse(&words("status"), &variable) else {
        panic!("the environment variables are not read");
    };
    assert_eq!(by_variable.platform.len(), 2);
    assert_eq!(by_variable.timeout, Duration::from_secs(7));
    assert!(by_variable.json);
    let line = "status --platform 127.0.0.1:9 --timeout 8";
    let Ok(Invocation::Run(by_flag, _)) = parse(&words(line), &variable) else {
        panic!("the flags are not read");
    };
    assert_eq!(by_flag.platform, ["127.0.0.1:9".parse().unwrap()]);
    assert_eq!(by_flag.timeout, Duration::from_secs(8));
}

#[test]
fn verify_invalid_environment_variables_are_reported() {
    let variable = |_: &str| Some("x".to_owned());
    let errors = parse(&words("status"), &variable).unwrap_err();
    let settings: Vec<&str> = errors.iter().map(|m| m.setting.as_str()).collect();
    let expected = [
        "LIMPETSADDLE_PLATFORM",
        "LIMPETSADDLE_JSON",
        "LIMPETSADDLE_TIMEOUT",
    ];
    assert_eq!(settings, expected);
}

#[parameterized(
    command = { "status", true },
    offline = { "validate objects.json", false },
)]
fn verify_platform_is_required(line: &str, required: bool) {
    assert_eq!(parse(&words(line), &|_| None).is_err(), required);
}
