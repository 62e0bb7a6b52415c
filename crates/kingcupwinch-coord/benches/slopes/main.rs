//! Slopes of the ownership part: what one instance costs against group size and shards, how long
//! a take-over lasts, and how many records restarts make.
//!
//! Instances run in virtual time; processor time is this thread's own, so other load on the
//! machine changes it little. Prints tables in Markdown.

#[allow(dead_code)]
#[path = "../../tests/ownership/net/mod.rs"]
mod net;
mod size;

use std::hint::black_box;
use std::{fs, mem};

use kingcupwinch_coord::ownership::{Event, Timers};
use kingcupwinch_time::Span;
use rustix::param::page_size;
use rustix::time::{ClockId, clock_gettime};

use net::Net;
use size::encoded_size;

const WARM_UP: Span = Span::from_secs(40);
const MEASURED_SECS: u64 = 30;
const CLONES: usize = 1_000;
const SEEDS: u64 = 10;
const BURST_SECS: u64 = 90;
const PERMITS: usize = 1_000_000;
const RESOLUTION: Span = Span::from_millis(10);
const MOST_STEPS: u64 = 6_000;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// The cost of one instance, by the second.
struct Cost {
    messages: f64,
    bytes: f64,
    core_percent: f64,
    appends: f64,
}

fn main() {
    memory();
    println!("## Cost of one instance while nothing changes\n");
    cost_header();
    for members in [2, 4, 8, 16, 32, 64] {
        cost_row(members, 256, false);
    }
    for shards in [16, 64, 256, 1_024, 4_096] {
        cost_row(9, shards, false);
    }
    println!("\n## Cost of one instance in an outage of the log\n");
    cost_header();
    for members in [4, 9, 16, 64] {
        cost_row(members, 256, true);
    }
    cost_row(9, 4_096, true);
    permits();
    take_overs();
    restarts();
    bursts();
}

/// Records when all members crash at once, and when all are replaced one after another.
fn bursts() {
    println!("\n## Records when every member is replaced\n");
    println!("| members | way | records | most in a second | seconds until served |");
    println!("| --- | --- | --- | --- | --- |");
    for members in [3, 9, 20, 64] {
        let mut crash = settled(members, 256, 1);
        for node in 0..members {
            crash.restart(node);
        }
        burst_row(&mut crash, "all crash at once");
        let mut rolling = settled(members, 256, 1);
        for node in 0..members {
            rolling.send_event(node, Event::Drain);
            rolling.start(&format!("next-{node}"), 1);
        }
        burst_row(&mut rolling, "all drain at once");
    }
}

fn burst_row(net: &mut Net, way: &str) {
    let members = net.nodes.len() / 2;
    let begin = net.log.len();
    let mut most = 0;
    let mut served = None;
    for second in 1..=BURST_SECS {
        let before = net.log.len();
        net.run(Span::from_secs(1));
        most = most.max(net.log.len() - before);
        if served.is_none() && net.all_dispatched() {
            served = Some(second);
        }
    }
    let records = net.log.len() - begin;
    let served = served.map_or("not".to_owned(), |second| second.to_string());
    println!("| {members} | {way} | {records} | {most} | {served} |");
}

/// Time of one permit, checked before each dispatch.
fn permits() {
    println!("\n## One permit, nanoseconds\n");
    println!("| members | shards | fresh view | outage |");
    println!("| --- | --- | --- | --- |");
    for (members, shards) in [(3, 16), (9, 256), (9, 4_096)] {
        let mut net = settled(members, shards, 1);
        let fresh = permit_nanos(&net);
        net.log_down = true;
        net.run(Span::from_secs(10));
        let outage = permit_nanos(&net);
        println!("| {members} | {shards} | {fresh:.0} | {outage:.0} |");
    }
}

fn permit_nanos(net: &Net) -> f64 {
    let node = &net.nodes[0];
    let now = net::local(net.now, node.ppm);
    let owned: Vec<_> = node.coord.owned(now).collect();
    let before = thread_nanos();
    let granted = (0..PERMITS)
        .map(|index| owned[index % owned.len()].shard)
        .filter(|shard| black_box(node.coord.permit(*shard, now)).is_some())
        .count();
    let after = thread_nanos();
    assert_eq!(granted, PERMITS);
    (after - before) as f64 / PERMITS as f64
}

fn cost_header() {
    println!("| members | shards | messages/s | bytes/s | core % | appends/s |");
    println!("| --- | --- | --- | --- | --- | --- |");
}

fn cost_row(members: usize, shards: u16, outage: bool) {
    let mut net = settled(members, shards, 1);
    net.log_down = outage;
    net.run(Span::from_secs(10));
    let cost = measure(&mut net);
    println!(
        "| {members} | {shards} | {:.1} | {:.0} | {:.3} | {:.2} |",
        cost.messages, cost.bytes, cost.core_percent, cost.appends
    );
}

