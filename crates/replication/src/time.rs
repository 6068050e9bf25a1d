//! Units of time.

/// A time in nanoseconds since the Unix epoch, read from a clock that never goes back, or a duration in
/// nanoseconds.
pub type Nanos = u64;

/// One millisecond in nanoseconds.
pub const MILLISECOND_NS: Nanos = 1_000_000;
/// One second in nanoseconds.
pub const SECOND_NS: Nanos = 1_000_000_000;
