//! Estimates the memory of the standard library's hash maps, which do not report their memory use.
//!
//! The estimate assumes the current layout of `HashMap` (a SwissTable): an array of buckets with one control
//! byte for each bucket. At most 7 of 8 buckets are filled, so a map with capacity for `n` entries has 8/7
//! `n` buckets.

use std::collections::HashMap;

/// Number of buckets that a hash map has for every 7 entries of its capacity.
const BUCKETS_PER_7_ENTRIES: usize = 8;
/// Bytes added to the memory estimate of a hash map. These bytes cover the control bytes after the last
/// bucket, and the rounding up of small maps.
const FIXED_BYTES: usize = 64;
/// Factor by which the capacity of a full hash map grows when an entry is added.
const GROWTH: usize = 2;

fn bucket_bytes<K, V>() -> usize {
    size_of::<(K, V)>() + 1
}

/// Returns the maximum memory of a hash map with `entries` entries, in bytes. The maximum occurs just after
/// the map has grown.
pub(crate) fn map_bytes_max<K, V>(entries: usize) -> usize {
    GROWTH * entries * bucket_bytes::<K, V>() * BUCKETS_PER_7_ENTRIES / 7 + FIXED_BYTES
}

/// Returns the memory allocated by `map`, in bytes.
pub(crate) fn map_bytes<K, V>(map: &HashMap<K, V>) -> usize {
    map.capacity() * BUCKETS_PER_7_ENTRIES / 7 * bucket_bytes::<K, V>()
}