fn settled(members: usize, shards: u16, seed: u64) -> Net {
    let mut net = Net::new(members, shards, Timers::default(), seed);
    net.checked = false;
    net.run(WARM_UP);
    assert!(net.all_dispatched(), "the domain did not settle");
    net
}

/// Measures the busiest sender over a minute; what it receives is of the same order.
fn measure(net: &mut Net) -> Cost {
    let busy: Vec<u64> = net.nodes.iter().map(|node| node.busy_nanos).collect();
    let appends: Vec<u64> = net.nodes.iter().map(|node| node.appends).collect();
    net.sent.clear();
    net.keep_sent = true;
    net.cpu_clock = Some(thread_nanos);
    net.run(Span::from_secs(MEASURED_SECS));
    net.cpu_clock = None;
    net.keep_sent = false;
    let mut bytes = vec![0; net.nodes.len()];
    let mut messages = vec![0_u64; net.nodes.len()];
    for (sender, message) in &net.sent {
        bytes[*sender] += encoded_size(message);
        messages[*sender] += 1;
    }
    let busiest = (0..bytes.len())
        .max_by_key(|node| bytes[*node])
        .unwrap_or(0);
    let used = net
        .nodes
        .iter()
        .zip(&busy)
        .map(|(node, before)| node.busy_nanos - before)
        .max()
        .unwrap_or(0);
    Cost {
        messages: per_second(messages[busiest]),
        bytes: per_second(bytes[busiest]),
        core_percent: per_second(used) * 100.0 / NANOS_PER_SECOND as f64,
        appends: per_second(net.nodes[busiest].appends - appends[busiest]),
    }
}

fn per_second(count: u64) -> f64 {
    count as f64 / MEASURED_SECS as f64
}

fn thread_nanos() -> u64 {
    let spec = clock_gettime(ClockId::ThreadCPUTime);
    spec.tv_sec.unsigned_abs() * NANOS_PER_SECOND + spec.tv_nsec.unsigned_abs()
}

/// Runs first, and frees nothing: memory that was used before would hide what is used now.
fn memory() {
    println!("## Memory of one instance\n");
    println!("| members | shards | KB |");
    println!("| --- | --- | --- |");
    for (members, shards) in [(3, 16), (9, 256), (64, 256), (9, 1_024), (9, 4_096)] {
        let net = settled(members, shards, 1);
        let memory = memory_kb(&net);
        mem::forget(net);
        println!("| {members} | {shards} | {memory} |");
    }
    println!();
}

/// Returns the memory of one coordinator: resident memory of many clones, shared among them.
fn memory_kb(net: &Net) -> u64 {
    let before = resident_kb();
    let clones = vec![net.nodes[0].coord.clone(); CLONES];
    let after = resident_kb();
    mem::forget(clones);
    after.saturating_sub(before) / CLONES as u64
}

fn resident_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0);
    pages * page_size() as u64 / 1_024
}

/// Time from an owner's last moment to every one of its shards dispatched by an heir.
fn take_overs() {
    println!("\n## Take-over of a dead owner's shards, seconds, {SEEDS} seeds\n");
    println!("| members | shards | shortest | median | longest |");
    println!("| --- | --- | --- | --- | --- |");
    for (members, shards) in [(3, 16), (3, 1_024), (9, 256), (64, 256)] {
        let mut times: Vec<f64> = (0..SEEDS)
            .map(|seed| take_over(members, shards, seed))
            .collect();
        times.sort_by(f64::total_cmp);
        println!(
            "| {members} | {shards} | {:.2} | {:.2} | {:.2} |",
            times[0],
            times[times.len() / 2],
            times[times.len() - 1]
        );
    }
}

fn take_over(members: usize, shards: u16, seed: u64) -> f64 {
    let mut net = settled(members, shards, seed);
    net.run(Span::from_millis(37 * seed));
    net.kill(net.busiest());
    for waited in 1..MOST_STEPS {
        net.run(RESOLUTION);
        if net.all_dispatched() {
            return RESOLUTION.times(waited).as_secs_f64();
        }
    }
    f64::INFINITY
}

/// Records that one planned replacement and one crash make.
fn restarts() {
    println!("\n## Records for one restart\n");
    println!("| members | planned | crash |");
    println!("| --- | --- | --- |");
    for members in [3, 9, 20, 64] {
        let planned = records_of(members, |net| {
            net.send_event(0, Event::Drain);
            net.run(Span::from_secs(20));
            net.start("entry-0", 1);
        });
        let crash = records_of(members, |net| {
            net.restart(0);
        });
        println!("| {members} | {planned} | {crash} |");
    }
}

fn records_of(members: usize, change: impl Fn(&mut Net)) -> usize {
    let mut net = settled(members, 256, 1);
    let before = net.log.len();
    change(&mut net);
    net.run(Span::from_secs(60));
    net.log.len() - before
}
