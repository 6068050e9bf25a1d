//! The largest of many figures, each of which changes now and then.

use std::collections::BTreeMap;

/// How many figures have each value. The bits of figures of 0 or more order as the figures do.
#[derive(Clone, Debug, Default)]
pub struct Largest {
    counts_by_bits: BTreeMap<u64, usize>,
}

impl Largest {
    /// The largest of them, 0 where there are none.
    pub fn get(&self) -> f64 {
        self.counts_by_bits.last_key_value().map_or(0.0, |(bits, _)| f64::from_bits(*bits))
    }

    /// Adds a figure of 0 or more.
    pub fn add(&mut self, figure: f64) {
        *self.counts_by_bits.entry(figure.to_bits()).or_default() += 1;
    }

    /// Replaces one of the figures.
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
    fn from_iter<I: IntoIterator<Item = f64>>(figures: I) -> Self {
        let mut all = Largest::default();
        figures.into_iter().for_each(|figure| all.add(figure));
        all
    }
}
