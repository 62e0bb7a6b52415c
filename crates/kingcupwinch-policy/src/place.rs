//! The choice of a machine for one task.

use kingcupwinch_time::{Span, Time};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::fleet::{Fleet, TIERS};
use crate::key::{ClassKey, MachineKey};
use crate::machine::{Machine, PLACE_UNITS, PlaceUnit, ReservedFor};
use crate::resources::Resources;

/// Candidates compared for a live task in one tier.
const LIVE_CANDIDATES: usize = 16;
/// Candidates compared for a batch task in one tier.
const BATCH_CANDIDATES: usize = 32;
/// The weight of one lost urgent place against a whole machine left free.
const LOST_PLACE_WEIGHT: f64 = 0.2;
/// Candidates compared on machines kept for a gang.
const BACKFILL_CANDIDATES: usize = 16;

/// What a placement looks for.
#[derive(Debug, Clone)]
pub(crate) struct PlacementRequest {
    /// The class.
    pub(crate) class: ClassKey,
    /// What is counted for the task.
    pub(crate) need: Resources,
    /// Its expected run on a machine of speed 1.
    pub(crate) run: Span,
    /// The part of the whole that waiting has against packing.
    pub(crate) waiting_fraction: f64,
    /// Machines on which the task has failed.
    pub(crate) avoid: SmallVec<[MachineKey; 4]>,
    /// The most watched places that it may take.
    pub(crate) budget: [u64; PLACE_UNITS],
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
    request: &PlacementRequest,
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
                if !request.avoid.contains(&key) && best.is_none_or(|(s, _)| speed > s) {
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

/// Chooses a machine for a batch task: the one that loses the fewest places for urgent work and for a
/// gang that gathers its places, then the one with the tightest fit, weighed against its speed.
///
/// A machine of which urgent work can't use the rest anyway loses none. So batch work goes where one
/// dimension is left over, and what stays free stays usable.
pub(crate) fn place_batch(
    fleet: &Fleet,
    request: &PlacementRequest,
    rng: &mut ChaCha8Rng,
) -> Option<MachineKey> {
    let mut best: Option<(f64, MachineKey)> = None;
    for tier in 0..TIERS {
        let need = &request.need;
        fleet.visit(tier, need, BATCH_CANDIDATES, rng, |key, machine, free| {
            let lost = PlaceUnit::ALL.map(|w| machine.places_lost(w, fleet.unit(w), need));
            let within = (0..PLACE_UNITS).all(|w| lost[w] <= request.budget[w]);
            let within = within && !request.avoid.contains(&key);
            let score = batch_score(request, machine, free, lost.iter().sum());
            if within && best.is_none_or(|(s, _)| score < s) {
                best = Some((score, key));
            }
            true
        });
    }
    best.map(|(_, key)| key)
}

/// Returns the score of a machine for a batch task; the least is the best.
fn batch_score(request: &PlacementRequest, machine: &Machine, free: &Resources, lost: u64) -> f64 {
    let rest = free.minus(&request.need);
    let left = rest.total_share(&machine.spec.capacity);
    let slowness = 1.0 / machine.speed(request.class);
    let fit = (1.0 - request.waiting_fraction) * left + request.waiting_fraction * slowness;
    fit + LOST_PLACE_WEIGHT * lost as f64
}

/// Chooses a machine kept for a gang where the task is expected to end before the gang's start.
pub(crate) fn place_backfill(
    fleet: &Fleet,
    request: &PlacementRequest,
    now: Time,
    rng: &mut ChaCha8Rng,
) -> Option<MachineKey> {
    let mut found = None;
    fleet.visit_reserved(
        &request.need,
        BACKFILL_CANDIDATES,
        rng,
        |key, machine, _| {
            let ends = now + run_at(request.run, machine.speed(request.class));
            if matches!(machine.reserved_for, Some(ReservedFor::Gang(_, start)) if ends <= start)
                && !request.avoid.contains(&key)
            {
                found = Some(key);
            }
            found.is_none()
        },
    );
    found
}
