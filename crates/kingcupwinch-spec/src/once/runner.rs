//! The transitions of the runners and the worker.

use super::state::{ATTEMPTS, OnceState, Runner, SLOTS};
use super::{Event, Flaw, OnceRules, Reply, Run};

type Visit<'a> = &'a mut dyn FnMut(Event, OnceState);

pub(super) fn for_each_next(rules: &OnceRules, state: &OnceState, visit: Visit<'_>) {
    for slot in 0..SLOTS {
        for_each_permit(rules, state, slot, visit);
        dispatch(state, slot, visit);
        work(state, slot, visit);
        hear(rules, state, slot, visit);
    }
    if state.orphans > 0 {
        let mut next = *state;
        next.orphans -= 1;
        next.runs += 1;
        visit(Event::OrphanRuns, next);
    }
}

fn for_each_permit(rules: &OnceRules, state: &OnceState, slot: usize, visit: Visit<'_>) {
    for term in 1..=state.term {
        for attempt in 1..=ATTEMPTS {
            let in_flight = state.permits & OnceState::permit_bit(term, attempt, slot) != 0;
            let runner = &state.runners[slot];
            if !in_flight || term < runner.fence || !starts(rules, runner, attempt) {
                continue;
            }
            let mut next = *state;
            next.runners[slot].fence = term;
            next.runners[slot].term = term;
            next.runners[slot].run = Run::Fresh(attempt);
            let event = Event::Start {
                attempt,
                slot,
                term,
            };
            visit(event, next);
        }
    }
}

fn starts(rules: &OnceRules, runner: &Runner, attempt: u8) -> bool {
    match runner.run {
        Run::Unseen => true,
        Run::Over(last, Reply::NotRun) => attempt > last,
        Run::Over(..) => rules.has(Flaw::NoRunnerMemory),
        Run::Fresh(_) | Run::Dispatched(_) => false,
    }
}

fn dispatch(state: &OnceState, slot: usize, visit: Visit<'_>) {
    let Run::Fresh(attempt) = state.runners[slot].run else {
        return;
    };
    let mut next = *state;
    let runner = &mut next.runners[slot];
    runner.run = Run::Dispatched(attempt);
    runner.sent += 1;
    visit(Event::Dispatch(slot), next);
    let mut next = *state;
    end(&mut next, slot, attempt, Reply::NotRun);
    visit(Event::RunnerTimeout(slot), next);
}

fn work(state: &OnceState, slot: usize, visit: Visit<'_>) {
    if state.runners[slot].sent == 0 {
        return;
    }
    let mut next = *state;
    next.runners[slot].sent -= 1;
    let mut ran = next;
    ran.runs += 1;
    ran.runners[slot].answered = true;
    visit(Event::WorkerRuns(slot), ran);
    next.runners[slot].refused = true;
    visit(Event::WorkerRefuses(slot), next);
}

fn hear(rules: &OnceRules, state: &OnceState, slot: usize, visit: Visit<'_>) {
    let runner = &state.runners[slot];
    let Run::Dispatched(attempt) = runner.run else {
        return;
    };
    if runner.answered {
        let mut next = *state;
        next.runners[slot].answered = false;
        end(&mut next, slot, attempt, Reply::Ran);
        visit(Event::TakeAnswer(slot), next);
    }
    if runner.refused {
        let mut next = *state;
        next.runners[slot].refused = false;
        end(&mut next, slot, attempt, Reply::NotRun);
        visit(Event::TakeRefusal(slot), next);
    }
    let mut next = *state;
    let silence = if rules.has(Flaw::RunnerSilence) {
        Reply::NotRun
    } else {
        Reply::MayHaveRun
    };
    end(&mut next, slot, attempt, silence);
    visit(Event::RunnerTimeout(slot), next);
}

/// Ends an attempt and sends its result to the home that permitted it.
fn end(state: &mut OnceState, slot: usize, attempt: u8, reply: Reply) {
    let runner = &mut state.runners[slot];
    runner.run = Run::Over(attempt, reply);
    if runner.term == state.term && state.home_slot.is_some() {
        state.results |= OnceState::result_bit(attempt, reply);
    }
}
