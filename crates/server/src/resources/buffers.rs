//! Limits the total memory that the buffers of all connections use.

use std::cell::Cell;
use std::rc::Rc;

/// Limit on the total memory for buffers of connections, and the number of bytes that the connections have
/// reserved.
pub struct BufferBudget {
    limit_bytes: usize,
    reserved_bytes: Cell<usize>,
}

impl BufferBudget {
    /// Creates a budget with a limit of `limit_bytes` bytes and no reservations.
    pub fn new(limit_bytes: usize) -> Rc<Self> {
        Rc::new(Self { limit_bytes, reserved_bytes: Cell::new(0) })
    }

    /// Returns whether connections may read more data, because the total of the reserved bytes is below the
    /// limit. A single connection buffers little, but many connections together could use too much memory.
    pub fn has_capacity(&self) -> bool {
        self.reserved_bytes.get() < self.limit_bytes
    }
}

/// Number of bytes that one connection has reserved in the budget. The bytes are released when the
/// reservation is dropped.
pub struct BufferReservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

impl BufferReservation {
    /// Creates a reservation of 0 bytes in the budget `budget`.
    pub fn new(budget: Rc<BufferBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Returns the budget in which this reservation is counted.
    pub fn budget(&self) -> &BufferBudget {
        &self.budget
    }

    /// Sets the size of the reservation to `bytes`. The reservations may exceed the budget's limit, because
    /// data that a connection has already read must be kept.
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
