//! How much better a task explains a crash than workers that crash by themselves.

/// The age of a run at which half of the tasks that crash their workers have done so, in seconds.
const CRASH_AGE_S: f64 = 1.0;
/// The time without a crash that is taken for granted, so that a short one says little, in seconds.
const PRIOR_TIME_S: f64 = 7.0;

/// Returns the logarithm of the likelihood ratio of two causes of a crash: the task that ran there, and
/// workers that crash at an unknown rate. It is negative if these are the likelier cause.
///
/// `age_s` is the age of the run in seconds, and `share` the part of the workers that it took up, at most
/// one. The rate has a gamma distribution of shape one, by the `quiet_s` seconds before in which no worker
/// crashed while the task did not run.
pub(crate) fn log_ratio(age_s: f64, share: f64, quiet_s: f64) -> f64 {
    let by_task = CRASH_AGE_S / (CRASH_AGE_S + age_s).powi(2);
    let seconds = PRIOR_TIME_S + quiet_s.max(0.0);
    let by_workers = share / seconds / (1.0 + share * age_s / seconds).powi(2);
    (by_task / by_workers).ln()
}

#[cfg(test)]
mod tests;
