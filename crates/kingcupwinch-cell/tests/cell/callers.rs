//! Instances that can call the adviser, some of which are gone for good.

use std::sync::Arc;

use kingcupwinch_cell::{AdviceCallId, EndReason, JobState};
use kingcupwinch_time::{Span, Time};

use crate::harness::{Harness, job, step, with_advice};

/// The duration of a call, which makes it a long one.
const CALL_MS: f64 = 200.0;

/// Returns a harness with these instances, of which the first, which are the largest, are gone.
fn with_gone(gone: usize, all: usize) -> (Harness, Vec<Arc<str>>) {
    let mut harness = Harness::new(12, 8);
    let name = |number: usize| format!("instance-{number}").into();
    let instances: Vec<Arc<str>> = (0..all).map(name).collect();
    harness.cell.set_advice_callers(&instances);
    (harness, instances[..gone].to_vec())
}

/// Lets some time pass in which instances that are there respond within 50 ms.
fn pass(harness: &mut Harness, gone: &[Arc<str>], ms: u64) {
    for _ in 0..ms / 50 {
        for instance in std::mem::take(&mut harness.probes) {
            let responds = !gone.contains(&instance);
            harness.cell.caller_probed(&instance, responds, harness.now);
        }
        let first = harness.callers.len() - harness.calls.len();
        let calls = std::mem::take(&mut harness.calls);
        let callers: Vec<Arc<str>> = harness.callers.split_off(first);
        harness.call_steps.clear();
        for ((call, workers), caller) in calls.into_iter().zip(callers) {
            if !gone.contains(&caller) {
                harness.answer_call(call, &workers, |_| true);
            }
        }
        harness.advance(50);
        harness.poll_all();
        harness.run_round();
    }
}

/// On a service with room for it, a task of each step has to start within 3 s. Before, each step asked
/// one instance after the other that was gone.
#[rstest::rstest]
#[case::one(1, 4)]
#[case::all_large_ones(6, 9)]
#[case::all_but_one(9, 10)]
fn steps_get_advice_while_most_instances_are_gone(#[case] gone: usize, #[case] all: usize) {
    let (mut harness, gone) = with_gone(gone, all);
    pass(&mut harness, &gone, 1_000);
    for number in 1..=10 {
        harness.submit(number, with_advice(job(vec![step(2, 1, 400)]), CALL_MS));
        pass(&mut harness, &gone, 1_500);
        assert_eq!(
            harness.job_state(number),
            Some(JobState::Running),
            "{number}"
        );
        harness.end_all(EndReason::Done);
        pass(&mut harness, &gone, 100);
    }
}

/// An instance that is gone gets no calls at all once that is known.
#[test]
fn an_instance_that_is_gone_gets_no_calls() {
    let (mut harness, gone) = with_gone(6, 9);
    pass(&mut harness, &gone, 1_000);
    for number in 1..=20 {
        harness.submit(number, with_advice(job(vec![step(1, 1, 400)]), CALL_MS));
    }
    for _ in 0..60 {
        harness.run_round();
        assert!(!harness.callers.iter().any(|caller| gone.contains(caller)));
        pass(&mut harness, &gone, 100);
        harness.end_all(EndReason::Done);
    }
}

/// An instance that was cut off makes calls again once it responds.
#[test]
fn an_instance_that_is_back_makes_calls_again() {
    let (mut harness, gone) = with_gone(1, 2);
    pass(&mut harness, &gone, 20_000);
    let probed = |harness: &Harness| harness.probes.len();
    assert!(probed(&harness) <= 1);
    pass(&mut harness, &[], 9_000);
    for number in 1..=8 {
        harness.submit(number, with_advice(job(vec![step(1, 1, 400)]), CALL_MS));
    }
    harness.run_round();
    assert!(harness.callers.contains(&gone[0]), "{:?}", harness.callers);
}

/// If none responds, the adviser itself may be slow. Calls go on.
#[test]
fn calls_go_on_while_no_instance_responds() {
    let (mut harness, gone) = with_gone(3, 3);
    pass(&mut harness, &gone, 5_000);
    harness.submit(1, with_advice(job(vec![step(1, 1, 400)]), CALL_MS));
    pass(&mut harness, &[], 4_000);
    assert_eq!(harness.job_state(1), Some(JobState::Running));
}

/// What becomes of the calls and probes of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peer {
    Live,
    /// It does not respond; a connection to it may be accepted.
    Mute,
    /// It responds to probes, but gets no response of the adviser.
    Severed,
}

