//! A simulated adviser: which workers may run a step never changes, and its tickets expire.

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupwinch_cell::{AdviceCost, Ticket};
use kingcupwinch_time::{Span, Time};

/// Parameters of the FNV-1a hash, which decides what the adviser allows.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What a ticket was issued for.
#[derive(Debug)]
struct Issued {
    step: String,
    /// The worker and the number of its life.
    life: (usize, u64),
    valid_until: Time,
}

#[derive(Debug)]
pub(super) struct Adviser {
    pub(super) cost: AdviceCost,
    seed: u64,
    /// The share of workers that a step may use, in percent.
    allowed_percent: u64,
    /// When the adviser has handled the calls of each instance, one after the other.
    free_at: BTreeMap<Arc<str>, Time>,
    issued: BTreeMap<Arc<str>, Issued>,
}

impl Adviser {
    pub(super) fn new(cost: AdviceCost, seed: u64, allowed_percent: u64) -> Self {
        Adviser {
            cost,
            seed,
            allowed_percent,
            free_at: BTreeMap::new(),
            issued: BTreeMap::new(),
        }
    }

    /// Returns whether a worker may run a step.
    pub(super) fn allows(&self, step: &str, worker: &str) -> bool {
        let text = step.bytes().chain([b'/']).chain(worker.bytes());
        let seed = self.seed.to_le_bytes();
        let hash = seed.into_iter().chain(text).fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        // The low bits of such a hash follow the last bytes closely.
        (hash ^ (hash >> 32)) % 100 < self.allowed_percent
    }

    /// Returns when a call of an instance about this many workers will have been handled.
    pub(super) fn handle(&mut self, instance: &Arc<str>, workers: usize, now: Time) -> Time {
        let free_at = self.free_at.entry(Arc::clone(instance)).or_default();
        let ms = self.cost.call_ms + self.cost.worker_ms * workers as f64;
        *free_at = now.max(*free_at) + Span::from_micros((ms * 1_000.0) as u64);
        *free_at
    }

    /// Issues a ticket for a life of a worker.
    pub(super) fn issue(
        &mut self,
        step: &str,
        worker: &Arc<str>,
        life: (usize, u64),
        at: Time,
    ) -> Ticket {
        let text: Arc<str> = format!("ticket-{}", self.issued.len()).into();
        let issued = Issued {
            step: step.to_owned(),
            life,
            valid_until: at + self.validity(),
        };
        self.issued.insert(Arc::clone(&text), issued);
        Ticket {
            worker: Arc::clone(worker),
            text,
        }
    }

    pub(super) fn validity(&self) -> Span {
        Span::from_millis(self.cost.valid_ms as u64)
    }

    /// Returns whether a ticket is valid for a step on a life of a worker.
    pub(super) fn accepts(
        &self,
        ticket: Option<&Arc<str>>,
        step: &str,
        life: (usize, u64),
        now: Time,
    ) -> bool {
        let issued = ticket.and_then(|ticket| self.issued.get(ticket));
        issued.is_some_and(|issued| {
            issued.step == step && issued.life == life && now <= issued.valid_until
        })
    }
}
