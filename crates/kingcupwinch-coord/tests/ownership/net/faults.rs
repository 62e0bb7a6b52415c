//! Fault injection and recovery.

use kingcupwinch_coord::record::{OwnerRecord, Stamped};
use kingcupwinch_time::{Span, Time};

use super::{APPEND_DELAY, Net};

impl Net {
    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.nodes[node].died = Some(self.now);
    }

    /// Crashes an instance and restarts it as a new incarnation.
    pub(crate) fn restart(&mut self, node: usize) -> usize {
        self.kill(node);
        let instance = self.nodes[node].coord.member().instance.clone();
        self.start(&instance, 1)
    }

    pub(crate) fn pause(&mut self, node: usize, span: Span) {
        self.nodes[node].paused = self.now + span;
    }

    pub(crate) fn cut(&mut self, a: usize, b: usize) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    /// Drops all messages from `a` to `b`, but not those in the opposite direction.
    pub(crate) fn cut_one_way(&mut self, a: usize, b: usize) {
        self.cuts.insert((a, b));
    }

    /// Cuts the links between a node and all others.
    pub(crate) fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.cut(node, other);
        }
    }

    /// Restores all links between nodes.
    pub(crate) fn reconnect(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn heal(&mut self) {
        self.reconnect();
        self.log_down = false;
        self.lose_replies = false;
        self.loss = 0;
        self.flaky_list = false;
        self.delay = Span::from_millis(3);
        self.append_delay = APPEND_DELAY;
        for node in &mut self.nodes {
            node.log_cut = false;
            node.paused = Time::ZERO;
        }
    }

    /// Appends a record, or undecodable bytes, on behalf of another writer.
    pub(crate) fn append_raw(&mut self, record: Option<Stamped<OwnerRecord>>) {
        self.log.push(record);
    }
}
