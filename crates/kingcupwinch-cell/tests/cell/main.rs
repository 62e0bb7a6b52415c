//! Tests of the cell under load and faults, without a network.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod advice;
mod availability;
mod backlog;
mod callers;
mod capacity;
mod caps;
mod caps_random;
mod contention;
mod crashes;
mod customers;
mod delay;
mod election;
mod footprint;
mod forecast_load;
mod gang_load;
mod gangs;
mod harness;
mod jobs;
mod large_jobs;
mod late_ends;
mod lifecycle;
mod long_running;
mod moves;
mod narrow_links;
mod occurrences;
mod order;
mod order_load;
mod overload;
mod paces;
mod progress_log;
mod replaced;
mod restarts;
mod run_times;
mod set_aside;
mod shares;
mod shrinking;
mod speculation;
mod takeover;
mod tentative;
mod unsent_starts;
mod waiting;
mod worker_pace;
mod worker_records;
mod workers;
