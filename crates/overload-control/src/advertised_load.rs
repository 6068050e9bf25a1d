//! Computes the load that the server advertises to callers with each answer.

use crate::Advertisement;

/// Measurements from which the advertised load is computed.
pub struct LoadInputs {
    /// Whether callers should continue to send invocations to this server.
    pub wants_arrivals: bool,
    /// Share of the control period, from 0 to 1, in which arrivals of the lowest rank are rejected. The ratio
    /// is above 0 if the regulator sheds load, or if the server is flooded or unhealthy.
    pub lowest_rank_refusal_ratio: f64,
    /// Lower bound of the server's current speed as a ratio of full speed; below 1 while a cold server warms
    /// up.
    pub speed_ratio: f64,
    /// Limit on the number of concurrent runs.
    pub concurrency_limit: f64,
}

/// Stores the load that the server advertised most recently, so that only changes are advertised.
#[derive(Default)]
pub struct AdvertisedLoad {
    last: Option<f64>,
}

impl AdvertisedLoad {
    /// Returns the load to advertise, in the unit `unit`. Returns `None` if the load has not changed or if no
    /// load is advertised.
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
