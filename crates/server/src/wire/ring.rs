//! The ring buffer of one direction of a connection: nothing at rest, bounded when full.

use std::collections::VecDeque;

/// What an emptied ring may keep for the next message.
const AT_REST: usize = 1024;

#[derive(Debug)]
pub struct Ring {
    bytes: VecDeque<u8>,
    most: usize,
}

impl Ring {
    pub fn new(most: usize) -> Self {
        Self { bytes: VecDeque::new(), most }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn room(&self) -> usize {
        self.most - self.len()
    }

    /// Takes all of it or, where that would pass the bound, nothing.
    #[must_use]
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.room();
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// Brings all that is held into one piece, which is then at the front.
    pub fn straighten(&mut self) {
        self.bytes.make_contiguous();
    }

    /// What lies in one piece: all of it once straightened, else what can be written in one go.
    pub fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    pub fn drop_front(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > AT_REST {
            self.bytes = VecDeque::new();
        }
    }
}
