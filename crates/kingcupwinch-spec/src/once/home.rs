//! The transitions of the caller, the home and its terms.

use super::state::{ATTEMPTS, IDLE, OnceState, SLOTS};
use super::{Event, Flaw, Home, OnceRules, Reply, Run};

type Visit<'a> = &'a mut dyn FnMut(Event, OnceState);

pub(super) fn for_each_next(rules: &OnceRules, state: &OnceState, visit: Visit<'_>) {
    issue(state, visit);
    take_over(rules, state, visit);
    restart(rules, state, visit);
    if state.home_slot.is_some() {
        request(rules, state, visit);
        decide(rules, state, visit);
        for_each_result(rules, state, visit);
        forget(state, visit);
    }
}

fn issue(state: &OnceState, visit: Visit<'_>) {
    if state.issued > 0 {
        return;
    }
    for early in [false, true] {
        let mut next = *state;
        next.issued = state.term;
        next.early = early;
        visit(Event::Issue { early }, next);
    }
}

fn request(rules: &OnceRules, state: &OnceState, visit: Visit<'_>) {
    if state.issued == 0 {
        return;
    }
    let mut next = *state;
    match state.home {
        Home::Unknown => {
            full(rules, state, visit);
            next.home = if asks(rules, state) {
                Home::Asking
            } else {
                Home::Fresh(1)
            };
        }
        Home::Over(reply) => next.tell(reply),
        Home::Forgotten if rules.has(Flaw::NoFloor) => next.home = Home::Fresh(1),
        Home::Below | Home::Forgotten => return,
        Home::Fresh(_) | Home::Sent(..) | Home::Asking => return,
    }
    visit(Event::Request, next);
}

/// Whether the new-term rule forbids the home to run an unremembered key.
fn asks(rules: &OnceRules, state: &OnceState) -> bool {
    if state.issued == state.term {
        return state.early;
    }
    !rules.has(Flaw::NoNewTermRule)
}

fn full(rules: &OnceRules, state: &OnceState, visit: Visit<'_>) {
    if asks(rules, state) && !rules.has(Flaw::FullInNewTerm) {
        return;
    }
    let mut next = *state;
    next.tell(Reply::NotRun);
    if !rules.has(Flaw::FullWithoutFloor) {
        next.home = Home::Below;
    }
    visit(Event::Full, next);
}

fn decide(rules: &OnceRules, state: &OnceState, visit: Visit<'_>) {
    match state.home {
        Home::Fresh(attempt) => {
            give_up(state, visit);
            for slot in 0..SLOTS {
                let mut next = *state;
                next.home = Home::Sent(attempt, slot as u8);
                next.permits |= OnceState::permit_bit(state.term, attempt, slot);
                visit(Event::Permit { attempt, slot }, next);
            }
        }
        Home::Sent(attempt, _) => on_silence(rules, state, attempt, visit),
        Home::Asking => for_each_answer(rules, state, visit),
        Home::Unknown | Home::Over(_) | Home::Below | Home::Forgotten => {}
    }
}

fn give_up(state: &OnceState, visit: Visit<'_>) {
    let mut next = *state;
    next.end(Reply::NotRun);
    visit(Event::GiveUp, next);
}

fn on_silence(rules: &OnceRules, state: &OnceState, attempt: u8, visit: Visit<'_>) {
    let mut next = *state;
    next.end(if rules.has(Flaw::SilenceMeansNotRun) {
        Reply::NotRun
    } else {
        Reply::MayHaveRun
    });
    visit(Event::HomeTimeout, next);
    if rules.has(Flaw::RetryOnSilence) && attempt < ATTEMPTS {
        let mut next = *state;
        next.home = Home::Fresh(attempt + 1);
        visit(Event::HomeRetry, next);
    }
}

fn for_each_answer(rules: &OnceRules, state: &OnceState, visit: Visit<'_>) {
    for slot in 0..SLOTS {
        let mut next = *state;
        let runner = &mut next.runners[slot];
        runner.fence = runner.fence.max(state.term);
        match runner.run {
            Run::Over(_, Reply::Ran) => next.end(Reply::Ran),
            Run::Over(_, Reply::NotRun) if rules.has(Flaw::SiblingNotRun) => {
                next.end(Reply::NotRun);
            }
            Run::Unseen | Run::Fresh(_) | Run::Dispatched(_) | Run::Over(..) => {}
        }
        visit(Event::Ask(slot), next);
    }
    let mut next = *state;
    if rules.has(Flaw::UnseenMeansNew) && state.runners.iter().all(|r| r.run == Run::Unseen) {
        next.home = Home::Fresh(1);
    } else {
        next.end(Reply::MayHaveRun);
    }
    visit(Event::AskedAll, next);
}

fn for_each_result(rules: &OnceRules, state: &OnceState, visit: Visit<'_>) {
    for attempt in 1..=ATTEMPTS {
        for reply in [Reply::NotRun, Reply::Ran, Reply::MayHaveRun] {
            if state.results & OnceState::result_bit(attempt, reply) == 0 {
                continue;
            }
            if let Some(next) = heard(rules, state, attempt, reply) {
                visit(Event::Result { attempt, reply }, next);
            }
        }
    }
}

/// Returns the state after the home took a result, none if it drops it.
fn heard(rules: &OnceRules, state: &OnceState, attempt: u8, reply: Reply) -> Option<OnceState> {
    let mut next = *state;
    match (state.home, reply) {
        (Home::Sent(current, _), _) if current != attempt && !rules.has(Flaw::UnmatchedAttempt) => {
            return None;
        }
        (Home::Sent(current, _), Reply::NotRun) if current < ATTEMPTS => {
            next.home = Home::Fresh(current + 1);
        }
        (Home::Sent(..), reply) => next.end(reply),
        (Home::Over(Reply::MayHaveRun), Reply::Ran) => next.end(Reply::Ran),
        _ => return None,
    }
    Some(next)
}

fn forget(state: &OnceState, visit: Visit<'_>) {
    if let Home::Over(_) = state.home {
        let mut next = *state;
        next.home = Home::Forgotten;
        visit(Event::Forget, next);
    }
}

fn take_over(rules: &OnceRules, state: &OnceState, visit: Visit<'_>) {
    if state.term >= rules.terms {
        return;
    }
    for slot in 0..SLOTS {
        let mut next = *state;
        next.term += 1;
        next.home_slot = Some(slot as u8);
        next.home = Home::Unknown;
        next.results = 0;
        visit(Event::TakeOver(slot), next);
    }
}

fn restart(rules: &OnceRules, state: &OnceState, visit: Visit<'_>) {
    if state.restarts == 0 {
        return;
    }
    for slot in 0..SLOTS {
        let mut next = *state;
        next.restarts -= 1;
        next.orphans += state.runners[slot].sent;
        next.runners[slot] = IDLE;
        if !rules.has(Flaw::PermitOutlivesRunner) {
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
