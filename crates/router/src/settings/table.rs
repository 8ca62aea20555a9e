//! Definitions of the settings.

/// The definition of a setting: its flag, variable, help and default.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setting {
    pub(super) flag: &'static str,
    pub(super) variable: &'static str,
    pub(super) hint: &'static str,
    pub(super) help: &'static str,
    pub(super) default: Option<&'static str>,
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

pub(super) const NAME: Setting = setting(
    "name",
    "LIMPETSADDLE_NAME",
    "NAME",
    "name of this instance, unique in the fleet",
    None,
);
pub(super) const DOMAIN: Setting = setting(
    "domain",
    "LIMPETSADDLE_DOMAIN",
    "NAME",
    "failure domain that this instance runs in",
    None,
);
pub(super) const LISTEN: Setting = setting(
    "listen",
    "LIMPETSADDLE_LISTEN",
    "IP:PORT",
    "address to listen on for callers",
    Some("127.0.0.1:8080"),
);
pub(super) const ADMIN: Setting = setting(
    "admin",
    "LIMPETSADDLE_ADMIN",
    "IP:PORT",
    "address to listen on for metrics and health checks",
    Some("127.0.0.1:8081"),
);
pub(super) const PEER: Setting = setting(
    "peer",
    "LIMPETSADDLE_PEER",
    "IP:PORT",
    "address to listen on for other instances",
    Some("127.0.0.1:8082"),
);
pub(super) const ADVERTISE: Setting = setting(
    "advertise",
    "LIMPETSADDLE_ADVERTISE",
    "IP:PORT",
    "address under which other instances reach --peer; --peer itself if empty",
    Some(""),
);
pub(super) const PLATFORM: Setting = setting(
    "platform",
    "LIMPETSADDLE_PLATFORM",
    "IP:PORT,...",
    "addresses of the platform's object API",
    None,
);
pub(super) const SEEDS: Setting = setting(
    "seeds",
    "LIMPETSADDLE_SEEDS",
    "IP:PORT,...",
    "addresses of peers to contact at startup",
    Some(""),
);
pub(super) const DRAIN_TIMEOUT: Setting = setting(
    "drain-seconds",
    "LIMPETSADDLE_DRAIN_SECONDS",
    "SECONDS",
    "maximum time that a stop waits for requests in progress",
    Some("120"),
);
pub(super) const MAX_HEAD_BYTES: Setting = setting(
    "max-head-bytes",
    "LIMPETSADDLE_MAX_HEAD_BYTES",
    "BYTES",
    "maximum size of a request's head",
    Some("32768"),
);
pub(super) const MAX_BODY_BYTES: Setting = setting(
    "max-body-bytes",
    "LIMPETSADDLE_MAX_BODY_BYTES",
    "BYTES",
    "maximum size of a request's body",
    Some("8388608"),
);
pub(super) const MAX_CALLERS: Setting = setting(
    "max-callers",
    "LIMPETSADDLE_MAX_CALLERS",
    "COUNT",
    "maximum number of open connections of callers",
    Some("4096"),
);
pub(super) const DEFAULT_MAX_TOKENS: Setting = setting(
    "default-answer-tokens",
    "LIMPETSADDLE_DEFAULT_ANSWER_TOKENS",
    "TOKENS",
    "maximum number of output tokens if a request sets none",
    Some("512"),
);
pub(super) const LOG_LEVEL: Setting = setting(
    "log-level",
    "LIMPETSADDLE_LOG_LEVEL",
    "LEVEL",
    "off, error, warn, info, debug or trace",
    Some("info"),
);

pub(super) const SETTINGS: [Setting; 14] = [
    NAME,
    DOMAIN,
    LISTEN,
    ADMIN,
    PEER,
    ADVERTISE,
    PLATFORM,
    SEEDS,
    DRAIN_TIMEOUT,
    MAX_HEAD_BYTES,
    MAX_BODY_BYTES,
    MAX_CALLERS,
    DEFAULT_MAX_TOKENS,
    LOG_LEVEL,
];
