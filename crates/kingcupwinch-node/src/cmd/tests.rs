//! Tests of the options that choose mechanisms.

use kingcupwinch_cell::Mechanism;
use rstest::rstest;

use super::{disabled_mechanisms, make_subcommand};

/// A mechanism that served callers worse must not come into use without being asked for.
#[rstest]
#[case(&[], "priority-order,forecast,delay-scheduling")]
#[case(&["--with", "priority-order"], "forecast,delay-scheduling")]
#[case(&["--with", "forecast"], "priority-order,delay-scheduling")]
#[case(&["--with", "delay-scheduling"], "priority-order,forecast")]
#[case(&["--with", "priority-order,forecast,delay-scheduling"], "")]
#[case(&["--without", "speculation"], "speculation,priority-order,forecast,delay-scheduling")]
#[case(
    &["--with", "priority-order", "--without", "priority-order"],
    "priority-order,forecast,delay-scheduling"
)]
fn mechanisms_are_off_as_chosen(#[case] options: &[&str], #[case] expected: &str) {
    let args = std::iter::once(&"node").chain(options);
    let matches = make_subcommand().try_get_matches_from(args).unwrap();
    let disabled: Vec<&str> = disabled_mechanisms(&matches)
        .iter()
        .map(Mechanism::as_str)
        .collect();
    assert_eq!(disabled.join(","), expected);
}
