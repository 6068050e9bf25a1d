//! Splits lists of items into parts that each fit into one message.

use crate::counters::CounterRow;
use crate::server_id::ServerId;
use serde::Serialize;

/// Splits `items` into lists. The encoded items of a list have at most `size_max` bytes in total. An item
/// that is larger than `size_max` becomes a list of its own.
pub(crate) fn pack<T: Clone + Serialize>(items: &[T], size_max: usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut part: Vec<T> = Vec::new();
    let mut part_size: usize = 0;
    for item in items {
        let size = encoded_size(item);
        if !part.is_empty() && part_size + size > size_max {
            parts.push(std::mem::take(&mut part));
            part_size = 0;
        }
        part_size += size;
        part.push(item.clone());
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}

/// Splits a counter row into several rows. The encoded counts of a row have at most `size_max` bytes in
/// total. Receivers merge rows key by key. Receiving all parts therefore has the same effect as receiving the
/// whole row.
pub(crate) fn split_row(server: &ServerId, row: &CounterRow, size_max: usize) -> Vec<(ServerId, CounterRow)> {
    let counts: Vec<(&String, &u64)> = row.counts.iter().collect();
    let mut rows = Vec::new();
    for part in pack(&counts, size_max) {
        let counts = part.into_iter().map(|(key, count)| (key.clone(), *count)).collect();
        rows.push((server.clone(), CounterRow { counts }));
    }
    rows
}

fn encoded_size<T: Serialize>(item: &T) -> usize {
    postcard::to_allocvec(item).expect("serializing an item to a vector cannot fail").len()
}
