//! Explores the ownership specification with wider bounds than the tests do.
//!
//! `cargo run --release -p kingcupwinch-spec --example explore [MOST_STATES [CASE...]]`

use std::time::Instant;

use kingcupwinch_spec::explore;
use kingcupwinch_spec::ownership::{Ownership, Rules};

const MOST_STATES: usize = 20_000_000;

fn cases() -> Vec<(&'static str, Rules)> {
    let base = Rules::small().with_symmetry().with_progress();
    let still = base.clone().with_restarts(0);
    let rare = base.clone().with_own_claims(false);
    vec![
        ("restart", base.clone()),
        ("restarts", rare.clone().with_restarts(3)),
        ("hand-over", still.clone().with_hand_over(true)),
        ("hand-over-restart", rare.with_hand_over(true)),
        ("releases", still.clone().with_releases(true).with_window(4)),
        ("releases-hand-over", giving()),
        ("drift", still.clone().with_drifts(2)),
        ("drift-restart", base.clone().with_drifts(2)),
        ("long-spans", still.clone().with_spans(2, 2)),
        ("long-drift", still.with_drifts(1).with_spans(2, 1)),
        ("window", base.clone().with_restarts(0).with_window(4)),
        ("all", base.with_hand_over(true)),
    ]
}

fn giving() -> Rules {
    Rules::small()
        .with_symmetry()
        .with_progress()
        .with_own_claims(false)
        .with_releases(true)
        .with_hand_over(true)
}

fn run(name: &str, rules: Rules, most: usize) {
    let start = Instant::now();
    let report = explore(&Ownership::new(rules), most);
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
    let most = args.next().and_then(|n| n.parse().ok());
    let wanted: Vec<String> = args.collect();
    for (name, rules) in cases() {
        let chosen = wanted.is_empty() || wanted.iter().any(|w| w == name);
        if chosen {
            run(name, rules, most.unwrap_or(MOST_STATES));
        }
    }
}
