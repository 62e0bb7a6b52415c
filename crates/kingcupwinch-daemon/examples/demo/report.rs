//! The table at the end: waiting, packing, control cost, and every promise with its breaches.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupwinch_fakes::FakeWorker;
use kingcupwinch_time::{Span, Time};

use crate::Failure;
use crate::load::Caller;
use crate::site::Site;
use crate::tally::{IN_FORCE_BOUND, Tally, Told};

/// How long a leaving worker may still get new work.
const LEAVE_BOUND: Span = Span::from_secs(3);

/// What the scheduling itself cost.
pub(crate) struct Control {
    measured: Duration,
    appends: u64,
    messages: u64,
    decisions: f64,
    decision_micros: f64,
    waiting: BTreeMap<String, Vec<(f64, f64)>>,
}

impl Control {
    /// Reads the daemons that are still up.
    pub(crate) async fn collect(site: &Site, measured: Duration) -> Result<Self, Failure> {
        let mut control = Control {
            measured,
            appends: site.log.appends(),
            messages: 0,
            decisions: 0.0,
            decision_micros: 0.0,
            waiting: BTreeMap::new(),
        };
        let mut seconds = 0.0;
        for target in site.targets().all() {
            let reply = Caller::new().get(target.operators, "/metrics").await?;
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            control.messages += sum(&text, "kingcupwinch_link_messages_total") as u64;
            control.decisions += sum(&text, "kingcupwinch_decision_seconds_count");
            seconds += sum(&text, "kingcupwinch_decision_seconds_sum");
            control.add_waiting(&text);
        }
        control.decision_micros = seconds / control.decisions.max(1.0) * 1e6;
        Ok(control)
    }

    /// Adds the buckets of a daemon's waiting times, by class.
    fn add_waiting(&mut self, text: &str) {
        const NAME: &str = "kingcupwinch_waiting_seconds_bucket{";
        for line in text.lines().filter_map(|line| line.strip_prefix(NAME)) {
            let Some((labels, value)) = line.split_once("} ") else {
                continue;
            };
            let (Some(class), Some(bound)) = (label(labels, "class"), label(labels, "le")) else {
                continue;
            };
            let bound = bound.parse().unwrap_or(f64::INFINITY);
            let count: f64 = value.parse().unwrap_or(0.0);
            let buckets = self.waiting.entry(class.to_owned()).or_default();
            match buckets.iter_mut().find(|(known, _)| *known == bound) {
                Some((_, sum)) => *sum += count,
                None => buckets.push((bound, count)),
            }
        }
    }

    /// Returns an upper bound of a quantile of a class's waiting time, in milliseconds.
    fn waiting_ms(&self, class: &str, quantile: f64) -> Option<f64> {
        let buckets = self.waiting.get(class)?;
        let total = buckets.iter().map(|(_, count)| *count).fold(0.0, f64::max);
        let enough = buckets
            .iter()
            .filter(|(_, count)| *count >= total * quantile && total > 0.0);
        enough.map(|(bound, _)| bound * 1e3).min_by(f64::total_cmp)
    }
}

fn label<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let rest = labels.split(',').find_map(|part| part.strip_prefix(name))?;
    Some(rest.trim_start_matches('=').trim_matches('"'))
}

fn sum(text: &str, name: &str) -> f64 {
    let values = text
        .lines()
        .filter_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok());
    values.sum()
}

/// Prints everything and returns the number of breaches.
pub(crate) fn print_report(
    site: &Site,
    tally: &Tally,
    control: &Control,
    left: Time,
    clean: bool,
) -> u64 {
    print_classes(tally, control);
    print_costs(site, control);
    print_promises(site, tally, left, clean)
}

