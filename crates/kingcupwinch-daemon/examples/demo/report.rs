//! The final report: waiting times, packing, control costs, and every guarantee with its
//! violations.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupwinch_fakes::FakeWorker;
use kingcupwinch_time::{Span, Time};

use crate::Failure;
use crate::cluster::Cluster;
use crate::load::Caller;
use crate::results::{ACTIVATION_LIMIT, CallResult, Results};

/// Time for which a leaving worker may still get new work.
const LEAVE_GRACE: Span = Span::from_secs(3);

/// The cost of scheduling.
pub(crate) struct ControlCosts {
    measured: Duration,
    appends: u64,
    messages: u64,
    decisions: f64,
    decision_micros: f64,
    waiting: BTreeMap<String, Vec<(f64, f64)>>,
}

impl ControlCosts {
    /// Reads the metrics of the daemons that are still running.
    pub(crate) async fn collect(cluster: &Cluster, measured: Duration) -> Result<Self, Failure> {
        let mut costs = ControlCosts {
            measured,
            appends: cluster.log.appends(),
            messages: 0,
            decisions: 0.0,
            decision_micros: 0.0,
            waiting: BTreeMap::new(),
        };
        let mut seconds = 0.0;
        for target in cluster.targets().all() {
            let reply = Caller::new().get(target.operators, "/metrics").await?;
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            costs.messages += sum(&text, "kingcupwinch_link_messages_total") as u64;
            costs.decisions += sum(&text, "kingcupwinch_decision_seconds_count");
            seconds += sum(&text, "kingcupwinch_decision_seconds_sum");
            costs.add_waiting(&text);
        }
        costs.decision_micros = seconds / costs.decisions.max(1.0) * 1e6;
        Ok(costs)
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

/// Prints everything and returns the number of violations.
pub(crate) fn print_report(
    cluster: &Cluster,
    results: &Results,
    costs: &ControlCosts,
    marked: Time,
    clean: bool,
) -> u64 {
    print_classes(results, costs);
    print_costs(cluster, costs);
    print_guarantees(cluster, results, marked, clean)
}

fn print_classes(results: &Results, costs: &ControlCosts) {
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
    results.with_classes(|classes| {
        for (class, results) in classes {
            let count = |result| results.counts.get(&result).copied().unwrap_or(0);
            let total: u64 = results.counts.values().sum();
            let mut millis = results.millis.clone();
            millis.sort_unstable();
            let p99 = millis.get(millis.len() * 99 / 100).copied().unwrap_or(0);
            let wait = |quantile| match costs.waiting_ms(class, quantile) {
                Some(ms) => format!("{ms:.0} ms"),
                None => "-".to_owned(),
            };
            println!(
                "{class:<20} {total:>6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>12} {:>12} {:>8} ms",
                count(CallResult::Ran),
                count(CallResult::Running),
                count(CallResult::NotRun) + count(CallResult::JobRefused),
                count(CallResult::Unknown) + count(CallResult::Failed),
                count(CallResult::Disconnected) + count(CallResult::DaemonKilled),
                wait(0.5),
                wait(0.99),
                p99,
            );
        }
    });
    println!(
        "(ran includes accepted jobs; runs counts duplicate keys whose first request is still running; waits come from the\ndaemons still running)\n"
    );
}

fn print_costs(cluster: &Cluster, costs: &ControlCosts) {
    let slots = cluster.slots();
    let busy: f64 = cluster
        .history
        .starts()
        .iter()
        .map(|start| {
            start
                .ended
                .map_or(0.0, |end| end.since(start.started).as_secs_f64())
        })
        .sum();
    let seconds = costs.measured.as_secs_f64();
    println!(
        "packing: {:.1}% of {slots} slots busy",
        busy / (f64::from(slots) * seconds) * 100.0
    );
    println!(
        "control: {:.1} log appends/s, {:.1} sibling messages/s, {:.0} rounds of decisions/s at {:.0} us\n",
        costs.appends as f64 / seconds,
        costs.messages as f64 / seconds,
        costs.decisions / seconds,
        costs.decision_micros,
    );
}

fn print_guarantees(cluster: &Cluster, results: &Results, marked: Time, clean: bool) -> u64 {
    let counts: Vec<_> = cluster.workers.iter().map(FakeWorker::counts).collect();
    let overflows: u32 = counts
        .iter()
        .map(|counts| counts.overflows + counts.connection_overflows)
        .sum();
    let false_refusals = results
        .not_run()
        .iter()
        .filter(|id| cluster.history.request_starts(id) > 0)
        .count();
    let late = cluster
        .history
        .starts()
        .into_iter()
        .filter(|start| &*start.worker == "worker-3" && start.started > marked + LEAVE_GRACE);
    let activation = results
        .activation()
        .is_some_and(|took| took <= ACTIVATION_LIMIT);
    let guarantees = [
        ("no worker exceeds its capacity", u64::from(overflows)),
        (
            "no task in two places at once",
            cluster.history.overlapping_tasks().len() as u64,
        ),
        (
            "each caller gets the whole answer to its own request",
            results.count(CallResult::WrongAnswer),
        ),
        ("work refused as not-run did not run", false_refusals as u64),
        (
            "non-idempotent requests run at most once",
            cluster.history.repeated_keys().len() as u64,
        ),
        (
            "a leaving worker gets no new work after 3 s",
            late.count() as u64,
        ),
        (
            "a planned stop cuts off nothing, and every job ends",
            results.count(CallResult::Disconnected) + u64::from(!clean),
        ),
        (
            "a configuration is active within 6 s and never reverts",
            results.rollbacks() + u64::from(!activation),
        ),
    ];
    println!("{:<55} {:>8}", "guarantee", "violations");
    for (guarantee, violations) in guarantees {
        println!("{guarantee:<55} {violations:>8}");
    }
    if let Some(took) = results.activation() {
        println!(
            "(configuration 2 was active everywhere after {} ms)",
            took.as_millis()
        );
    }
    guarantees.iter().map(|(_, violations)| violations).sum()
}
