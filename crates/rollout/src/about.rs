//! What each server of the fleet runs, as every server knows it: the program's version and the hash of the
//! settings it goes by. Each says its own and passes on some of the others'; the later word of a server
//! counts.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Others' words in one message, and longest version in bytes.
pub const RELAYED: usize = 8;
pub const VERSION_MAX: usize = 32;
const NAME_MAX: usize = 64;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    pub name: String,
    pub incarnation: u64,
    /// Grows with each change within an incarnation.
    pub change: u64,
    pub version: String,
    pub settings: u64,
}

impl About {
    fn later_than(&self, other: &About) -> bool {
        (self.incarnation, self.change) > (other.incarnation, other.change)
    }
}

#[derive(Clone, Debug)]
pub struct Abouts {
    me: About,
    known: BTreeMap<String, About>,
    most: usize,
    /// Words with names or versions too long, or beyond the room.
    pub refused: u64,
}

impl Abouts {
    /// Remembers `most` others at most.
    pub fn new(me: About, most: usize) -> Abouts {
        Abouts { me, known: BTreeMap::new(), most, refused: 0 }
    }

    pub fn me(&self) -> &About {
        &self.me
    }

    /// This server goes by other settings from now on.
    pub fn changed(&mut self, settings: u64) {
        if self.me.settings != settings {
            (self.me.settings, self.me.change) = (settings, self.me.change + 1);
        }
    }

    /// Its own word, and that of up to [`RELAYED`] others, from the one that `draw` picks on.
    pub fn tell(&self, draw: u64) -> Vec<About> {
        let start = if self.known.is_empty() { 0 } else { (draw % self.known.len() as u64) as usize };
        let others = self.known.values().cycle().skip(start).take(RELAYED.min(self.known.len()));
        std::iter::once(&self.me).chain(others).cloned().collect()
    }

    pub fn hear(&mut self, words: Vec<About>) {
        for word in words.into_iter().take(RELAYED + 1) {
            let fits = (1..=NAME_MAX).contains(&word.name.len()) && word.version.len() <= VERSION_MAX;
            let known = self.known.get(&word.name);
            let room = known.is_some() || self.known.len() < self.most;
            if word.name == self.me.name {
                continue;
            }
            if !fits || !room {
                self.refused += 1;
            } else if known.is_none_or(|known| word.later_than(known)) {
                self.known.insert(word.name.clone(), word);
            }
        }
    }

    /// Those not in the view any more are forgotten.
    pub fn keep(&mut self, mut stays: impl FnMut(&str) -> bool) {
        self.known.retain(|name, _| stays(name));
    }

    pub fn of(&self, name: &str) -> Option<&About> {
        if name == self.me.name { Some(&self.me) } else { self.known.get(name) }
    }
}

#[cfg(test)]
mod tests;
