//! Explores the ownership specification with wider bounds than the tests use.
//!
//! Usage: `cargo run --release -p kingcupwinch-spec --example explore [MAX_STATES [CASE...]]`

use std::time::Instant;

use kingcupwinch_spec::explore;
use kingcupwinch_spec::ownership::{Ownership, Rules};

const MAX_STATES: usize = 20_000_000;

fn cases() -> Vec<(&'static str, Rules)> {
    let base = Rules::small().with_symmetry().with_progress();
    let no_restarts = base.clone().with_restarts(0);
    let no_reclaims = base.clone().with_reclaims(false);
    vec![
        ("restart", base.clone()),
        ("restarts", no_reclaims.clone().with_restarts(3)),
        ("hand-over", no_restarts.clone().with_hand_over(true)),
        ("hand-over-restart", no_reclaims.with_hand_over(true)),
        (
            "releases",
            no_restarts.clone().with_releases(true).with_window(4),
        ),
        ("releases-hand-over", releases_and_handovers()),
        ("drift", no_restarts.clone().with_drifts(2)),
        ("drift-restart", base.clone().with_drifts(2)),
        ("long-spans", no_restarts.clone().with_spans(2, 2)),
        ("long-drift", no_restarts.with_drifts(1).with_spans(2, 1)),
        ("window", base.clone().with_restarts(0).with_window(4)),
        ("all", base.with_hand_over(true)),
    ]
}

fn releases_and_handovers() -> Rules {
    Rules::small()
        .with_symmetry()
        .with_progress()
        .with_reclaims(false)
        .with_releases(true)
        .with_hand_over(true)
}

fn run(name: &str, rules: Rules, max_states: usize) {
    let start = Instant::now();
    let report = explore(&Ownership::new(rules), max_states);
    println!(
        "{name}: {:?}, {} states, {} transitions, depth {}, {:.1} s",
        report.outcome,
        report.states,
        report.transitions,
        report.depth,
        start.elapsed().as_secs_f64(),
    );
}

fn main() {
    let mut args = std::env::args().skip(1);
    let max_states = args.next().and_then(|n| n.parse().ok());
    let selected: Vec<String> = args.collect();
    for (name, rules) in cases() {
        let is_selected = selected.is_empty() || selected.iter().any(|w| w == name);
        if is_selected {
            run(name, rules, max_states.unwrap_or(MAX_STATES));
        }
    }
}
