//! Transitions of the caller, the home and its terms.

use super::state::{IDLE_RUNNER, MAX_ATTEMPTS, SLOTS, State};
use super::{Event, Home, Mutation, Rules, Run, RunOutcome};

type Visit<'a> = &'a mut dyn FnMut(Event, State);

pub(super) fn for_each_next(rules: &Rules, state: &State, visit: Visit<'_>) {
    issue(state, visit);
    take_over(rules, state, visit);
    restart(rules, state, visit);
    if state.home_slot.is_some() {
        request(rules, state, visit);
        decide(rules, state, visit);
        for_each_result(rules, state, visit);
        evict(state, visit);
    }
}

fn issue(state: &State, visit: Visit<'_>) {
    if state.issue_term > 0 {
        return;
    }
    for below_floor in [false, true] {
        let mut next = *state;
        next.issue_term = state.term;
        next.below_floor = below_floor;
        visit(Event::Issue { below_floor }, next);
    }
}

fn request(rules: &Rules, state: &State, visit: Visit<'_>) {
    if state.issue_term == 0 {
        return;
    }
    let mut next = *state;
    match state.home {
        Home::Unknown => {
            refuse_full(rules, state, visit);
            next.home = if must_query(rules, state) {
                Home::QueryingSiblings
            } else {
                Home::Fresh(1)
            };
        }
        Home::Ended(outcome) => next.reply(outcome),
        Home::Evicted if rules.has(Mutation::EvictWithoutFloor) => next.home = Home::Fresh(1),
        Home::RefusedFull | Home::Evicted => return,
        Home::Fresh(_) | Home::Sent(..) | Home::QueryingSiblings => return,
    }
    visit(Event::Request, next);
}

/// Returns whether the key may have run in an earlier term, so that the home must query its
/// siblings instead of running it.
fn must_query(rules: &Rules, state: &State) -> bool {
    if state.issue_term == state.term {
        return state.below_floor;
    }
    !rules.has(Mutation::RunUnknownKeys)
}

fn refuse_full(rules: &Rules, state: &State, visit: Visit<'_>) {
    if must_query(rules, state) && !rules.has(Mutation::RefuseOldKeyWhenFull) {
        return;
    }
    let mut next = *state;
    next.reply(RunOutcome::NotRun);
    if !rules.has(Mutation::RefuseWithoutFloor) {
        next.home = Home::RefusedFull;
    }
    visit(Event::RefuseFull, next);
}

fn decide(rules: &Rules, state: &State, visit: Visit<'_>) {
    match state.home {
        Home::Fresh(attempt) => {
            give_up(state, visit);
            for slot in 0..SLOTS {
                let mut next = *state;
                next.home = Home::Sent(attempt, slot as u8);
                next.permits |= State::permit_bit(state.term, attempt, slot);
                visit(Event::SendPermit { attempt, slot }, next);
            }
        }
        Home::Sent(attempt, _) => time_out(rules, state, attempt, visit),
        Home::QueryingSiblings => query_siblings(rules, state, visit),
        Home::Unknown | Home::Ended(_) | Home::RefusedFull | Home::Evicted => {}
    }
}

fn give_up(state: &State, visit: Visit<'_>) {
    let mut next = *state;
    next.end(RunOutcome::NotRun);
    visit(Event::GiveUp, next);
}

fn time_out(rules: &Rules, state: &State, attempt: u8, visit: Visit<'_>) {
    let mut next = *state;
    next.end(if rules.has(Mutation::TimeoutMeansNotRun) {
        RunOutcome::NotRun
    } else {
        RunOutcome::MayHaveRun
    });
    visit(Event::HomeTimeout, next);
    if rules.has(Mutation::RetryAfterTimeout) && attempt < MAX_ATTEMPTS {
        let mut next = *state;
        next.home = Home::Fresh(attempt + 1);
        visit(Event::RetryAfterTimeout, next);
    }
}

fn query_siblings(rules: &Rules, state: &State, visit: Visit<'_>) {
    for slot in 0..SLOTS {
        let mut next = *state;
        let runner = &mut next.runners[slot];
        runner.fence = runner.fence.max(state.term);
        match runner.run {
            Run::Ended(_, RunOutcome::Ran) => next.end(RunOutcome::Ran),
            Run::Ended(_, RunOutcome::NotRun) if rules.has(Mutation::TrustSiblingNotRun) => {
                next.end(RunOutcome::NotRun);
            }
            Run::Unknown | Run::Fresh(_) | Run::Dispatched(_) | Run::Ended(..) => {}
        }
        visit(Event::QuerySibling(slot), next);
    }
    let mut next = *state;
    if rules.has(Mutation::RunIfUnknownToSiblings)
        && state.runners.iter().all(|r| r.run == Run::Unknown)
    {
        next.home = Home::Fresh(1);
    } else {
        next.end(RunOutcome::MayHaveRun);
    }
    visit(Event::EndQuery, next);
}

fn for_each_result(rules: &Rules, state: &State, visit: Visit<'_>) {
    for attempt in 1..=MAX_ATTEMPTS {
        for outcome in [RunOutcome::NotRun, RunOutcome::Ran, RunOutcome::MayHaveRun] {
            if state.results & State::result_bit(attempt, outcome) == 0 {
                continue;
            }
            if let Some(next) = after_result(rules, state, attempt, outcome) {
                visit(Event::ReceiveResult { attempt, outcome }, next);
            }
        }
    }
}

/// Returns the state after the home has processed a result, or `None` if it ignores the result.
fn after_result(rules: &Rules, state: &State, attempt: u8, outcome: RunOutcome) -> Option<State> {
    let mut next = *state;
    match (state.home, outcome) {
        (Home::Sent(current, _), _)
            if current != attempt && !rules.has(Mutation::IgnoreAttemptNumber) =>
        {
            return None;
        }
        (Home::Sent(current, _), RunOutcome::NotRun) if current < MAX_ATTEMPTS => {
            next.home = Home::Fresh(current + 1);
        }
        (Home::Sent(..), outcome) => next.end(outcome),
        (Home::Ended(RunOutcome::MayHaveRun), RunOutcome::Ran) => next.end(RunOutcome::Ran),
        _ => return None,
    }
    Some(next)
}

fn evict(state: &State, visit: Visit<'_>) {
    if let Home::Ended(_) = state.home {
        let mut next = *state;
        next.home = Home::Evicted;
        visit(Event::Evict, next);
    }
}

fn take_over(rules: &Rules, state: &State, visit: Visit<'_>) {
    if state.term >= rules.terms {
        return;
    }
    for slot in 0..SLOTS {
        let mut next = *state;
        next.term += 1;
        next.home_slot = Some(slot as u8);
        next.home = Home::Unknown;
        next.results = 0;
        visit(Event::Takeover(slot), next);
    }
}

fn restart(rules: &Rules, state: &State, visit: Visit<'_>) {
    if state.restarts_left == 0 {
        return;
    }
    for slot in 0..SLOTS {
        let mut next = *state;
        next.restarts_left -= 1;
        next.orphan_dispatches += state.runners[slot].dispatches;
        next.runners[slot] = IDLE_RUNNER;
        if !rules.has(Mutation::PermitSurvivesRestart) {
            next.drop_permits_to(slot);
        }
        if state.home_slot == Some(slot as u8) {
            next.home_slot = None;
            next.home = Home::Unknown;
            next.results = 0;
        }
        visit(Event::Restart(slot), next);
    }
}
