//! Tests the messages and locations of faults.

use kingcupwinch_config::{Tree, load_texts};
use rstest::rstest;

fn faults_of(texts: &[(&str, &str)]) -> String {
    load_texts(texts.iter().copied())
        .expect_err("the texts should be invalid")
        .to_string()
}

#[rstest]
#[case(
    "[clases.a]\nkind = 'live'",
    "a.toml:1:2: clases is not a setting; did you mean `classes`?"
)]
#[case("[limits]\nxyzzy = 1", "a.toml:2:1: limits.xyzzy is not a setting")]
#[case(
    "[limits]\njob_tasks = 'x'",
    "a.toml:2:1: limits.job_tasks must be a whole number, not a string"
)]
#[case("limits = 3", "a.toml:1:1: limits must be a table, not an integer")]
#[case(
    "[limits]\njob_tasks = -1",
    "a.toml:2:1: limits.job_tasks must be a whole number from 0 to 4294967295"
)]
#[case(
    "[timers]\ngrant_ms = 0",
    "a.toml:2:1: timers.grant_ms must be a whole number of milliseconds from 1 to 2678400000"
)]
#[case(
    "[weights]\nwaiting = nan",
    "a.toml:2:1: weights.waiting must be a number from 0 to 1000000"
)]
#[case(
    "[classes.a]\nkind = 'lively'",
    "a.toml:2:1: classes.a.kind is \"lively\", but must be one of live, batch, gang"
)]
#[case("[classes.a]\nband = 1", "a.toml:1:10: classes.a.kind must be set")]
#[case(
    "[classes.a]\nkind = 'live'",
    "a.toml:1:10: classes.a.deadline_ms must be set"
)]
#[case(
    "[classes.a]\nkind = 'live'\ndeadline_ms = 0",
    "a.toml:3:1: classes.a.deadline_ms must be a whole number of milliseconds from 1 to 2678400000"
)]
#[case(
    "[classes.'A b']\nkind = 'batch'",
    "a.toml:1:10: classes.A b must be named with 1 to 64 of a-z, 0-9 and '-'"
)]
#[case(
    "[classes.a]\nkind = 'batch'\nstop = true",
    "a.toml:3:1: classes.a.stop allows stopping, but the class is not idempotent, so stopped work could not run again"
)]
#[case(
    "[classes.a]\nkind = 'batch'\nleast = 0.6\nmost = 0.5",
    "a.toml:3:1: classes.a.least is 0.6, above `most` of 0.5 (the other is set at a.toml:4:1)"
)]
#[case(
    "[classes.a]\nkind = 'batch'\ngang_most = 2",
    "a.toml:3:1: classes.a.gang_most is 2, but must be 1 for a class that is not a gang (the other is set at a.toml:2:1)"
)]
#[case(
    "[classes.a]\nkind = 'batch'\nretry = { attempts = 0 }",
    "a.toml:3:11: classes.a.retry.attempts is 0, but must be at least 1; it includes the first attempt"
)]
#[case(
    "[domains.n]\nregion = 'r'\nshards = 0",
    "a.toml:3:1: domains.n.shards is 0; a domain needs at least one shard"
)]
#[case("[domains.n]\nslots = 2", "a.toml:1:10: domains.n.region must be set")]
#[case(
    "[domains.n]\nregion = 'r'\nworkers = 2\nslots = 1\nmillicores = 1",
    "a.toml:1:10: domains.n.memory_mb must be set"
)]
#[case(
    "[domains.n]\nregion = 'r'\nworkers = 2\nslots = 1\nmillicores = 9\nmemory_mb = 200\n[classes.a]\nkind = 'batch'",
    "a.toml:7:10: classes.a.task is larger than every worker (the other is set at a.toml:1:2)"
)]
#[case(
    "[customers.c]\ncontract = { workers = 3 }",
    "a.toml:2:14: customers.c.contract.workers brings the workers paid for to 3, but the domains have 0"
)]
#[case(
    "[objectives.a]\nwaiting_ms = 5",
    "a.toml:1:13: objectives.a names the class \"a\", which is not declared"
)]
#[case(
    "[timers]\nclock_ms = 600_000",
    "a.toml:2:1: timers.clock_ms is 600000 ms, not below `window_ms` of 600000 ms"
)]
#[case("[limits\n", "a.toml:1:8: syntax: unclosed table, expected `]`")]
#[case(
    "[limits]\nremove = true",
    "a.toml:1:2: limits is removed, but no earlier file sets it"
)]
#[case("when = 2026-01-01", "a.toml:1:1: when is not a setting")]
fn a_fault_has_its_location_and_message(#[case] text: &str, #[case] expected: &str) {
    let found = faults_of(&[("a.toml", text)]);
    assert_eq!(found.lines().next(), Some(expected), "{found}");
}

