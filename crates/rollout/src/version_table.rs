//! What each server of the fleet runs, as every server knows it: the version of the program and the hash of
//! the settings in force. Each server announces its own entry and passes on some of the others'; of two
//! entries of one server the later one holds.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Entries of other servers in one announcement, at most.
pub const RELAYED_MAX: usize = 8;
/// Longest version, in bytes.
pub const VERSION_BYTES_MAX: usize = 32;
const NAME_BYTES_MAX: usize = 64;

/// What one server runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerVersion {
    /// The server's name.
    pub name: String,
    /// The server's incarnation: one start of its process.
    pub incarnation: u64,
    /// Counts the changes of settings within the incarnation.
    pub sequence: u64,
    /// Version of the program.
    pub version: String,
    /// Hash of the settings in force.
    pub settings_hash: u64,
}

impl ServerVersion {
    fn is_later_than(&self, other: &ServerVersion) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    fn has_valid_lengths(&self) -> bool {
        (1..=NAME_BYTES_MAX).contains(&self.name.len()) && self.version.len() <= VERSION_BYTES_MAX
    }
}

/// The entries that one server knows.
#[derive(Clone, Debug)]
pub struct VersionTable {
    own: ServerVersion,
    /// Entries of the other servers, by name.
    others: BTreeMap<String, ServerVersion>,
    others_max: usize,
    /// Entries rejected because a name or version was too long, or the table was full.
    pub rejected: u64,
}

impl VersionTable {
    /// A table with this server's own entry and none of at most `others_max` others.
    pub fn new(own: ServerVersion, others_max: usize) -> VersionTable {
        VersionTable { own, others: BTreeMap::new(), others_max, rejected: 0 }
    }

    /// This server's own entry.
    pub fn own(&self) -> &ServerVersion {
        &self.own
    }

    /// Notes the settings that are in force on this server from now on.
    pub fn set_settings(&mut self, settings_hash: u64) {
        if self.own.settings_hash != settings_hash {
            self.own.settings_hash = settings_hash;
            self.own.sequence += 1;
        }
    }

    /// The entries to send to another server: its own, and up to [`RELAYED_MAX`] others in the order of their
    /// names, beginning at the one that `draw` picks.
    pub fn announcement(&self, draw: u64) -> Vec<ServerVersion> {
        let count = self.others.len();
        let start = if count == 0 { 0 } else { (draw % count as u64) as usize };
        let relayed = self.others.values().cycle().skip(start).take(RELAYED_MAX.min(count));
        std::iter::once(&self.own).chain(relayed).cloned().collect()
    }

    /// Merges the entries that another server has announced.
    pub fn merge(&mut self, announcement: Vec<ServerVersion>) {
        for entry in announcement.into_iter().take(RELAYED_MAX + 1) {
            if entry.name != self.own.name {
                self.merge_entry(entry);
            }
        }
    }

    fn merge_entry(&mut self, entry: ServerVersion) {
        let known = self.others.get(&entry.name);
        let has_capacity = known.is_some() || self.others.len() < self.others_max;
        if !entry.has_valid_lengths() || !has_capacity {
            self.rejected += 1;
        } else if known.is_none_or(|known| entry.is_later_than(known)) {
            self.others.insert(entry.name.clone(), entry);
        }
    }

    /// Forgets the other servers that the predicate does not hold for, such as those that left the view.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.others.retain(|name, _| keep(name));
    }

    /// The entry of a server, this one included.
    pub fn get(&self, name: &str) -> Option<&ServerVersion> {
        if name == self.own.name { Some(&self.own) } else { self.others.get(name) }
    }
}

#[cfg(test)]
mod tests;
