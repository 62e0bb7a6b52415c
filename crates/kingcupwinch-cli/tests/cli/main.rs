//! Tests whole commands against fakes of the platform and of instances.

mod burn;
mod common;
mod outage;
mod sessions;
