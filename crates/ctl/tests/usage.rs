//! Contract tests of the command line, with its mistakes in tables.

use std::time::Duration;

use limpetsaddle_ctl::Expected;
use limpetsaddle_ctl::Invocation;
use limpetsaddle_ctl::Mistake;
use limpetsaddle_ctl::Problem;
use limpetsaddle_ctl::parse;
use yare::parameterized;

fn words(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

fn with_platform(name: &str) -> Option<String> {
    (name == "LIMPETSADDLE_PLATFORM").then(|| "127.0.0.1:7100".to_owned())
}

fn mistakes(line: &str) -> Vec<Mistake> {
    parse(&words(line), &with_platform).unwrap_err()
}

fn mistake(setting: &str, problem: Problem) -> Mistake {
    Mistake {
        setting: setting.to_owned(),
        problem,
    }
}

fn invalid(setting: &str, value: &str, expected: Expected) -> Mistake {
    let value = value.to_owned();
    mistake(setting, Problem::Invalid { value, expected })
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
fn verify_command(line: &str) {
    let parsed = parse(&words(line), &with_platform);
    assert!(matches!(parsed, Ok(Invocation::Run(..))), "{parsed:?}");
}

#[parameterized(
    no_command = { "", vec![mistake("COMMAND", Problem::Missing)] },
    unknown_command = { "team paint yard", vec![mistake("team paint", Problem::UnknownCommand)] },
    pools_are_not_retired = { "pool retire lm", vec![mistake("pool retire", Problem::UnknownCommand)] },
    many = {
        "team create Yard --rate x --colour red --weight 1 --weight 2",
        vec![
            mistake("--colour", Problem::UnknownOption),
            invalid("TEAM", "Yard", Expected::Name),
            mistake("--burst", Problem::Missing),
            invalid("--rate", "x", Expected::Number),
            mistake("--weight", Problem::Repeated),
            mistake("red", Problem::Unused),
        ]
    },
    unused = {
        "team list --burst 1 extra",
        vec![mistake("--burst", Problem::Unused), mistake("extra", Problem::Unused)]
    },
    mixed_parts = {
        "team set yard --domain a=500 --domain b",
        vec![mistake("--domain", Problem::MixedParts)]
    },
    too_many_parts = {
        "team set yard --domain a=1001",
        vec![invalid("--domain", "a=1001", Expected::DomainParts)]
    },
    nothing_to_change = { "team set yard", vec![mistake("team set", Problem::NothingToChange)] },
    preset = { "preset switch noon", vec![invalid("PRESET", "noon", Expected::Preset)] },
    pool_without_kind = { "pool set lm --model lm", vec![mistake("--kind", Problem::Missing)] },
    engine_without_model = {
        "pool set lm --kind engine --weights 1",
        vec![mistake("--model", Problem::Missing), mistake("--block", Problem::Missing)]
    },
    no_value = { "team list --platform", vec![mistake("--platform", Problem::NoValue)] },
    address = {
        "upstream set e --pool p --domain d --address here",
        vec![invalid("--address", "here", Expected::Address)]
    },
)]
fn verify_mistakes(line: &str, expected: Vec<Mistake>) {
    assert_eq!(mistakes(line), expected);
}

#[test]
fn verify_flag_wins_over_variable() {
    let variable = |name: &str| match name {
        "LIMPETSADDLE_PLATFORM" => Some("127.0.0.1:1, 127.0.0.1:2".to_owned()),
        "LIMPETSADDLE_TIMEOUT" => Some("7".to_owned()),
        "LIMPETSADDLE_JSON" => Some("true".to_owned()),
        _ => None,
    };
    let Ok(Invocation::Run(by_variable, _)) = parse(&words("status"), &variable) else {
        panic!("the variables are not read");
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
fn verify_faulty_variables_are_named() {
    let variable = |_: &str| Some("x".to_owned());
    let found = parse(&words("status"), &variable).unwrap_err();
    let settings: Vec<&str> = found.iter().map(|m| m.setting.as_str()).collect();
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
