//! A demo of a failure domain in one process: a simulated platform, sixteen workers of different
//! sizes, three daemons and a mixed load. During the run a daemon is killed and the log is cut off.
//!
//! The demo ends within about thirty seconds, and exits with a failure if a guarantee was violated.

mod cluster;
mod load;
mod report;
mod results;

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcupwinch_fakes::Availability;
use kingcupwinch_wire::instance_list::InstanceState;

use cluster::Cluster;
use load::Load;
use report::{ControlCosts, print_report};
use results::Results;

/// Error type of the demo itself.
pub(crate) type Failure = Box<dyn Error + Send + Sync>;

/// Time at which a daemon is killed, after the start of the load.
const KILL_TIME: Duration = Duration::from_secs(4);
/// Time at which a second configuration is published.
const PUBLISH_TIME: Duration = Duration::from_secs(7);
/// Time at which the log becomes unreachable.
const LOG_DOWN_TIME: Duration = Duration::from_secs(9);
/// Time at which the log is reachable again.
const LOG_UP_TIME: Duration = Duration::from_secs(12);
/// Time at which a worker is marked as leaving.
const LEAVE_TIME: Duration = Duration::from_secs(13);
/// Time at which a daemon is stopped gracefully, under load.
const STOP_TIME: Duration = Duration::from_secs(15);
/// Time at which the load ends.
const END_TIME: Duration = Duration::from_secs(18);
/// Time limit for jobs to end after the load.
const JOBS_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(violations) => {
            eprintln!("{violations} violations of guarantees");
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
    println!("three daemons share sixteen workers; the load starts");
    let results = Arc::new(Results::default());
    let began = Instant::now();
    let load = Load::start(&cluster, &results);
    let reporter = tokio::spawn(results::report_progress(
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
    println!("{:>3} s  the log is unreachable", began.elapsed().as_secs());
    cluster
        .log_server
        .set_availability(Availability::Unavailable);
    sleep_until(began, LOG_UP_TIME).await;
    println!(
        "{:>3} s  the log is reachable again",
        began.elapsed().as_secs()
    );
    cluster.log_server.set_availability(Availability::Up);

    sleep_until(began, LEAVE_TIME).await;
    println!("{:>3} s  worker-3 is leaving", began.elapsed().as_secs());
    cluster
        .instance_list
        .set_state("worker-3", InstanceState::Leaving);
    let last_start = cluster.last_start();

    sleep_until(began, STOP_TIME).await;
    println!(
        "{:>3} s  daemon entry-3 is stopped gracefully",
        began.elapsed().as_secs()
    );
    let clean = cluster.stop("entry-3").await?;
    println!(
        "{:>3} s  daemon entry-3 has stopped",
        began.elapsed().as_secs()
    );

    sleep_until(began, END_TIME).await;
    load.end().await;
    let measured = began.elapsed();
    let all_ended = results.wait_jobs(&cluster.targets(), JOBS_TIMEOUT).await;
    let costs = ControlCosts::collect(&cluster, measured).await?;
    reporter.abort();
    println!();
    Ok(print_report(
        &cluster,
        &results,
        &costs,
        last_start,
        clean && all_ended,
    ))
}

/// Waits until `moment` after the start of the load.
async fn sleep_until(began: Instant, moment: Duration) {
    tokio::time::sleep(moment.saturating_sub(began.elapsed())).await;
}
