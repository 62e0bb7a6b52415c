//! `explain`: logs of several instances, with lines that can't be read.

use std::fmt::Write as _;
use std::fs;

use kingcupwinch_cli::Exit;
use tempfile::TempDir;

use crate::common::run_command;

const JOB: &str = "5c0e7a21d94b36f8";

/// Writes the logs of two instances and returns their folder and their names.
fn logs() -> (TempDir, String) {
    let dir = TempDir::new().expect("a temporary folder is created");
    let mut line = LogLines::default();
    line.add(
        0,
        "KCW-1501",
        &format!(r#""request":"submit","job":"{JOB}","queue":"urgent""#),
    );
    line.add(
        2_000,
        "KCW-1502",
        r#""job":"aaaaaaaaaaaaaaaa","error":"no sibling could append it""#,
    );
    let caller = line.0 + "not an event\n{\"half\": \n";
    let mut line = LogLines::default();
    line.add(20, "KCW-1601", &format!(r#""job":"{JOB}""#));
    line.add(
        80,
        "KCW-1705",
        &format!(r#""step":"{JOB}.0.0","workers":6,"allowed":4"#),
    );
    line.add(
        100,
        "KCW-1701",
        &format!(r#""task":"{JOB}.0.0.0","run":1,"worker":"i-1""#),
    );
    line.add(
        110,
        "KCW-1701",
        &format!(r#""task":"{JOB}.0.0.1","run":2,"worker":"i-2""#),
    );
    line.add(
        400,
        "KCW-1704",
        &format!(r#""task":"{JOB}.0.0.1","run":2,"how":"failed","image":null"#),
    );
    line.add(
        410,
        "KCW-1701",
        &format!(r#""task":"{JOB}.0.0.1","run":3,"worker":"i-1""#),
    );
    line.add(
        900,
        "KCW-1704",
        &format!(r#""task":"{JOB}.0.0.0","run":1,"how":"done""#),
    );
    line.add(
        1_110,
        "KCW-1704",
        &format!(r#""task":"{JOB}.0.0.1","run":3,"how":"done""#),
    );
    line.add(
        1_150,
        "KCW-1603",
        &format!(r#""job":"{JOB}","state":"completed""#),
    );
    let (first, second) = (dir.path().join("caller.log"), dir.path().join("owner.log"));
    fs::write(&first, caller).expect("the log is written");
    fs::write(&second, line.0).expect("the log is written");
    let names = format!("{} {}", second.display(), first.display());
    (dir, names)
}

#[derive(Default)]
struct LogLines(String);

impl LogLines {
    fn add(&mut self, ms: u64, event: &str, fields: &str) {
        let (s, ms) = (ms / 1_000, ms % 1_000);
        writeln!(
            self.0,
            r#"1.0 node {{"msg":"m","ts":"2026-12-04T05:00:{s:02}.{ms:03}Z",{fields},"instance":"a","event":"{event}"}}"#
        )
        .expect("a string takes any text");
    }
}

#[tokio::test]
async fn a_job_has_a_timeline_over_all_logs() {
    let (_dir, names) = logs();
    let output = run_command(&format!("kingcupwinch explain --job {JOB} {names}")).await;
    assert_eq!(output.exit, Exit::Success);
    let lines: Vec<&str> = output.out.lines().collect();
    assert_eq!(lines.len(), 11, "{}", output.out);
    assert!(lines[1].starts_with("0 ") && lines[1].contains("queue=urgent"));
    assert!(lines[6].starts_with("400 ") && lines[6].contains("how=failed"));
    assert!(!lines[6].contains("image"), "a missing value is not shown");
    assert!(lines[10].starts_with("1150 "));
}

#[tokio::test]
async fn a_queue_shows_where_the_time_went() {
    let (_dir, names) = logs();
    let output = run_command(&format!("kingcupwinch explain {names}")).await;
    assert_eq!(output.exit, Exit::Success);
    let has = |text: &str| assert!(output.out.contains(text), "{}", output.out);
    has("queue urgent: 1 jobs, 1 ended, 0 failed; 1 failed runs, 1 retries");
    has("queue ?: 1 jobs, 0 ended");
    has("1 requests refused: no sibling could append it");
    for (part, ms) in [
        ("received", 20),
        ("advice", 80),
        ("wait", 20),
        ("spread", 10),
        ("run", 1_000),
        ("total", 1_150),
    ] {
        let mut lines = output.out.lines();
        let row = lines.find(|line| line.trim_start().starts_with(part));
        let cells: Vec<&str> = row.unwrap_or_default().split_whitespace().collect();
        assert_eq!(cells.get(1), Some(&ms.to_string().as_str()), "{part}");
    }
}

#[tokio::test]
async fn bad_lines_are_counted_and_named() {
    let (_dir, names) = logs();
    let output = run_command(&format!("kingcupwinch explain {names}")).await;
    assert!(output.err.contains("caller.log:3"), "{}", output.err);
    assert!(output.err.contains("caller.log:4"), "{}", output.err);
}

#[tokio::test]
async fn an_unknown_job_and_a_missing_file_are_errors() {
    let (_dir, names) = logs();
    let output = run_command(&format!("kingcupwinch explain --job bbbb {names}")).await;
    assert_eq!(output.exit, Exit::Usage);
    assert!(output.err.contains("bbbb"));
    let output = run_command("kingcupwinch explain /no/such/log").await;
    assert_eq!(output.exit, Exit::Failure);
    assert!(output.err.contains("/no/such/log"));
}
