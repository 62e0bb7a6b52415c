//! Whole commands against stand-ins of the platform and of instances.

mod burn;
mod common;
mod outage;
mod sessions;
