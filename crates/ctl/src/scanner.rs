//! Reading options and words while collecting every mistake.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::str::FromStr;

use getopts::Fail;
use getopts::Matches;
use getopts::Options;

use crate::mistakes::Expected;
use crate::mistakes::Mistake;
use crate::mistakes::Problem;
use crate::usage;

/// A `Scanner` reads a command line and the environment.
pub(crate) struct Scanner<'a> {
    matches: Matches,
    words: VecDeque<String>,
    used: BTreeSet<&'static str>,
    mistakes: Vec<Mistake>,
    variable: &'a dyn Fn(&str) -> Option<String>,
}

impl<'a> Scanner<'a> {
    pub(crate) fn new(args: &[String], variable: &'a dyn Fn(&str) -> Option<String>) -> Self {
        let mut mistakes = Vec::new();
        let matches = split(&usage::options(), args.to_vec(), &mut mistakes);
        let words = matches.free.iter().cloned().collect();
        Self {
            matches,
            words,
            used: BTreeSet::new(),
            mistakes,
            variable,
        }
    }

    pub(crate) fn flag(&mut self, name: &'static str) -> bool {
        self.used.insert(name);
        self.matches.opt_present(name)
    }

    pub(crate) fn has_option(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    pub(crate) fn has_setting(&self, name: &str, variable: &str) -> bool {
        self.has_option(name) || (self.variable)(variable).is_some()
    }

    /// Counts options as read whose meaning hangs on a missing one.
    pub(crate) fn ignore(&mut self, names: &[&'static str]) {
        self.used.extend(names);
    }

    pub(crate) fn texts(&mut self, name: &'static str) -> Vec<String> {
        self.used.insert(name);
        self.matches.opt_strs(name)
    }

    pub(crate) fn list<T>(
        &mut self,
        name: &'static str,
        expected: Expected,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<Vec<T>> {
        let texts = self.texts(name);
        let setting = format!("--{name}");
        let parsed = texts
            .iter()
            .map(|text| self.check(&setting, text, expected, parse(text)));
        parsed.collect::<Vec<_>>().into_iter().collect()
    }

    pub(crate) fn optional<T: FromStr>(
        &mut self,
        name: &'static str,
        expected: Expected,
    ) -> Option<T> {
        let mut texts = self.texts(name);
        if texts.len() > 1 {
            self.mistake(&format!("--{name}"), Problem::Repeated);
        }
        let text = texts.pop()?;
        let value = text.parse().ok();
        self.check(&format!("--{name}"), &text, expected, value)
    }

    pub(crate) fn required<T: FromStr>(
        &mut self,
        name: &'static str,
        expected: Expected,
    ) -> Option<T> {
        if self.matches.opt_present(name) {
            return self.optional(name, expected);
        }
        self.used.insert(name);
        self.missing(&format!("--{name}"));
        None
    }

    /// Reads a setting by flag or, without the flag, by variable.
    pub(crate) fn setting<T>(
        &mut self,
        name: &'static str,
        variable: &str,
        expected: Expected,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let mut texts = self.texts(name);
        if texts.len() > 1 {
            self.mistake(&format!("--{name}"), Problem::Repeated);
        }
        if let Some(text) = texts.pop() {
            let value = parse(&text);
            return self.check(&format!("--{name}"), &text, expected, value);
        }
        let text = (self.variable)(variable)?;
        let value = parse(&text);
        self.check(variable, &text, expected, value)
    }

    pub(crate) fn switch(&mut self, name: &'static str, variable: &str) -> bool {
        if self.flag(name) {
            return true;
        }
        let Some(text) = (self.variable)(variable) else {
            return false;
        };
        let value = text.parse().ok();
        self.check(variable, &text, Expected::Boolean, value) == Some(true)
    }

    pub(crate) fn next_word(&mut self) -> Option<String> {
        self.words.pop_front()
    }

    pub(crate) fn word<T: FromStr>(&mut self, label: &str, expected: Expected) -> Option<T> {
        let Some(text) = self.next_word() else {
            self.missing(label);
            return None;
        };
        let value = text.parse().ok();
        self.check(label, &text, expected, value)
    }

    pub(crate) fn missing(&mut self, setting: &str) {
        self.mistake(setting, Problem::Missing);
    }

    pub(crate) fn mistake(&mut self, setting: &str, problem: Problem) {
        self.mistakes.push(Mistake::new(setting, problem));
    }

    fn check<T>(
        &mut self,
        setting: &str,
        text: &str,
        expected: Expected,
        value: Option<T>,
    ) -> Option<T> {
        if value.is_none() {
            let value = text.to_owned();
            self.mistake(setting, Problem::Invalid { value, expected });
        }
        value
    }

    /// Returns every mistake, counting options and words that nothing has read.
    pub(crate) fn finish(mut self, command_known: bool) -> Vec<Mistake> {
        if command_known {
            for name in usage::option_names() {
                if self.matches.opt_present(name) && !self.used.contains(name) {
                    self.mistake(&format!("--{name}"), Problem::Unused);
                }
            }
            for word in std::mem::take(&mut self.words) {
                self.mistake(&word, Problem::Unused);
            }
        }
        self.mistakes
    }
}

/// Splits the command line, leaving out each option that cannot be read.
fn split(options: &Options, mut args: Vec<String>, mistakes: &mut Vec<Mistake>) -> Matches {
    loop {
        let fail = match options.parse(&args) {
            Ok(matches) => return matches,
            Err(fail) => fail,
        };
        let (name, problem) = match fail {
            Fail::UnrecognizedOption(name) => (name, Problem::UnknownOption),
            Fail::ArgumentMissing(name) => (name, Problem::NoValue),
            Fail::OptionMissing(name) => (name, Problem::Missing),
            Fail::OptionDuplicated(name) => (name, Problem::Repeated),
            Fail::UnexpectedArgument(name) => (name, Problem::Unused),
        };
        let flag = if name.len() > 1 {
            format!("--{name}")
        } else {
            format!("-{name}")
        };
        mistakes.push(Mistake::new(flag.clone(), problem));
        let before = args.len();
        args.retain(|arg| arg.split('=').next() != Some(flag.as_str()));
        if args.len() == before {
            // The option is part of a group of letters that cannot be told apart.
            args.clear();
        }
    }
}
