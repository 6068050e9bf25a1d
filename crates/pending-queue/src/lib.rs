//! The hold of a server: what was let in and waits for a core, indexed by all that is asked of it.
//!
//! A [`Hold`] keeps [`Entry`]s in one [`line::Line`] a rank, ordered as they will run, and beside them the
//! time each is wanted by, an operation at a time. It decides nothing: the module asks what runs next, what
//! is due next, who is the least worthy, how much work stands in it, and which entry is the first that
//! cannot be done in time. None of these walks all entries; `docs/hold.md` gives the costs.
//! Times are nanoseconds of one clock that never goes back; work is nanoseconds of one core.

pub mod line;
pub mod table;

use line::{Line, Pace};
use std::collections::{BTreeMap, BTreeSet};

pub type Nanos = u64;

/// One that waits. All of it is given back at its removal, since its place is found by it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    /// Counts arrivals: a later one has a higher number, and no two have the same.
    pub seq: u64,
    /// Where the owner keeps it.
    pub key: usize,
    /// Its name to others; of entries equal in all else the lower one runs first.
    pub id: u64,
    pub operation: usize,
    /// Higher ranks run first.
    pub rank: usize,
    /// Start tag of fair order within the rank: the lower one runs first. All alike where no tenants are.
    pub tag: u64,
    /// It was promised its place: it makes room only where all others have.
    pub promised: bool,
    pub arrived: Nanos,
    /// Until when its answer is of use; of entries with the same tag the earlier one runs first.
    pub wanted: Nanos,
    /// Its cost as a ratio to the usual one of its operation.
    pub size: f64,
}

/// What is learned of an operation: usual time on a core, and from start to end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    pub work: f64,
    pub whole: f64,
}

/// What a server can do now, as far as the hold's questions need it.
#[derive(Clone, Debug, Default)]
pub struct Able {
    /// By operation.
    pub usual: Vec<Usual>,
    /// Runs that go on side by side, 1 or more.
    pub limit: f64,
    /// Places on the cores that nobody has.
    pub free: usize,
}

#[derive(Debug, Default)]
pub struct Hold {
    lines: Vec<Line>,
    /// What is wanted first, and when it came, by operation: only those of which something waits, so that the
    /// time of a question does not grow with how many there are.
    wanted: BTreeMap<usize, BTreeSet<(Nanos, u64, usize)>>,
    /// Found to be due and not removed yet, by arrival.
    overdue: BTreeSet<(u64, usize)>,
    /// Some are known to be due before others were looked for.
    hurries: bool,
    pace: Pace,
    len: usize,
    looked: u64,
}

impl Hold {
    /// For ranks from 0 to one under `ranks`, and as many operations.
    pub fn new(ranks: usize, operations: usize) -> Self {
        Self {
            lines: (0..ranks).map(|_| Line::new()).collect(),
            pace: Pace::new(operations),
            ..Self::default()
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn insert(&mut self, entry: Entry) {
        self.len += 1;
        self.wanted.entry(entry.operation).or_default().insert((entry.wanted, entry.seq, entry.key));
        self.lines[entry.rank].insert(entry, &self.pace);
    }

    /// False where it was not in the hold.
    pub fn remove(&mut self, entry: &Entry) -> bool {
        let found = self.lines[entry.rank].remove(entry, &self.pace);
        if found {
            self.len -= 1;
            self.forget_wanted(entry);
            self.overdue.remove(&(entry.seq, entry.key));
        }
        found
    }

    fn forget_wanted(&mut self, entry: &Entry) {
        let Some(set) = self.wanted.get_mut(&entry.operation) else { return };
        set.remove(&(entry.wanted, entry.seq, entry.key));
        if set.is_empty() {
            self.wanted.remove(&entry.operation);
        }
    }

    /// This one is due whatever it is wanted by.
    pub fn hurry(&mut self, entry: &Entry) {
        self.overdue.insert((entry.seq, entry.key));
        self.hurries = true;
    }

    /// What runs next.
    pub fn next(&self) -> Option<&Entry> {
        self.lines.iter().rev().find_map(Line::first)
    }

    /// What runs next among these operations; where there is one, it walks what runs before it.
    pub fn next_of(&self, operation: impl Fn(usize) -> bool) -> Option<&Entry> {
        self.wanted.keys().find(|op| operation(**op))?;
        self.iter().find(|entry| operation(entry.operation))
    }

    /// The earliest of what is wanted, by operation; `last_chance` turns it into when it must be given up.
    pub fn next_due(&self, last_chance: impl Fn(usize, Nanos) -> Nanos) -> Option<Nanos> {
        let firsts = self.wanted.iter().filter_map(|(op, set)| Some((*op, set.first()?.0)));
        firsts.map(|(op, wanted)| last_chance(op, wanted)).min()
    }

    /// Of all whose last chance has passed by `now` the one that came first. `last_chance` must grow with
    /// what is wanted, and stand still until all that are due have been removed.
    pub fn first_due(
        &mut self,
        now: Nanos,
        last_chance: impl Fn(usize, Nanos) -> Nanos,
    ) -> Option<(u64, usize)> {
        if self.overdue.is_empty() || std::mem::take(&mut self.hurries) {
            for (op, set) in &self.wanted {
                let due = set.iter().take_while(|(wanted, ..)| last_chance(*op, *wanted) <= now);
                self.overdue.extend(due.map(|(_, seq, key)| (*seq, *key)));
            }
        }
        self.overdue.first().copied()
    }

    /// Of the lowest rank the one furthest ahead of its share, of equals the one that came last; those that
    /// were promised their place after all others.
    pub fn least_worthy(&self) -> Option<usize> {
        self.lines.iter().find_map(Line::newest)
    }

    /// Usual work of all that waits, on one core.
    pub fn work(&self, usual: &[Usual]) -> f64 {
        self.lines.iter().map(|line| line.work(usual)).sum()
    }

    /// Usual work that runs before this entry, which need not be in the hold.
    pub fn work_ahead(&self, entry: &Entry, usual: &[Usual]) -> f64 {
        let above: f64 = self.lines[entry.rank + 1..].iter().map(|line| line.work(usual)).sum();
        above + self.lines[entry.rank].work_before(entry, usual)
    }

    /// Goes to the first entry, in the order they will run, that would end after it is wanted though it is
    /// not among the next that find a free core. Of those up to it in its rank, which is the lowest among
    /// them, the one furthest ahead of its share, of equals the one that arrived last, is to make room.
    pub fn to_make_room(&mut self, now: Nanos, able: &Able) -> Option<usize> {
        if self.len <= able.free {
            return None;
        }
        if self.pace.follow(able) {
            self.looked += self.len as u64;
            self.lines.iter_mut().for_each(|line| line.refresh(&self.pace));
        }
        let (mut ahead, mut before) = (0.0, 0);
        for line in self.lines.iter().rev() {
            let (place, looked) = line.first_late(now, ahead, before, able, &self.pace);
            self.looked += looked;
            if let Some(place) = place {
                return line.latest_up_to(place);
            }
            ahead += line.work(&able.usual);
            before += line.len();
        }
        None
    }

    /// Sums and entries that all questions for room have looked at since the start: their cost, for tests.
    pub fn looked(&self) -> u64 {
        self.looked
    }

    /// Entries in the order they will run.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.lines.iter().rev().flat_map(Line::iter)
    }
}
