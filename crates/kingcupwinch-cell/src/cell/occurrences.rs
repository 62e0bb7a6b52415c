//! Occurrences of scheduled jobs, which come due at wall-clock times.

use kingcupwinch_time::Time;

use super::Cell;

impl Cell {
    /// Sets the wall-clock time, which decides when scheduled occurrences come due.
    pub fn set_wall_clock(&mut self, unix_ms: u64, now: Time) {
        self.wall_clock = Some((unix_ms, now));
    }

    /// Opens the occurrences that have come due.
    pub(crate) fn open_occurrences(&mut self, now: Time) {
        let Some((last_unix_ms, at)) = self.wall_clock else {
            return;
        };
        let unix_ms = last_unix_ms + now.since(at).as_millis();
        let Cell {
            scheduled_jobs,
            jobs,
            run_times,
            ..
        } = self;
        scheduled_jobs.retain(|key| {
            let Some(job) = jobs.get_mut(*key) else {
                return false;
            };
            if job.open_due_occurrences(unix_ms, now) {
                job.update_paths(run_times);
            }
            job.has_more_occurrences()
        });
    }
}