/// A new owner and the instances that it knows from their announcements.
struct NewOwner {
    harness: Harness,
    peers: Vec<(Arc<str>, Peer)>,
    /// Calls that will be answered, with the time of the response.
    open_calls: Vec<(Time, AdviceCallId, Vec<Arc<str>>)>,
    /// Probes with the time of their outcome.
    open_probes: Vec<(Time, Arc<str>)>,
}

impl NewOwner {
    /// How long it takes until a probe without a response has failed.
    const PROBE_TIMEOUT: Span = Span::from_millis(700);

    fn new(peers: &[Peer]) -> Self {
        let mut harness = Harness::new(12, 8);
        let names = (0..peers.len()).map(|number| format!("instance-{number}").into());
        let peers: Vec<(Arc<str>, Peer)> = names.zip(peers.iter().copied()).collect();
        let names: Vec<Arc<str>> = peers.iter().map(|(name, _)| Arc::clone(name)).collect();
        harness.cell.set_advice_callers(&names);
        NewOwner {
            harness,
            peers,
            open_calls: Vec::new(),
            open_probes: Vec::new(),
        }
    }

    fn kind(&self, instance: &str) -> Peer {
        let mut peers = self.peers.iter();
        let known = peers.find(|(name, _)| **name == *instance);
        known.unwrap().1
    }

    /// Lets 20 ms pass.
    fn step(&mut self) {
        let now = self.harness.now;
        for instance in std::mem::take(&mut self.harness.probes) {
            let delay = if self.kind(&instance) == Peer::Mute {
                NewOwner::PROBE_TIMEOUT
            } else {
                Span::from_millis(20)
            };
            self.open_probes.push((now + delay, instance));
        }
        let first = self.harness.callers.len() - self.harness.calls.len();
        let callers = self.harness.callers.split_off(first);
        self.harness.call_steps.clear();
        let calls = std::mem::take(&mut self.harness.calls);
        for ((call, workers), caller) in calls.into_iter().zip(callers) {
            if self.kind(&caller) == Peer::Live {
                let at = now + Span::from_millis(CALL_MS as u64 + 20);
                self.open_calls.push((at, call, workers));
            }
        }
        self.harness.advance(20);
        let now = self.harness.now;
        let (due, open) = std::mem::take(&mut self.open_probes)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.open_probes = open;
        let due: Vec<(Time, Arc<str>)> = due;
        for (_, instance) in due {
            let has_responded = self.kind(&instance) != Peer::Mute;
            self.harness
                .cell
                .caller_probed(&instance, has_responded, now);
        }
        let (due, open) = std::mem::take(&mut self.open_calls)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.open_calls = open;
        let due: Vec<(Time, AdviceCallId, Vec<Arc<str>>)> = due;
        for (_, call, workers) in due {
            self.harness.answer_call(call, &workers, |_| true);
        }
        self.harness.poll_all();
        self.harness.run_round();
    }

    /// Hands a job in and returns how long its first task waits, in milliseconds.
    fn wait_of(&mut self, number: u64) -> u64 {
        let begin = self.harness.now;
        let spec = with_advice(job(vec![step(2, 1, 400)]), CALL_MS);
        self.harness.submit(number, spec);
        for _ in 0..2_000 {
            self.step();
            if self.harness.job_state(number) == Some(JobState::Running) {
                return self.harness.now.since(begin).as_millis();
            }
        }
        panic!("the job never runs");
    }
}

/// A new owner has heard nobody yet, and a step is there at once. In the worst order of events all instances
/// but one do not respond, or get no response of the adviser, which was asked of one after the other. If they
/// were the largest third, the last one got no long calls at all. The bound is that of the platform on a job
/// of which nothing runs.
#[rstest::rstest]
fn a_step_gets_advice_within_3_s_of_a_takeover(
    #[values(3, 9, 21)] instances: usize,
    #[values(Peer::Mute, Peer::Severed)] others: Peer,
) {
    for live in 0..instances {
        let mut peers = vec![others; instances];
        peers[live] = Peer::Live;
        let mut owner = NewOwner::new(&peers);
        for number in 1..=4 {
            let waited_ms = owner.wait_of(number);
            assert!(
                waited_ms <= 3_000,
                "instance {live} live, job {number}: {waited_ms} ms"
            );
        }
    }
}
