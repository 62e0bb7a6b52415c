use std::fmt;

/// The number of hexadecimal digits of a job id.
const ID_DIGITS: usize = 16;

/// A job id, chosen by the caller: 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(u64);

impl JobId {
    /// Parses an id. Returns `None` unless the text has 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != ID_DIGITS || !text.bytes().all(digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(JobId)
    }

    /// Returns the number that the digits stand for.
    pub(crate) fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The name of a task: its job, occurrence, step and index in the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// The step of the job, counted from 0.
    pub step: u16,
    /// The task of the step, counted from 0.
    pub index: u16,
}

impl TaskName {
    /// Parses `JOB.OCCURRENCE.STEP.INDEX`. Returns `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let name = TaskName {
            job: JobId::parse(parts.next()?)?,
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(name)
    }

    /// Returns whether both tasks belong to the same step of the same occurrence.
    pub(crate) fn is_same_step(self, other: TaskName) -> bool {
        TaskName { index: 0, ..self } == TaskName { index: 0, ..other }
    }

    /// Returns the name of the task's step, `JOB.OCCURRENCE.STEP`.
    pub fn step_name(self) -> String {
        format!("{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskName {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}
