//! Reader of options, positional arguments and environment variables.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::str::FromStr;

use getopts::Fail;
use getopts::Matches;
use getopts::Options;

use crate::usage;
use crate::usage_error::UsageError;
use crate::usage_error::UsageErrorKind;
use crate::usage_error::ValueFormat;

/// Reads a command line and environment variables and collects all errors.
pub(crate) struct ArgReader<'a> {
    matches: Matches,
    positionals: VecDeque<String>,
    used: BTreeSet<&'static str>,
    errors: Vec<UsageError>,
    env: &'a dyn Fn(&str) -> Option<String>,
}

impl<'a> ArgReader<'a> {
    pub(crate) fn new(args: &[String], env: &'a dyn Fn(&str) -> Option<String>) -> Self {
        let mut errors = Vec::new();
        let matches = split(&usage::options(), args.to_vec(), &mut errors);
        let positionals = matches.free.iter().cloned().collect();
        Self {
            matches,
            positionals,
            used: BTreeSet::new(),
            errors,
            env,
        }
    }

    pub(crate) fn flag(&mut self, name: &'static str) -> bool {
        self.used.insert(name);
        self.matches.opt_present(name)
    }

    pub(crate) fn has_option(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    pub(crate) fn has_option_or_env(&self, name: &str, variable: &str) -> bool {
        self.has_option(name) || (self.env)(variable).is_some()
    }

    /// Suppresses [`UsageErrorKind::Unused`] for options that depend on a missing one.
    pub(crate) fn suppress_unused(&mut self, names: &[&'static str]) {
        self.used.extend(names);
    }

    pub(crate) fn values(&mut self, name: &'static str) -> Vec<String> {
        self.used.insert(name);
        self.matches.opt_strs(name)
    }

    pub(crate) fn list<T>(
        &mut self,
        name: &'static str,
        expected: ValueFormat,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<Vec<T>> {
        let texts = self.values(name);
        let setting = format!("--{name}");
        let parsed = texts
            .iter()
            .map(|text| self.check(&setting, text, expected, parse(text)));
        parsed.collect::<Vec<_>>().into_iter().collect()
    }

    pub(crate) fn optional<T: FromStr>(
        &mut self,
        name: &'static str,
        expected: ValueFormat,
    ) -> Option<T> {
        let mut texts = self.values(name);
        if texts.len() > 1 {
            self.report(&format!("--{name}"), UsageErrorKind::Duplicate);
        }
        let text = texts.pop()?;
        let value = text.parse().ok();
        self.check(&format!("--{name}"), &text, expected, value)
    }

    pub(crate) fn required<T: FromStr>(
        &mut self,
        name: &'static str,
        expected: ValueFormat,
    ) -> Option<T> {
        if self.matches.opt_present(name) {
            return self.optional(name, expected);
        }
        self.used.insert(name);
        self.report_missing(&format!("--{name}"));
        None
    }

    /// Reads an option or, without it, the environment variable.
    pub(crate) fn option_or_env<T>(
        &mut self,
        name: &'static str,
        variable: &str,
        expected: ValueFormat,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let mut texts = self.values(name);
        if texts.len() > 1 {
            self.report(&format!("--{name}"), UsageErrorKind::Duplicate);
        }
        if let Some(text) = texts.pop() {
            let value = parse(&text);
            return self.check(&format!("--{name}"), &text, expected, value);
        }
        let text = (self.env)(variable)?;
        let value = parse(&text);
        self.check(variable, &text, expected, value)
    }

    pub(crate) fn flag_or_env(&mut self, name: &'static str, variable: &str) -> bool {
        if self.flag(name) {
            return true;
        }
        let Some(text) = (self.env)(variable) else {
            return false;
        };
        let value = text.parse().ok();
        self.check(variable, &text, ValueFormat::Boolean, value) == Some(true)
    }

    pub(crate) fn next_positional(&mut self) -> Option<String> {
        self.positionals.pop_front()
    }

    pub(crate) fn positional<T: FromStr>(
        &mut self,
        label: &str,
        expected: ValueFormat,
    ) -> Option<T> {
        let Some(text) = self.next_positional() else {
            self.report_missing(label);
            return None;
        };
        let value = text.parse().ok();
        self.check(label, &text, expected, value)
    }

    pub(crate) fn report_missing(&mut self, setting: &str) {
        self.report(setting, UsageErrorKind::Missing);
    }

    pub(crate) fn report(&mut self, setting: &str, kind: UsageErrorKind) {
        self.errors.push(UsageError::new(setting, kind));
    }

    fn check<T>(
        &mut self,
        setting: &str,
        text: &str,
        expected: ValueFormat,
        value: Option<T>,
    ) -> Option<T> {
        if value.is_none() {
            let value = text.to_owned();
            self.report(setting, UsageErrorKind::Invalid { value, expected });
        }
        value
    }

    /// Returns all errors, including unused options and positional arguments.
    pub(crate) fn into_errors(mut self, command_known: bool) -> Vec<UsageError> {
        if command_known {
            for name in usage::option_names() {
                if self.matches.opt_present(name) && !self.used.contains(name) {
                    self.report(&format!("--{name}"), UsageErrorKind::Unused);
                }
            }
            for word in std::mem::take(&mut self.positionals) {
                self.report(&word, UsageErrorKind::Unused);
            }
        }
        self.errors
    }
}

/// Parses the command line, dropping and recording each invalid option.
fn split(options: &Options, mut args: Vec<String>, errors: &mut Vec<UsageError>) -> Matches {
    loop {
        let fail = match options.parse(&args) {
            Ok(matches) => return matches,
            Err(fail) => fail,
        };
        let (name, kind) = match fail {
            Fail::UnrecognizedOption(name) => (name, UsageErrorKind::UnknownOption),
            Fail::ArgumentMissing(name) => (name, UsageErrorKind::MissingValue),
            Fail::OptionMissing(name) => (name, UsageErrorKind::Missing),
            Fail::OptionDuplicated(name) => (name, UsageErrorKind::Duplicate),
            Fail::UnexpectedArgument(name) => (name, UsageErrorKind::Unused),
        };
        let flag = if name.len() > 1 {
            format!("--{name}")
        } else {
            format!("-{name}")
        };
        errors.push(UsageError::new(flag.clone(), kind));
        let before = args.len();
        args.retain(|arg| arg.split('=').next() != Some(flag.as_str()));
        if args.len() == before {
            // The option is in a group of short options, which cannot be
            // dropped singly.
            args.clear();
        }
    }
}
