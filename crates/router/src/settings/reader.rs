//! Reading of settings, collecting all errors.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;
use limpetsaddle_core::units::Tokens;

use super::Problem;
use super::SettingError;
use super::SettingErrors;
use super::Settings;
use super::table::ADMIN;
use super::table::ADVERTISE;
use super::table::DEFAULT_MAX_TOKENS;
use super::table::DOMAIN;
use super::table::DRAIN_TIMEOUT;
use super::table::LISTEN;
use super::table::LOG_LEVEL;
use super::table::MAX_BODY_BYTES;
use super::table::MAX_CALLERS;
use super::table::MAX_HEAD_BYTES;
use super::table::NAME;
use super::table::PEER;
use super::table::PLATFORM;
use super::table::SEEDS;
use super::table::Setting;

/// Reads settings and collects errors.
pub(super) struct Reader<'a> {
    matches: &'a Matches,
    variable: &'a dyn Fn(&str) -> Option<String>,
    errors: Vec<SettingError>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(matches: &'a Matches, variable: &'a dyn Fn(&str) -> Option<String>) -> Self {
        Self {
            matches,
            variable,
            errors: Vec::new(),
        }
    }

    pub(super) fn settings(mut self) -> Result<Settings, SettingErrors> {
        self.check_free_arguments();
        let name = self.value(&NAME);
        let domain = self.value(&DOMAIN);
        let listen = self.value(&LISTEN);
        let admin = self.value(&ADMIN);
        let peer = self.value(&PEER);
        let advertise: Option<Vec<SocketAddr>> = self.list(&ADVERTISE);
        let platform = self.list(&PLATFORM);
        let seeds = self.list(&SEEDS);
        let drain_timeout: Option<u64> = self.value(&DRAIN_TIMEOUT);
        let max_head_bytes = self.value(&MAX_HEAD_BYTES);
        let max_body_bytes = self.value(&MAX_BODY_BYTES);
        let max_callers = self.value(&MAX_CALLERS);
        let default_max_tokens: Option<u64> = self.value(&DEFAULT_MAX_TOKENS);
        let log_level = self.value(&LOG_LEVEL);
        let errors = self.errors;
        let build = || {
            Some(Settings {
                name: name?,
                domain: domain?,
                listen: listen?,
                admin: admin?,
                peer: peer?,
                advertise: advertise?.first().copied().or(peer)?,
                platform: platform?,
                seeds: seeds?,
                drain_timeout: Duration::from_secs(drain_timeout?),
                max_head_bytes: max_head_bytes?,
                max_body_bytes: max_body_bytes?,
                max_callers: max_callers?,
                default_max_tokens: Tokens(default_max_tokens?),
                log_level: log_level?,
            })
        };
        match build() {
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
