//! The daemon of each entry instance. It accepts callers' requests, decides where and when they
//! run, and returns the answers.
//!
//! ```no_run
//! use kingcupwinch_daemon::Daemon;
//! use kingcupwinch_daemon::settings::{Overrides, load_from_disk};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = load_from_disk(Some("kingcupwinchd.toml".as_ref()), &Overrides::default())?;
//! let running = Daemon::new(settings).start().await?;
//! println!("callers are served at {}", running.addresses().callers);
//! let end = running.stop().await;
//! println!("stopped: {end:?}");
//! # Ok(())
//! # }
//! ```

pub mod cmd;
pub mod logging;
pub mod metrics;
pub mod settings;

mod actors;
mod daemon;
mod jobs;
mod keys;
mod live;
mod plan;
mod server;
mod shared;
mod siblings;
mod worker;

pub use daemon::{Addresses, Daemon, Running, StartError, StopEnd};
