//! A failure domain in one process: a platform of stand-ins, sixteen unlike workers, three
//! daemons, and a mixed load, with a daemon killed and the log cut on the way.
//!
//! It ends by itself within about thirty seconds, and with a failure if a promise was broken.

mod load;
mod report;
mod site;
mod tally;

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcupwinch_fakes::Availability;
use kingcupwinch_wire::instance_list::InstanceState;

use load::Load;
use report::{Control, print_report};
use site::Site;
use tally::Tally;

/// Any failure of the demo itself.
pub(crate) type Failure = Box<dyn Error + Send + Sync>;

/// When a daemon is killed, after the load has begun.
const KILL_AT: Duration = Duration::from_secs(4);
/// When a second configuration is published.
const PUBLISH_AT: Duration = Duration::from_secs(7);
/// When the log is cut.
const CUT_AT: Duration = Duration::from_secs(9);
/// When the log is back.
const BACK_AT: Duration = Duration::from_secs(12);
/// When a worker is marked as leaving.
const LEAVE_AT: Duration = Duration::from_secs(13);
/// When a daemon is stopped gracefully, under load.
const STOP_AT: Duration = Duration::from_secs(15);
/// When the load ends.
const END_AT: Duration = Duration::from_secs(18);
/// How long jobs may take to end after the load.
const SETTLE: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(breaches) => {
            eprintln!("{breaches} breaches of promises");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("the demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<u64, Failure> {
    let mut site = Site::start().await?;
    site.start_entries().await?;
    println!("three daemons share sixteen workers; the load begins");
    let tally = Arc::new(Tally::default());
    let began = Instant::now();
    let load = Load::start(&site, &tally);
    let follow = tokio::spawn(tally::follow(Arc::clone(&tally), site.targets(), began));

    at(began, KILL_AT).await;
    println!(
        "{:>3} s  daemon entry-2 is killed",
        began.elapsed().as_secs()
    );
    site.kill("entry-2");

    at(began, PUBLISH_AT).await;
    println!(
        "{:>3} s  configuration 2 is published",
        began.elapsed().as_secs()
    );
    site.publish_second()?;
    let published = Instant::now();
    let in_force = tally::wait_version(&site.targets(), 2).await;
    tally.note_in_force(in_force.then(|| published.elapsed()));

    at(began, CUT_AT).await;
    println!("{:>3} s  the log is cut", began.elapsed().as_secs());
    site.log_front.set_availability(Availability::Unavailable);
    at(began, BACK_AT).await;
    println!("{:>3} s  the log is back", began.elapsed().as_secs());
    site.log_front.set_availability(Availability::Up);

    at(began, LEAVE_AT).await;
    println!("{:>3} s  worker-3 is leaving", began.elapsed().as_secs());
    site.roster.set_state("worker-3", InstanceState::Leaving);
    let left = site.last_start();

    at(began, STOP_AT).await;
    println!(
        "{:>3} s  daemon entry-3 is stopped gracefully",
        began.elapsed().as_secs()
    );
    let clean = site.stop("entry-3").await?;
    println!("{:>3} s  it has stopped", began.elapsed().as_secs());

    at(began, END_AT).await;
    load.end().await;
    let measured = began.elapsed();
    let settled = tally.wait_jobs(&site.targets(), SETTLE).await;
    let control = Control::collect(&site, measured).await?;
    follow.abort();
    println!();
    Ok(print_report(
        &site,
        &tally,
        &control,
        left,
        clean && settled,
    ))
}

/// Waits until a moment of the script.
async fn at(began: Instant, moment: Duration) {
    tokio::time::sleep(moment.saturating_sub(began.elapsed())).await;
}
