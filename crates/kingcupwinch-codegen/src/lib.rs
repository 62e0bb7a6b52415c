//! Generates the protocol buffer types of `kingcupwinch-wire`.
//!
//! The generated files are committed, so that the build needs no code generator. This package does
//! not depend on them, so it can regenerate them after a `.proto` file has changed:
//! `UPDATE_GENERATED=1 cargo test -p kingcupwinch-codegen`.
//!
//! ```
//! use kingcupwinch_codegen::{generate, wire_root};
//!
//! let files = generate(&wire_root())?;
//! assert!(files.iter().any(|f| f.name == "kingcupwinch.sibling.rs"));
//! # Ok::<(), kingcupwinch_codegen::CodegenError>(())
//! ```

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use quick_error::quick_error;

const PROTO_NAMES: [&str; 3] = ["platform", "records", "sibling"];

quick_error! {
    /// Errors of code generation.
    #[derive(Debug)]
    pub enum CodegenError {
        /// A `.proto` file is invalid.
        Proto(source: protox::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// A file could not be read or written.
        Io(source: io::Error) {
            from()
            source(source)
            display("{source}")
        }
    }
}

/// A generated file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GeneratedFile {
    /// The file name.
    pub name: String,
    /// The generated source text.
    pub text: String,
}

/// Returns the directory of the `kingcupwinch-wire` package.
pub fn wire_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../kingcupwinch-wire")
}

/// Generates Rust types from the `.proto` files in the `proto` directory below `root`.
///
/// # Errors
///
/// Returns [`CodegenError::Proto`] if a `.proto` file can't be read or is invalid, and
/// [`CodegenError::Io`] if the generated files can't be written or read.
pub fn generate(root: &Path) -> Result<Vec<GeneratedFile>, CodegenError> {
    let protos = PROTO_NAMES.map(|p| format!("{p}.proto"));
    let set = protox::compile(protos, [root.join("proto")])?;
    let out = tempfile::tempdir()?;
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(out.path())
        .compile_fds(set)?;
    PROTO_NAMES
        .into_iter()
        .map(|p| read(out.path(), p))
        .collect()
}

fn read(directory: &Path, proto: &str) -> Result<GeneratedFile, CodegenError> {
    let name = format!("kingcupwinch.{proto}.rs");
    let text = fs::read_to_string(directory.join(&name))?;
    Ok(GeneratedFile { name, text })
}
