//! Index of machines by free capacity, so that a placement examines only a few of them.
//!
//! Each machine belongs to one bucket, given by the levels of its free processor, memory,
//! accelerators and slots; the amounts double from level to level. Buckets are ordered by the sum
//! of their levels, so that an ascending walk over the occupied buckets goes from the fullest
//! machines to the emptiest. The cost of a walk depends on the number of occupied buckets and the
//! limit on candidates, not on the number of machines.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::key::MachineKey;
use crate::resources::{Dimension, Resources};

const CORE_LEVELS: usize = 11;
const MEMORY_LEVELS: usize = 11;
const ACCELERATOR_LEVELS: usize = 5;
const SLOT_LEVELS: usize = 6;
/// Millicores of the first level above zero.
const MILLICORES_BASE: u64 = 125;
/// Mebibytes of the first level above zero.
const MEMORY_BASE: u64 = 128;
const BUCKETS: usize = CORE_LEVELS * MEMORY_LEVELS * ACCELERATOR_LEVELS * SLOT_LEVELS;
/// Buckets per word of the bit set of occupied buckets.
const WORD_BITS: usize = 64;

/// Machines without room that are examined for each machine that fits.
const MISFIT_FACTOR: usize = 2;

/// Verdict of a visitor on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Visit {
    /// The machine fits; continue.
    Fits,
    /// The machine does not fit; continue.
    TooSmall,
    /// Stop the walk.
    Stop,
}

/// Location of a machine in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IndexEntry {
    /// The number of the index.
    pub(crate) tier: u8,
    bucket: u16,
    position: u32,
}

/// Levels of processor, memory, accelerators and slots.
type Levels = [u8; 4];

/// Returns the level of an amount: zero below `base`, one from `base` on and one more at each
/// doubling, up to `count - 1`.
fn level(amount: u64, base: u64, count: usize) -> u8 {
    let doubled = (amount / base).checked_ilog2().map_or(0, |l| l + 1);
    (doubled as usize).min(count - 1) as u8
}

fn levels(size: &Resources) -> Levels {
    [
        level(
            size.get(Dimension::Millicores),
            MILLICORES_BASE,
            CORE_LEVELS,
        ),
        level(size.get(Dimension::Memory), MEMORY_BASE, MEMORY_LEVELS),
        level(size.get(Dimension::Accelerators), 1, ACCELERATOR_LEVELS),
        level(size.get(Dimension::Slots), 1, SLOT_LEVELS),
    ]
}

fn grid_index(l: Levels) -> usize {
    let [c, m, a, s] = l.map(usize::from);
    ((c * MEMORY_LEVELS + m) * ACCELERATOR_LEVELS + a) * SLOT_LEVELS + s
}

/// Order of the buckets, shared by the indexes of all tiers.
#[derive(Debug)]
pub(crate) struct Buckets {
    numbers: Vec<u16>,
    levels: Vec<Levels>,
}

impl Buckets {
    pub(crate) fn new() -> Self {
        let mut levels = all_levels();
        levels.sort_by_key(|l| (l.iter().map(|v| u32::from(*v)).sum::<u32>(), *l));
        let mut numbers = vec![0; BUCKETS];
        for (n, l) in levels.iter().enumerate() {
            numbers[grid_index(*l)] = n as u16;
        }
        Buckets { numbers, levels }
    }

    fn bucket_of(&self, size: &Resources) -> u16 {
        self.numbers[grid_index(levels(size))]
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

/// Index of the machines of one tier.
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
    pub(crate) entry: IndexEntry,
}

impl FreeIndex {
    pub(crate) fn new(tier: u8) -> Self {
        FreeIndex {
            tier,
            buckets: vec![Vec::new(); BUCKETS],
            occupied: vec![0; BUCKETS.div_ceil(WORD_BITS)],
            len: 0,
        }
    }

    /// Returns the number of machines.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds a machine with the given free capacity.
    pub(crate) fn insert(
        &mut self,
        buckets: &Buckets,
        machine: MachineKey,
        free: &Resources,
    ) -> IndexEntry {
        let bucket = buckets.bucket_of(free);
        let list = &mut self.buckets[usize::from(bucket)];
        list.push(machine);
        self.occupied[usize::from(bucket) / WORD_BITS] |= 1 << (usize::from(bucket) % WORD_BITS);
        self.len += 1;
        IndexEntry {
            tier: self.tier,
            bucket,
            position: (list.len() - 1) as u32,
        }
    }

