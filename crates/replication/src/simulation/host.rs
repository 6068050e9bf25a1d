//! The simulated host of a member: the program that runs the member's state machine. The host advances the
//! member, writes its state to disk and applies revisions. It also checks two invariants: a host never
//! applies an older revision after a newer one, and a revision number never has two different contents.

use super::event::Event;
use super::node::Disk;
use super::{AppliedRevision, Fleet, member_name};
use crate::snapshot::Snapshot;
use crate::time::MILLISECOND_NS;

impl Fleet {
    /// Processes an event.
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::View => self.update_view(),
            Event::Message { to, from, body } => {
                let Some(member) = &mut self.nodes[to].member else { return };
                member.receive(self.now, &member_name(from), &body);
                self.run_host(to);
            }
            Event::Due { node, incarnation } => self.on_due(node, incarnation),
            Event::Applied { node, incarnation, snapshot } => {
                if self.nodes[node].incarnation == incarnation {
                    self.on_applied(node, *snapshot);
                }
            }
        }
    }

    /// Advances a node's member at its due time. Does nothing if the node was restarted or its due time was
    /// changed after the event was scheduled.
    fn on_due(&mut self, index: usize, incarnation: u64) {
        let node = &mut self.nodes[index];
        if node.incarnation != incarnation || node.due != self.now {
            return;
        }
        let Some(member) = &mut node.member else { return };
        node.due = crate::Nanos::MAX;
        let view = self.views.get(&node.group).cloned().unwrap_or_default();
        member.advance(self.now, &view);
        self.run_host(index);
    }

    /// Performs the host's work after an event at its member. Writes the member's state to disk, starts
    /// applying a revision, sends messages, and schedules the next call of the member.
    pub(super) fn run_host(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(member) = &mut node.member else { return };
        while let Some(state) = member.unsaved_state() {
            if node.is_disk_full {
                member.on_persist_failed();
                break;
            }
            member.on_persisted(&state, now);
            node.disk = Some(Disk::Complete(state));
        }
        let to_apply = member.next_to_apply();
        let outgoing = member.take_outgoing();
        let due = member.next_due().max(now + MILLISECOND_NS);
        let incarnation = node.incarnation;
        let is_sooner = due < node.due || node.due <= now;
        if is_sooner {
            node.due = due;
        }
        if let Some(snapshot) = to_apply {
            let snapshot = Box::new(snapshot);
            self.schedule(self.layout.apply_time, Event::Applied { node: index, incarnation, snapshot });
        }
        if is_sooner {
            self.schedule(due - now, Event::Due { node: index, incarnation });
        }
        for message in outgoing {
            self.send(index, message);
        }
    }

    /// Called when the host has finished checking a revision. Writes and applies the revision, or rejects it.
    fn on_applied(&mut self, index: usize, snapshot: Snapshot) {
        let node = &mut self.nodes[index];
        let Some(member) = &mut node.member else { return };
        let number = snapshot.number();
        let unknown_key = node.rejected_prefix.as_ref().and_then(|prefix| {
            let mut keys = snapshot.state.iter().map(|(key, _)| key);
            keys.find(|key| key.starts_with(prefix.as_str()))
        });
        if let Some(key) = unknown_key {
            member.on_rejected(number, &format!("unknown element {key:?}"), self.now);
        } else if node.is_disk_full {
            member.on_rejected(number, "the disk is full", self.now);
        } else {
            let highest = node.highest_applied;
            assert!(number >= highest, "s{index} applied revision {number} after revision {highest}");
            node.highest_applied = number;
            node.disk = Some(Disk::Complete(member.state_to_persist(&snapshot)));
            member.on_applied(number, self.now);
            let content = *self.contents.entry(number).or_insert(snapshot.revision.hash);
            assert_eq!(content, snapshot.revision.hash, "two different contents for revision {number}");
            if number > highest {
                self.applied.push(AppliedRevision { at: self.now, node: index, number });
            }
        }
        self.run_host(index);
    }
}
