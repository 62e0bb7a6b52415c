//! Command line for operators: checks, publishes and shows the configuration, and reports on the
//! instances and the service-level objectives.
//!
//! The binary only calls [`run`], so that tests can run whole commands in their own process.
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")] async fn main() {
//! use kingcupwinch_cli::{Console, Exit, run};
//!
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! let mut console = Console::new(&mut out, &mut err);
//! let exit = run(["kingcupwinch", "check", "/no/such/folder"], &mut console).await;
//! assert_eq!(exit, Exit::Failure);
//! assert!(String::from_utf8(err).unwrap().contains("/no/such/folder: can't be read"));
//! # }
//! ```

mod burn;
mod change;
mod cmd;
mod console;
mod error;
mod exit;
mod explain;
mod http;
mod log;
mod operator;
mod published;
mod rollout;
mod settings;
mod table;

pub use cmd::{make_command, run};
pub use console::Console;
pub use exit::Exit;
