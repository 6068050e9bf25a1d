//! A bounded ring buffer for one direction of a connection. It frees most of its memory while it is empty.

use std::collections::VecDeque;

/// Maximum capacity, in bytes, that an empty ring keeps allocated for the next message.
const EMPTY_CAPACITY_MAX: usize = 1024;

/// A first-in, first-out buffer of bytes with a maximum size.
#[derive(Debug)]
pub struct Ring {
    bytes: VecDeque<u8>,
    bytes_max: usize,
}

impl Ring {
    /// Creates an empty ring for at most `bytes_max` bytes.
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes: VecDeque::new(), bytes_max }
    }

    /// Returns whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes in the ring.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the number of bytes that can be added.
    pub fn free(&self) -> usize {
        self.bytes_max - self.len()
    }

    /// Appends all the bytes. Returns false and adds none if they do not fit.
    #[must_use]
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.free();
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// Makes the contents contiguous, so that `front` returns all bytes.
    pub fn make_contiguous(&mut self) {
        self.bytes.make_contiguous();
    }

    /// Returns the first contiguous bytes.
    pub fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Removes up to `count` bytes from the front.
    pub fn drop_front(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > EMPTY_CAPACITY_MAX {
            self.bytes = VecDeque::new();
        }
    }
}
