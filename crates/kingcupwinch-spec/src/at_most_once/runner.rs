//! Transitions of the runners and the worker.

use super::state::{MAX_ATTEMPTS, Runner, SLOTS, State};
use super::{Event, Mutation, Rules, Run, RunOutcome};

type Visit<'a> = &'a mut dyn FnMut(Event, State);

pub(super) fn for_each_next(rules: &Rules, state: &State, visit: Visit<'_>) {
    for slot in 0..SLOTS {
        for_each_permit(rules, state, slot, visit);
        dispatch(state, slot, visit);
        run_worker(state, slot, visit);
        receive(rules, state, slot, visit);
    }
    if state.orphan_dispatches > 0 {
        let mut next = *state;
        next.orphan_dispatches -= 1;
        next.executions += 1;
        visit(Event::OrphanRuns, next);
    }
}

fn for_each_permit(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    for term in 1..=state.term {
        for attempt in 1..=MAX_ATTEMPTS {
            let in_flight = state.permits & State::permit_bit(term, attempt, slot) != 0;
            let runner = &state.runners[slot];
            if !in_flight || term < runner.fence || !accepts(rules, runner, attempt) {
                continue;
            }
            let mut next = *state;
            next.runners[slot].fence = term;
            next.runners[slot].term = term;
            next.runners[slot].run = Run::Fresh(attempt);
            let event = Event::ReceivePermit {
                attempt,
                slot,
                term,
            };
            visit(event, next);
        }
    }
}

fn accepts(rules: &Rules, runner: &Runner, attempt: u8) -> bool {
    match runner.run {
        Run::Unknown => true,
        Run::Ended(last, RunOutcome::NotRun) => attempt > last,
        Run::Ended(..) => rules.has(Mutation::NoRunnerMemory),
        Run::Fresh(_) | Run::Dispatched(_) => false,
    }
}

fn dispatch(state: &State, slot: usize, visit: Visit<'_>) {
    let Run::Fresh(attempt) = state.runners[slot].run else {
        return;
    };
    let mut next = *state;
    let runner = &mut next.runners[slot];
    runner.run = Run::Dispatched(attempt);
    runner.dispatches += 1;
    visit(Event::Dispatch(slot), next);
    let mut next = *state;
    end(&mut next, slot, attempt, RunOutcome::NotRun);
    visit(Event::RunnerTimeout(slot), next);
}

fn run_worker(state: &State, slot: usize, visit: Visit<'_>) {
    if state.runners[slot].dispatches == 0 {
        return;
    }
    let mut next = *state;
    next.runners[slot].dispatches -= 1;
    let mut ran = next;
    ran.executions += 1;
    ran.runners[slot].answer_sent = true;
    visit(Event::WorkerRuns(slot), ran);
    next.runners[slot].refusal_sent = true;
    visit(Event::WorkerRefuses(slot), next);
}

fn receive(rules: &Rules, state: &State, slot: usize, visit: Visit<'_>) {
    let runner = &state.runners[slot];
    let Run::Dispatched(attempt) = runner.run else {
        return;
    };
    if runner.answer_sent {
        let mut next = *state;
        next.runners[slot].answer_sent = false;
        end(&mut next, slot, attempt, RunOutcome::Ran);
        visit(Event::ReceiveAnswer(slot), next);
    }
    if runner.refusal_sent {
        let mut next = *state;
        next.runners[slot].refusal_sent = false;
        end(&mut next, slot, attempt, RunOutcome::NotRun);
        visit(Event::ReceiveRefusal(slot), next);
    }
    let mut next = *state;
    let outcome = if rules.has(Mutation::WorkerTimeoutMeansNotRun) {
        RunOutcome::NotRun
    } else {
        RunOutcome::MayHaveRun
    };
    end(&mut next, slot, attempt, outcome);
    visit(Event::RunnerTimeout(slot), next);
}

/// Ends an attempt and sends its result to the home that sent the permit, if it is still the home.
fn end(state: &mut State, slot: usize, attempt: u8, outcome: RunOutcome) {
    let runner = &mut state.runners[slot];
    runner.run = Run::Ended(attempt, outcome);
    if runner.term == state.term && state.home_slot.is_some() {
        state.results |= State::result_bit(attempt, outcome);
    }
}
