//! Checks that the page of an instance's log events and metrics matches the code.
//!
//! `UPDATE_PAGES=1 cargo test -p kingcupwinch-node --test catalogue` regenerates the page.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use kingcupwinch_node::Metrics;
use kingcupwinch_node::events::Event;

const HEAD: &str = "# Log events and metrics of an instance on the users' platform

`kingcupwinchd node` writes one JSON object per line to standard output; the field `event` holds the number. Lines go through a queue of
2,048 lines; lines that do not fit are dropped, and a further line reports how many.

| number | message |
| --- | --- |
";

const METRICS_HEAD: &str = "
The second internal port serves metrics at `GET /metrics` in the OpenMetrics text format.

| name | type | help |
| --- | --- | --- |
";

fn page() -> String {
    let mut page = HEAD.to_owned();
    for event in Event::ALL {
        writeln!(page, "| {} | {} |", event.code(), event.text()).unwrap();
    }
    page.push_str(METRICS_HEAD);
    let text = Metrics::new().render().unwrap();
    let mut help = "";
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("# HELP ") {
            help = rest.split_once(' ').unwrap().1;
        } else if let Some(rest) = line.strip_prefix("# TYPE ") {
            let (name, kind) = rest.split_once(' ').unwrap();
            writeln!(page, "| `{name}` | {kind} | {help} |").unwrap();
        }
    }
    page
}

#[test]
fn page_matches_the_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/NODE-EVENTS.md");
    let made = page();
    if std::env::var_os("UPDATE_PAGES").is_some() {
        fs::write(&path, &made).unwrap();
    }
    assert_eq!(fs::read_to_string(&path).unwrap(), made);
}

#[test]
fn event_numbers_are_unique() {
    let codes: BTreeSet<&str> = Event::ALL.iter().map(|event| event.code()).collect();
    assert_eq!(codes.len(), Event::ALL.len());
}
