//! What an instance reports to all others.

use std::cmp::Reverse;
use std::time::Duration;

use limpetsaddle_core::units::Time;

use super::OwnCrash;
use super::Quarantine;
use super::encoding;
use super::news::MAX_NEWS;
use super::news::MAX_SURVIVAL_NEWS;
use super::news::News;
use super::news::at_most;
use super::news::take_news;
use super::register::MAX_ENTRIES;
use super::report;
use super::report::CrashReport;
use super::report::EntryReport;
use super::report::QuarantineReport;
use super::report::SurvivalReport;
use super::report::age_ms;
use super::subject::Subject;
use crate::runs::CrashedRun;

/// The size in bytes up to which further crashes are reported at the same time.
const MAX_CRASH_BYTES: usize = 256 * 1_024;

impl Quarantine {
    pub(super) fn report(&mut self, crash: OwnCrash) {
        self.own_crashes.push(News::new(crash));
        if self.own_crashes.len() > MAX_NEWS {
            self.own_crashes.remove(0);
        }
    }

    /// Selects the suspects to report: first those with the most crashes, then those that were
    /// sent, or whose response had started, last.
    pub(super) fn runs_to_report(&self, mut runs: Vec<CrashedRun>) -> Vec<CrashedRun> {
        runs.sort_by_cached_key(|run| {
            let crashes = self.log.crashes_of_request(run.key);
            (Reverse(crashes), run.since_progress_ms())
        });
        let (mut plain, mut prompts): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|run| run.parts.is_empty());
        prompts.truncate(report::MAX_RUNS);
        plain.truncate(report::MAX_PLAIN_RUNS);
        prompts.append(&mut plain);
        prompts
    }

    pub(super) fn report_survival(&mut self, subject: Subject, at: Time) {
        let news = News::new((subject, at));
        let mut known = self.survivals.iter_mut();
        match known.find(|news| news.item.0 == subject) {
            Some(known) => *known = news,
            None => self.survivals.push(news),
        }
        if self.survivals.len() > MAX_SURVIVAL_NEWS {
            self.survivals.remove(0);
        }
    }

    pub(super) fn announce(&mut self, subject: Subject) {
        self.entries.retain(|news| news.item != subject);
        self.entries.push(News::new(subject));
    }

    /// Returns whether there is anything to report to other instances, now or later.
    #[must_use]
    pub fn has_reports(&self) -> bool {
        let has_news = !self.own_crashes.is_empty() || !self.survivals.is_empty();
        has_news || !self.register.is_empty()
    }

    /// Returns the due reports to all other instances, each of which fits into a datagram. Every
    /// `repeat_interval`, if there is one, they have all entries, for instances that have missed a
    /// change.
    pub fn take_reports(
        &mut self,
        sender: &str,
        repeat_interval: Option<Duration>,
        now: Time,
    ) -> Vec<QuarantineReport> {
        let mut report = QuarantineReport::new(sender);
        let (mut number, mut bytes) = (0, 0);
        // At least one, however long its lists of parts.
        let has_room = |crash: &OwnCrash| {
            number += 1;
            bytes += encoding::runs_bytes(&crash.runs);
            number == 1 || number <= report::MAX_CRASHES && bytes <= MAX_CRASH_BYTES
        };
        let crashes = take_news(&mut self.own_crashes, has_room).into_iter();
        let crashes = crashes.map(|crash| CrashReport {
            process: crash.process,
            standing: crash.standing,
            age_ms: age_ms(crash.at, now),
            runs: crash.runs,
        });
        report.crashes = crashes.collect();
        let survivals = take_news(&mut self.survivals, at_most(report::MAX_SURVIVALS)).into_iter();
        let survivals = survivals.map(|(subject, at)| SurvivalReport {
            subject,
            age_ms: age_ms(at, now),
        });
        report.survivals = survivals.collect();
        let announced = take_news(&mut self.entries, at_most(2 * MAX_ENTRIES));
        let is_due = |interval| self.repeated.is_none_or(|at| now.since(at) >= interval);
        let repeats_all = repeat_interval.is_some_and(is_due);
        if repeats_all {
            self.repeated = Some(now);
        }
        let entries = self.register.iter(now);
        let entries = entries.filter(|(e, ..)| repeats_all || announced.contains(&e.subject));
        let entries = entries.map(|(entry, idle, held)| EntryReport::new(entry, idle, held));
        report.entries = entries.collect();
        encoding::split(report)
    }
}
