//! Bytes that the standard library's hash maps take, which have no call that tells them.
//!
//! Assumes its present layout (a SwissTable): an array of buckets and one control byte for each, of which at
//! most 7 in 8 are filled, so that `capacity` entries stand in 8/7 as many buckets.

use std::collections::HashMap;

/// Buckets for every 7 entries of a map's capacity.
const BUCKETS_PER_7_ENTRIES: usize = 8;
/// Control bytes behind the last bucket and the rounding of small maps, in bytes.
const FIXED_BYTES: usize = 64;
/// Entries of capacity for each entry held: a map that is full doubles.
const GROWTH: usize = 2;

fn bucket_bytes<K, V>() -> usize {
    size_of::<(K, V)>() + 1
}

/// Most bytes that a map of so many entries takes.
pub(crate) fn map_bytes_max<K, V>(entries: usize) -> usize {
    GROWTH * entries * bucket_bytes::<K, V>() * BUCKETS_PER_7_ENTRIES / 7 + FIXED_BYTES
}

/// Bytes that a map holds now.
pub(crate) fn map_bytes<K, V>(map: &HashMap<K, V>) -> usize {
    map.capacity() * BUCKETS_PER_7_ENTRIES / 7 * bucket_bytes::<K, V>()
}
