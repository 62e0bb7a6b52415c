//! Cancellations as the owner carries them out.

use kingcupwinch_cell::JobId;
use kingcupwinch_time::Time;
use slog::o;

use super::Owner;
use crate::cancellation;
use crate::events::Event;

impl Owner {
    /// Carries out a cancellation with this value, unless the job is one that its requester may not
    /// cancel.
    pub(super) fn cancel(&mut self, id: JobId, value: &[u8], now: Time) {
        let requester = cancellation::decode(value);
        let event = if self.cell.cancel_for(id, &requester, now) {
            Event::JobCancelled
        } else {
            Event::CancellationIgnored
        };
        let customer = cancellation::customer_name(&requester);
        let fields = o!("job" => id.to_string(), "customer" => customer);
        self.shared.log.write(event, fields);
    }
}
