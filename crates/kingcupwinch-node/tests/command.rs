//! The command line of an instance.

use kingcupwinch_cell::Mechanism;

#[test]
fn every_mechanism_can_be_switched_off_by_name() {
    let names: Vec<&str> = Mechanism::ALL.iter().map(|m| m.as_str()).collect();
    let list = names.join(",");
    let arguments = ["node", "--without", &list, "--without", names[0]];
    let matches = kingcupwinch_node::cmd::make_subcommand()
        .try_get_matches_from(arguments)
        .expect("all names are known");
    let given = matches.get_many::<String>("without").map(Iterator::count);
    assert_eq!(given, Some(names.len() + 1));
}

#[test]
fn an_unknown_mechanism_is_an_error_that_lists_the_known_ones() {
    let arguments = ["node", "--without", "magic"];
    let result = kingcupwinch_node::cmd::make_subcommand().try_get_matches_from(arguments);
    let message = result.expect_err("the name is unknown").to_string();
    assert!(message.contains("regression") && message.contains("quarantine"));
}
