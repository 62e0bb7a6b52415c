//! Events and their text in traces.

use std::fmt;

use super::{Incarnation, RecordKind};

/// A step of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A tick passes for every clock.
    Tick,
    /// A tick passes that the clock of one slot misses.
    SlowTick(usize),
    /// A tick passes that the clock of one slot counts twice.
    FastTick(usize),
    /// An instance receives the response to a read of the log.
    Read {
        /// The slot of the reader.
        slot: usize,
        /// Number of records in the response.
        records: u8,
        /// Number of ticks since the read was sent.
        age: u8,
    },
    /// An instance receives a sibling's view of the log.
    Relay {
        /// The slot of the receiver.
        to: usize,
        /// The slot of the sibling.
        from: usize,
    },
    /// A voter promises the owner not to vote for a claim against it.
    Promise {
        /// The slot of the voter.
        voter: usize,
        /// The slot of the owner.
        owner: usize,
    },
    /// The voter in a slot votes for a claim against the owner.
    Vote(usize),
    /// A record is appended to the log.
    Append {
        /// The slot of the sender.
        slot: usize,
        /// The owner in the record.
        owner: Incarnation,
        /// The kind of record.
        kind: RecordKind,
        /// The set of voters in the record.
        voters: u8,
    },
    /// An owner sends a claim of its own shard.
    SendReclaim {
        /// The slot of the owner.
        slot: usize,
        /// The set of voters in the claim.
        voters: u8,
    },
    /// An owner stops dispatching and sends a handover.
    SendHandOver {
        /// The slot of the owner.
        slot: usize,
        /// The slot of the successor.
        successor: usize,
    },
    /// The owner in a slot stops dispatching and sends a release.
    SendRelease(usize),
    /// The member in a slot, which is not the owner, sends a leave record.
    SendLeave(usize),
    /// The leave record of a slot is appended to the log.
    Leave(usize),
    /// A process dies and a new incarnation starts in its slot.
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
                    "{name} reads up to record {records} by a read sent {age} ticks ago"
                )
            }
            Event::Relay { to, from } => {
                write!(f, "{} copies the view of {}", NAMES[to], NAMES[from])
            }
            Event::Promise { voter, owner } => {
                write!(f, "{} promises to {}", NAMES[voter], NAMES[owner])
            }
            Event::Vote(slot) => write!(f, "{} votes for a claim", NAMES[slot]),
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
                    "{kind:?} by {name} is appended: owner {owner}, voters {voters}"
                )
            }
            Event::SendReclaim { slot, voters } => {
                let voters = set_name(voters);
                write!(f, "{} sends a reclaim, voters {voters}", NAMES[slot])
            }
            Event::SendHandOver { slot, successor } => {
                write!(
                    f,
                    "{} sends a handover to {}",
                    NAMES[slot], NAMES[successor]
                )
            }
            Event::SendRelease(slot) => write!(f, "{} sends a release", NAMES[slot]),
            Event::SendLeave(slot) => write!(f, "{} sends a leave record", NAMES[slot]),
            Event::Leave(slot) => write!(f, "the leave record of {} is appended", NAMES[slot]),
            Event::Restart(slot) => write!(f, "{} restarts", NAMES[slot]),
        }
    }
}
