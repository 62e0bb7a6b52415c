//! Compares the committed generated code with the generator's output for the `.proto` files.
//!
//! `UPDATE_GENERATED=1` rewrites the committed files.

use std::fs;

use kingcupwinch_codegen::{generate, wire_root};

#[test]
fn committed_code_matches_generator_output() {
    let directory = wire_root().join("src/generated");
    for file in generate(&wire_root()).unwrap() {
        let path = directory.join(&file.name);
        if std::env::var_os("UPDATE_GENERATED").is_some() {
            fs::write(&path, &file.text).unwrap();
        }
        let committed = fs::read_to_string(&path).unwrap();
        assert!(
            committed == file.text,
            "{} is out of date: rerun with UPDATE_GENERATED=1",
            file.name
        );
    }
}
