//! Events and their names in traces.

use std::fmt;

use super::{Incarnation, RecordKind};

/// A step of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A tick passes for every clock.
    Tick,
    /// A tick passes that one clock misses.
    SlowTick(usize),
    /// A tick passes that one clock counts twice.
    FastTick(usize),
    /// An instance reads `records` records, by a read sent `age` ticks ago.
    Read {
        /// The reader's slot.
        slot: usize,
        /// The records that the answer shows.
        records: u8,
        /// The read's age in ticks.
        age: u8,
    },
    /// An instance takes over a sibling's view.
    Relay {
        /// The slot that takes it.
        to: usize,
        /// The sibling's slot.
        from: usize,
    },
    /// A voter promises to the owner.
    Promise {
        /// The voter's slot.
        voter: usize,
        /// The owner's slot.
        owner: usize,
    },
    /// A voter supports a claim against the owner.
    Vote(usize),
    /// A record lands in the log.
    Append {
        /// The slot that sent it.
        slot: usize,
        /// The owner that it names.
        owner: Incarnation,
        /// How it came about.
        kind: RecordKind,
        /// Its voters.
        voters: u8,
    },
    /// An owner sends a claim for itself.
    SendReclaim {
        /// The owner's slot.
        slot: usize,
        /// The claim's voters.
        voters: u8,
    },
    /// An owner stops and sends a hand-over.
    SendHandOver {
        /// The owner's slot.
        slot: usize,
        /// The heir's slot.
        successor: usize,
    },
    /// An owner stops and sends a release.
    SendRelease(usize),
    /// A member that owns nothing sends its leave.
    SendLeave(usize),
    /// A leave lands.
    Leave(usize),
    /// A process dies and its slot starts a new incarnation.
    Restart(usize),
}

const NAMES: [char; 3] = ['A', 'B', 'C'];

fn incarnation_name(id: Incarnation) -> String {
    let mark = if id.is_dead() { "'" } else { "" };
    format!("{}{mark}", NAMES[id.slot()])
}

fn set_name(set: u8) -> String {
    let ids = (0..6).map(Incarnation).filter(|id| set & id.bit() != 0);
    let names: Vec<String> = ids.map(incarnation_name).collect();
    format!("{{{}}}", names.join(" "))
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Event::Tick => write!(f, "a tick passes"),
            Event::SlowTick(slot) => write!(f, "a tick passes that {} misses", NAMES[slot]),
            Event::FastTick(slot) => write!(f, "a tick passes that {} counts twice", NAMES[slot]),
            Event::Read { slot, records, age } => {
                let name = NAMES[slot];
                write!(
                    f,
                    "{name} reads up to record {records}, sent {age} ticks ago"
                )
            }
            Event::Relay { to, from } => {
                write!(f, "{} takes over the view of {}", NAMES[to], NAMES[from])
            }
            Event::Promise { voter, owner } => {
                write!(f, "{} promises to {}", NAMES[voter], NAMES[owner])
            }
            Event::Vote(slot) => write!(f, "{} supports a claim", NAMES[slot]),
            Event::Append {
                slot,
                owner,
                kind,
                voters,
            } => {
                let (owner, voters) = (incarnation_name(owner), set_name(voters));
                let name = NAMES[slot];
                write!(
                    f,
                    "{kind:?} by {name} lands: owner {owner}, voters {voters}"
                )
            }
            Event::SendReclaim { slot, voters } => {
                let voters = set_name(voters);
                write!(
                    f,
                    "{} sends a claim for itself, voters {voters}",
                    NAMES[slot]
                )
            }
            Event::SendHandOver { slot, successor } => {
                write!(
                    f,
                    "{} sends a hand-over to {}",
                    NAMES[slot], NAMES[successor]
                )
            }
            Event::SendRelease(slot) => write!(f, "{} sends a release", NAMES[slot]),
            Event::SendLeave(slot) => write!(f, "{} sends its leave", NAMES[slot]),
            Event::Leave(slot) => write!(f, "the leave of {} lands", NAMES[slot]),
            Event::Restart(slot) => write!(f, "{} restarts", NAMES[slot]),
        }
    }
}
