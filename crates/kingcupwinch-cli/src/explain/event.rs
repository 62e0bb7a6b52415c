use std::io::BufRead;

use chrono::DateTime;
use serde_json::{Map, Value};

/// The number of bad lines whose numbers are kept.
const MAX_NAMED_LINES: usize = 10;

/// A line of an instance's structured log.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogEvent {
    /// The wall-clock time in Unix microseconds.
    pub(crate) at: i64,
    pub(crate) code: String,
    pub(crate) fields: Map<String, Value>,
}

impl LogEvent {
    /// Parses a line. A collector may have put text before the JSON object.
    fn parse(line: &str) -> Option<Self> {
        let json = &line[line.find('{')?..];
        let Value::Object(fields) = serde_json::from_str(json).ok()? else {
            return None;
        };
        let ts = fields.get("ts")?.as_str()?;
        Some(LogEvent {
            at: DateTime::parse_from_rfc3339(ts).ok()?.timestamp_micros(),
            code: fields.get("event")?.as_str()?.to_owned(),
            fields,
        })
    }

    /// Returns a field as text, or an empty text if it is missing.
    pub(crate) fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns the id of the job that the line is about, if it is about one.
    pub(crate) fn job(&self) -> Option<&str> {
        let named = [self.text("job"), self.text("task"), self.text("step")];
        let name = named.into_iter().find(|name| !name.is_empty())?;
        name.split('.').next()
    }
}

/// Reads logs of several instances and merges them by time.
#[derive(Debug, Default)]
pub(crate) struct LogReader {
    events: Vec<LogEvent>,
    bad_lines: Vec<String>,
    bad_count: usize,
}

impl LogReader {
    /// Reads the lines of one log. Lines that are no events are counted; blank ones are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the source can't be read.
    pub(crate) fn read(&mut self, name: &str, source: impl BufRead) -> std::io::Result<()> {
        for (number, line) in source.split(b'\n').enumerate() {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if line.trim().is_empty() {
                continue;
            }
            match LogEvent::parse(&line) {
                Some(event) => self.events.push(event),
                None => {
                    self.bad_count += 1;
                    if self.bad_lines.len() < MAX_NAMED_LINES {
                        self.bad_lines.push(format!("{name}:{}", number + 1));
                    }
                }
            }
        }
        Ok(())
    }

    /// Returns the events of all logs in order of time. Events of one log keep their order.
    pub(crate) fn into_events(mut self) -> Vec<LogEvent> {
        self.events.sort_by_key(|event| event.at);
        self.events
    }

    /// Describes the lines that could not be read, if there are any.
    pub(crate) fn bad_lines(&self) -> Option<String> {
        if self.bad_count == 0 {
            return None;
        }
        let more = self.bad_count - self.bad_lines.len();
        let more = if more > 0 {
            format!(" and {more} more")
        } else {
            String::new()
        };
        let named = self.bad_lines.join(", ");
        Some(format!("skipped what is no log event: {named}{more}"))
    }
}
