//! `report burn`: burn rates of the service-level objectives.

use std::fs;
use std::path::PathBuf;

use anstyle::AnsiColor;
use clap::{Arg, ArgMatches, Command, value_parser};
use kingcupwinch_config::{Tree, load_folder};

use crate::burn::{
    Report, Row, Scrape, WindowRate, assess, collect, draw_svg, load_scrapes, rate_series,
};
use crate::console::Console;
use crate::error::Error;
use crate::exit::Exit;
use crate::published::PublishedConfig;
use crate::settings::{Settings, add_address_args};
use crate::table::Table;

/// Valid factors on the windows.
const SCALE_RANGE: std::ops::RangeInclusive<f64> = 0.000_01..=100.0;

/// Builds the subcommand.
pub(super) fn make_subcommand() -> Command {
    let burn = Command::new("burn")
        .about("Shows how fast the error budgets of the objectives are burning")
        .arg(
            Arg::new("scrapes")
                .long("scrapes")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Use saved scrapes, named <milliseconds>-<instance>.prom"),
        )
        .arg(
            Arg::new("save")
                .long("save")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with("scrapes")
                .help("Save the collected scrapes to this folder"),
        )
        .arg(seconds_arg(
            "for",
            "60",
            "Duration of the collection from the instances, in seconds",
        ))
        .arg(seconds_arg(
            "every",
            "5",
            "Interval between collections, in seconds",
        ))
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Take the objectives from this folder instead of the configuration in force"),
        )
        .arg(
            Arg::new("scale")
                .long("scale")
                .value_name("FACTOR")
                .default_value("1")
                .value_parser(parse_scale)
                .help("Factor on the windows and the budget period, for short trials"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draw the burn rates over time as SVG"),
        );
    Command::new("report")
        .about("Reports on the service-level objectives")
        .subcommand_required(true)
        .subcommand(add_address_args(burn))
}

fn seconds_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("SECONDS")
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=2_678_400))
        .help(help)
}

fn parse_scale(text: &str) -> Result<f64, String> {
    let scale: Option<f64> = text.parse().ok();
    scale
        .filter(|s| SCALE_RANGE.contains(s))
        .ok_or_else(|| "must be a number from 0.00001 to 100".to_owned())
}

/// Runs the subcommand.
pub(super) async fn execute(
    matches: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let Some(("burn", matches)) = matches.subcommand() else {
        return Ok(Exit::Usage);
    };
    let tree = load_objectives(matches).await?;
    if tree.objectives.is_empty() {
        return Err(Error::NoObjectives);
    }
    let scrapes = scrapes(matches, console).await?;
    let scale = matches.get_one::<f64>("scale").copied().unwrap_or(1.0);
    let report = assess(&tree, &scrapes, scale).ok_or(Error::NoScrapes)?;
    if report.end_ms == report.start_ms {
        return Err(Error::NoScrapes);
    }
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        let svg = draw_svg(&rate_series(&tree, &scrapes, scale))?;
        fs::write(path, svg).map_err(|cause| Error::File(path.clone(), cause))?;
    }
    if console.is_json() {
        console.json(&report)?;
    } else {
        write_report(&report, console)?;
    }
    Ok(if report.is_alert() {
        Exit::Alert
    } else {
        Exit::Success
    })
}

async fn load_objectives(matches: &ArgMatches) -> Result<Tree, Error> {
    if let Some(folder) = matches.get_one::<PathBuf>("folder") {
        return Ok(load_folder(folder)?.tree);
    }
    let settings = Settings::from_matches(matches)?;
    let published = PublishedConfig::read(settings.log()?, settings.timeout()).await?;
    published.tree()?.ok_or(Error::Unpublished)
}

async fn scrapes(matches: &ArgMatches, console: &mut Console<'_>) -> Result<Vec<Scrape>, Error> {
    if let Some(folder) = matches.get_one::<PathBuf>("scrapes") {
        return Ok(load_scrapes(folder)?);
    }
    let settings = Settings::from_matches(matches)?;
    let seconds = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let options = collect::CollectOptions {
        duration_s: seconds("for"),
        interval_s: seconds("every"),
        save_folder: matches.get_one::<PathBuf>("save").cloned(),
    };
    collect::collect(&settings, &options, console).await
}

fn write_report(report: &Report, console: &mut Console<'_>) -> Result<(), Error> {
    let seconds = report.end_ms.saturating_sub(report.start_ms) / 1_000;
    console.line(format_args!(
        "instances: {}; span: {seconds} s; each cell is the long window's burn rate / the short one's",
        report.instances
    ))?;
    let mut table = Table::new([
        "CLASS",
        "OBJECTIVE",
        "BAD",
        "ALL",
        "BUDGET LEFT",
        "FAST",
        "MEDIUM",
        "SLOW",
    ]);
    for row in &report.rows {
        table.push(row_cells(row));
    }
    console.table(&table)?;
    write_alerts(report, console)
}

fn row_cells(row: &Row) -> [String; 8] {
    let rates = |i: usize| row.windows.get(i).map_or_else(String::new, window_text);
    [
        row.class.to_string(),
        row.indicator.as_str().to_owned(),
        format!("{:.0}", row.bad),
        format!("{:.0}", row.all),
        format!("{:.2} %", row.budget_left * 100.0),
        rates(0),
        rates(1),
        rates(2),
    ]
}

/// Formats the long and the short rate; an asterisk marks a long window that the scrapes don't
/// span.
fn window_text(window: &WindowRate) -> String {
    let rate = |rate: Option<f64>| rate.map_or_else(|| "-".to_owned(), |r| format!("{r:.2}"));
    let mark = if window.covered < 1.0 { "*" } else { "" };
    format!(
        "{}{mark}/{}",
        rate(window.long_rate),
        rate(window.short_rate)
    )
}

fn write_alerts(report: &Report, console: &mut Console<'_>) -> Result<(), Error> {
    let is_partial = report
        .rows
        .iter()
        .flat_map(|r| &r.windows)
        .any(|w| w.covered < 1.0);
    if is_partial {
        console.line("* the scrapes span only a part of this window")?;
    }
    for row in &report.rows {
        for window in row.windows.iter().filter(|w| w.is_alert) {
            let word = console.paint("ALERT", AnsiColor::Red);
            console.line(format_args!(
                "{word} {}: {} {} burns at {} or more",
                window.pair,
                row.class,
                row.indicator.as_str(),
                window.threshold
            ))?;
        }
    }
    Ok(())
}
