//! One test for each promise that must always hold, under the faults that threaten it.

mod answers;
mod capacity;
mod configuration;
mod leaving;
mod not_run;
mod stopping;
