//! One task and its owners on the users' platform: conditional claims, fenced workers, placements
//! written ahead of orders.
//!
//! Each claim makes a new owner, and the owners before it go on for as long as the rules let them.
//! Orders arrive at any later time or never. The task may be at work on one worker only.

use std::fmt;

use crate::Model;

/// Workers of the model.
const WORKERS: usize = 2;
/// Claims of the model.
const TERMS: usize = 2;
/// Orders that may be on their way.
const ORDERS: usize = 2;
/// Ticks for which an owner acts without writing to the log.
const STOP: u8 = 1;
/// Ticks of a lease.
const LEASE: u8 = 2;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Workers carry out orders of earlier terms.
    NoFence,
    /// Orders go out before their placements are in the log.
    NoWriteAhead,
    /// A worker out of reach counts as empty one lease after the claim, though the owner before
    /// may have renewed its leases later.
    NoOverlap,
    /// An owner that can't write gives orders for ever.
    NoStop,
    /// An owner orders to workers that it has not looked at.
    NoLook,
}

/// The rules, whole or with one left out.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    mutation: Option<Mutation>,
    last_tick: u8,
}

/// An order on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Order {
    worker: u8,
    term: u8,
    until: u8,
}

/// What an owner believes of one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Belief {
    /// It was looked at under the owner's term.
    looked: bool,
    /// The task may run there.
    placed: bool,
    /// The owner itself placed it there.
    own: bool,
    /// The order for that went out.
    sent: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Owner {
    is_live: bool,
    claimed: u8,
    /// When it last wrote to the log.
    confirmed: u8,
    beliefs: [Belief; WORKERS],
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Worker {
    fence: u8,
    running: bool,
    lease: u8,
}

/// A state of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    /// Claims so far; the newest holds.
    term: u8,
    /// Placements that the log holds.
    recorded: [bool; WORKERS],
    owners: [Option<Owner>; TERMS],
    workers: [Worker; WORKERS],
    orders: [Option<Order>; ORDERS],
}

/// What happens; owners are named by their terms.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes.
    Tick,
    /// An instance claims.
    Claim,
    /// An owner writes a sign of life.
    Beat(u8),
    /// An owner writes a placement.
    Place(u8, u8),
    /// An owner sends the order for a placement.
    Send(u8, u8),
    /// An order arrives.
    Deliver(u8),
    /// An owner looks at a worker, and renews its lease.
    Look(u8, u8),
    /// An owner takes its order back.
    Stop(u8, u8),
    /// An owner counts a worker out of reach as empty.
    Lapse(u8, u8),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

impl Placement {
    /// Makes the whole rules, explored up to a tick.
    pub fn new(last_tick: u8) -> Self {
        Placement {
            mutation: None,
            last_tick,
        }
    }

    /// Leaves a rule out.
    pub fn with_mutation(mut self, mutation: Mutation) -> Self {
        self.mutation = Some(mutation);
        self
    }

