//! The load that is advertised with answers.

use crate::Advertisement;

/// What the advertised load depends on.
pub struct LoadInputs {
    /// Whether callers should still send.
    pub wants_arrivals: bool,
    /// Share of the control period in which arrivals of the lowest rank are rejected, from 0 to 1: by the
    /// regulator, for a flood or for ill health.
    pub lowest_rank_refusal_ratio: f64,
    /// Share of its full speed that the server has reached.
    pub speed_ratio: f64,
    /// Runs that go on side by side.
    pub concurrency_limit: f64,
}

/// The load that was advertised last.
#[derive(Default)]
pub struct AdvertisedLoad {
    last: Option<f64>,
}

impl AdvertisedLoad {
    /// The load to advertise; `None` where it has not changed.
    pub fn update(&mut self, unit: Advertisement, inputs: &LoadInputs) -> Option<f64> {
        let wanted = f64::from(inputs.wants_arrivals);
        let load = match unit {
            Advertisement::None => return None,
            Advertisement::Weight => (1.0 - inputs.lowest_rank_refusal_ratio) * inputs.speed_ratio * wanted,
            Advertisement::MinimumRank => f64::from(!inputs.wants_arrivals),
            Advertisement::ConcurrencyAllowance => inputs.concurrency_limit * wanted,
        };
        if self.last == Some(load) {
            return None;
        }
        self.last = Some(load);
        Some(load)
    }
}
