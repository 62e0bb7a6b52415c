//! The choice of a machine for one task.

use kingcupwinch_time::{Span, Time};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Fleet, TIERS};
use crate::key::{ClassKey, MachineKey};
use crate::size::Size;

/// Candidates compared for a live task in one tier.
const LIVE_CANDIDATES: usize = 16;
/// Candidates compared for a batch task in one tier.
const BATCH_CANDIDATES: usize = 32;
/// Candidates compared on machines kept for a gang.
const BACKFILL_CANDIDATES: usize = 16;

/// What a placement looks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    /// The class.
    pub(crate) class: ClassKey,
    /// What is counted for the task.
    pub(crate) need: Size,
    /// Its expected run on a machine of speed 1.
    pub(crate) run: Span,
    /// The part of the whole that waiting has against packing.
    pub(crate) urgency: f64,
}

/// Returns the expected run at a speed.
pub(crate) fn run_at(run: Span, speed: f64) -> Span {
    Span::from_micros((run.as_micros() as f64 / speed) as u64)
}

/// Chooses the machine where a live task is expected to finish first; ties go to the fuller one.
///
/// Tiers are walked from the fastest. The first that has room wins, and in it the fastest of a
/// bounded number of candidates.
pub(crate) fn place_live(
    fleet: &Fleet,
    request: &Request,
    rng: &mut ChaCha8Rng,
) -> Option<MachineKey> {
    for tier in (0..TIERS).rev() {
        let mut best: Option<(f64, MachineKey)> = None;
        fleet.visit(
            tier,
            &request.need,
            LIVE_CANDIDATES,
            rng,
            |key, machine, _| {
                let speed = machine.speed(request.class);
                if best.is_none_or(|(s, _)| speed > s) {
                    best = Some((speed, key));
                }
                true
            },
        );
        if let Some((_, key)) = best {
            return Some(key);
        }
    }
    None
}

/// Chooses the machine with the tightest fit for a batch task, weighed against its speed.
pub(crate) fn place_batch(
    fleet: &Fleet,
    request: &Request,
    rng: &mut ChaCha8Rng,
) -> Option<MachineKey> {
    let mut best: Option<(f64, MachineKey)> = None;
    for tier in 0..TIERS {
        fleet.visit(
            tier,
            &request.need,
            BATCH_CANDIDATES,
            rng,
            |key, machine, free| {
                let left = free
                    .minus(&request.need)
                    .total_share(&machine.spec.capacity);
                let slowness = 1.0 / machine.speed(request.class);
                let score = (1.0 - request.urgency) * left + request.urgency * slowness;
                if best.is_none_or(|(s, _)| score < s) {
                    best = Some((score, key));
                }
                true
            },
        );
    }
    best.map(|(_, key)| key)
}

/// Chooses a machine kept for a gang where the task is expected to end before `until`.
pub(crate) fn place_backfill(
    fleet: &Fleet,
    request: &Request,
    now: Time,
    until: Time,
    rng: &mut ChaCha8Rng,
) -> Option<MachineKey> {
    let mut found = None;
    fleet.visit_kept(
        &request.need,
        BACKFILL_CANDIDATES,
        rng,
        |key, machine, _| {
            let ends = now + run_at(request.run, machine.speed(request.class));
            if ends <= until {
                found = Some(key);
            }
            found.is_none()
        },
    );
    found
}
