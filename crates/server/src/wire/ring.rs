//! A ring buffer of limited size for the bytes that are sent or received on a connection. While the buffer is
//! empty, it keeps little memory allocated.

use std::collections::VecDeque;

/// Maximum memory, in bytes, that an empty buffer keeps allocated for the next message.
const EMPTY_CAPACITY_MAX: usize = 1024;

/// A first-in, first-out buffer of bytes with a fixed maximum size.
#[derive(Debug)]
pub struct Ring {
    bytes: VecDeque<u8>,
    bytes_max: usize,
}

impl Ring {
    /// Creates an empty ring buffer that holds at most `bytes_max` bytes.
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes: VecDeque::new(), bytes_max }
    }

    /// Returns whether the buffer contains no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the number of bytes that can still be added to the buffer.
    pub fn free(&self) -> usize {
        self.bytes_max - self.len()
    }

    /// Appends `bytes` to the buffer. If the buffer has no space for all of `bytes`, appends nothing and
    /// returns false.
    #[must_use]
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.free();
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// Makes the bytes in the buffer contiguous in memory, so that `front` returns all bytes.
    pub fn make_contiguous(&mut self) {
        self.bytes.make_contiguous();
    }

    /// Returns the first part of the buffer that is contiguous in memory. After [`Self::make_contiguous`],
    /// this part contains all bytes.
    pub fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Removes the first `count` bytes from the buffer. If the buffer contains fewer bytes, removes all of
    /// them.
    pub fn drop_front(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > EMPTY_CAPACITY_MAX {
            self.bytes = VecDeque::new();
        }
    }
}