    fn lacks(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns an owner that may act now.
    fn acting(&self, state: &State, term: u8) -> Option<Owner> {
        let owner = state.owners[usize::from(term) - 1]?;
        let is_confirmed = state.now - owner.confirmed <= STOP || self.lacks(Mutation::NoStop);
        (owner.is_live && is_confirmed).then_some(owner)
    }

    fn tick(&self, state: &State) -> Option<State> {
        if state.now >= self.last_tick {
            return None;
        }
        let mut next = *state;
        next.now += 1;
        for worker in &mut next.workers {
            worker.running &= worker.lease > next.now;
        }
        Some(next)
    }

    fn claim(&self, state: &State) -> Option<State> {
        let slot = usize::from(state.term);
        if slot >= TERMS {
            return None;
        }
        let mut next = *state;
        next.term += 1;
        let belief = |worker: usize| Belief {
            placed: state.recorded[worker],
            ..Belief::default()
        };
        next.owners[slot] = Some(Owner {
            is_live: true,
            claimed: state.now,
            confirmed: state.now,
            beliefs: [belief(0), belief(1)],
        });
        Some(next)
    }

    /// A write under a term, which the log takes from the newest owner only.
    fn beat(&self, state: &State, term: u8) -> Option<State> {
        let mut owner = self.acting(state, term)?;
        if term != state.term || owner.confirmed == state.now {
            return None;
        }
        owner.confirmed = state.now;
        Some(with_owner(state, term, owner))
    }

    fn place(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting(state, term)?;
        let is_free = owner.beliefs.iter().all(|belief| !belief.placed);
        let slot = usize::from(worker);
        let is_looked = owner.beliefs[slot].looked || self.lacks(Mutation::NoLook);
        if term != state.term || !is_free || !is_looked {
            return None;
        }
        owner.confirmed = state.now;
        owner.beliefs[slot].placed = true;
        owner.beliefs[slot].own = true;
        owner.beliefs[slot].sent = false;
        let mut next = with_owner(state, term, owner);
        next.recorded[slot] = true;
        Some(next)
    }

    fn send(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting(state, term)?;
        let slot = usize::from(worker);
        let belief = owner.beliefs[slot];
        let is_placed = belief.placed && belief.own && !belief.sent;
        let is_free = owner.beliefs.iter().all(|belief| !belief.placed) && belief.looked;
        let is_due = is_placed || (self.lacks(Mutation::NoWriteAhead) && is_free);
        let place = state.orders.iter().position(Option::is_none);
        let (true, Some(place)) = (is_due, place) else {
            return None;
        };
        owner.beliefs[slot].placed = true;
        owner.beliefs[slot].own = true;
        owner.beliefs[slot].sent = true;
        let mut next = with_owner(state, term, owner);
        next.orders[place] = Some(Order {
            worker,
            term,
            until: state.now + LEASE,
        });
        Some(next)
    }

    fn deliver(&self, state: &State, place: u8) -> Option<State> {
        let order = state.orders[usize::from(place)]?;
        let mut next = *state;
        next.orders[usize::from(place)] = None;
        let worker = &mut next.workers[usize::from(order.worker)];
        let is_heard = order.term >= worker.fence || self.lacks(Mutation::NoFence);
        if is_heard && order.until > state.now {
            worker.fence = worker.fence.max(order.term);
            worker.running = true;
            worker.lease = worker.lease.max(order.until);
        }
        Some(next)
    }

    fn look(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting(state, term)?;
        let slot = usize::from(worker);
        if state.workers[slot].fence > term {
            owner.is_live = false;
            return Some(with_owner(state, term, owner));
        }
        let is_running = state.workers[slot].running;
        let belief = &mut owner.beliefs[slot];
        belief.looked = true;
        if is_running {
            belief.placed = true;
        } else if !belief.own {
            // No order of an earlier term is carried out from now on.
            belief.placed = false;
        }
        let is_placed = belief.placed;
        let mut next = with_owner(state, term, owner);
        next.workers[slot].fence = term;
        if is_running {
            next.workers[slot].lease = state.now + LEASE;
        }
        if term == state.term {
            next.recorded[slot] = is_placed;
        }
        Some(next)
    }

    /// A stop that the worker takes: the order can't be carried out after it.
    fn stop(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting(state, term)?;
        let slot = usize::from(worker);
        let is_own = owner.beliefs[slot].placed && owner.beliefs[slot].own;
        if !is_own || state.workers[slot].fence > term {
            return None;
        }
        owner.beliefs[slot].placed = false;
        owner.beliefs[slot].own = false;
        let mut next = with_owner(state, term, owner);
        next.workers[slot].fence = term;
        next.workers[slot].running = false;
        for order in &mut next.orders {
            if order.is_some_and(|order| order.worker == worker && order.term == term) {
                *order = None;
            }
        }
        if term == state.term {
            next.recorded[slot] = false;
        }
        Some(next)
    }

    fn lapse(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting(state, term)?;
        let slot = usize::from(worker);
        let overlap = if self.lacks(Mutation::NoOverlap) {
            0
        } else {
            STOP
        };
        let is_over = state.now >= owner.claimed + overlap + LEASE;
        let belief = &mut owner.beliefs[slot];
        if belief.looked || !belief.placed || !is_over {
            return None;
        }
        belief.placed = false;
        let mut next = with_owner(state, term, owner);
        if term == state.term {
            next.recorded[slot] = false;
        }
        Some(next)
    }

    fn step(&self, state: &State, event: Event) -> Option<State> {
        match event {
            Event::Tick => self.tick(state),
            Event::Claim => self.claim(state),
            Event::Beat(term) => self.beat(state, term),
            Event::Place(term, worker) => self.place(state, term, worker),
            Event::Send(term, worker) => self.send(state, term, worker),
            Event::Deliver(place) => self.deliver(state, place),
            Event::Look(term, worker) => self.look(state, term, worker),
            Event::Stop(term, worker) => self.stop(state, term, worker),
            Event::Lapse(term, worker) => self.lapse(state, term, worker),
        }
    }
}

fn with_owner(state: &State, term: u8, owner: Owner) -> State {
    let mut next = *state;
    next.owners[usize::from(term) - 1] = Some(owner);
    next
}

fn events(state: &State) -> Vec<Event> {
    let mut events = vec![Event::Tick, Event::Claim];
    events.extend((0..ORDERS as u8).map(Event::Deliver));
    for term in 1..=state.term {
        events.push(Event::Beat(term));
        for worker in 0..WORKERS as u8 {
            events.push(Event::Place(term, worker));
            events.push(Event::Send(term, worker));
            events.push(Event::Look(term, worker));
            events.push(Event::Stop(term, worker));
            events.push(Event::Lapse(term, worker));
        }
    }
    events
}

impl Model for Placement {
    type State = State;
    type Event = Event;

    fn initial(&self) -> State {
        State {
            now: 0,
            term: 0,
            recorded: [false; WORKERS],
            owners: [None; TERMS],
            workers: [Worker::default(); WORKERS],
            orders: [None; ORDERS],
        }
    }

    fn for_each_next(&self, state: &State, visit: &mut dyn FnMut(Event, State)) {
        for event in events(state) {
            if let Some(next) = self.step(state, event)
                && next != *state
            {
                visit(event, next);
            }
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let running = state.workers.iter().filter(|worker| worker.running);
        (running.count() > 1).then_some("the task is at work in two places")
    }
}
