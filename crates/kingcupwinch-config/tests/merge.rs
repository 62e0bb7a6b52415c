//! Tests merging, removal, locations of settings and canonical JSON.

use kingcupwinch_config::{Tree, load_texts};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const BASE: (&str, &str) = (
    "10.toml",
    "[classes.a]\nkind = 'batch'\nleast = 0.2\ntask = { millicores = 7 }\n[classes.b]\nkind = 'batch'",
);

#[test]
fn a_later_file_is_merged_by_key() {
    let later = (
        "20.toml",
        "[classes.a.task]\nmemory_mb = 9\n[classes.a]\nleast = 0.4",
    );
    let loaded = load_texts([later, BASE]).unwrap();
    let class = &loaded.tree.classes["a"];
    assert_eq!((class.task.millicores, class.task.memory_mb), (7, 9));
    assert_eq!(class.least.get(), 0.4);
    let origin = |path| loaded.origins.location(path).map(ToString::to_string);
    assert_eq!(origin("classes.a.least").as_deref(), Some("20.toml:4:1"));
    assert_eq!(
        origin("classes.a.task.millicores").as_deref(),
        Some("10.toml:4:10")
    );
    assert_eq!(origin("classes.a.band"), None);
}

#[test]
fn a_removed_entry_can_be_added_again() {
    let removal = ("20.toml", "[classes.a]\nremove = true");
    let back = ("30.toml", "[classes.a]\nkind = 'batch'");
    let loaded = load_texts([BASE, removal]).unwrap();
    assert_eq!(
        loaded
            .tree
            .classes
            .keys()
            .map(AsRef::as_ref)
            .collect::<Vec<_>>(),
        ["b"]
    );
    let loaded = load_texts([BASE, removal, back]).unwrap();
    assert_eq!(loaded.tree.classes["a"].least.get(), 0.0);
}

#[test]
fn a_list_is_replaced_and_not_merged() {
    let base = "[classes.a]\nkind='live'\ndeadline_ms=1\n[classes.b]\nkind='live'\ndeadline_ms=1\n[services.s]\nclasses=['a','b']\ndefault_class='a'";
    let later = "[services.s]\nclasses = ['a']";
    let loaded = load_texts([("1.toml", base), ("2.toml", later)]).unwrap();
    assert_eq!(loaded.tree.services["s"].classes.len(), 1);
}

#[test]
fn the_json_does_not_depend_on_the_order_within_files() {
    let one = "[classes.a]\nkind = 'batch'\nband = 1\n[classes.b]\nkind = 'gang'";
    let two = "[classes.b]\nkind = 'gang'\n[classes.a]\nband = 1\nkind = 'batch'";
    let json = |text| {
        load_texts([("x.toml", text)])
            .unwrap()
            .tree
            .to_canonical_json()
    };
    assert_eq!(json(one), json(two));
}

/// Published trees leave out defaults, so a changed default would alter trees already published.
#[test]
fn the_defaults_are_those_of_the_record_form() {
    let text = "[domains.d]\nregion = 'r'\n[classes.c]\nkind = 'live'\ndeadline_ms = 1\n[services.s]\ndefault_class = 'c'\nclasses = ['c']\n[customers.k]\n[objectives.c]";
    let tree = load_texts([("a.toml", text)]).unwrap().tree;
    insta::assert_json_snapshot!(tree.settings());
    let json = r#"{"domains":{"d":{"region":"r"}},"services":{"s":{"classes":["c"],"default_class":"c"}},"classes":{"c":{"kind":"live","deadline_ms":1}},"customers":{"k":{}},"objectives":{"c":{}}}"#;
    assert_eq!(tree.to_canonical_json(), json);
}

#[test]
fn a_required_setting_that_equals_its_default_is_serialized() {
    let tree = load_texts([("a.toml", "[classes.a]\nkind = 'batch'")])
        .unwrap()
        .tree;
    assert_eq!(
        tree.to_canonical_json(),
        r#"{"classes":{"a":{"kind":"batch"}}}"#
    );
}

#[test]
fn a_long_fraction_is_read_back_exactly() {
    let text = "[classes.a]\nkind = 'batch'\nmost = 0.9656833089910416";
    let tree = load_texts([("a.toml", text)]).unwrap().tree;
    assert_eq!(Tree::from_json(&tree.to_canonical_json()).unwrap(), tree);
}

fn seeded(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(seeded(256))]

    #[test]
    fn a_tree_round_trips_through_json(
        least in 0.0..=0.5_f64,
        most in 0.5..=1.0_f64,
        deadline in 1..=2_678_400_000_u64,
        band in any::<u8>(),
        rate in proptest::option::of(any::<u32>()),
    ) {
        let rate = rate.map_or(String::new(), |r| format!("rate_most = {r}"));
        let text = format!(
            "[classes.a]\nkind = 'live'\nleast = {least:?}\nmost = {most:?}\ndeadline_ms = {deadline}\nband = {band}\n{rate}"
        );
        let tree = load_texts([("a.toml", text.as_str())]).unwrap().tree;
        let json = tree.to_canonical_json();
        let back = Tree::from_json(&json).unwrap();
        prop_assert_eq!(&back, &tree);
        prop_assert_eq!(back.to_canonical_json(), json);
    }

    #[test]
    fn arbitrary_text_is_merged_or_refused(text in "[\\[\\]{}=.'\"a-z0-9\\n ]{0,80}", other in "\\PC{0,60}") {
        let faults = load_texts([("a.toml", text.as_str()), ("b.toml", other.as_str())]).err();
        prop_assert!(faults.is_none_or(|faults| !faults.list.is_empty()));
        let _ = Tree::from_json(&text);
    }
}
