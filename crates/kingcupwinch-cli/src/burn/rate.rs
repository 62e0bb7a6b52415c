//! Computes burn rates, alerts and remaining budgets.

use std::sync::Arc;

use kingcupwinch_config::{Objective, Tree};
use serde::Serialize;

use super::scrape::Scrape;
use super::series::{EventHistory, Events};
use super::window::{BUDGET_MS, WINDOW_PAIRS, WindowPair, scale_ms};

/// Kind of events that an objective counts as bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Indicator {
    /// Work that waited longer than allowed.
    Waiting,
    /// Requests that were refused without being run.
    NotRun,
    /// Requests with an unknown outcome.
    Unknown,
}

impl Indicator {
    const ALL: [Indicator; 3] = [Indicator::Waiting, Indicator::NotRun, Indicator::Unknown];

    /// Returns the name of the indicator.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Indicator::Waiting => "waiting",
            Indicator::NotRun => "not-run",
            Indicator::Unknown => "unknown",
        }
    }

    /// Returns the numbers of bad events and of all events.
    fn count(self, events: &Events) -> (f64, f64) {
        match self {
            Indicator::Waiting => (events.starts - events.in_time, events.starts),
            Indicator::NotRun => (events.not_run, events.requests),
            Indicator::Unknown => (events.unknown, events.requests),
        }
    }

    /// Returns the share of events that may be bad.
    fn allowed(self, objective: &Objective) -> f64 {
        match self {
            Indicator::Waiting => 1.0 - objective.waiting_target.get(),
            Indicator::NotRun => objective.not_run_most.get(),
            Indicator::Unknown => objective.unknown_most.get(),
        }
    }

    /// Returns the burn rate, `None` without events.
    fn rate(self, events: &Events, allowed: f64) -> Option<f64> {
        let (bad, all) = self.count(events);
        if all <= 0.0 {
            return None;
        }
        if bad <= 0.0 {
            return Some(0.0);
        }
        Some((bad / all / allowed).min(MAX_BURN_RATE))
    }
}

/// Maximum burn rate, reported for objectives that allow no bad events at all.
const MAX_BURN_RATE: f64 = 1_000_000.0;

/// Burn rates over a pair of windows.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct WindowRate {
    /// Name of the alert.
    pub(crate) pair: &'static str,
    /// Length of the long window, in milliseconds.
    pub(crate) long_ms: u64,
    /// Length of the short window, in milliseconds.
    pub(crate) short_ms: u64,
    /// Burn rate over the long window, `None` without events.
    pub(crate) long_rate: Option<f64>,
    /// Burn rate over the short window, `None` without events.
    pub(crate) short_rate: Option<f64>,
    /// Minimum burn rate of the alert.
    pub(crate) threshold: f64,
    /// Share of the long window that the scrapes span.
    pub(crate) covered: f64,
    /// Whether both burn rates reach the threshold.
    pub(crate) is_alert: bool,
}

/// Burn rates and budget of one indicator of a class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Row {
    /// Name of the class.
    pub(crate) class: Arc<str>,
    /// Kind of bad events.
    pub(crate) indicator: Indicator,
    /// Share of events that may be bad.
    pub(crate) allowed: f64,
    /// Number of bad events in the span of the scrapes.
    pub(crate) bad: f64,
    /// Number of events in the span of the scrapes.
    pub(crate) all: f64,
    /// Remaining share of the 30-day budget, counting only the span of the scrapes.
    pub(crate) budget_left: f64,
    /// Burn rates of each pair of windows.
    pub(crate) windows: Vec<WindowRate>,
}

/// Burn rates of all objectives.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Report {
    /// Time of the oldest scrape, in milliseconds since the Unix epoch.
    pub(crate) start_ms: u64,
    /// Time of the newest scrape, in milliseconds since the Unix epoch.
    pub(crate) end_ms: u64,
    /// Number of scraped instances.
    pub(crate) instances: usize,
    /// Results by class and indicator.
    pub(crate) rows: Vec<Row>,
}

impl Report {
    /// Returns whether any alert is raised.
    pub(crate) fn is_alert(&self) -> bool {
        self.rows
            .iter()
            .any(|row| row.windows.iter().any(|w| w.is_alert))
    }
}