#[rstest]
#[case(
    "[classes.a]\nremove = true\nband = 1",
    "b.toml:1:10: classes.a `remove = true` must stand alone in its table"
)]
#[case(
    "[classes.a]\nremove = false",
    "b.toml:1:10: classes.a `remove = true` must stand alone in its table"
)]
#[case(
    "[classes]\na = 3",
    "b.toml:2:1: classes.a is an integer here, but a table in an earlier file (the other is set at a.toml:1:10)"
)]
#[case(
    "[classes.a.kind]\nx = 1",
    "b.toml:1:12: classes.a.kind is a table here, but a string in an earlier file (the other is set at a.toml:2:1)"
)]
#[case(
    "[classes.a]\nmost = 0.1",
    "a.toml:3:1: classes.a.least is 0.2, above `most` of 0.1 (the other is set at b.toml:2:1)"
)]
#[case(
    "[classes.b]\nkind = 'batch'\nleast = 0.9",
    "b.toml:3:1: classes.b.least brings the sum of all classes' `least` to 1.100, above 1 (the other is set at a.toml:3:1)"
)]
fn a_later_file_conflicts_with_an_earlier_one(#[case] later: &str, #[case] expected: &str) {
    let earlier = "[classes.a]\nkind = 'batch'\nleast = 0.2";
    assert_eq!(
        faults_of(&[("a.toml", earlier), ("b.toml", later)]),
        expected
    );
}

#[test]
fn every_fault_of_every_file_is_found_at_once() {
    let base = "
[domains.north]
region = 'coast'
workers = 4
slots = 8
millicores = 4_000
memory_mb = 4_096

[classes.check]
kind = 'live'
deadline_ms = 0
least = 0.7

[classes.sweep]
kind = 'gang'
gang_most = 99
task = { millicores = 1_000, memory_mb = 0 }

[services.desk]
classes = ['chekc']
default_class = 'sweep'
";
    let later = "[classes.check]\nmost = 0.5\nlest = 0.1\n[broken\n";
    let third = "[classes.check]\nmost = 0.5\nlest = 0.1\n[classes.plan]\nremove = true\n";
    let texts = [("10.toml", base), ("20.toml", later), ("30.toml", third)];
    insta::assert_snapshot!(faults_of(&texts));
}

#[rstest]
#[case("", "record: syntax: EOF while parsing a value at line 1 column 0")]
#[case("[]", "record: must be a table, not a list")]
#[case(
    r#"{"classes":{"a":{"kind":"live"}}}"#,
    "record: classes.a.deadline_ms must be set"
)]
#[case(r#"{"newer":1}"#, "record: newer is not a setting")]
fn a_record_is_checked_like_a_folder(#[case] json: &str, #[case] expected: &str) {
    let found = Tree::from_json(json).expect_err("the record should be invalid");
    assert_eq!(found.to_string(), expected);
}

#[test]
fn every_unset_size_of_a_domain_is_named() {
    let found = faults_of(&[("a.toml", "[domains.n]\nworkers = 2")]);
    assert_eq!(found.matches("must be set").count(), 4, "{found}");
}

#[test]
fn a_table_of_too_many_entries_is_refused() {
    let text: String = (0..=1_000).map(|i| format!("[customers.c{i}]\n")).collect();
    let expected = "a.toml:1:2: customers has more than 1000 entries";
    assert_eq!(faults_of(&[("a.toml", &text)]), expected);
}

#[test]
fn a_tree_too_large_for_a_record_is_refused() {
    let names: Vec<String> = (0..1_000)
        .map(|i| format!("{i}-{}", "n".repeat(56)))
        .collect();
    let class = |name: &String| format!("[classes.{name}]\nkind = 'live'\ndeadline_ms = 1\n");
    let classes: String = names.iter().map(class).collect();
    let list = names.join("', '");
    let service = |i| {
        format!(
            "[services.s{i}]\nclasses = ['{list}']\ndefault_class = '{}'\n",
            names[0]
        )
    };
    let services: String = (0..20).map(service).collect();
    let texts = [("a.toml", classes), ("b.toml", services)];
    let found = load_texts(texts.iter().map(|(n, t)| (*n, t.as_str())));
    let expected = "a.toml: is larger than 1000000 bytes as a record, with 1000 classes";
    assert_eq!(
        found.expect_err("the tree should be too large").to_string(),
        expected
    );
}

#[test]
fn a_deeply_nested_record_is_refused_without_a_stack_overflow() {
    let json = "[".repeat(200_000);
    assert!(Tree::from_json(&json).is_err());
}
