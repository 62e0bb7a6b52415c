//! Tests the burn report on saved scrapes and on instances.

use std::fmt::Write as _;
use std::fs;

use kingcupwinch_cli::Exit;
use tempfile::TempDir;

use crate::common::{FakeInstance, Session, assert_session, example, run_command, text};

const START_MS: u64 = 1_790_000_000_000;

/// Returns the metrics of an instance after `n` requests that ran, of which `late` waited too long,
/// and `not_run` refused ones.
fn metrics(n: u32, late: u32, not_run: u32) -> String {
    let mut text = String::from("# TYPE kingcupwinch_waiting_seconds histogram\n");
    for (le, count) in [("0.25", n - late), ("1.0", n), ("+Inf", n)] {
        let _ = writeln!(
            text,
            "kingcupwinch_waiting_seconds_bucket{{class=\"availability-check\",le=\"{le}\"}} {count}"
        );
    }
    text.push_str("# TYPE kingcupwinch_requests counter\n");
    for (outcome, count) in [("ran", n), ("not_run", not_run)] {
        let _ = writeln!(
            text,
            "kingcupwinch_requests_total{{class=\"availability-check\",outcome=\"{outcome}\"}} {count}"
        );
    }
    text
}

/// Saves two hours of scrapes, one per minute: the counters of one instance restart halfway, and
/// the other one becomes slow.
fn two_hours() -> TempDir {
    let dir = TempDir::new().expect("a temporary folder is created");
    for minute in 0..=120_u32 {
        let taken = START_MS + u64::from(minute) * 60_000;
        let slow = minute.saturating_sub(60) * 3;
        let since_start = if minute < 60 { minute } else { minute - 60 };
        let texts = [
            ("harju-a-e1", metrics(minute * 100, slow, minute / 10)),
            ("harju-b-e1", metrics(since_start * 100, 0, 0)),
        ];
        for (instance, text) in texts {
            let path = dir.path().join(format!("{taken}-{instance}.prom"));
            fs::write(path, text).expect("the file is written");
        }
    }
    dir
}

#[tokio::test]
async fn a_report_on_saved_scrapes() {
    let dir = two_hours();
    let plot = dir.path().join("burn.svg");
    let folder = example("event-sound-hire");
    let mut session = Session::new()
        .name(text(dir.path()), "SCRAPES")
        .name(&folder, "DIR");
    let line = format!(
        "report burn --folder {folder} --scrapes {}",
        text(dir.path())
    );
    session.run(&format!("{line} --plot {}", text(&plot))).await;
    session.run(&format!("{line} --scale 0.01")).await;
    session.run(&format!("{line} --scale x")).await;
    assert_session!("burn_report", session);
    let svg = fs::read_to_string(&plot).unwrap();
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    assert!(svg.contains("availability-check waiting") && svg.contains("fast threshold"));
}

#[tokio::test]
async fn a_report_as_json() {
    let dir = two_hours();
    let folder = example("event-sound-hire");
    let line = format!(
        "kingcupwinch report burn --output json --folder {folder} --scrapes {}",
        text(dir.path())
    );
    let ran = run_command(&line).await;
    let report: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
    insta::assert_json_snapshot!(report["rows"][0]);
    assert_eq!(report["instances"], 2);
}

#[tokio::test]
async fn a_report_collected_from_instances() {
    let instance = FakeInstance::start("harju-a-e1", 1).await;
    instance.set_metrics(&metrics(100, 0, 0));
    let dir = TempDir::new().unwrap();
    let line = format!(
        "kingcupwinch report burn --folder {} --for 1 --every 1 --save {} --instance {} --instance 127.0.0.1:1",
        example("event-sound-hire"),
        text(dir.path()),
        instance.address
    );
    let ran = run_command(&line).await;
    assert_eq!(ran.exit, Exit::Success, "{}", ran.err);
    assert!(ran.out.starts_with("instances: 1; span: "), "{}", ran.out);
    assert!(ran.err.contains("127.0.0.1:1: left out"), "{}", ran.err);
    assert_eq!(fs::read_dir(dir.path()).unwrap().count(), 2);
}

#[tokio::test]
async fn scrapes_that_cannot_be_used_are_refused() {
    let dir = TempDir::new().unwrap();
    let folder = example("event-sound-hire");
    let mut session = Session::new()
        .name(text(dir.path()), "SCRAPES")
        .name(&folder, "DIR");
    let line = format!(
        "report burn --folder {folder} --scrapes {}",
        text(dir.path())
    );
    session.run(&line).await;
    fs::write(dir.path().join("7-a.prom"), metrics(1, 0, 0)).unwrap();
    session.run(&line).await;
    fs::write(dir.path().join("late.prom"), "").unwrap();
    session.run(&line).await;
    session.run(&format!("{line}/none")).await;
    assert_session!("burn_refused", session);
}
