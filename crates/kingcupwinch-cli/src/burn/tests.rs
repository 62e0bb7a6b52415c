//! Tests increments, counter resets, windows and rates against values computed by hand.

use std::sync::Arc;

use kingcupwinch_config::{Tree, load_texts};
use rstest::rstest;

use super::rate::{assess, rate_series};
use super::sample::parse_scrape;
use super::scrape::Scrape;
use super::series::{EventHistory, Events};

const MINUTE_MS: u64 = 60_000;

/// Builds a scrape from the counts of starts, starts within 0.25 s, and requests that ran, did
/// not run and have an unknown outcome.
fn scrape(taken_ms: u64, instance: &str, counts: [u32; 5]) -> Scrape {
    let [starts, in_time, ran, not_run, unknown] = counts;
    let text = format!(
        "# TYPE kingcupwinch_waiting_seconds histogram
kingcupwinch_waiting_seconds_sum{{class=\"check\"}} 1.5
kingcupwinch_waiting_seconds_count{{class=\"check\"}} {starts}
kingcupwinch_waiting_seconds_bucket{{le=\"0.25\",class=\"check\"}} {in_time}
kingcupwinch_waiting_seconds_bucket{{le=\"1.0\",class=\"check\"}} {starts}
kingcupwinch_waiting_seconds_bucket{{le=\"+Inf\",class=\"check\"}} {starts}
# TYPE kingcupwinch_requests counter
kingcupwinch_requests_total{{class=\"check\",outcome=\"ran\"}} {ran}
kingcupwinch_requests_total{{class=\"check\",outcome=\"not_run\"}} {not_run}
kingcupwinch_requests_total{{class=\"check\",outcome=\"unknown\"}} {unknown}
# EOF
"
    );
    Scrape {
        taken_ms,
        instance: Arc::from(instance),
        sample: parse_scrape(&text).unwrap(),
    }
}

fn tree() -> Tree {
    let text = "
[classes.check]
kind = 'live'
deadline_ms = 800
[objectives.check]
waiting_ms = 250
waiting_target = 0.99
not_run_most = 0.1
unknown_most = 0.0
";
    load_texts([("a.toml", text)]).unwrap().tree
}

fn events(starts: f64, in_time: f64, requests: f64, not_run: f64, unknown: f64) -> Events {
    Events {
        starts,
        in_time,
        requests,
        not_run,
        unknown,
    }
}

#[test]
fn growth_is_summed_over_instances() {
    let scrapes = [
        scrape(0, "a", [100, 90, 80, 10, 10]),
        scrape(0, "b", [5, 5, 5, 0, 0]),
        scrape(MINUTE_MS, "a", [110, 95, 88, 11, 11]),
        scrape(MINUTE_MS, "b", [6, 5, 6, 0, 0]),
    ];
    let history = EventHistory::new(&scrapes, "check", 250);
    assert_eq!(
        history.events(0, MINUTE_MS),
        events(11.0, 5.0, 11.0, 1.0, 1.0)
    );
}

#[test]
fn a_reset_counts_from_zero() {
    let scrapes = [
        scrape(0, "a", [100, 90, 100, 0, 0]),
        scrape(MINUTE_MS, "a", [7, 6, 5, 2, 0]),
        scrape(2 * MINUTE_MS, "a", [9, 7, 7, 2, 0]),
    ];
    let history = EventHistory::new(&scrapes, "check", 250);
    assert_eq!(
        history.events(0, 2 * MINUTE_MS),
        events(9.0, 7.0, 9.0, 2.0, 0.0)
    );
}

#[test]
fn a_window_counts_its_fraction_of_an_interval() {
    let scrapes = [
        scrape(0, "a", [0, 0, 0, 0, 0]),
        scrape(4 * MINUTE_MS, "a", [40, 20, 30, 10, 0]),
    ];
    let history = EventHistory::new(&scrapes, "check", 250);
    let last_minute = history.events(3 * MINUTE_MS, 4 * MINUTE_MS);
    assert_eq!(last_minute, events(10.0, 5.0, 10.0, 2.5, 0.0));
}

#[rstest]
#[case::at_a_bucket(250, 8.0)]
#[case::between_two_buckets(900, 8.0)]
#[case::at_the_next_bucket(1_000, 10.0)]
#[case::below_every_bucket(100, 0.0)]
fn a_bound_uses_the_bucket_at_or_below_it(#[case] bound_ms: u64, #[case] in_time: f64) {
    let scrapes = [
        scrape(0, "a", [0, 0, 0, 0, 0]),
        scrape(1, "a", [10, 8, 0, 0, 0]),
    ];
    let history = EventHistory::new(&scrapes, "check", bound_ms);
    assert_eq!(history.events(0, 1).in_time, in_time);
}

#[test]
fn an_alert_needs_both_windows() {
    // Bad over the hour, but good in the last five minutes.
    let over = [
        scrape(0, "a", [0, 0, 0, 0, 0]),
        scrape(55 * MINUTE_MS, "a", [1_000, 500, 1_000, 0, 0]),
        scrape(60 * MINUTE_MS, "a", [1_100, 600, 1_100, 0, 0]),
    ];
    let report = assess(&tree(), &over, 1.0).unwrap();
    let fast = report.rows[0].windows[0];
    assert!((fast.long_rate.unwrap() - 500.0 / 1_100.0 / 0.01).abs() < 1e-9);
    assert_eq!(fast.short_rate, Some(0.0));
    assert!(!fast.is_alert);

    let mut ongoing = over.to_vec();
    ongoing[2] = scrape(60 * MINUTE_MS, "a", [1_100, 500, 1_100, 0, 0]);
    let report = assess(&tree(), &ongoing, 1.0).unwrap();
    assert!(report.rows[0].windows[0].is_alert && report.is_alert());
}

#[test]
fn the_budget_left_counts_the_span() {
    // A tenth of the requests is refused, as allowed: the burn rate is 1 for 1/720 of 30 days.
    let scrapes = [
        scrape(0, "a", [0, 0, 0, 0, 0]),
        scrape(60 * MINUTE_MS, "a", [90, 90, 90, 10, 0]),
    ];
    let report = assess(&tree(), &scrapes, 1.0).unwrap();
    let row = &report.rows[1];
    assert_eq!((row.bad, row.all), (10.0, 100.0));
    assert!((row.budget_left - (1.0 - 1.0 / 720.0)).abs() < 1e-9);
    assert_eq!(row.windows[2].covered, 1.0 / 72.0);
}

#[test]
fn without_events_there_is_no_rate() {
    let scrapes = [
        scrape(0, "a", [3, 3, 3, 0, 0]),
        scrape(MINUTE_MS, "a", [3, 3, 3, 0, 0]),
    ];
    let report = assess(&tree(), &scrapes, 1.0).unwrap();
    assert_eq!(report.rows[0].windows[0].long_rate, None);
    assert_eq!(report.rows[0].budget_left, 1.0);
}

#[test]
fn an_objective_that_allows_no_bad_events_has_the_maximum_rate() {
    let scrapes = [
        scrape(0, "a", [0, 0, 0, 0, 0]),
        scrape(MINUTE_MS, "a", [1, 1, 1, 0, 1]),
    ];
    let report = assess(&tree(), &scrapes, 1.0).unwrap();
    assert_eq!(report.rows[2].windows[0].long_rate, Some(1_000_000.0));
}

#[test]
fn a_series_has_a_point_for_each_time_with_events() {
    let scrapes = [
        scrape(0, "a", [0, 0, 0, 0, 0]),
        scrape(MINUTE_MS, "a", [10, 9, 10, 0, 0]),
        scrape(2 * MINUTE_MS, "a", [20, 19, 20, 0, 0]),
    ];
    let series = rate_series(&tree(), &scrapes, 0.2);
    assert_eq!(series[0].label, "check waiting");
    let points = &series[0].points;
    assert_eq!(
        points.iter().map(|p| p.0).collect::<Vec<_>>(),
        [60.0, 120.0]
    );
    assert!((points[0].1 - 10.0).abs() < 1e-9);
    assert_eq!(points[1].1, 0.0);
}
