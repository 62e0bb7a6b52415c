//! One module for each guarantee of the system, tested under the faults that threaten it.

mod answers;
mod at_most_once;
mod capacity;
mod configuration;
mod group;
mod leaving;
mod not_run;
mod one_place;
mod stopping;
mod take_over;
