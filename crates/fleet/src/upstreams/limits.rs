//! The limits that upstreams set for all instances together, and the permits for them.

use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;

use super::Upstream;
use super::Upstreams;
use crate::availability::Availability;
use crate::availability::AvailabilityChange;
use crate::availability::AvailabilityRecord;
use crate::availability::ChangeKind;
use crate::availability::Incarnation;
use crate::availability::Source;
use crate::permit_messages::LimitReport;
use crate::permit_messages::PermitAnswer;
use crate::permit_messages::PermitRequest;
use crate::permit_messages::before;
use crate::permits::Permit;
use crate::upstream_limit::LimitNotice;
use crate::upstream_limit::LimitRecord;
use crate::upstream_limit::NamedLimit;

impl Upstream {
    /// Returns the limit that the upstream sets for all instances together.
    #[must_use]
    pub const fn limit(&self) -> Option<NamedLimit> {
        self.record.limit.named()
    }

    /// Returns the state, in which a limited upstream needs a permit.
    pub(super) fn permitted(&self, state: Availability, now: Time) -> Availability {
        let needs_permit = state == Availability::Serving && self.limit().is_some();
        if needs_permit && !self.permits.has_permit(now) {
            return Availability::Limited {
                until: self.permits.next(now),
            };
        }
        state
    }
}

impl Upstreams {
    /// Returns the known limit of a process.
    #[must_use]
    pub fn limit_record(&self, process: u64) -> LimitRecord {
        let row = self.ids.get(&process).and_then(|id| self.rows.get(id));
        let departed = || self.departed.get(&process).map(|(record, _)| record);
        let record: Option<&AvailabilityRecord> = row.map(|row| &row.record).or_else(departed);
        record.map_or_else(LimitRecord::default, |record| record.limit)
    }

    /// Takes a permit for a call to a limited upstream. Returns `None` if there is none.
    pub fn take_permit(&mut self, incarnation: &Incarnation, now: Time) -> Option<Permit> {
        let row = self.by_process(incarnation.process())?;
        row.permits.take(now)
    }

    /// Returns a permit with which nothing was sent.
    pub fn return_permit(&mut self, incarnation: &Incarnation, permit: Permit) {
        if let Some(row) = self.by_process(incarnation.process()) {
            row.permits.put_back(permit);
        }
    }

    /// Returns the process hash of a limited upstream of a service whose permits may be
    /// requested now. `random` spreads the requests over all usable ones.
    pub fn permit_candidate(
        &self,
        service: &str,
        is_usable: impl Fn(&Upstream) -> bool,
        random: u64,
        now: Time,
    ) -> Option<u64> {
        let limited = || {
            let rows = self.rows.values();
            rows.filter(|row| &*row.entry.service == service && row.limit().is_some())
        };
        if limited().any(|row| row.permits.is_requesting(now)) {
            return None;
        }
        let rows = limited().filter(|row| {
            row.record.state(now) == Availability::Serving
                && !row.is_paused(now)
                && row.permits.may_request(now)
                && is_usable(row)
        });
        let chosen = rows.max_by_key(|row| mix(row.hash ^ random))?;
        Some(chosen.entry.incarnation().process())
    }

    /// Begins a permit request, and returns the number of permits and the known limit, or `None`
    /// while no request is due.
    pub fn begin_request(&mut self, process: u64, now: Time) -> Option<(u16, LimitReport)> {
        let row = self.by_process(process)?;
        let limit = row.limit()?;
        let wanted = row.permits.request(now)?;
        Some((wanted, LimitReport::new(&limit, now)))
    }

    /// Applies the reply to the permit request sent at `requested`.
    pub fn apply_answer(
        &mut self,
        process: u64,
        requested: Time,
        answer: &PermitAnswer,
        now: Time,
    ) {
        let Some(row) = self.by_process(process) else {
            return;
        };
        match *answer {
            PermitAnswer::Granted { count, issue } => {
                row.permits.grant(requested, count, issue, now);
            }
            PermitAnswer::Denied { after_ms } => {
                let after = Duration::from_millis(u64::from(after_ms));
                row.permits.deny(requested, after, now);
            }
            // The reply was sent after the request.
            PermitAnswer::Unlimited { age_ms } => {
                self.lift_limit(process, before(requested, age_ms), Source::Peer);
            }
        }
    }

    /// Applies another instance's report of a process's limit.
    pub fn apply_limit_report(&mut self, process: u64, report: &LimitReport, now: Time) {
        let since = before(now, report.since_ms);
        let heard = before(now, report.heard_ms);
        let (rate, source) = (report.rate, Source::Peer);
        let record = &mut self.record_mut(process, now).limit;
        let is_new = record.limit(rate, heard, source);
        record.date_back(since);
        let row = self.by_process(process);
        let incarnation = row.map(|row| row.entry.incarnation()).filter(|_| is_new);
        let change = incarnation.map(|incarnation| AvailabilityChange {
            incarnation,
            kind: ChangeKind::Limited { rate, source },
        });
        self.changes.extend(change);
    }

    /// Applies the limit or the end of one that another instance's permit request reports.
    /// `incarnation` is that of this instance.
    pub fn apply_permit_request(
        &mut self,
        process: u64,
        req: &PermitRequest,
        incarnation: u64,
        now: Time,
    ) {
        if let Some(report) = &req.limit {
            self.apply_limit_report(process, report, now);
        }
        // A request was sent after its permit was issued.
        if let Some(issue) = req.lifted.filter(|issue| issue.issuer == incarnation) {
            let issued = Time::from_origin(Duration::from_millis(issue.stamp_ms));
            self.lift_limit(process, issued, Source::Peer);
        }
    }

    /// Records that a process had no limit at `at`.
    pub fn lift_limit(&mut self, process: u64, at: Time, source: Source) {
        let Some(row) = self.by_process(process) else {
            return;
        };
        if !row.record.limit.lift(at) {
            return;
        }
        let incarnation = row.entry.incarnation();
        let kind = ChangeKind::Unlimited(source);
        self.changes.push(AvailabilityChange { incarnation, kind });
    }

    /// Returns the permits that this instance has received for a service in the last second.
    #[must_use]
    pub fn received_permits(&self, service: &str, now: Time) -> u32 {
        let rows = self.rows.values();
        let rows = rows.filter(|row| &*row.entry.service == service);
        rows.map(|row| row.permits.received(now)).sum()
    }

    /// Records what an answer says of its upstream's limit.
    pub(super) fn record_limit_notice(
        &mut self,
        incarnation: &Incarnation,
        notice: LimitNotice,
        now: Time,
    ) {
        let process = incarnation.process();
        let source = Source::Answer;
        match notice {
            LimitNotice::Unknown => {}
            LimitNotice::Limited { rate, is_signed } => {
                let record = &mut self.record_mut(process, now).limit;
                if !is_signed {
                    record.record_unsigned();
                }
                if record.limit(rate, now, source) {
                    let incarnation = incarnation.clone();
                    let kind = ChangeKind::Limited { rate, source };
                    self.changes.push(AvailabilityChange { incarnation, kind });
                }
            }
            LimitNotice::Unlimited { sent, is_signed } => {
                if self.limit_record(process).is_told_by(is_signed) {
                    self.lift_limit(process, sent, source);
                }
            }
        }
    }
}
