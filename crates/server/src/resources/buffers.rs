//! Memory that the buffers of all connections may fill together.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that all connections may buffer, and how many are reserved now.
pub struct BufferBudget {
    limit_bytes: usize,
    reserved_bytes: Cell<usize>,
}

impl BufferBudget {
    /// A budget of so many bytes, of which none is reserved.
    pub fn new(limit_bytes: usize) -> Rc<Self> {
        Rc::new(Self { limit_bytes, reserved_bytes: Cell::new(0) })
    }

    /// Whether a connection may read more. Each holds little, but many may hold too much together.
    pub fn has_capacity(&self) -> bool {
        self.reserved_bytes.get() < self.limit_bytes
    }
}

/// The bytes of one connection, given back when it is dropped.
pub struct BufferReservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

impl BufferReservation {
    /// A reservation of no bytes yet.
    pub fn new(budget: Rc<BufferBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// The budget that it is a part of.
    pub fn budget(&self) -> &BufferBudget {
        &self.budget
    }

    /// Sets the bytes that the connection holds. It may go beyond the limit: what was read must be kept.
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
