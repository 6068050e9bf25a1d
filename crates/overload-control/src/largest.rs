//! A collection of changing values whose largest value can be read at any time.

use std::collections::BTreeMap;

/// A multiset of non-negative numbers: the number of occurrences of each value, by the bit pattern of the
/// value. The bit patterns of non-negative floating-point numbers have the same order as the numbers.
#[derive(Clone, Debug, Default)]
pub struct Largest {
    counts_by_bits: BTreeMap<u64, usize>,
}

impl Largest {
    /// Returns the largest value, or 0 if the multiset is empty.
    pub fn get(&self) -> f64 {
        self.counts_by_bits.last_key_value().map_or(0.0, |(bits, _)| f64::from_bits(*bits))
    }

    /// Adds a non-negative value.
    pub fn add(&mut self, value: f64) {
        *self.counts_by_bits.entry(value.to_bits()).or_default() += 1;
    }

    /// Removes one occurrence of `before` and adds one of `after`.
    pub fn replace(&mut self, before: f64, after: f64) {
        if let Some(count) = self.counts_by_bits.get_mut(&before.to_bits()) {
            *count -= 1;
            if *count == 0 {
                self.counts_by_bits.remove(&before.to_bits());
            }
        }
        self.add(after);
    }
}

impl FromIterator<f64> for Largest {
    fn from_iter<I: IntoIterator<Item = f64>>(values: I) -> Self {
        let mut all = Largest::default();
        values.into_iter().for_each(|value| all.add(value));
        all
    }
}
