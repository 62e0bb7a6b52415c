//! The owner's forecasts in responses between siblings.

use std::sync::Arc;

use hyper::header::HeaderMap;
use kingcupwinch_cell::Mechanism;
use slog::o;

use super::Siblings;
use crate::events::Event;
use crate::forecast::FORECAST_HEADER;
use crate::http::HttpResponse;
use crate::shared::Shared;

impl Siblings {
    /// Takes the forecasts of a response, if the owner sent it.
    pub(crate) fn note_forecasts(&self, address: &Arc<str>, headers: &HeaderMap) {
        let shared = &*self.shared;
        if !shared.disabled.uses(Mechanism::Forecast) {
            return;
        }
        let claim = shared.claim.borrow().clone();
        let Some(claim) = claim.filter(|claim| claim.address == *address) else {
            return;
        };
        let header = headers.get(FORECAST_HEADER);
        let received = shared
            .forecasts
            .receive(&claim.instance, header, shared.now());
        if let Err(error) = received {
            shared.log.write(
                Event::ResponseSkipped,
                o!("from" => claim.instance.to_string(), "error" => error.to_string()),
            );
        }
    }
}

/// Adds the forecasts to a response, if this instance is the owner and has any.
pub(super) fn add_forecasts(shared: &Shared, response: &mut HttpResponse) {
    if !shared.disabled.uses(Mechanism::Forecast) || shared.owner().is_none() {
        return;
    }
    if let Some(header) = shared.forecasts.to_header(shared.now()) {
        response.headers_mut().insert(FORECAST_HEADER, header);
    }
}
