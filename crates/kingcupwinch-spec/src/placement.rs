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
const MAX_TERMS: usize = 2;
/// Orders that may be on their way.
const MAX_ORDERS: usize = 2;
/// Ticks for which an owner acts without writing to the log.
const WRITE_TIMEOUT: u8 = 1;
/// Ticks of a lease.
const LEASE: u8 = 2;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Workers carry out orders of earlier terms.
    NoFencing,
    /// Orders go out before their placements are in the log.
    NoWriteAhead,
    /// A worker out of reach counts as empty one lease after the claim, though the owner before
    /// may have renewed its leases later.
    NoOverlap,
    /// An owner that can't write gives orders for ever.
    NoWriteTimeout,
    /// An owner orders to workers that it has not looked at.
    NoPoll,
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
    valid_until: u8,
}

/// What an owner believes of one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct WorkerView {
    /// It was looked at under the owner's term.
    polled: bool,
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
    claimed_at: u8,
    /// When it last wrote to the log.
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
    /// Claims so far; the newest holds.
    term: u8,
    /// Placements that the log holds.
    recorded: [bool; WORKERS],
    owners: [Option<Owner>; MAX_TERMS],
    workers: [Worker; WORKERS],
    orders: [Option<Order>; MAX_ORDERS],
}

/// What happens; owners are named by their terms.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes.
    Tick,
    /// An instance claims.
    Claim,
    /// An owner writes a sign of life.
    Heartbeat(u8),
    /// An owner writes a placement.
    Place(u8, u8),
    /// An owner sends the order for a placement.
    Send(u8, u8),
    /// An order arrives.
    Deliver(u8),
    /// An owner looks at a worker, and renews its lease.
    Poll(u8, u8),
    /// An owner takes its order back.
    Stop(u8, u8),
    /// An owner counts a worker out of reach as empty.
    ExpireLease(u8, u8),
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

    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns an owner that may act now.
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

    /// A write under a term, which the log takes from the newest owner only.
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
            // No order of an earlier term is carried out from now on.
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

    /// A stop that the worker takes: the order can't be carried out after it.
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
        (running.count() > 1).then_some("the task is at work in two places")
    }
}
