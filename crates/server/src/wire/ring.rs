//! The bounded ring buffer of one direction of a connection; it keeps little memory while it is empty.

use std::collections::VecDeque;

/// Bytes that an emptied ring may keep allocated for the next message.
const EMPTY_CAPACITY_MAX: usize = 1024;

/// Bytes in the order they came, up to a bound.
#[derive(Debug)]
pub struct Ring {
    bytes: VecDeque<u8>,
    bytes_max: usize,
}

impl Ring {
    /// An empty ring for so many bytes.
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes: VecDeque::new(), bytes_max }
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Bytes that it holds.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Bytes that may be added.
    pub fn free(&self) -> usize {
        self.bytes_max - self.len()
    }

    /// Adds all the bytes, or none and returns false where that would pass the bound.
    #[must_use]
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.free();
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// Makes all bytes contiguous, so that `front` returns them all.
    pub fn make_contiguous(&mut self) {
        self.bytes.make_contiguous();
    }

    /// The first contiguous bytes.
    pub fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Removes bytes from the front.
    pub fn drop_front(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > EMPTY_CAPACITY_MAX {
            self.bytes = VecDeque::new();
        }
    }
}
