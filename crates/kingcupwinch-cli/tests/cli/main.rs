//! Tests whole commands against fakes of the platform and of instances.

mod burn;
mod common;
mod explain;
mod outage;
mod sessions;
