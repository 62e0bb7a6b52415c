//! Simulated log service and instance list.

use std::collections::BTreeSet;
use std::sync::Arc;

use kingcupwinch_coord::id::Offset;
use kingcupwinch_coord::ownership::Event;
use kingcupwinch_coord::ownership::message::StreamRecord;
use kingcupwinch_coord::record::{OwnerRecord, Stamped};
use kingcupwinch_time::{Span, Time};
use rand::Rng;

use super::{Net, Step, local};

const POLL_STEP: Span = Span::from_millis(20);
const REPLY_TIMEOUT: Span = Span::from_millis(800);
const READ_PAUSE: Span = Span::from_millis(100);
const LIST_INTERVAL: Span = Span::from_millis(1_000);
const LIST_DELAY: Span = Span::from_millis(3_000);
/// Maximum number of records in one reply.
const MAX_PAGE_RECORDS: usize = 100;

impl Net {
    pub(super) fn send_append(&mut self, index: usize, record: Stamped<OwnerRecord>) {
        self.nodes[index].appends += 1;
        self.nodes[index].unacked.insert(record.id.0);
        let timeout = Step::AppendTimeout {
            record: record.clone(),
        };
        self.push(self.now + REPLY_TIMEOUT, index, timeout);
        if self.nodes[index].log_cut {
            return;
        }
        let (least, most) = self.append_delay;
        let at = self.now + self.random_delay(most).max(least);
        self.push(at, index, Step::AppendArrives { record });
    }

    pub(super) fn append_arrives(&mut self, index: usize, record: Stamped<OwnerRecord>) {
        if self.log_down {
            return;
        }
        let id = record.id;
        self.trace_record(index, &record.body);
        self.log.push(Some(record));
        if self.lose_replies || self.is_lost() || !self.nodes[index].alive {
            return;
        }
        let at = self.now + self.random_delay(self.delay);
        let event = Event::AppendAcked { id };
        self.push(at, index, Step::Deliver { event });
    }

    pub(super) fn send_read(&mut self, index: usize) {
        let read = self.nodes[index].read;
        let sent = local(self.now, self.nodes[index].ppm);
        let at = self.now + self.random_delay(self.delay);
        let until = at + self.poll;
        let arrives = Step::ReadArrives { read, sent, until };
        self.push(at, index, arrives);
        let timeout = self.now + REPLY_TIMEOUT;
        self.push(timeout, index, Step::ReadTimeout { read });
    }

    pub(super) fn read_arrives(&mut self, index: usize, read: u64, sent: Time, until: Time) {
        if self.log_down || self.nodes[index].log_cut {
            return;
        }
        let from = self.nodes[index].coord.next_offset().0 as usize;
        let is_empty = from >= self.log.len();
        if is_empty && self.now < until {
            let step = Step::ReadArrives { read, sent, until };
            self.push(self.now + POLL_STEP, index, step);
            return;
        }
        if self.is_lost() {
            return;
        }
        let event = self.answer_read(from, sent);
        let at = self.now + self.random_delay(self.delay);
        self.push(at, index, Step::ReadAnswer { read, event });
    }

    pub(super) fn answer_read(&self, from: usize, sent: Time) -> Event {
        let begin = from.max(self.first);
        let records: Vec<StreamRecord> = (begin..self.log.len())
            .map(|offset| (Offset(offset as u64), self.log[offset].clone()))
            .take(MAX_PAGE_RECORDS)
            .collect();
        Event::Read {
            sent,
            first: Offset(self.first as u64),
            tail: Offset(self.log.len() as u64),
            records,
        }
    }

    pub(super) fn read_timeout(&mut self, index: usize, read: u64) {
        if self.nodes[index].read == read {
            self.handle(index, Event::ReadFailed);
            self.next_read(index, read, READ_PAUSE);
        }
    }

    pub(super) fn next_read(&mut self, index: usize, read: u64, pause: Span) {
        if self.nodes[index].read == read {
            self.nodes[index].read += 1;
            self.push(self.now + pause, index, Step::SendRead);
        }
    }

    pub(super) fn ask_list(&mut self, index: usize) {
        self.push(self.now + LIST_INTERVAL, index, Step::AskList);
        if self.nodes[index].log_cut {
            return;
        }
        let left_out = (self.flaky_list && self.rng.random_bool(0.5))
            .then(|| self.rng.random_range(0..self.nodes.len()));
        let live: BTreeSet<Arc<str>> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| Some(*other) != left_out)
            .filter(|(_, node)| node.died.is_none_or(|died| died + LIST_DELAY > self.now))
            .map(|(_, node)| node.coord.member().instance.clone())
            .collect();
        let event = Event::InstanceList {
            sent: local(self.now, self.nodes[index].ppm),
            live: live.into_iter().collect(),
            leaving: Vec::new(),
        };
        self.handle(index, event);
    }
}
