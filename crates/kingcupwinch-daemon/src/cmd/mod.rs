//! The daemon's command line.

mod serve;

pub use serve::{execute, make_command};
