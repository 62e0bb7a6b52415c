//! The cell under the loads and faults of a day, without a network.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod advice;
mod capacity;
mod copies;
mod gangs;
mod lasting;
mod leases;
mod orders;
mod repeats;
mod site;
mod speeds;
mod takeover;
mod tentative;
mod tenure;
