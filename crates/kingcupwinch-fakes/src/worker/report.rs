//! Usage reports that lag behind the worker.

use std::collections::VecDeque;

use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::worker::{EndedWork, Usage};

/// How long the end of a task stays in reports.
const ENDS_KEPT: Span = Span::from_secs(300);

/// The reports that a reader may still see.
#[derive(Debug)]
pub(crate) struct Reports {
    lag: Span,
    gap: Span,
    /// Oldest first; the newest that is older than the lag is the visible one.
    made: VecDeque<Made>,
    ends: VecDeque<End>,
    changed: bool,
}

#[derive(Debug)]
struct Made {
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
    pub(crate) fn new(now: Time, lag: Span, gap: Span) -> Self {
        let first = Made {
            at: now,
            usage: Usage {
                seq: 1,
                ..Usage::default()
            },
        };
        Reports {
            lag,
            gap,
            made: VecDeque::from([first]),
            ends: VecDeque::new(),
            changed: false,
        }
    }

    /// Notes that the worker is no longer as last reported.
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

    /// Returns when the next report is due, none while nothing has changed.
    pub(crate) fn due(&self) -> Option<Time> {
        let last = self.made.back().map_or(Time::ZERO, |m| m.at);
        self.changed.then(|| last + self.gap)
    }

    /// Adds a report; its number is given here.
    pub(crate) fn add(&mut self, now: Time, mut usage: Usage) {
        usage.seq = self.last_seq() + 1;
        self.made.push_back(Made { at: now, usage });
        self.changed = false;
        self.forget(now);
    }

    /// Returns whether a report newer than `after` is visible; a number from another run of the
    /// worker counts as old.
    pub(crate) fn has_new_report(&mut self, now: Time, after: u64) -> bool {
        self.forget(now);
        let visible = self.made.front().filter(|m| m.at + self.lag <= now);
        visible.is_some_and(|m| m.usage.seq > after || after > self.last_seq())
    }

    /// Returns the visible report with the ends after `after`. While nothing has changed since it
    /// was made, it describes the worker as of the lag ago.
    pub(crate) fn read(&mut self, now: Time, after: u64) -> Usage {
        self.forget(now);
        let Some(visible) = self.made.front() else {
            return Usage::default();
        };
        let from_other_run = after > self.last_seq();
        let after = if from_other_run { 0 } else { after };
        let mut usage = visible.usage.clone();
        let is_current = self.made.len() == 1 && !self.changed;
        let age = if is_current {
            self.lag.min(now - visible.at)
        } else {
            now - visible.at
        };
        usage.age_ms = age.as_millis();
        let news = |e: &&End| e.seq > after && e.seq <= usage.seq;
        usage.ended = self.ends.iter().filter(news).map(|e| e.work).collect();
        usage
    }

    /// Returns when a newer report becomes visible.
    pub(crate) fn next_visible(&self, now: Time) -> Option<Time> {
        let visible = self.made.iter().map(|m| m.at + self.lag);
        visible.into_iter().find(|t| *t > now)
    }

    fn last_seq(&self) -> u64 {
        self.made.back().map_or(0, |m| m.usage.seq)
    }

    fn forget(&mut self, now: Time) {
        while let Some(newer) = self.made.get(1)
            && newer.at + self.lag <= now
        {
            self.made.pop_front();
        }
        while let Some(oldest) = self.ends.front()
            && now - oldest.at > ENDS_KEPT
        {
            self.ends.pop_front();
        }
    }
}
