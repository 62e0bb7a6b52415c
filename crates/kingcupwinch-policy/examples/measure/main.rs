//! Measures the scheduling policy against baselines in simulated time.
//!
//! Writes a Markdown table and SVG plots. The same seed gives the same figures.

mod baseline;
mod driver;
mod plot;
mod report;
mod scenario;
mod scheduler;
mod site;

use std::error::Error;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use clap::{Arg, ArgAction, Command, value_parser};

use crate::driver::{Figures, run};
use crate::scenario::{Scenario, catalogue, full_size};

const DEFAULT_SEED: &str = "1";
const DEFAULT_THREADS: &str = "4";

fn command() -> Command {
    Command::new("measure")
        .about("Measures the policy against baselines in simulated time")
        .arg(number("seed", DEFAULT_SEED).help("Seed of every run"))
        .arg(number("threads", DEFAULT_THREADS).help("Number of scenarios to run at the same time"))
        .arg(
            Arg::new("only")
                .long("only")
                .help("Run only scenarios whose name contains this text"),
        )
        .arg(
            Arg::new("full")
                .long("full")
                .action(ArgAction::SetTrue)
                .help("Run only the full size: 12,000 machines and 280,000 tasks"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_parser(value_parser!(PathBuf))
                .help(
                    "Directory for the table and plots; the table is printed if this is not given",
                ),
        )
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let seed = *matches.get_one::<u64>("seed").unwrap_or(&1);
    let threads = *matches.get_one::<u64>("threads").unwrap_or(&1);
    let mut scenarios = if matches.get_flag("full") {
        full_size(seed)
    } else {
        catalogue(seed)
    };
    if let Some(part) = matches.get_one::<String>("only") {
        scenarios.retain(|s| s.name().contains(part.as_str()));
    }
    let figures = run_all(&scenarios, threads as usize);
    let table = report::table(&figures);
    match matches.get_one::<PathBuf>("out") {
        None => print!("{table}"),
        Some(folder) => {
            std::fs::create_dir_all(folder)?;
            std::fs::write(folder.join("policy-table.md"), table)?;
            plot::draw_all(folder, &figures)?;
        }
    }
    Ok(())
}

/// Runs scenarios on several threads and returns their figures in the order of the scenarios.
fn run_all(scenarios: &[Scenario], threads: usize) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(scenario) = scenarios.get(index) else {
                        return;
                    };
                    let figures = run(scenario);
                    if let Ok(mut done) = done.lock() {
                        done.push((index, figures));
                    }
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().map(|(_, figures)| figures).collect()
}
