//! A whole session as a golden file: every record, gain and loss, in order.

use kingcupwinch_coord::ownership::{Event, Timers};
use kingcupwinch_time::Span;

use crate::net::Net;

/// Three instances start; one dies and is replaced; the log goes out and comes back; one drains.
#[test]
fn session_matches_snapshot() {
    let mut net = Net::new(3, 4, Timers::default(), 60);
    net.keep_trace = true;
    net.run(Span::from_secs(15));
    net.trace_line("entry-0 dies");
    net.kill(0);
    net.run(Span::from_secs(5));
    net.trace_line("entry-0 starts again");
    net.start("entry-0", 1);
    net.run(Span::from_secs(25));
    net.trace_line("the log goes out");
    net.log_down = true;
    net.run(Span::from_secs(30));
    net.trace_line("the log is back");
    net.log_down = false;
    net.run(Span::from_secs(10));
    net.trace_line("entry-1 drains");
    net.send_event(1, Event::Drain);
    net.run(Span::from_secs(10));
    insta::assert_snapshot!(net.trace.join("\n"));
}
