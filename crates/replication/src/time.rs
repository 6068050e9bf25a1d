//! Units of time.

/// Nanoseconds since the Unix epoch on a monotonic clock; also a duration in nanoseconds.
pub type Nanos = u64;

/// One millisecond in nanoseconds.
pub const MILLISECOND_NS: Nanos = 1_000_000;
/// One second in nanoseconds.
pub const SECOND_NS: Nanos = 1_000_000_000;
