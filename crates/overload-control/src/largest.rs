//! The largest of many figures, each of which changes now and then.

use std::collections::BTreeMap;

/// Figures of 0 or more, by their bits, which order as the figures do; and how many have each.
#[derive(Clone, Debug, Default)]
pub struct Largest(BTreeMap<u64, usize>);

impl Largest {
    /// The largest of them, 0 where there are none.
    pub fn get(&self) -> f64 {
        self.0.last_key_value().map_or(0.0, |(bits, _)| f64::from_bits(*bits))
    }

    pub fn add(&mut self, figure: f64) {
        *self.0.entry(figure.to_bits()).or_default() += 1;
    }

    /// One that was added is another now.
    pub fn replace(&mut self, before: f64, now: f64) {
        if let Some(count) = self.0.get_mut(&before.to_bits()) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(&before.to_bits());
            }
        }
        self.add(now);
    }
}

impl FromIterator<f64> for Largest {
    fn from_iter<I: IntoIterator<Item = f64>>(figures: I) -> Self {
        let mut all = Largest::default();
        figures.into_iter().for_each(|figure| all.add(figure));
        all
    }
}
