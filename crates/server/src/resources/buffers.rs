//! Limits the memory that the buffers of all connections use together.

use std::cell::Cell;
use std::rc::Rc;

/// A limit on the buffered bytes of all connections, and the bytes currently reserved.
pub struct BufferBudget {
    limit_bytes: usize,
    reserved_bytes: Cell<usize>,
}

impl BufferBudget {
    /// Creates a budget of `limit_bytes` bytes, none of them reserved.
    pub fn new(limit_bytes: usize) -> Rc<Self> {
        Rc::new(Self { limit_bytes, reserved_bytes: Cell::new(0) })
    }

    /// Returns whether connections may read more data. One connection buffers little, but many together could
    /// exceed the available memory.
    pub fn has_capacity(&self) -> bool {
        self.reserved_bytes.get() < self.limit_bytes
    }
}

/// The reservation of one connection, released when it is dropped.
pub struct BufferReservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

impl BufferReservation {
    /// Creates a reservation of 0 bytes.
    pub fn new(budget: Rc<BufferBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Returns the budget that this reservation belongs to.
    pub fn budget(&self) -> &BufferBudget {
        &self.budget
    }

    /// Sets the number of bytes that the connection uses. The total may exceed the limit, because data that
    /// was already read must be kept.
    pub fn resize(&mut self, bytes: usize) {
        let others = self.budget.reserved_bytes.get() - self.bytes;
        self.budget.reserved_bytes.set(others + bytes);
        self.bytes = bytes;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
