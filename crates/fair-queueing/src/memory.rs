//! Estimates the memory of the standard library's hash maps, which do not report it.
//!
//! Assumes the current layout of `HashMap` (a SwissTable): an array of buckets with one control byte each. At
//! most 7 of 8 buckets are filled, so a map with capacity for `n` entries has 8/7 `n` buckets.

use std::collections::HashMap;

/// Number of buckets for every 7 entries of a map's capacity.
const BUCKETS_PER_7_ENTRIES: usize = 8;
/// Bytes added for the control bytes after the last bucket and for the rounding up of small maps.
const FIXED_BYTES: usize = 64;
/// Growth factor of a full map: its capacity doubles.
const GROWTH: usize = 2;

fn bucket_bytes<K, V>() -> usize {
    size_of::<(K, V)>() + 1
}

/// Returns the most bytes that a map with this many entries takes.
pub(crate) fn map_bytes_max<K, V>(entries: usize) -> usize {
    GROWTH * entries * bucket_bytes::<K, V>() * BUCKETS_PER_7_ENTRIES / 7 + FIXED_BYTES
}

/// Returns the bytes that a map uses now.
pub(crate) fn map_bytes<K, V>(map: &HashMap<K, V>) -> usize {
    map.capacity() * BUCKETS_PER_7_ENTRIES / 7 * bucket_bytes::<K, V>()
}
