//! Tests reading of folders: the examples, skipped entries, and unreadable or oversized input.

use std::fs;
use std::os::unix::fs::{PermissionsExt, symlink};
use std::path::{Path, PathBuf};

use kingcupwinch_config::{MAX_FILE_BYTES, MAX_FILES, Tree, load_folder};
use rstest::rstest;
use tempfile::TempDir;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[rstest]
#[case("event-sound-hire")]
#[case("magnolia-frame-studio")]
fn an_example_loads_as_recorded(#[case] name: &str) {
    let loaded = load_folder(example(name)).unwrap();
    let json = loaded.tree.to_canonical_json();
    assert_eq!(Tree::from_json(&json).unwrap(), loaded.tree);
    let value: serde_json::Value = serde_json::from_str(&json).unwrap();
    insta::assert_json_snapshot!(name, value);
}

#[rstest]
#[case("event-sound-hire", ["harju-a", "harju-b", "harju-c"].as_slice(), 16, 16_000)]
#[case("magnolia-frame-studio", ["dixie-chs", "dixie-mem", "dixie-nola", "dixie-sav"].as_slice(), 12, 64_000)]
fn an_example_has_the_expected_sizes(
    #[case] name: &str,
    #[case] domains: &[&str],
    #[case] workers: u32,
    #[case] millicores: u32,
) {
    let tree = load_folder(example(name)).unwrap().tree;
    let found: Vec<&str> = tree.domains.keys().map(AsRef::as_ref).collect();
    assert_eq!(found, domains);
    for domain in tree.domains.values() {
        assert_eq!((domain.workers, domain.millicores), (workers, millicores));
        assert_eq!((domain.slots, domain.connections), (8, 64));
    }
}

fn folder(files: &[(&str, &[u8])]) -> TempDir {
    let dir = TempDir::new().expect("a temporary folder is created");
    for (name, bytes) in files {
        fs::write(dir.path().join(name), bytes).expect("the file is written");
    }
    dir
}

fn faults_of(dir: &TempDir) -> String {
    let faults = load_folder(dir.path()).expect_err("the folder should be invalid");
    let folder_name = dir.path().display().to_string();
    faults.to_string().replace(&folder_name, "DIR")
}

#[test]
fn hidden_files_and_backups_are_skipped() {
    let names = [
        ".a.toml",
        "a.toml~",
        "#a.toml#",
        ".a.toml.swp",
        "a.toml.bak",
        "notes.txt",
    ];
    let broken: Vec<(&str, &[u8])> = names.iter().map(|n| (*n, b"[".as_slice())).collect();
    let dir = folder(&broken);
    fs::write(dir.path().join("a.toml"), "").unwrap();
    fs::create_dir(dir.path().join("b.toml")).unwrap();
    let loaded = load_folder(dir.path()).unwrap();
    assert_eq!(loaded.files.len(), 1);
    let skipped: Vec<String> = loaded
        .skipped
        .iter()
        .map(|s| format!("{}: {}", s.name, s.reason.as_str()))
        .collect();
    insta::assert_snapshot!(skipped.join("\n"));
}

#[test]
fn an_empty_folder_is_refused() {
    assert_eq!(faults_of(&folder(&[])), "DIR: holds no *.toml file");
}

#[test]
fn a_missing_folder_is_refused() {
    let dir = folder(&[]);
    let faults = load_folder(dir.path().join("none")).unwrap_err();
    assert!(
        faults.to_string().contains("can't be read: No such file"),
        "{faults}"
    );
}

#[test]
fn files_that_cannot_be_read_are_all_named() {
    let dir = folder(&[("a.toml", b"\xff\xfe"), ("c.toml", b"[limits]\njob = 1")]);
    symlink("b.toml", dir.path().join("b.toml")).unwrap();
    symlink("/dev/zero", dir.path().join("d.toml")).unwrap();
    insta::assert_snapshot!(faults_of(&dir));
}

#[test]
fn a_file_without_permission_is_named() {
    let dir = folder(&[("a.toml", b"")]);
    let path = dir.path().join("a.toml");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o000)).unwrap();
    let is_privileged = fs::read(&path).is_ok();
    let result = load_folder(dir.path());
    if is_privileged {
        assert!(result.is_ok(), "a privileged user reads every file");
    } else {
        let found = result.unwrap_err().to_string();
        assert!(
            found.starts_with("a.toml: can't be read: Permission denied"),
            "{found}"
        );
    }
}

#[test]
fn a_large_file_is_refused() {
    let dir = folder(&[("a.toml", &vec![b'#'; 10 * MAX_FILE_BYTES])]);
    assert_eq!(faults_of(&dir), "a.toml: is larger than 1048576 bytes");
}

#[test]
fn a_folder_of_ten_thousand_files_is_refused() {
    let dir = folder(&[]);
    for i in 0..10_000 {
        fs::write(dir.path().join(format!("{i}.toml")), "").unwrap();
    }
    assert_eq!(
        faults_of(&dir),
        format!("DIR: holds more than {MAX_FILES} *.toml files")
    );
}
