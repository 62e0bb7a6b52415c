use std::fmt;

/// Digits of a job's id.
const ID_DIGITS: usize = 16;

/// The id that a caller chose for its job: 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(u64);

impl JobId {
    /// Reads an id; `None` unless the text is 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != ID_DIGITS || !text.bytes().all(digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The name of one task: its job, occurrence, step and index in the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Which repetition of the job, from 0.
    pub occurrence: u32,
    /// The step's number in the job, from 0.
    pub step: u16,
    /// The task's number in the step, from 0.
    pub index: u16,
}

impl TaskName {
    /// Reads `JOB.OCCURRENCE.STEP.INDEX`.
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

    /// Returns whether it is a task of the same step as another.
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