/// Time span of the scrapes, and the factor on all windows.
#[derive(Debug, Clone, Copy)]
struct Span {
    start_ms: u64,
    end_ms: u64,
    scale: f64,
}

/// Computes the burn rates of all objectives of the tree, `None` without scrapes.
pub(crate) fn assess(tree: &Tree, scrapes: &[Scrape], scale: f64) -> Option<Report> {
    let span = Span {
        start_ms: scrapes.first()?.taken_ms,
        end_ms: scrapes.last()?.taken_ms,
        scale,
    };
    let mut rows = Vec::new();
    for (class, objective) in &tree.objectives {
        let history = EventHistory::new(scrapes, class, objective.waiting_ms.get());
        for indicator in Indicator::ALL {
            let allowed = indicator.allowed(objective);
            rows.push(row(class, indicator, allowed, &history, span));
        }
    }
    let mut instances: Vec<&Arc<str>> = scrapes.iter().map(|s| &s.instance).collect();
    instances.sort();
    instances.dedup();
    Some(Report {
        start_ms: span.start_ms,
        end_ms: span.end_ms,
        instances: instances.len(),
        rows,
    })
}

fn row(
    class: &Arc<str>,
    indicator: Indicator,
    allowed: f64,
    history: &EventHistory,
    span: Span,
) -> Row {
    let events = history.events(span.start_ms, span.end_ms);
    let (bad, all) = indicator.count(&events);
    let rate = indicator.rate(&events, allowed).unwrap_or_default();
    let length = span.end_ms.saturating_sub(span.start_ms) as f64;
    let spent = rate * length / scale_ms(BUDGET_MS, span.scale) as f64;
    let windows = WINDOW_PAIRS.map(|pair| {
        let pair = pair.with_scale(span.scale);
        window_rate(indicator, allowed, history, span, pair)
    });
    Row {
        class: Arc::clone(class),
        indicator,
        allowed,
        bad,
        all,
        budget_left: 1.0 - spent,
        windows: windows.to_vec(),
    }
}

fn window_rate(
    indicator: Indicator,
    allowed: f64,
    history: &EventHistory,
    span: Span,
    pair: WindowPair,
) -> WindowRate {
    let over = |length_ms: u64| {
        let start_ms = span.end_ms.saturating_sub(length_ms);
        indicator.rate(&history.events(start_ms, span.end_ms), allowed)
    };
    let long_rate = over(pair.long_ms);
    let short_rate = over(pair.short_ms);
    let reaches = |rate: Option<f64>| rate.is_some_and(|r| r >= pair.threshold);
    let spanned = span.end_ms.saturating_sub(span.start_ms);
    WindowRate {
        pair: pair.name,
        long_ms: pair.long_ms,
        short_ms: pair.short_ms,
        long_rate,
        short_rate,
        threshold: pair.threshold,
        covered: (spanned as f64 / pair.long_ms as f64).min(1.0),
        is_alert: reaches(long_rate) && reaches(short_rate),
    }
}

/// Burn rate of an indicator over the short window of the fast alert, at the time of each scrape.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RateSeries {
    /// Class and indicator.
    pub(crate) label: String,
    /// Pairs of seconds since the first scrape and burn rate.
    pub(crate) points: Vec<(f64, f64)>,
}

/// Returns the burn rates over time for a plot.
pub(crate) fn rate_series(tree: &Tree, scrapes: &[Scrape], scale: f64) -> Vec<RateSeries> {
    let window_ms = WINDOW_PAIRS[0].with_scale(scale).short_ms;
    let start_ms = scrapes.first().map_or(0, |s| s.taken_ms);
    let mut times: Vec<u64> = scrapes.iter().map(|s| s.taken_ms).collect();
    times.dedup();
    let mut series = Vec::new();
    for (class, objective) in &tree.objectives {
        let history = EventHistory::new(scrapes, class, objective.waiting_ms.get());
        for indicator in Indicator::ALL {
            let allowed = indicator.allowed(objective);
            let point = |time: &u64| {
                let events = history.events(time.saturating_sub(window_ms), *time);
                let rate = indicator.rate(&events, allowed)?;
                Some(((time - start_ms) as f64 / 1_000.0, rate))
            };
            series.push(RateSeries {
                label: format!("{class} {}", indicator.as_str()),
                points: times.iter().filter_map(point).collect(),
            });
        }
    }
    series
}
