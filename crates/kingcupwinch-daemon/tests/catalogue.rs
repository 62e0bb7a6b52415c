//! Checks that the pages of log events and metrics match the code, in both directions.
//!
//! `UPDATE_PAGES=1 cargo test -p kingcupwinch-daemon --test catalogue` rewrites the pages.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

use kingcupwinch_daemon::logging::{EventId, EventLevel};
use kingcupwinch_daemon::metrics::{ClassLabel, Metrics, Outcome};

const EVENTS_HEAD: &str = "# Log events

Every log record carries the number of its event in the field `event`. Events marked as limited are written once a second at the
most; `dropped` then counts those left out since the last one.

| number | level | limited | message |
| --- | --- | --- | --- |
";

const METRICS_HEAD: &str = "# Metrics

The operators' port serves them at `GET /metrics` in the OpenMetrics text format. The label `class` holds the configured classes
only, and `outcome` is `ran`, `not_run`, `unknown` or `failed`.

| name | type | what it counts |
| --- | --- | --- |
";

fn docs_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name)
}

fn assert_page(name: &str, generated: &str) {
    let path = docs_path(name);
    if std::env::var_os("UPDATE_PAGES").is_some() {
        fs::write(&path, generated).unwrap();
    }
    let current = fs::read_to_string(&path).unwrap();
    assert_eq!(
        current, generated,
        "docs/{name} and the code differ; run with UPDATE_PAGES=1"
    );
}

fn level(level: EventLevel) -> &'static str {
    match level {
        EventLevel::Error => "error",
        EventLevel::Warning => "warning",
        EventLevel::Info => "info",
        EventLevel::Debug => "debug",
    }
}

#[test]
fn the_page_of_events_lists_every_event() {
    let mut page = EVENTS_HEAD.to_owned();
    for id in EventId::ALL {
        let limited = if id.is_rate_limited() { "yes" } else { "no" };
        let level = level(id.level());
        writeln!(
            page,
            "| {} | {level} | {limited} | {} |",
            id.code(),
            id.text()
        )
        .unwrap();
    }
    assert_page("EVENTS.md", &page);
}

#[test]
fn event_numbers_are_unique() {
    let codes: BTreeSet<_> = EventId::ALL.iter().map(|id| id.code()).collect();
    assert_eq!(codes.len(), EventId::ALL.len());
}

#[test]
fn every_event_is_written_somewhere() {
    let mut sources = String::new();
    read_sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut sources,
    );
    for id in EventId::ALL {
        let name = format!("EventId::{id:?}");
        assert!(sources.contains(&name), "{name} is never written");
    }
}

fn read_sources(folder: &Path, sources: &mut String) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            read_sources(&path, sources);
        } else if path.file_name().is_some_and(|name| name != "catalogue.rs") {
            sources.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns metrics with a member in every family, since an empty family is not encoded.
fn metrics_with_all_families() -> Metrics {
    let metrics = Metrics::new();
    let class = ClassLabel {
        class: "check".into(),
    };
    drop(metrics.waiting_seconds.get_or_create(&class));
    drop(metrics.retries.get_or_create(&class));
    drop(metrics.queued_tasks.get_or_create(&class));
    drop(metrics.running_tasks.get_or_create(&class));
    metrics.count(&class.class, Outcome::Ran);
    metrics
}

#[test]
fn the_page_of_metrics_lists_every_metric() {
    let text = metrics_with_all_families().encode().unwrap();
    let mut page = METRICS_HEAD.to_owned();
    let mut help = "";
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("# HELP ") {
            help = rest.split_once(' ').unwrap().1;
        }
        if let Some(rest) = line.strip_prefix("# TYPE ") {
            let (name, kind) = rest.split_once(' ').unwrap();
            let total = if kind == "counter" { "_total" } else { "" };
            writeln!(page, "| `{name}{total}` | {kind} | {help} |").unwrap();
        }
    }
    assert_page("METRICS.md", &page);
}
