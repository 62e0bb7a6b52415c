//! Holds the committed generated code against what the generator makes from the `.proto` files.

use std::fs;
use std::path::Path;

const FILES: [&str; 3] = ["platform", "records", "sibling"];

#[test]
fn committed_code_is_what_the_generator_makes() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let protos: Vec<_> = FILES.iter().map(|f| format!("{f}.proto")).collect();
    let set = protox::compile(&protos, [root.join("proto")]).unwrap();
    let out = tempfile::tempdir().unwrap();
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(out.path())
        .compile_fds(set)
        .unwrap();
    for file in FILES {
        let name = format!("kingcupwinch.{file}.rs");
        let made = fs::read_to_string(out.path().join(&name)).unwrap();
        let path = root.join("src/generated").join(&name);
        if std::env::var_os("UPDATE_GENERATED").is_some() {
            fs::write(&path, &made).unwrap();
        }
        let kept = fs::read_to_string(&path).unwrap();
        assert_eq!(kept, made, "{name}: run with UPDATE_GENERATED=1");
    }
}
