//! Placement of one task by successive owners: conditional claims, fencing by the workers, and
//! placements that are written to the log before orders are sent.
//!
//! Each claim creates a new owner, and earlier owners continue for as long as the rules allow. An
//! order arrives at any later time or never. The task must not run on more than one worker at a
//! time.

use std::fmt;

use crate::Model;

/// Number of workers in the model.
const WORKERS: usize = 2;
/// Maximum number of claims in a run.
const MAX_TERMS: usize = 2;
/// Maximum number of orders in flight.
const MAX_ORDERS: usize = 2;
/// Time after its last write to the log for which an owner continues to act, in ticks.
const WRITE_TIMEOUT: u8 = 1;
/// Duration of a lease, in ticks.
const LEASE: u8 = 2;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Workers execute orders of earlier terms.
    NoFencing,
    /// Orders are sent before their placements are in the log.
    NoWriteAhead,
    /// An unreachable worker is considered empty one lease after the claim, although the previous
    /// owner may have renewed its lease after the claim.
    NoOverlap,
    /// An owner that cannot write to the log continues to act forever.
    NoWriteTimeout,
    /// An owner places the task on a worker that it has not polled.
    NoPoll,
}

/// The placement specification, with all rules or without one of them.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    mutation: Option<Mutation>,
    last_tick: u8,
}

/// An order in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Order {
    worker: u8,
    term: u8,
    valid_until: u8,
}

/// An owner's view of one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct WorkerView {
    /// Whether the worker was polled in the owner's term.
    polled: bool,
    /// Whether the task may be running on the worker.
    placed: bool,
    /// Whether this owner placed the task there.
    own: bool,
    /// Whether the order for that placement was sent.
    sent: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Owner {
    is_live: bool,
    claimed_at: u8,
    /// The tick of its last write to the log.
    confirmed_at: u8,
    views: [WorkerView; WORKERS],
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Worker {
    fence: u8,
    running: bool,
    lease_until: u8,
}

/// A state of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    /// Number of claims so far, which is the term of the current owner.
    term: u8,
    /// Whether the log holds a placement on each worker.
    recorded: [bool; WORKERS],
    owners: [Option<Owner>; MAX_TERMS],
    workers: [Worker; WORKERS],
    orders: [Option<Order>; MAX_ORDERS],
}

/// A step of the system; an owner is identified by its term, which precedes the worker.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// A tick passes.
    Tick,
    /// An instance claims ownership in the next term.
    Claim,
    /// An owner writes a heartbeat to the log.
    Heartbeat(u8),
    /// An owner writes a placement to the log.
    Place(u8, u8),
    /// An owner sends the order for a placement.
    Send(u8, u8),
    /// The order at an index arrives at its worker.
    Deliver(u8),
    /// An owner polls a worker, which also renews the lease of a running task.
    Poll(u8, u8),
    /// An owner stops the task that it placed on a worker.
    Stop(u8, u8),
    /// An owner considers an unreachable worker empty after the lease has expired.
    ExpireLease(u8, u8),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

impl Placement {
    /// Creates the unbroken rules, to be explored up to `last_tick`.
    pub fn new(last_tick: u8) -> Self {
        Placement {
            mutation: None,
            last_tick,
        }
    }

    /// Leaves out one rule.
    pub fn with_mutation(mut self, mutation: Mutation) -> Self {
        self.mutation = Some(mutation);
        self
    }

    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns the owner of a term, or `None` if it may not act now.
    fn acting_owner(&self, state: &State, term: u8) -> Option<Owner> {
        let owner = state.owners[usize::from(term) - 1]?;
        let is_confirmed =
            state.now - owner.confirmed_at <= WRITE_TIMEOUT || self.has(Mutation::NoWriteTimeout);
        (owner.is_live && is_confirmed).then_some(owner)
    }

    fn tick(&self, state: &State) -> Option<State> {
        if state.now >= self.last_tick {
            return None;
        }
        let mut next = *state;
        next.now += 1;
        for worker in &mut next.workers {
            worker.running &= worker.lease_until > next.now;
        }
        Some(next)
    }

    fn claim(&self, state: &State) -> Option<State> {
        let slot = usize::from(state.term);
        if slot >= MAX_TERMS {
            return None;
        }
        let mut next = *state;
        next.term += 1;
        let view = |worker: usize| WorkerView {
            placed: state.recorded[worker],
            ..WorkerView::default()
        };
        next.owners[slot] = Some(Owner {
            is_live: true,
            claimed_at: state.now,
            confirmed_at: state.now,
            views: [view(0), view(1)],
        });
        Some(next)
    }

    /// Writes a heartbeat, which the log accepts only from the newest owner.
    fn heartbeat(&self, state: &State, term: u8) -> Option<State> {
        let mut owner = self.acting_owner(state, term)?;
        if term != state.term || owner.confirmed_at == state.now {
            return None;
        }
        owner.confirmed_at = state.now;
        Some(with_owner(state, term, owner))
    }

