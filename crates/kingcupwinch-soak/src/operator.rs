//! The operator, who adds and removes routes, and callers that look them up.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::keys::{KeyObservations, KeyUse, ObservedKey, added_key, customers, forged_key};
use kingcupwinch_standin::{
    CallOutcome, Caller, JobBody, StandinStore, StepBody, additional_prefix, publish_customers,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Distinguishes the random numbers of the operator from those of the jobs.
const OPERATOR_SEED: u64 = 0x09e4_a704_0000_0000;
/// Range of the interval between two versions, in milliseconds.
const VERSION_INTERVAL_MS: std::ops::Range<u64> = 200..1_200;
/// Number of additional routes of a version; the oldest one is removed.
const ADDITIONAL_ROUTES: usize = 8;
/// Number of the latest routes that are looked up, with those that were removed.
const LOOKED_UP_ROUTES: usize = 12;
/// Pause between two lookups on one instance.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(30);
/// Number of the latest keys that are used: the eight in force, and those withdrawn in about the last 7 s.
const USED_KEYS: usize = 18;
/// Average number of requests with keys of which one has a forged key.
const USES_PER_FORGERY: u32 = 5;
/// Timeout of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// A route that the operator added, and removed later.
#[derive(Debug, Clone)]
pub struct ObservedRoute {
    /// Version that added it.
    pub version: u64,
    /// Time at which that version was acknowledged.
    pub added: Instant,
    /// Time at which a version without it was sent.
    pub removal_sent: Option<Instant>,
    /// Time at which that version was acknowledged.
    pub removed: Option<Instant>,
}

/// A response of an instance to a request for a route.
#[derive(Debug, Clone, Copy)]
pub struct Lookup {
    /// Index of the instance.
    pub instance: usize,
    /// Index of the route.
    pub route: usize,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the response had arrived.
    pub received: Instant,
    /// Status of the response.
    pub status: u16,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Numbers of the additional routes in force.
    additional: VecDeque<u64>,
    routes: Vec<ObservedRoute>,
    lookups: Vec<Lookup>,
    keys: KeyObservations,
}

/// The operator and callers that look up its routes; clones share them.
#[derive(Clone)]
pub(crate) struct Operator {
    store: Arc<StandinStore>,
    state: Arc<Mutex<State>>,
    /// Whether the configuration has customers.
    has_customers: bool,
}

impl Operator {
    /// Creates an operator who has published the first version.
    pub(crate) fn new(store: Arc<StandinStore>, has_customers: bool) -> Self {
        let first = has_customers.then(|| customers(std::iter::empty()));
        publish_customers(&store, 1, &[], first.as_deref());
        Operator {
            store,
            has_customers,
            state: Arc::new(Mutex::new(State {
                version: 1,
                ..State::default()
            })),
        }
    }

    /// Publishes a version with another route, and without the oldest of the additional ones.
    pub(crate) fn publish(&self) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.additional.push_back(version);
        let is_full = state.additional.len() > ADDITIONAL_ROUTES;
        let removed = if is_full {
            state.additional.pop_front()
        } else {
            None
        };
        let numbers: Vec<u64> = state.additional.iter().copied().collect();
        let sent = Instant::now();
        // Each version adds a key as it adds a route, and withdraws the oldest one.
        let customers = (self.has_customers).then(|| customers(numbers.iter().copied()));
        publish_customers(&self.store, version, &numbers, customers.as_deref());
        let acknowledged = Instant::now();
        if self.has_customers {
            for key in &mut state.keys.keys {
                if removed == Some(key.version) {
                    key.withdrawal_sent = Some(sent);
                    key.withdrawn = Some(acknowledged);
                }
            }
            state.keys.keys.push(ObservedKey {
                version,
                added: acknowledged,
                withdrawal_sent: None,
                withdrawn: None,
            });
        }
        for route in &mut state.routes {
            if removed == Some(route.version) {
                route.removal_sent = Some(sent);
                route.removed = Some(acknowledged);
            }
        }
        state.routes.push(ObservedRoute {
            version,
            added: acknowledged,
            removal_sent: None,
            removed: None,
        });
    }

    /// Publishes versions at random intervals until the task is aborted.
    pub(crate) async fn publish_versions(self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ OPERATOR_SEED);
        loop {
            let interval_ms = rng.random_range(VERSION_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            self.publish();
        }
    }

    /// Looks up recent routes on an instance until the task is aborted.
    pub(crate) async fn look_up(self, instance: usize, caller: Caller) {
        loop {
            tokio::time::sleep(LOOKUP_INTERVAL).await;
            let recent = {
                let state = self.lock();
                let count = state.routes.len();
                let recent: Vec<usize> = (count.saturating_sub(LOOKED_UP_ROUTES)..count).collect();
                let chosen = recent.choose(&mut rand::rng()).copied();
                chosen.map(|route| (route, state.routes[route].version))
            };
            let Some((route, version)) = recent else {
                continue;
            };
            let sent = Instant::now();
            let prefix = additional_prefix(version);
            if let Some(status) = caller.queue_status(&prefix, LOOKUP_TIMEOUT).await {
                self.lock().lookups.push(Lookup {
                    instance,
                    route,
                    sent,
                    received: Instant::now(),
                    status,
                });
            }
        }
    }

    /// Sends requests with recent keys, withdrawn ones among them, and with forged ones to an instance
    /// until the task is aborted.
    pub(crate) async fn use_keys(self, instance: usize, caller: Caller) {
        loop {
            tokio::time::sleep(LOOKUP_INTERVAL).await;
            let recent = {
                let state = self.lock();
                let count = state.keys.keys.len();
                let recent: Vec<usize> = (count.saturating_sub(USED_KEYS)..count).collect();
                let chosen = recent.choose(&mut rand::rng()).copied();
                chosen.map(|key| (key, state.keys.keys[key].version))
            };
            let Some((key, version)) = recent else {
                continue;
            };
            let is_forged = rand::rng().random_ratio(1, USES_PER_FORGERY);
            let text = if is_forged {
                forged_key(version)
            } else {
                added_key(version)
            };
            let caller = caller.clone().with_key(&text);
            if is_forged {
                self.submit_forged(&caller).await;
            }
            let sent = Instant::now();
            if let Some(status) = caller.key_status(LOOKUP_TIMEOUT).await {
                self.lock().keys.uses.push(KeyUse {
                    instance,
                    key: (!is_forged).then_some(key),
                    sent,
                    received: Instant::now(),
                    status,
                });
            }
        }
    }

    /// Submits a job with a forged key, which must be refused.
    async fn submit_forged(&self, caller: &Caller) {
        let id = format!("{:016x}", rand::rng().random::<u64>());
        let job = JobBody {
            specification: "200:100".into(),
            steps: vec![StepBody {
                count: 1,
                cpu: 200,
                estimated_duration_ms: 100,
                after: vec![],
                anti_affinity: 0,
                long_running: false,
            }],
        };
        self.lock().keys.forged_jobs.push(id.clone());
        let _: CallOutcome = caller.submit(&id, &job, LOOKUP_TIMEOUT).await;
    }

    /// Returns what was observed of keys so far.
    pub(crate) fn key_observations(&self) -> KeyObservations {
        self.lock().keys.clone()
    }

    /// Returns the routes and the lookups so far.
    pub(crate) fn observations(&self) -> (Vec<ObservedRoute>, Vec<Lookup>) {
        let state = self.lock();
        (state.routes.clone(), state.lookups.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
