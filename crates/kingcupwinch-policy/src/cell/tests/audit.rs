//! Checks of the invariants of a cell.

use rustc_hash::FxHashMap;

use super::Harness;
use crate::key::TaskKey;
use crate::machine::{MachineState, PlaceUnit, ReservedFor};
use crate::resources::{Dimension, Resources};
use crate::task::{Phase, ReclaimState};

impl Harness {
    pub(super) fn audit(&self) {
        self.audit_machines();
        self.audit_tasks();
        self.audit_sums();
    }

    fn audit_machines(&self) {
        let cell = &self.cell;
        let (mut used, mut free, mut quarantined) = (Resources::ZERO, Resources::ZERO, 0);
        let mut places = [0; 2];
        for (key, m) in cell.fleet.iter() {
            for d in Dimension::ALL {
                let (used, most) = (m.used.get(d), m.spec.capacity.get(d));
                assert!(used <= most, "a machine is over its capacity in {d}");
            }
            let mut sum = Resources::ZERO;
            let (mut movable, mut throttled, mut suspects) = (0, 0, 0);
            for (position, &task) in m.running.iter().enumerate() {
                let run = *cell.tasks[task].run().unwrap();
                assert_eq!((run.machine, run.position as usize), (key, position));
                sum = sum.plus(&run.allocated);
                movable += u32::from(run.movable);
                assert_eq!(
                    run.reclaim.awaits_reply(),
                    cell.resends.contains(&(run.resend_at, task))
                );
                throttled += u32::from(run.reclaim == ReclaimState::Throttled);
                suspects += u32::from(cell.tasks[task].spec.crashes.is_suspect());
            }
            let holds = cell.holds.values().filter(|h| h.machine == key);
            sum = holds.fold(sum, |s, h| s.plus(&h.size));
            if m.state != MachineState::Gone {
                assert_eq!(m.used, sum);
                used = used.plus(&sum);
            }
            assert_eq!((m.movable.count, m.throttled), (movable, throttled));
            assert_eq!(m.suspects, suspects);
            quarantined += usize::from(m.state == MachineState::Quarantined);
            if m.state == MachineState::Active
                && !matches!(m.reserved_for, Some(ReservedFor::Gang(..)))
            {
                free = free.plus(&m.free());
                for kind in PlaceUnit::ALL {
                    places[kind as usize] += cell.fleet.unit(kind).times_in(&m.free());
                }
            }
            assert_eq!(m.entry.is_some(), m.state == MachineState::Active);
        }
        assert_eq!((*cell.fleet.used(), *cell.fleet.free()), (used, free));
        assert_eq!(PlaceUnit::ALL.map(|u| cell.fleet.places(u)), places);
        assert_eq!(cell.fleet.quarantined(), quarantined);
        assert!(quarantined * 5 <= cell.fleet.len() + 5 * self.machines.len());
        let racks = cell.fleet.racks().iter();
        assert_eq!(racks.fold(Resources::ZERO, |s, r| s.plus(&r.free)), free);
    }

    fn audit_tasks(&self) {
        let cell = &self.cell;
        let queued: FxHashMap<TaskKey, _> = cell
            .classes
            .iter()
            .flat_map(|c| c.queue.iter())
            .map(|(rank, key)| (key, rank))
            .collect();
        let listed: usize = cell.classes.iter().map(|c| c.queue.iter().count()).sum();
        assert_eq!(queued.len(), listed, "a task is in two queues");
        for (key, task) in &cell.tasks {
            let places = [
                queued.contains_key(&key),
                cell.backoffs.iter().any(|(_, k)| *k == key),
                cell.claims.iter().any(|(_, k)| *k == key),
                self.running.iter().any(|p| p.task == key),
            ];
            let count = places.into_iter().filter(|p| *p).count();
            let expected = match task.phase {
                Phase::Queued(rank) => queued.get(&key) == Some(&rank),
                Phase::Delayed(until) => cell.backoffs.contains(&(until, key)),
                Phase::Claiming(claim) => cell.claimant(claim.machine) == Some(key),
                Phase::Running(_) => places[3],
                Phase::Detached => task.gang.is_some(),
            };
            assert!(
                expected,
                "{task:?} is not in the list that its phase requires"
            );
            assert_eq!(count, usize::from(task.phase != Phase::Detached));
        }
        for place in &self.running {
            assert!(cell.tasks[place.task].run().is_some());
        }
    }

    fn audit_sums(&self) {
        let cell = &self.cell;
        for (index, class) in cell.classes.iter().enumerate() {
            let tasks = cell
                .tasks
                .values()
                .filter(|t| t.spec.class.index() == index);
            let runs: Vec<_> = tasks.filter_map(|t| t.run()).collect();
            let sum = runs
                .iter()
                .fold(Resources::ZERO, |s, r| s.plus(&r.allocated));
            assert_eq!((class.used, class.running), (sum, runs.len() as u32));
            assert_eq!(class.queue.len(), class.queue.iter().count());
        }
        for (index, customer) in cell.customers.iter().enumerate() {
            let tasks = cell
                .tasks
                .values()
                .filter(|t| t.spec.customer.index() == index);
            let (runs, waits): (Vec<_>, Vec<_>) = tasks.partition(|t| t.run().is_some());
            let sum = runs
                .iter()
                .filter_map(|t| t.run())
                .fold(Resources::ZERO, |s, r| s.plus(&r.allocated));
            let counts = (customer.running, customer.waiting);
            assert_eq!(
                (customer.used, counts),
                (sum, (runs.len() as u32, waits.len() as u32))
            );
        }
        let grants = cell.credits.values();
        assert_eq!(
            cell.credited,
            grants.map(|c| u64::from(c.count)).sum::<u64>()
        );
        for gang in cell.gangs.values() {
            let running = gang
                .tasks
                .iter()
                .filter_map(|t| cell.tasks.get(*t)?.run())
                .count();
            let alive = gang
                .tasks
                .iter()
                .filter(|t| cell.tasks.contains_key(**t))
                .count();
            assert_eq!((gang.running, gang.alive), (running as u32, alive as u32));
        }
    }
}
