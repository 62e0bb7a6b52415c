//! Burn rates of service-level objectives, computed from scrapes of the daemons' metrics.
//!
//! The burn rate is the share of bad events divided by the share that the objective allows; at 1
//! the budget lasts exactly its period. An alert needs a high rate over both a long and a short
//! window, as described in "Alerting on SLOs" in the Site Reliability Workbook.

pub(crate) mod collect;
mod plot;
mod rate;
mod sample;
mod scrape;
mod series;
mod window;

#[cfg(test)]
mod tests;

pub(crate) use plot::{PlotError, draw_svg};
pub(crate) use rate::{Report, Row, WindowRate, assess, rate_series};
pub(crate) use scrape::{Scrape, ScrapeError, load_scrapes};