    fn place(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting_owner(state, term)?;
        let is_free = owner.views.iter().all(|view| !view.placed);
        let slot = usize::from(worker);
        let is_polled = owner.views[slot].polled || self.has(Mutation::NoPoll);
        if term != state.term || !is_free || !is_polled {
            return None;
        }
        owner.confirmed_at = state.now;
        owner.views[slot].placed = true;
        owner.views[slot].own = true;
        owner.views[slot].sent = false;
        let mut next = with_owner(state, term, owner);
        next.recorded[slot] = true;
        Some(next)
    }

    fn send(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting_owner(state, term)?;
        let slot = usize::from(worker);
        let view = owner.views[slot];
        let is_placed = view.placed && view.own && !view.sent;
        let is_free = owner.views.iter().all(|view| !view.placed) && view.polled;
        let is_due = is_placed || (self.has(Mutation::NoWriteAhead) && is_free);
        let index = state.orders.iter().position(Option::is_none);
        let (true, Some(index)) = (is_due, index) else {
            return None;
        };
        owner.views[slot].placed = true;
        owner.views[slot].own = true;
        owner.views[slot].sent = true;
        let mut next = with_owner(state, term, owner);
        next.orders[index] = Some(Order {
            worker,
            term,
            valid_until: state.now + LEASE,
        });
        Some(next)
    }

    fn deliver(&self, state: &State, index: u8) -> Option<State> {
        let order = state.orders[usize::from(index)]?;
        let mut next = *state;
        next.orders[usize::from(index)] = None;
        let worker = &mut next.workers[usize::from(order.worker)];
        let is_accepted = order.term >= worker.fence || self.has(Mutation::NoFencing);
        if is_accepted && order.valid_until > state.now {
            worker.fence = worker.fence.max(order.term);
            worker.running = true;
            worker.lease_until = worker.lease_until.max(order.valid_until);
        }
        Some(next)
    }

    fn poll(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting_owner(state, term)?;
        let slot = usize::from(worker);
        if state.workers[slot].fence > term {
            owner.is_live = false;
            return Some(with_owner(state, term, owner));
        }
        let is_running = state.workers[slot].running;
        let view = &mut owner.views[slot];
        view.polled = true;
        if is_running {
            view.placed = true;
        } else if !view.own {
            // The worker no longer executes orders of earlier terms.
            view.placed = false;
        }
        let is_placed = view.placed;
        let mut next = with_owner(state, term, owner);
        next.workers[slot].fence = term;
        if is_running {
            next.workers[slot].lease_until = state.now + LEASE;
        }
        if term == state.term {
            next.recorded[slot] = is_placed;
        }
        Some(next)
    }

    /// Stops the task on a worker, which no longer executes the order after that.
    fn stop(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting_owner(state, term)?;
        let slot = usize::from(worker);
        let is_own = owner.views[slot].placed && owner.views[slot].own;
        if !is_own || state.workers[slot].fence > term {
            return None;
        }
        owner.views[slot].placed = false;
        owner.views[slot].own = false;
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

    fn expire_lease(&self, state: &State, term: u8, worker: u8) -> Option<State> {
        let mut owner = self.acting_owner(state, term)?;
        let slot = usize::from(worker);
        let overlap = if self.has(Mutation::NoOverlap) {
            0
        } else {
            WRITE_TIMEOUT
        };
        let is_expired = state.now >= owner.claimed_at + overlap + LEASE;
        let view = &mut owner.views[slot];
        if view.polled || !view.placed || !is_expired {
            return None;
        }
        view.placed = false;
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
            Event::Heartbeat(term) => self.heartbeat(state, term),
            Event::Place(term, worker) => self.place(state, term, worker),
            Event::Send(term, worker) => self.send(state, term, worker),
            Event::Deliver(index) => self.deliver(state, index),
            Event::Poll(term, worker) => self.poll(state, term, worker),
            Event::Stop(term, worker) => self.stop(state, term, worker),
            Event::ExpireLease(term, worker) => self.expire_lease(state, term, worker),
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
    events.extend((0..MAX_ORDERS as u8).map(Event::Deliver));
    for term in 1..=state.term {
        events.push(Event::Heartbeat(term));
        for worker in 0..WORKERS as u8 {
            events.push(Event::Place(term, worker));
            events.push(Event::Send(term, worker));
            events.push(Event::Poll(term, worker));
            events.push(Event::Stop(term, worker));
            events.push(Event::ExpireLease(term, worker));
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
            owners: [None; MAX_TERMS],
            workers: [Worker::default(); WORKERS],
            orders: [None; MAX_ORDERS],
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
        (running.count() > 1).then_some("the task runs on two workers")
    }
}
