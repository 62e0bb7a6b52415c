//! Measures one pair of links on loopback: the round-trip time with one client and the request rate
//! with many.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use hdrhistogram::Histogram;
use kingcupwinch_coord::id::{Incarnation, Version};
use kingcupwinch_link::{Inbox, Links, Peer};
use kingcupwinch_wire::sibling::Body;
use tokio::time::Instant;
use uuid::Uuid;

type BoxError = Box<dyn Error + Send + Sync>;

const SIGNIFICANT_DIGITS: u8 = 3;
const TIMEOUT: Duration = Duration::from_secs(30);

fn command() -> Command {
    Command::new("bench_link")
        .about("Measures a pair of sibling links on loopback")
        .arg(number("asks", "20000", "Requests of each run"))
        .arg(number(
            "askers",
            "64",
            "Concurrent clients in the second run",
        ))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64).range(1..))
        .default_value(default)
        .help(help)
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let matches = command().get_matches();
    let get = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let (me, other) = (Incarnation(Uuid::now_v7()), Incarnation(Uuid::now_v7()));
    let (links, _inbox) = Links::start(address, me).await?;
    let (other_links, other_inbox) = Links::start(address, other).await?;
    other_links.set_peers([Peer::new(me, links.address())]);
    links.set_peers([Peer::new(other, other_links.address())]);
    links
        .wait_connected(other, Instant::now() + TIMEOUT)
        .await?;
    tokio::spawn(echo(other_inbox));
    let links = Arc::new(links);
    run("one asker", &links, other, 1, get("asks")).await?;
    run("many askers", &links, other, get("askers"), get("asks")).await?;
    Ok(())
}

async fn echo(mut inbox: Inbox) {
    while let Some(message) = inbox.messages.recv().await {
        let body = message.envelope.body.clone();
        message.reply(body);
    }
}

async fn run(
    name: &str,
    links: &Arc<Links>,
    to: Incarnation,
    clients: u64,
    requests: u64,
) -> Result<(), BoxError> {
    let start = Instant::now();
    let tasks: Vec<_> = (0..clients)
        .map(|_| tokio::spawn(send_requests(Arc::clone(links), to, requests / clients)))
        .collect();
    let mut micros = Histogram::<u64>::new(SIGNIFICANT_DIGITS)?;
    for task in tasks {
        micros.add(task.await??)?;
    }
    let rate = micros.len() as f64 / start.elapsed().as_secs_f64();
    let (p50, p99) = (
        micros.value_at_quantile(0.5),
        micros.value_at_quantile(0.99),
    );
    println!("{name}: {rate:.0} asks/s, round trip p50 {p50} us, p99 {p99} us");
    Ok(())
}

async fn send_requests(
    links: Arc<Links>,
    to: Incarnation,
    requests: u64,
) -> Result<Histogram<u64>, BoxError> {
    let mut micros = Histogram::new(SIGNIFICANT_DIGITS)?;
    for n in 0..requests {
        let start = Instant::now();
        let body = Body::ConfigRequest(Version(n));
        links.request(to, body, start + TIMEOUT).await?;
        micros.record(u64::try_from(start.elapsed().as_micros())?)?;
    }
    Ok(micros)
}
