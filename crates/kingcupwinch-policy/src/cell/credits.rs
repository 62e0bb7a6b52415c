//! Demand granted to sibling instances.

use kingcupwinch_time::Time;

use super::Cell;
use crate::decision::{Credit, TaskSpec};
use crate::key::{ClassKey, CreditKey, TaskKey};
use crate::machine::PlaceUnit;
use crate::refusal::{CellError, Refusal};

impl Cell {
    /// Returns how many more live tasks of a class could start now, a lower bound: what is free, less
    /// what waits here and what was granted.
    pub fn available_places(&self, key: ClassKey) -> u32 {
        let Some(class) = self.classes.get(key.index()).filter(|c| c.in_plan) else {
            return 0;
        };
        let need = class.spec.typical_size;
        let places = if need == *self.fleet.unit(PlaceUnit::Urgent) {
            self.fleet.places(PlaceUnit::Urgent)
        } else {
            self.fleet.min_places(&need)
        };
        let committed = class.queue.len() as u64 + self.credited;
        let spare = places.saturating_sub(committed);
        let limit = self.fleet.capacity().part(class.spec.max_share.fraction());
        let under_limit = need.times_in(&limit.minus(&class.used));
        u32::try_from(spare.min(under_limit)).unwrap_or(u32::MAX)
    }

    /// Promises room for up to `count` live tasks of a class until a deadline; none if there is no
    /// room.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownClass`].
    pub fn grant(
        &mut self,
        class: ClassKey,
        count: u32,
        deadline: Time,
        now: Time,
    ) -> Result<Option<Credit>, CellError> {
        let known = self.classes.get(class.index()).is_some_and(|c| c.in_plan);
        if !known {
            return Err(CellError::UnknownClass);
        }
        let count = count.min(self.available_places(class));
        if count == 0 || deadline <= now {
            return Ok(None);
        }
        let key = self.credits.insert_with_key(|key| Credit {
            key,
            class,
            count,
            deadline,
        });
        self.expiries.insert((deadline, key));
        self.credited += u64::from(count);
        Ok(Some(self.credits[key]))
    }

    /// Takes in a task under a credit, which is then worth one less. A task of another class than the
    /// credit's is [`Refusal::UnknownClass`]; one whose credit has expired is submitted without.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]: the task did not run and never will. The credit is then unchanged.
    pub fn submit_with_credit(
        &mut self,
        key: CreditKey,
        spec: TaskSpec,
        now: Time,
    ) -> Result<TaskKey, Refusal> {
        let credit = self.credits.get(key).copied();
        let credit = credit.filter(|c| c.deadline > now);
        if credit.is_some_and(|c| c.class != spec.class) {
            return Err(Refusal::UnknownClass);
        }
        let task = self.submit(spec, now)?;
        if credit.is_some() {
            self.reduce_credit(key, 1);
        }
        Ok(task)
    }

    /// Takes a credit back before its deadline; what was left of it.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownCredit`] if it is spent or has expired.
    pub fn revoke(&mut self, key: CreditKey) -> Result<u32, CellError> {
        let credit = self.credits.get(key).ok_or(CellError::UnknownCredit)?;
        let count = credit.count;
        self.reduce_credit(key, count);
        Ok(count)
    }

    pub(super) fn expire_credits(&mut self, now: Time) {
        while let Some(&(deadline, key)) = self.expiries.first() {
            if deadline > now {
                return;
            }
            let count = self.credits[key].count;
            self.reduce_credit(key, count);
        }
    }

    fn reduce_credit(&mut self, key: CreditKey, by: u32) {
        let credit = &mut self.credits[key];
        self.credited -= u64::from(by);
        self.fleet.record_release();
        credit.count -= by;
        if credit.count == 0 {
            self.expiries.remove(&(credit.deadline, key));
            self.credits.remove(key);
        }
    }
}
