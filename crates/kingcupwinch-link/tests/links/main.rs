//! Links under peer faults and invalid input.

mod foreign;
mod peers;
mod support;
