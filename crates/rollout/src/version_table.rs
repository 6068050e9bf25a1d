//! Program version and settings hash of each server, replicated to every server. Each server announces its
//! own entry and relays some entries of others. Of two entries for the same server, the later one replaces
//! the other.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of entries of other servers in one announcement.
pub const RELAYED_MAX: usize = 8;
/// Maximum length of a version, in bytes.
pub const VERSION_BYTES_MAX: usize = 32;
/// Maximum length of a server's name, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// Entry of one server: its program version and the settings in use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerVersion {
    /// Name of the server.
    pub name: String,
    /// Incarnation of the server, which identifies one start of its process.
    pub incarnation: u64,
    /// Number of changes of the settings within the incarnation.
    pub sequence: u64,
    /// Version of the running program.
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

/// The entries that a server has received, and its own.
#[derive(Clone, Debug)]
pub struct VersionTable {
    own: ServerVersion,
    /// Entries of the other servers, by server name.
    others: BTreeMap<String, ServerVersion>,
    others_max: usize,
    /// Number of entries rejected because the name was empty, the name or version was too long, or the table
    /// was full.
    pub rejected: u64,
}

impl VersionTable {
    /// Creates a table that contains the server's own entry and holds at most `others_max` entries of others.
    pub fn new(own: ServerVersion, others_max: usize) -> VersionTable {
        VersionTable { own, others: BTreeMap::new(), others_max, rejected: 0 }
    }

    /// Returns the entry of this server.
    pub fn own(&self) -> &ServerVersion {
        &self.own
    }

    /// Sets the hash of the settings now in use on this server, and increments the sequence number if the
    /// hash changed.
    pub fn set_settings(&mut self, settings_hash: u64) {
        if self.own.settings_hash != settings_hash {
            self.own.settings_hash = settings_hash;
            self.own.sequence += 1;
        }
    }

    /// Returns the entries to send to another server: this server's entry and up to [`RELAYED_MAX`] entries
    /// of other servers in the order of their names, starting at the one selected by the random number
    /// `draw`.
    pub fn announcement(&self, draw: u64) -> Vec<ServerVersion> {
        let count = self.others.len();
        let start = if count == 0 { 0 } else { (draw % count as u64) as usize };
        let relayed = self.others.values().cycle().skip(start).take(RELAYED_MAX.min(count));
        std::iter::once(&self.own).chain(relayed).cloned().collect()
    }

    /// Merges the entries of an announcement. Entries for this server are ignored.
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

    /// Removes the entries of other servers for which `keep` returns false, for example servers that left the
    /// fleet's view.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.others.retain(|name, _| keep(name));
    }

    /// Returns the entry of a server, which may be this one.
    pub fn get(&self, name: &str) -> Option<&ServerVersion> {
        if name == self.own.name { Some(&self.own) } else { self.others.get(name) }
    }
}

#[cfg(test)]
mod tests;