fn print_classes(tally: &Tally, control: &Control) {
    println!(
        "{:<20} {:>6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>12} {:>12} {:>11}",
        "class",
        "asked",
        "ran",
        "runs",
        "not-run",
        "unknown",
        "cut",
        "wait p50 <=",
        "wait p99 <=",
        "answer p99"
    );
    tally.with_classes(|classes| {
        for (class, tally) in classes {
            let count = |told| tally.told.get(&told).copied().unwrap_or(0);
            let asked: u64 = tally.told.values().sum();
            let mut millis = tally.millis.clone();
            millis.sort_unstable();
            let p99 = millis.get(millis.len() * 99 / 100).copied().unwrap_or(0);
            let wait = |quantile| match control.waiting_ms(class, quantile) {
                Some(ms) => format!("{ms:.0} ms"),
                None => "-".to_owned(),
            };
            println!(
                "{class:<20} {asked:>6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>12} {:>12} {:>8} ms",
                count(Told::Ran),
                count(Told::Running),
                count(Told::NotRun) + count(Told::JobRefused),
                count(Told::Unknown) + count(Told::Failed),
                count(Told::Cut) + count(Told::CutByDeath),
                wait(0.5),
                wait(0.99),
                p99,
            );
        }
    });
    println!(
        "(a job counts as ran once it is kept; runs: a doubled key whose first request still runs; waits are those of\nthe daemons still up)\n"
    );
}

fn print_costs(site: &Site, control: &Control) {
    let slots = site.slots();
    let busy: f64 = site
        .ledger
        .starts()
        .iter()
        .map(|start| {
            start
                .ended
                .map_or(0.0, |end| end.since(start.started).as_secs_f64())
        })
        .sum();
    let seconds = control.measured.as_secs_f64();
    println!(
        "packing: {:.1}% of {slots} slots busy",
        busy / (f64::from(slots) * seconds) * 100.0
    );
    println!(
        "control: {:.1} log appends/s, {:.1} sibling messages/s, {:.0} rounds of decisions/s at {:.0} us\n",
        control.appends as f64 / seconds,
        control.messages as f64 / seconds,
        control.decisions / seconds,
        control.decision_micros,
    );
}

fn print_promises(site: &Site, tally: &Tally, left: Time, clean: bool) -> u64 {
    let counts: Vec<_> = site.workers.iter().map(FakeWorker::counts).collect();
    let overflows: u32 = counts
        .iter()
        .map(|counts| counts.overflows + counts.connection_overflows)
        .sum();
    let false_refusals = tally
        .not_run()
        .iter()
        .filter(|id| site.ledger.request_starts(id) > 0)
        .count();
    let late = site
        .ledger
        .starts()
        .into_iter()
        .filter(|start| &*start.worker == "worker-3" && start.started > left + LEAVE_BOUND);
    let in_force = tally.in_force().is_some_and(|took| took <= IN_FORCE_BOUND);
    let promises = [
        ("no worker over its capacity", u64::from(overflows)),
        (
            "no task in two places at once",
            site.ledger.overlapping_tasks().len() as u64,
        ),
        (
            "each caller gets the whole answer to its own request",
            tally.count(Told::Wrong),
        ),
        (
            "what is refused as not-run did not run",
            false_refusals as u64,
        ),
        (
            "non-idempotent requests run at most once",
            site.ledger.repeated_keys().len() as u64,
        ),
        (
            "a leaving worker gets nothing new after 3 s",
            late.count() as u64,
        ),
        (
            "a planned stop cuts nothing, and every job ends",
            tally.count(Told::Cut) + u64::from(!clean),
        ),
        (
            "a configuration is in force within 6 s, and stays",
            tally.reverts() + u64::from(!in_force),
        ),
    ];
    println!("{:<55} {:>8}", "promise", "breaches");
    for (promise, breaches) in promises {
        println!("{promise:<55} {breaches:>8}");
    }
    if let Some(took) = tally.in_force() {
        println!(
            "(configuration 2 was in force everywhere after {} ms)",
            took.as_millis()
        );
    }
    promises.iter().map(|(_, breaches)| breaches).sum()
}
