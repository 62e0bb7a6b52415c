//! Links under faults of the peers and of what arrives.

mod foreign;
mod peers;
mod support;
