//! Table of the program version and settings hash of each server. Every server keeps a copy of the table.
//! Each server announces its own entry and passes on some entries of other servers. If there are two entries
//! for one server, the later entry replaces the earlier one.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of entries of other servers in one announcement. The sender's own entry is not counted.
pub const RELAYED_MAX: usize = 8;
/// Maximum length of a program version, in bytes.
pub const VERSION_BYTES_MAX: usize = 32;
/// Maximum length of a server's name, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// Entry of one server in the version table, with the server's program version and settings hash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerVersion {
    /// Name of the server.
    pub name: String,
    /// Incarnation of the server. The incarnation is a number that identifies one start of the server's
    /// process.
    pub incarnation: u64,
    /// Number of times that the server's settings have changed since its process started.
    pub sequence: u64,
    /// Version of the program that the server runs.
    pub version: String,
    /// Hash of the settings in use.
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

/// Table of the versions of all servers: this server's own entry, and the entries received from other
/// servers.
#[derive(Clone, Debug)]
pub struct VersionTable {
    own: ServerVersion,
    /// Entries of the other servers, by server name.
    others: BTreeMap<String, ServerVersion>,
    others_max: usize,
    /// Number of received entries that were rejected. An entry is rejected if its name is empty, if its name
    /// or version is too long, or if the table is full.
    pub rejected: u64,
}

impl VersionTable {
    /// Creates a table with the server's own entry. The table holds at most `others_max` entries of other
    /// servers.
    pub fn new(own: ServerVersion, others_max: usize) -> VersionTable {
        VersionTable { own, others: BTreeMap::new(), others_max, rejected: 0 }
    }

    /// Returns the entry of this server.
    pub fn own(&self) -> &ServerVersion {
        &self.own
    }

    /// Sets the hash of the settings that this server uses now. Increments the sequence number if the hash
    /// has changed.
    pub fn set_settings(&mut self, settings_hash: u64) {
        if self.own.settings_hash != settings_hash {
            self.own.settings_hash = settings_hash;
            self.own.sequence += 1;
        }
    }

    /// Returns the entries to send to another server: this server's entry and up to [`RELAYED_MAX`] entries
    /// of other servers. The random number `draw` selects the other server with which the list begins. The
    /// following entries are in the order of server names, and the first name follows the last name.
    pub fn announcement(&self, draw: u64) -> Vec<ServerVersion> {
        let count = self.others.len();
        let start = if count == 0 { 0 } else { (draw % count as u64) as usize };
        let relayed = self.others.values().cycle().skip(start).take(RELAYED_MAX.min(count));
        std::iter::once(&self.own).chain(relayed).cloned().collect()
    }

    /// Merges the entries of a received announcement into the table. Entries for this server are ignored.
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

    /// Removes the entries of other servers for which `keep` returns false. For example, the caller removes
    /// servers that have left the fleet's view.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.others.retain(|name, _| keep(name));
    }

    /// Returns the entry of the server called `name`, which may be this server; `None` if there is no entry.
    pub fn get(&self, name: &str) -> Option<&ServerVersion> {
        if name == self.own.name { Some(&self.own) } else { self.others.get(name) }
    }
}

#[cfg(test)]
mod tests;