    /// Returns whether a machine at `entry` stays in its bucket with the given free capacity.
    pub(crate) fn in_same_bucket(
        &self,
        buckets: &Buckets,
        entry: IndexEntry,
        free: &Resources,
    ) -> bool {
        entry.bucket == buckets.bucket_of(free)
    }

    /// Removes the machine at an entry and returns the machine that took its position, if any.
    pub(crate) fn remove(&mut self, entry: IndexEntry) -> Option<Moved> {
        let bucket = usize::from(entry.bucket);
        let list = &mut self.buckets[bucket];
        list.swap_remove(entry.position as usize);
        self.len -= 1;
        if list.is_empty() {
            self.occupied[bucket / WORD_BITS] &= !(1 << (bucket % WORD_BITS));
        }
        let machine = *list.get(entry.position as usize)?;
        Some(Moved { machine, entry })
    }

    /// Visits machines that may fit `need`, from the fullest bucket to the emptiest and from a
    /// random position within each bucket, until `cap` machines fitted or the visitor stops the
    /// walk.
    ///
    /// In a bucket that has the same level as `need` in some dimension, some machines may not fit.
    /// The number of misfits is limited over all of these buckets together, so that they do not use
    /// up the walk before a bucket in which every machine fits.
    pub(crate) fn visit(
        &self,
        buckets: &Buckets,
        need: &Resources,
        cap: usize,
        rng: &mut ChaCha8Rng,
        mut visitor: impl FnMut(MachineKey) -> Visit,
    ) {
        let floor = levels(need);
        let first = usize::from(buckets.bucket_of(need));
        let mut fits = cap;
        let mut misfits = cap.saturating_mul(MISFIT_FACTOR);
        for bucket in self.occupied_from(first) {
            let level = &buckets.levels[bucket];
            let edge = !all_fit(level, &floor, need);
            if !dominates(level, &floor) || (edge && misfits == 0) {
                continue;
            }
            let list = &self.buckets[bucket];
            let start = if list.len() > cap {
                rng.random_range(0..list.len())
            } else {
                0
            };
            for i in 0..list.len() {
                match visitor(list[(start + i) % list.len()]) {
                    Visit::Stop => return,
                    Visit::Fits => fits -= 1,
                    Visit::TooSmall => misfits = misfits.saturating_sub(1),
                }
                if fits == 0 {
                    return;
                }
                if misfits == 0 {
                    break;
                }
            }
        }
    }

    /// Returns a lower bound of the number of tasks of size `need` that fit, assuming the minimum
    /// free capacity of each bucket.
    pub(crate) fn min_places(&self, buckets: &Buckets, need: &Resources) -> u64 {
        let floor = levels(need);
        self.occupied_from(0)
            .filter(|&b| dominates(&buckets.levels[b], &floor))
            .map(|b| {
                let each = need.times_in(&min_free(&buckets.levels[b], need));
                each * self.buckets[b].len() as u64
            })
            .sum()
    }

    fn occupied_from(&self, first: usize) -> impl Iterator<Item = usize> {
        let start = first / WORD_BITS;
        self.occupied[start..]
            .iter()
            .enumerate()
            .flat_map(move |(w, bits)| SetBits(*bits).map(move |b| (start + w) * WORD_BITS + b))
    }
}

/// Returns whether a bucket is at or above `floor` in every level.
fn dominates(bucket: &Levels, floor: &Levels) -> bool {
    bucket.iter().zip(floor).all(|(b, f)| b >= f)
}

/// Returns whether every machine of a bucket fits a `need` with the levels `floor`.
fn all_fit(bucket: &Levels, floor: &Levels, need: &Resources) -> bool {
    let least = min_free(floor, need);
    let indexed = [
        Dimension::Millicores,
        Dimension::Memory,
        Dimension::Accelerators,
        Dimension::Slots,
    ];
    indexed
        .into_iter()
        .enumerate()
        .all(|(i, d)| bucket[i] > floor[i] || need.get(d) <= least.get(d))
}

/// Returns the minimum free capacity of a bucket. Connections are not indexed; they are assumed to
/// suffice for every slot.
fn min_free(l: &Levels, need: &Resources) -> Resources {
    let amount = |level: u8, base: u64| if level == 0 { 0 } else { base << (level - 1) };
    let slots = amount(l[3], 1);
    Resources::new(amount(l[0], MILLICORES_BASE), amount(l[1], MEMORY_BASE))
        .with_accelerators(amount(l[2], 1))
        .with_slots(slots)
        .with_connections(need.get(Dimension::Connections) * slots)
}

/// Iterates over the positions of the set bits of a word.
struct SetBits(u64);

impl Iterator for SetBits {
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
