//! Usage reports that become visible with a lag.

use std::collections::VecDeque;

use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::worker::{EndedWork, Usage};

/// The time for which the end of a task stays in reports.
const END_RETENTION: Span = Span::from_secs(300);

/// The reports and task ends that a reader may still see.
#[derive(Debug)]
pub(crate) struct Reports {
    lag: Span,
    interval: Span,
    /// Reports, oldest first; the latest one older than the lag is the visible one.
    reports: VecDeque<Report>,
    ends: VecDeque<End>,
    changed: bool,
}

#[derive(Debug)]
struct Report {
    at: Time,
    usage: Usage,
}

#[derive(Debug)]
struct End {
    seq: u64,
    at: Time,
    work: EndedWork,
}

impl Reports {
    pub(crate) fn new(now: Time, lag: Span, interval: Span) -> Self {
        let first = Report {
            at: now,
            usage: Usage {
                seq: 1,
                ..Usage::default()
            },
        };
        Reports {
            lag,
            interval,
            reports: VecDeque::from([first]),
            ends: VecDeque::new(),
            changed: false,
        }
    }

    /// Marks the worker's state as changed since the last report.
    pub(crate) fn change(&mut self) {
        self.changed = true;
    }

    pub(crate) fn end(&mut self, now: Time, work: EndedWork) {
        let seq = self.last_seq() + 1;
        self.ends.push_back(End { seq, at: now, work });
        self.changed = true;
    }

    pub(crate) fn has_ended(&self, task: uuid::Uuid, attempt: u32) -> bool {
        let matches = |e: &End| e.work.task == task && e.work.attempt == attempt;
        self.ends.iter().any(matches)
    }

    /// Returns the time at which the next report is due, or none while nothing has changed.
    pub(crate) fn due(&self) -> Option<Time> {
        let last = self.reports.back().map_or(Time::ZERO, |m| m.at);
        self.changed.then(|| last + self.interval)
    }

    /// Adds a report and assigns its sequence number.
    pub(crate) fn add(&mut self, now: Time, mut usage: Usage) {
        usage.seq = self.last_seq() + 1;
        self.reports.push_back(Report { at: now, usage });
        self.changed = false;
        self.drop_outdated(now);
    }

    /// Returns whether a report newer than `after` is visible; a sequence number from another run
    /// of the worker counts as older.
    pub(crate) fn has_new_report(&mut self, now: Time, after: u64) -> bool {
        self.drop_outdated(now);
        let visible = self.reports.front().filter(|m| m.at + self.lag <= now);
        visible.is_some_and(|m| m.usage.seq > after || after > self.last_seq())
    }

    /// Returns the visible report with the task ends after `after`. While nothing has changed since
    /// the report, its age is at most the lag.
    pub(crate) fn read(&mut self, now: Time, after: u64) -> Usage {
        self.drop_outdated(now);
        let Some(visible) = self.reports.front() else {
            return Usage::default();
        };
        let from_other_run = after > self.last_seq();
        let after = if from_other_run { 0 } else { after };
        let mut usage = visible.usage.clone();
        let is_current = self.reports.len() == 1 && !self.changed;
        let age = if is_current {
            self.lag.min(now - visible.at)
        } else {
            now - visible.at
        };
        usage.age_ms = age.as_millis();
        let is_new = |e: &&End| e.seq > after && e.seq <= usage.seq;
        usage.ended = self.ends.iter().filter(is_new).map(|e| e.work).collect();
        usage
    }

    /// Returns the time at which a newer report becomes visible.
    pub(crate) fn next_visible(&self, now: Time) -> Option<Time> {
        let visible = self.reports.iter().map(|m| m.at + self.lag);
        visible.into_iter().find(|t| *t > now)
    }

    fn last_seq(&self) -> u64 {
        self.reports.back().map_or(0, |m| m.usage.seq)
    }

    fn drop_outdated(&mut self, now: Time) {
        while let Some(newer) = self.reports.get(1)
            && newer.at + self.lag <= now
        {
            self.reports.pop_front();
        }
        while let Some(oldest) = self.ends.front()
            && now - oldest.at > END_RETENTION
        {
            self.ends.pop_front();
        }
    }
}
