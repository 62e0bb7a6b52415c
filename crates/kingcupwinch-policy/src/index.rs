//! An index of machines by free capacity, so that a placement looks at few of them.
//!
//! Each machine stands in one bucket by the levels of its free processors, memory, accelerators and
//! slots (levels double). Buckets are numbered by the sum of their levels, so that walking the
//! occupied ones upwards goes from the tightest to the emptiest. The cost depends on the number of
//! occupied buckets and the cap on candidates, not on the number of machines.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::key::MachineKey;
use crate::size::{Dimension, Size};

const CORE_LEVELS: usize = 11;
const MEMORY_LEVELS: usize = 11;
const ACCELERATOR_LEVELS: usize = 5;
const SLOT_LEVELS: usize = 6;
const CORE_BASE: u64 = 125;
const MEMORY_BASE: u64 = 128;
const BUCKETS: usize = CORE_LEVELS * MEMORY_LEVELS * ACCELERATOR_LEVELS * SLOT_LEVELS;
const WORD: usize = 64;

/// Where a machine stands in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Spot {
    /// The tier of the index.
    pub(crate) tier: u8,
    bucket: u16,
    position: u32,
}

/// The levels of a size.
type Levels = [u8; 4];

fn level(amount: u64, base: u64, count: usize) -> u8 {
    let doubled = (amount / base).checked_ilog2().map_or(0, |l| l + 1);
    (doubled as usize).min(count - 1) as u8
}

fn levels(size: &Size) -> Levels {
    [
        level(size.get(Dimension::Millicores), CORE_BASE, CORE_LEVELS),
        level(size.get(Dimension::Memory), MEMORY_BASE, MEMORY_LEVELS),
        level(size.get(Dimension::Accelerators), 1, ACCELERATOR_LEVELS),
        level(size.get(Dimension::Slots), 1, SLOT_LEVELS),
    ]
}

fn cell_of(l: Levels) -> usize {
    let [c, m, a, s] = l.map(usize::from);
    ((c * MEMORY_LEVELS + m) * ACCELERATOR_LEVELS + a) * SLOT_LEVELS + s
}

/// The numbering of buckets, shared by every tier.
#[derive(Debug)]
pub(crate) struct Buckets {
    number: Vec<u16>,
    levels: Vec<Levels>,
}

impl Buckets {
    pub(crate) fn new() -> Self {
        let mut levels = all_levels();
        levels.sort_by_key(|l| (l.iter().map(|v| u32::from(*v)).sum::<u32>(), *l));
        let mut number = vec![0; BUCKETS];
        for (n, l) in levels.iter().enumerate() {
            number[cell_of(*l)] = n as u16;
        }
        Buckets { number, levels }
    }

    fn number_of(&self, size: &Size) -> u16 {
        self.number[cell_of(levels(size))]
    }
}

fn all_levels() -> Vec<Levels> {
    let mut all = Vec::with_capacity(BUCKETS);
    for c in 0..CORE_LEVELS {
        for m in 0..MEMORY_LEVELS {
            for a in 0..ACCELERATOR_LEVELS {
                for s in 0..SLOT_LEVELS {
                    all.push([c as u8, m as u8, a as u8, s as u8]);
                }
            }
        }
    }
    all
}

/// The index of one tier of machines.
#[derive(Debug)]
pub(crate) struct FreeIndex {
    tier: u8,
    buckets: Vec<Vec<MachineKey>>,
    occupied: Vec<u64>,
    len: usize,
}

/// A machine that moved to another position when one before it left.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Moved {
    pub(crate) machine: MachineKey,
    pub(crate) spot: Spot,
}

impl FreeIndex {
    pub(crate) fn new(tier: u8) -> Self {
        FreeIndex {
            tier,
            buckets: vec![Vec::new(); BUCKETS],
            occupied: vec![0; BUCKETS.div_ceil(WORD)],
            len: 0,
        }
    }

