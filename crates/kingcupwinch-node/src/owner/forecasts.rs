//! Publishes the forecasts of queues to this instance and, through its responses, to its siblings.

use std::sync::Arc;

use kingcupwinch_cell::Mechanism;
use kingcupwinch_time::{Span, Time};

use super::Owner;

/// Time between two forecasts: an eighth of the time for which one is believed.
const FORECAST_INTERVAL: Span = Span::from_millis(250);

impl Owner {
    /// Makes and publishes forecasts if they are due, and records the errors of earlier ones.
    pub(super) fn publish_forecasts(&mut self, now: Time) {
        if now < self.next_forecast || !self.shared.disabled.uses(Mechanism::Forecast) {
            return;
        }
        self.next_forecast = now + FORECAST_INTERVAL;
        self.cell.update_forecasts(now);
        let owner = Arc::clone(&self.shared.settings.instance);
        let queues = self.cell.forecasts();
        self.shared.forecasts.publish(owner, queues, now);
        for error in self.cell.take_forecast_errors() {
            self.shared.metrics.observe_forecast(error);
        }
    }
}
