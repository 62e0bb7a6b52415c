//! Holds the committed generated code against what the generator makes from the `.proto` files.

use std::fs;

use kingcupwinch_codegen::{generate, wire_root};

#[test]
fn committed_code_is_what_the_generator_makes() {
    let folder = wire_root().join("src/generated");
    for file in generate(&wire_root()).unwrap() {
        let path = folder.join(&file.name);
        if std::env::var_os("UPDATE_GENERATED").is_some() {
            fs::write(&path, &file.text).unwrap();
        }
        let kept = fs::read_to_string(&path).unwrap();
        assert!(kept == file.text, "{}: UPDATE_GENERATED=1", file.name);
    }
}
