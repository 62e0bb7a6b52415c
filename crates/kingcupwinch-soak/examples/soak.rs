//! Runs the soak test for a range of seeds. Exits with 1 if an invariant was violated or a run
//! failed.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use kingcupwinch_soak::{Outcome, PlanKind, RunOptions, run};

fn make_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("soak")
        .about("Runs instances under injected faults and checks their invariants")
        .arg(number("seed", "1", "First seed"))
        .arg(number("count", "1", "Number of consecutive seeds"))
        .arg(number(
            "seconds",
            "12",
            "Duration of the load and the faults of a run, in seconds",
        ))
        .arg(number("instances", "3", "Number of instances of a run"))
        .arg(number("workers", "6", "Number of workers of a run"))
        .arg(
            Arg::new("basic")
                .long("basic")
                .action(ArgAction::SetTrue)
                .help("Injects single faults only, without series, under a steady load"),
        )
        .arg(
            Arg::new("overload")
                .long("overload")
                .action(ArgAction::SetTrue)
                .conflicts_with("basic")
                .help("Injects no faults, and submits more long-running tasks than fit"),
        )
        .arg(
            Arg::new("drains")
                .long("drains")
                .action(ArgAction::SetTrue)
                .requires("overload")
                .help("Lets a fifth to two fifths of the workers drain and leave for good"),
        )
        .arg(
            Arg::new("crashing")
                .long("crashing")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["basic", "overload"])
                .help("Submits tasks that crash their workers, and changes capacities"),
        )
        .arg(
            Arg::new("rejecting")
                .long("rejecting")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["basic", "overload", "crashing"])
                .help("Injects the single faults, and has the store reject records"),
        )
        .arg(
            Arg::new("restarts")
                .long("restarts")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["basic", "overload", "crashing", "rejecting"])
                .help("Restarts workers and cuts them off, and has calls carried out late"),
        )
        .arg(
            Arg::new("link-kbps")
                .long("link-kbps")
                .value_parser(value_parser!(u64).range(1..))
                .help("Bandwidth of the link of each instance to the store, in kbit/s"),
        )
        .arg(
            Arg::new("customers")
                .long("customers")
                .action(ArgAction::SetTrue)
                .help("Has customers as callers, and adds and withdraws their keys"),
        )
        .arg(
            Arg::new("crowds")
                .long("crowds")
                .action(ArgAction::SetTrue)
                .help("Has crowds of clients take the places of instances' listeners"),
        )
        .arg(number("at-once", "1", "Number of concurrent runs"))
        .arg(
            Arg::new("dir")
                .long("dir")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Directory of the settings and logs"),
        )
}

fn print(seed: u64, outcome: &Outcome) {
    let Outcome {
        jobs,
        accepted,
        refused,
        starts,
        lookups,
        key_uses,
        violations,
        plan,
    } = outcome;
    println!(
        "seed {seed}: {} faults, {jobs} jobs, {accepted} accepted, {refused} refused, \
         {starts} starts, {lookups} lookups, {key_uses} key uses, {} violations",
        plan.faults.len(),
        violations.len()
    );
    if !violations.is_empty() {
        print!("{}", plan.describe());
        for violation in violations {
            println!("  {violation}");
        }
    }
}

async fn run_seed(seed: u64, matches: ArgMatches) -> bool {
    let dir = matches.get_one::<PathBuf>("dir").cloned();
    let dir = dir.unwrap_or_default().join(seed.to_string());
    let count = |name| usize::try_from(number(&matches, name)).unwrap_or(1).max(1);
    let outcome = match RunOptions::new(seed, &dir) {
        Ok(mut options) => {
            options.seconds = number(&matches, "seconds");
            options.instances = count("instances");
            options.workers = count("workers");
            options.link_kbps = matches.get_one::<u64>("link-kbps").copied();
            options.has_customers = matches.get_flag("customers");
            options.has_crowds = matches.get_flag("crowds");
            if matches.get_flag("basic") {
                options.plan = PlanKind::Basic;
            } else if matches.get_flag("crashing") {
                options.plan = PlanKind::Crashing;
            } else if matches.get_flag("rejecting") {
                options.plan = PlanKind::Rejecting;
            } else if matches.get_flag("restarts") {
                options.plan = PlanKind::Restarts;
            } else if matches.get_flag("drains") {
                options.plan = PlanKind::Drains;
            } else if matches.get_flag("overload") {
                options.plan = PlanKind::Overload;
            }
            run(&options).await
        }
        Err(error) => Err(error),
    };
    match outcome {
        Ok(outcome) => {
            print(seed, &outcome);
            outcome.violations.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: the run failed: {error}");
            false
        }
    }
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(1)
}

async fn run_all(matches: &ArgMatches) -> bool {
    let number = |name| number(matches, name);
    let seeds: Vec<u64> = (number("seed")..number("seed") + number("count")).collect();
    let at_once = usize::try_from(number("at-once")).unwrap_or(1).max(1);
    let mut is_clean = true;
    for group in seeds.chunks(at_once) {
        let mut runs = tokio::task::JoinSet::new();
        for seed in group {
            runs.spawn(run_seed(*seed, matches.clone()));
        }
        is_clean &= runs.join_all().await.into_iter().all(|clean| clean);
    }
    is_clean
}

#[tokio::main]
async fn main() -> ExitCode {
    if run_all(&make_command().get_matches()).await {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
