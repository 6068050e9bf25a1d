//! The load advertised to callers with each answer.

use crate::Advertisement;

/// Inputs from which the advertised load is computed.
pub struct LoadInputs {
    /// Whether callers should continue to send invocations.
    pub wants_arrivals: bool,
    /// Share of the control period in which arrivals of the lowest rank are rejected, from 0 to 1, because
    /// of the regulator, a flood or poor health.
    pub lowest_rank_refusal_ratio: f64,
    /// Current speed of the server as a ratio of full speed.
    pub speed_ratio: f64,
    /// Limit on the number of concurrent runs.
    pub concurrency_limit: f64,
}

/// The most recently advertised load.
#[derive(Default)]
pub struct AdvertisedLoad {
    last: Option<f64>,
}

impl AdvertisedLoad {
    /// Returns the load to advertise, or `None` if it has not changed.
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