    /// Returns the number of machines.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds a machine with this much free.
    pub(crate) fn insert(&mut self, buckets: &Buckets, machine: MachineKey, free: &Size) -> Spot {
        let bucket = buckets.number_of(free);
        let list = &mut self.buckets[usize::from(bucket)];
        list.push(machine);
        self.occupied[usize::from(bucket) / WORD] |= 1 << (usize::from(bucket) % WORD);
        self.len += 1;
        Spot {
            tier: self.tier,
            bucket,
            position: (list.len() - 1) as u32,
        }
    }

    /// Whether a machine at `spot` stays in its bucket with this much free.
    pub(crate) fn stays(&self, buckets: &Buckets, spot: Spot, free: &Size) -> bool {
        spot.bucket == buckets.number_of(free)
    }

    /// Removes the machine at a spot; the one that took its place, if any.
    pub(crate) fn remove(&mut self, spot: Spot) -> Option<Moved> {
        let bucket = usize::from(spot.bucket);
        let list = &mut self.buckets[bucket];
        list.swap_remove(spot.position as usize);
        self.len -= 1;
        if list.is_empty() {
            self.occupied[bucket / WORD] &= !(1 << (bucket % WORD));
        }
        let machine = *list.get(spot.position as usize)?;
        Some(Moved { machine, spot })
    }

    /// Visits machines that may fit `need`, from the tightest bucket to the emptiest, up to `cap`
    /// of them, each bucket from a random position. The visitor ends the walk by returning false.
    pub(crate) fn visit(
        &self,
        buckets: &Buckets,
        need: &Size,
        cap: usize,
        rng: &mut ChaCha8Rng,
        mut visitor: impl FnMut(MachineKey) -> bool,
    ) {
        let floor = levels(need);
        let first = usize::from(buckets.number_of(need));
        let mut left = cap;
        for bucket in self.occupied_from(first) {
            if !dominates(&buckets.levels[bucket], &floor) {
                continue;
            }
            let list = &self.buckets[bucket];
            let start = if list.len() > left {
                rng.random_range(0..list.len())
            } else {
                0
            };
            for i in 0..list.len().min(left) {
                if !visitor(list[(start + i) % list.len()]) {
                    return;
                }
            }
            left = left.saturating_sub(list.len());
            if left == 0 {
                return;
            }
        }
    }

    /// Returns a lower bound of how many tasks of this size fit, each bucket counted at its floor.
    pub(crate) fn places_floor(&self, buckets: &Buckets, need: &Size) -> u64 {
        let floor = levels(need);
        self.occupied_from(0)
            .filter(|&b| dominates(&buckets.levels[b], &floor))
            .map(|b| {
                let each = need.times_in(&floor_size(&buckets.levels[b], need));
                each * self.buckets[b].len() as u64
            })
            .sum()
    }

    fn occupied_from(&self, first: usize) -> impl Iterator<Item = usize> {
        let start = first / WORD;
        self.occupied[start..]
            .iter()
            .enumerate()
            .flat_map(move |(w, bits)| Ones(*bits).map(move |b| (start + w) * WORD + b))
    }
}

fn dominates(bucket: &Levels, floor: &Levels) -> bool {
    bucket.iter().zip(floor).all(|(b, f)| b >= f)
}

/// Returns the least free size of a bucket; connections are taken as one for each slot.
fn floor_size(l: &Levels, need: &Size) -> Size {
    let amount = |level: u8, base: u64| if level == 0 { 0 } else { base << (level - 1) };
    let slots = amount(l[3], 1);
    Size::new(amount(l[0], CORE_BASE), amount(l[1], MEMORY_BASE))
        .with_accelerators(amount(l[2], 1))
        .with_slots(slots)
        .with_connections(need.get(Dimension::Connections) * slots)
}

/// The positions of the set bits of a word.
struct Ones(u64);

impl Iterator for Ones {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        if self.0 == 0 {
            return None;
        }
        let bit = self.0.trailing_zeros() as usize;
        self.0 &= self.0 - 1;
        Some(bit)
    }
}
