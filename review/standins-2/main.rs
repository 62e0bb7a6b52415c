//! Runs one case of the review: `review-2 CASE DIRECTORY`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod address;
#[allow(dead_code)]
mod base;
mod give_up;
mod may_miss;
mod other_kind;
mod owner_and_worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case has shown.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// Returns whether the disruption is to be caused.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, dir) = (args.next().unwrap_or_default(), args.next());
    let Some(dir) = dir.map(PathBuf::from) else {
        eprintln!("review-2 CASE DIRECTORY");
        return ExitCode::from(2);
    };
    base::end_after(115_000);
    let temporary = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("{error}");
        return ExitCode::from(2);
    }
    let verdict = run(&case, &dir, &temporary);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    match verdict {
        Ok(Verdict::Held(text)) => {
            println!("the rule held: {text}");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(text)) => {
            println!("the rule was broken: {text}");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun(text)) => {
            println!("the case could not run: {text}");
            ExitCode::from(2)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, dir: &Path, temporary: &Path) -> std::io::Result<Verdict> {
    let (verdict, record) = match case {
        "address" => address::run(temporary)?,
        "give-up" => give_up::run(temporary)?,
        "owner-and-worker" => owner_and_worker::run(temporary)?,
        "may-miss" => may_miss::run(temporary)?,
        "other-kind" => other_kind::run(temporary)?,
        _ => return Ok(Verdict::NotRun(format!("no case {case}"))),
    };
    record.write(&dir.join("record.txt"))?;
    Ok(verdict)
}
