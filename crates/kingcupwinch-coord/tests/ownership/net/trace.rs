//! A session told line by line, for golden files.

use kingcupwinch_coord::ownership::Action;
use kingcupwinch_coord::record::OwnerRecord;

use super::{Net, START, local};

impl Net {
    /// Adds a line to the story, at the seconds since the start.
    pub(crate) fn trace_line(&mut self, text: &str) {
        if self.keep_trace {
            let at = (self.now - START).as_secs_f64();
            self.trace.push(format!("{at:7.3} {text}"));
        }
    }

    pub(super) fn trace_action(&mut self, index: usize, action: &Action) {
        let name = self.nodes[index].coord.member().instance.clone();
        match action {
            Action::Gained(owned) => {
                let wait = (owned.effective - local(self.now, self.nodes[index].ppm)).as_millis();
                let (shard, term) = (owned.shard.0, owned.term.0);
                self.trace_line(&format!("{name} gains {shard} at term {term} in {wait} ms"));
            }
            Action::Renewed { shard, term } => {
                self.trace_line(&format!("{name} renews {} at term {}", shard.0, term.0));
            }
            Action::Lost { shard, reason, .. } => {
                self.trace_line(&format!("{name} loses {}: {reason:?}", shard.0));
            }
            Action::Note(note) => {
                let note = format!("{note:?}");
                let kind = note.split(' ').next().unwrap_or_default();
                self.trace_line(&format!("{name} notes {kind}"));
            }
            Action::Stopped => self.trace_line(&format!("{name} stops")),
            Action::Append(_) | Action::Send { .. } => {}
        }
    }

    pub(super) fn trace_record(&mut self, index: usize, record: &OwnerRecord) {
        let name = self.nodes[index].coord.member().instance.clone();
        let offset = self.log.len();
        let what = match record {
            OwnerRecord::Join(_) => "join".to_owned(),
            OwnerRecord::Leave(_) => "leave".to_owned(),
            OwnerRecord::Retire(_) => "retirement".to_owned(),
            OwnerRecord::Claim(claim) => {
                format!(
                    "claim of {} shards, {} voters",
                    claim.shards.len(),
                    claim.voters.len()
                )
            }
            OwnerRecord::Release { shards, .. } => format!("release of {} shards", shards.len()),
            OwnerRecord::HandOver(plan) => format!("hand-over of {} shards", plan.shards.len()),
            OwnerRecord::Snapshot(snapshot) => format!("snapshot up to {}", snapshot.covers.0),
        };
        self.trace_line(&format!("{name} appends {offset}: {what}"));
    }
}
