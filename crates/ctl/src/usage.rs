//! The help text and the options.

use std::io::Write;

use getopts::Options;

use crate::error::Result;

const USAGE: &str = "\
Usage: limpetctl [OPTIONS] COMMAND

Commands:
  team create TEAM --rate N --burst N [--weight N] [--model NAME]... [--domain NAME[=PARTS]]...
  team set TEAM [--rate N] [--burst N] [--weight N] [--model NAME]... [--domain NAME[=PARTS]]...
  team list | team show TEAM | team retire TEAM
  key issue TEAM | key list TEAM | key withdraw TEAM KEYID
  claim show TEAM KEY | claim release TEAM KEY
  preset show | preset switch ordinary|peak|maintenance
  domain set DOMAIN --region NAME --slots N | domain list
  pool set POOL --kind engine --model NAME --weights N --block N [--checks-fencing]
  pool set POOL --kind kv-store|service [--checks-fencing] | pool list
  upstream set UPSTREAM --pool NAME --domain NAME --address IP:PORT
  upstream list | upstream leave UPSTREAM | upstream retire UPSTREAM
  route set ROUTE --path PATH --pool NAME [--idempotent] [--open] [--cost N]
  route list | route retire ROUTE
  validate FILE | apply FILE
  status
  wait REVISION [--timeout SECONDS]

Exit codes:
  0 success  1 invalid usage  2 invalid configuration  3 conflict, nothing written
  4 not found  5 platform unavailable  6 outcome unknown  7 wait timed out
";

/// The options with a value: name, placeholder and description.
const VALUE_OPTIONS: [(&str, &str, &str); 16] = [
    ("address", "IP:PORT", "address of an upstream"),
    ("block", "TOKENS", "length of a cache block"),
    ("burst", "TOKENS", "burst limit of a team, in tokens"),
    (
        "cost",
        "TOKENS",
        "tokens charged for a request of the route",
    ),
    (
        "domain",
        "NAME[=PARTS]",
        "failure domain, for teams with its parts per 1000",
    ),
    ("kind", "KIND", "engine, kv-store or service"),
    ("model", "NAME", "model"),
    ("path", "PATH", "path prefix of a route"),
    (
        "platform",
        "ADDRESSES",
        "addresses of the platform [LIMPETSADDLE_PLATFORM]",
    ),
    ("pool", "NAME", "pool"),
    (
        "rate",
        "TOKENS",
        "rate limit of a team, in tokens per second",
    ),
    ("region", "NAME", "region of a failure domain"),
    ("slots", "N", "number of slots of a failure domain"),
    ("timeout", "SECONDS", "maximum wait [LIMPETSADDLE_TIMEOUT]"),
    (
        "weight",
        "N",
        "share of contended capacity, relative to other teams",
    ),
    ("weights", "N", "weights version of a model"),
];

/// The options without a value: name and description.
const FLAGS: [(&str, &str); 6] = [
    (
        "checks-fencing",
        "upstreams reject orders with an old fencing number",
    ),
    ("help", "print this help"),
    (
        "idempotent",
        "requests of the route may be sent more than once",
    ),
    (
        "json",
        "print reports and errors as JSON [LIMPETSADDLE_JSON=true]",
    ),
    ("open", "the route needs no key"),
    ("version", "print the version"),
];

pub(crate) fn options() -> Options {
    let mut options = Options::new();
    for (name, placeholder, description) in VALUE_OPTIONS {
        options.optmulti("", name, description, placeholder);
    }
    for (name, description) in FLAGS {
        options.optflagmulti("", name, description);
    }
    options
}

pub(crate) fn option_names() -> impl Iterator<Item = &'static str> {
    let values = VALUE_OPTIONS.iter().map(|(name, ..)| *name);
    values.chain(FLAGS.iter().map(|(name, _)| *name))
}

pub(crate) fn write_help(out: &mut dyn Write) -> Result<()> {
    writeln!(out, "{}", options().usage(USAGE).trim_end())?;
    Ok(())
}

pub(crate) fn write_version(out: &mut dyn Write) -> Result<()> {
    writeln!(out, "limpetctl {}", env!("CARGO_PKG_VERSION"))?;
    Ok(())
}
