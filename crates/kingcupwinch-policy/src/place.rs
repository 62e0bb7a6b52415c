//! Selection of a machine for one task.

use kingcupwinch_time::{Span, Time};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::fleet::{Fleet, TIERS};
use crate::key::{ClassKey, MachineKey};
use crate::machine::{Machine, PLACE_UNITS, PlaceUnit, ReservedFor};
use crate::resources::Resources;

/// Maximum number of candidates compared per tier for a live task.
const LIVE_CANDIDATES: usize = 16;
/// Maximum number of candidates compared per tier for a batch task.
const BATCH_CANDIDATES: usize = 32;
/// Weight of one lost place, relative to one dimension of a machine left completely free.
const LOST_PLACE_WEIGHT: f64 = 0.2;
/// Weight of a suspect on the machine, above that of every fit.
const SUSPECT_WEIGHT: f64 = 8.0;
/// Maximum number of candidates compared among machines reserved for a gang.
const BACKFILL_CANDIDATES: usize = 16;

/// Requirements of a task on its machine.
#[derive(Debug, Clone)]
pub(crate) struct PlacementRequest {
    /// Class of the task.
    pub(crate) class: ClassKey,
    /// Resources to allocate.
    pub(crate) need: Resources,
    /// Expected run time on a machine of speed 1.
    pub(crate) run: Span,
    /// Weight of waiting against packing, from 0 to 1.
    pub(crate) waiting_fraction: f64,
    /// Machines to avoid, since the task has failed on them.
    pub(crate) avoid: SmallVec<[MachineKey; 4]>,
    /// Maximum number of places of each unit that the task may use up.
    pub(crate) budget: [u64; PLACE_UNITS],
    /// The machines that it may share.
    pub(crate) separation: Separation,
}

/// The machines that a task may share with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Separation {
    /// Any machine.
    None,
    /// Machines without suspects.
    FromSuspects,
    /// Machines without other tasks.
    Alone,
}

impl Separation {
    /// Returns whether a task may run on a machine beside what runs there.
    fn allows(self, machine: &Machine) -> bool {
        match self {
            Separation::None => true,
            Separation::FromSuspects => machine.suspects == 0,
            Separation::Alone => machine.running.is_empty(),
        }
    }
}

impl PlacementRequest {
    fn allows(&self, key: MachineKey, machine: &Machine) -> bool {
        !self.avoid.contains(&key) && self.separation.allows(machine)
    }
}

/// Returns the expected run time on a machine of the given speed.
pub(crate) fn run_at(run: Span, speed: f64) -> Span {
    Span::from_micros((run.as_micros() as f64 / speed) as u64)
}

/// Chooses the machine on which a live task is expected to finish first; on a tie, the fuller
/// machine.
///
/// Tiers are searched from the fastest. The first tier with room wins, and within it the fastest of
/// a bounded number of candidates.
pub(crate) fn place_live(
    fleet: &Fleet,
    request: &PlacementRequest,
    rng: &mut ChaCha8Rng,
) -> Option<MachineKey> {
    for tier in (0..TIERS).rev() {
        let mut best: Option<((bool, f64), MachineKey)> = None;
        fleet.visit(
            tier,
            &request.need,
            LIVE_CANDIDATES,
            rng,
            |key, machine, _| {
                let order = (machine.suspects == 0, machine.speed(request.class));
                if request.allows(key, machine) && best.is_none_or(|(o, _)| order > o) {
                    best = Some((order, key));
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

/// Chooses the machine for a batch task with the best score: few lost places for urgent work and
/// for the gang with the floating reservation, then a tight fit, weighed against speed.
///
/// A machine whose remaining capacity is of no use to urgent work loses no places. Batch work
/// therefore goes to machines on which one dimension is left over, and the capacity that stays free
/// remains usable.
pub(crate) fn place_batch(
    fleet: &Fleet,
    request: &PlacementRequest,
    rng: &mut ChaCha8Rng,
) -> Option<MachineKey> {
    let mut best: Option<(f64, MachineKey)> = None;
    for tier in 0..TIERS {
        let need = &request.need;
        fleet.visit(tier, need, BATCH_CANDIDATES, rng, |key, machine, free| {
            let lost = PlaceUnit::ALL.map(|u| machine.places_lost(u, fleet.unit(u), need));
            let within = (0..PLACE_UNITS).all(|u| lost[u] <= request.budget[u]);
            let within = within && request.allows(key, machine);
            let score = batch_score(request, machine, free, lost.iter().sum());
            if within && best.is_none_or(|(s, _)| score < s) {
                best = Some((score, key));
            }
            true
        });
    }
    best.map(|(_, key)| key)
}

/// Returns the score of a machine for a batch task; lower is better.
fn batch_score(request: &PlacementRequest, machine: &Machine, free: &Resources, lost: u64) -> f64 {
    let rest = free.minus(&request.need);
    let left = rest.total_share(&machine.spec.capacity);
    let slowness = 1.0 / machine.speed(request.class);
    let fit = (1.0 - request.waiting_fraction) * left + request.waiting_fraction * slowness;
    let risk = if machine.suspects > 0 {
        SUSPECT_WEIGHT
    } else {
        0.0
    };
    fit + LOST_PLACE_WEIGHT * lost as f64 + risk
}

/// Chooses a machine reserved for a gang on which the task is expected to end before the gang
/// starts.
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
                && request.allows(key, machine)
            {
                found = Some(key);
            }
            found.is_none()
        },
    );
    found
}
