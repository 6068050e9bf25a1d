//! Names that have been seen, and since when: a table of small marks of their prints, sixteen to a row. A
//! mark that has proved itself is not driven out by a crowd of new ones, only by time.

use crate::{Nanos, Print};

const ROW: usize = 16;
/// Times are kept in steps of a quarter of a second.
const STEP: Nanos = 250_000_000;
/// Times seen are counted up to here; 0 stands for a free place.
const SEEN_MAX: u16 = 15;
/// A known mark may be driven out when it has not been seen for so many steps, any other at once.
const KEPT: u16 = 1200;

#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    print: u32,
    first: u16,
    /// The last step in twelve bits, and times seen in four.
    last: u16,
}

impl Mark {
    fn times(self) -> u16 {
        self.last & 0xf
    }

    fn unused(self, here: u16) -> u16 {
        (here & 0xfff).wrapping_sub(self.last >> 4) & 0xfff
    }
}

/// What is known of a print's visits before this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub times: u8,
    pub known_for: Nanos,
}

#[derive(Debug)]
pub struct Known {
    rows: Vec<[Mark; ROW]>,
    /// Times after which a mark has proved itself.
    proved: u16,
}

impl Known {
    pub fn new(marks: usize, proved: u8) -> Self {
        let rows = vec![[Mark::default(); ROW]; Self::rows(marks)];
        Self { rows, proved: u16::from(proved) }
    }

    fn rows(marks: usize) -> usize {
        marks.div_ceil(ROW).next_power_of_two()
    }

    pub fn ceiling(marks: usize) -> usize {
        Self::rows(marks) * size_of::<[Mark; ROW]>()
    }

    pub fn bytes(&self) -> usize {
        self.rows.capacity() * size_of::<[Mark; ROW]>()
    }

    /// Notes a visit, and tells what was known before it.
    pub fn visit(&mut self, print: Print, now: Nanos) -> Seen {
        let here = (now / STEP) as u16;
        let rows = self.rows.len();
        let row = &mut self.rows[(print >> 32) as usize % rows];
        let mark = (print as u32) | 1;
        let last = |times: u16| (here & 0xfff) << 4 | times.min(SEEN_MAX);
        let found = row.iter_mut().find(|each| each.print == mark && each.times() > 0);
        if let Some(each) = found.filter(|each| each.unused(here) <= KEPT) {
            let known_for = Nanos::from(here.wrapping_sub(each.first)) * STEP;
            let seen = Seen { times: each.times() as u8, known_for };
            each.last = last(each.times() + 1);
            return seen;
        }
        let proved = self.proved;
        // The least proved goes, of equals the one unused for longest; a proved one only when it is old.
        let worth = |each: &&mut Mark| (each.times().min(proved), !each.unused(here));
        let least = row.iter_mut().min_by_key(worth);
        let may_go = |each: &&mut Mark| each.times() < proved || each.unused(here) > KEPT;
        if let Some(each) = least.filter(may_go) {
            *each = Mark { print: mark, first: here, last: last(1) };
        }
        Seen::default()
    }
}
