//! A failure domain in one process: a platform of stand-ins, sixteen unlike workers, three
//! daemons, and a mixed load, with a daemon killed and the log cut on the way.
//!
//! It ends by itself within about thirty seconds, and with a failure if a promise was broken.

mod cluster;
mod load;
mod report;
mod results;

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcupwinch_fakes::Reach;
use kingcupwinch_wire::roster::InstanceState;

use cluster::Cluster;
use load::Load;
use report::{ControlCosts, print_report};
use results::Results;

/// Any failure of the demo itself.
pub(crate) type Failure = Box<dyn Error + Send + Sync>;

/// When a daemon is killed, after the load has begun.
const KILL_TIME: Duration = Duration::from_secs(4);
/// When a second configuration is published.
const PUBLISH_TIME: Duration = Duration::from_secs(7);
/// When the log is cut.
const LOG_DOWN_TIME: Duration = Duration::from_secs(9);
/// When the log is back.
const LOG_UP_TIME: Duration = Duration::from_secs(12);
/// When a worker is marked as leaving.
const LEAVE_TIME: Duration = Duration::from_secs(13);
/// When a daemon is stopped gracefully, under load.
const STOP_TIME: Duration = Duration::from_secs(15);
/// When the load ends.
const END_TIME: Duration = Duration::from_secs(18);
/// How long jobs may take to end after the load.
const JOBS_TIMEOUT: Duration = Duration::from_secs(10);

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
    let mut cluster = Cluster::start().await?;
    cluster.start_entries().await?;
    println!("three daemons share sixteen workers; the load begins");
    let results = Arc::new(Results::default());
    let began = Instant::now();
    let load = Load::start(&cluster, &results);
    let report_progress = tokio::spawn(results::report_progress(
        Arc::clone(&results),
        cluster.targets(),
        began,
    ));

    sleep_until(began, KILL_TIME).await;
    println!(
        "{:>3} s  daemon entry-2 is killed",
        began.elapsed().as_secs()
    );
    cluster.kill("entry-2");

    sleep_until(began, PUBLISH_TIME).await;
    println!(
        "{:>3} s  configuration 2 is published",
        began.elapsed().as_secs()
    );
    cluster.publish_second()?;
    let published = Instant::now();
    let activation = results::wait_version(&cluster.targets(), 2).await;
    results.record_activation(activation.then(|| published.elapsed()));

    sleep_until(began, LOG_DOWN_TIME).await;
    println!("{:>3} s  the log is cut", began.elapsed().as_secs());
    cluster.log_front.set_reach(Reach::Out);
    sleep_until(began, LOG_UP_TIME).await;
    println!("{:>3} s  the log is back", began.elapsed().as_secs());
    cluster.log_front.set_reach(Reach::Up);

    sleep_until(began, LEAVE_TIME).await;
    println!("{:>3} s  worker-3 is leaving", began.elapsed().as_secs());
    cluster.roster.set_state("worker-3", InstanceState::Leaving);
    let last_start = cluster.last_start();

    sleep_until(began, STOP_TIME).await;
    println!(
        "{:>3} s  daemon entry-3 is stopped gracefully",
        began.elapsed().as_secs()
    );
    let clean = cluster.stop("entry-3").await?;
    println!("{:>3} s  it has stopped", began.elapsed().as_secs());

    sleep_until(began, END_TIME).await;
    load.end().await;
    let measured = began.elapsed();
    let all_ended = results.wait_jobs(&cluster.targets(), JOBS_TIMEOUT).await;
    let costs = ControlCosts::collect(&cluster, measured).await?;
    report_progress.abort();
    println!();
    Ok(print_report(
        &cluster,
        &results,
        &costs,
        last_start,
        clean && all_ended,
    ))
}

/// Waits until a moment of the script.
async fn sleep_until(began: Instant, moment: Duration) {
    tokio::time::sleep(moment.saturating_sub(began.elapsed())).await;
}
