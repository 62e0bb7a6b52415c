//! Entry point of the `kingcupwinch` command line.

use std::io::{IsTerminal, stderr, stdout};
use std::process::ExitCode;

use kingcupwinch_cli::{Console, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let has_colour = stdout().is_terminal() && stderr().is_terminal();
    let (mut out, mut err) = (stdout(), stderr());
    let mut console = Console::new(&mut out, &mut err).with_colour(has_colour);
    run(std::env::args_os(), &mut console).await.into()
}
