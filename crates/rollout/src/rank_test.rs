//! Implements the stratified rank sum test by van Elteren (1960). The test shows whether the values of the
//! changed servers are larger than the values of the unchanged servers. Values are compared only within a
//! stratum. A stratum is one interval, because the load affects all servers alike in an interval. The values
//! of an interval are ranked, and the weighted rank sums of all intervals are added up.
//!
//! Successive intervals of a server are not independent samples. Two variances of the sum are therefore
//! computed: the test's own, and an estimate that accounts for autocorrelation (Newey and West 1987). The
//! larger variance is used.

/// Values that servers reported for one class and metric in one interval. The baseline of the reporting
/// server is already subtracted from each value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stratum {
    /// Values of the changed servers.
    pub changed: Vec<f64>,
    /// Values that the unchanged servers reported, minus the baselines of these servers.
    pub unchanged: Vec<f64>,
    /// Sum of the baseline variances of the changed servers. A baseline variance is the squared standard
    /// error of the baseline's mean.
    pub baseline_variance: f64,
    /// Number of answered invocations of the class in the interval, over all servers.
    pub answered: u64,
}

/// Result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Mean value of the changed servers, minus the mean value of the unchanged servers, minus twice the
    /// standard error of the changed servers' baselines.
    pub difference: f64,
    /// One-sided p-value: the probability that chance alone gives the changed servers ranks at least as high
    /// as the observed ranks.
    pub p_value: f64,
}

/// Rank sum of the changed servers in one stratum.
#[derive(Debug, PartialEq)]
struct RankSum {
    rank_sum: f64,
    /// Correction term for equal values in the variance of the rank sum: the sum of t^3 - t over all groups
    /// of t equal values.
    tie_correction: f64,
}

/// Compares the changed with the unchanged servers over all strata. Each stratum must have values of changed
/// servers and of unchanged servers. Returns `None` if no stratum has two different values.
pub fn compare(strata: &[&Stratum]) -> Option<Comparison> {
    let mut statistics = Vec::with_capacity(strata.len());
    let mut variance = 0.0;
    for stratum in strata {
        let (changed, unchanged) = (stratum.changed.len() as f64, stratum.unchanged.len() as f64);
        let RankSum { rank_sum, tie_correction } = rank_sum(stratum);
        let total = changed + unchanged;
        let weight = 1.0 / (total + 1.0);
        statistics.push(weight * (rank_sum - changed * (total + 1.0) / 2.0));
        let untied = if total > 1.0 { 1.0 - tie_correction / (total * total * total - total) } else { 0.0 };
        variance += weight * weight * changed * unchanged * (total + 1.0) / 12.0 * untied;
    }
    let variance = variance.max(newey_west_variance(&statistics));
    (variance > 0.0).then(|| {
        let z = statistics.iter().sum::<f64>() / variance.sqrt();
        Comparison { difference: mean_difference(strata), p_value: upper_tail(z) }
    })
}

/// Returns the mean difference between changed and unchanged servers, minus twice the standard error of the
/// changed servers' baselines. A baseline is the mean of few intervals, and its error affects all values of
/// its server. Without the subtraction, this error could count as a regression.
fn mean_difference(strata: &[&Stratum]) -> f64 {
    let difference = |stratum: &&Stratum| mean(&stratum.changed) - mean(&stratum.unchanged);
    let standard_error = |stratum: &&Stratum| stratum.baseline_variance.sqrt() / stratum.changed.len() as f64;
    let differences: Vec<f64> = strata.iter().map(difference).collect();
    let standard_errors: Vec<f64> = strata.iter().map(standard_error).collect();
    mean(&differences) - 2.0 * mean(&standard_errors)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Computes the rank sum of the changed servers in a stratum. Equal values get the mean of their ranks.
fn rank_sum(stratum: &Stratum) -> RankSum {
    struct Ranked {
        value: f64,
        is_changed: bool,
    }
    let changed = stratum.changed.iter().map(|value| Ranked { value: *value, is_changed: true });
    let unchanged = stratum.unchanged.iter().map(|value| Ranked { value: *value, is_changed: false });
    let mut ranked_values: Vec<Ranked> = changed.chain(unchanged).collect();
    ranked_values.sort_by(|a, b| a.value.total_cmp(&b.value));
    let mut sum = RankSum { rank_sum: 0.0, tie_correction: 0.0 };
    let mut below = 0;
    for tied in ranked_values.chunk_by(|a, b| a.value == b.value) {
        let ties = tied.len();
        let rank = below as f64 + (ties as f64 + 1.0) / 2.0;
        let changed = tied.iter().filter(|ranked| ranked.is_changed).count();
        sum.rank_sum += rank * changed as f64;
        sum.tie_correction += (ties * ties * ties - ties) as f64;
        below += ties;
    }
    sum
}

/// Estimates the variance of the sum of autocorrelated values (Newey and West 1987). The estimate adds
/// autocovariances with Bartlett's weights, up to a maximum lag. The maximum lag is the square root of the
/// number of values.
fn newey_west_variance(values: &[f64]) -> f64 {
    let count = values.len();
    let mean = mean(values);
    let autocovariance = |lag: usize| {
        let products = (lag..count).map(|i| (values[i] - mean) * (values[i - lag] - mean));
        products.sum::<f64>()
    };
    let lags = (count as f64).sqrt() as usize;
    let weighted = (1..=lags).map(|lag| {
        let bartlett = 1.0 - lag as f64 / (lags + 1) as f64;
        2.0 * bartlett * autocovariance(lag)
    });
    autocovariance(0) + weighted.sum::<f64>()
}

/// Returns the probability that a standard normal random variable is larger than `z`.
fn upper_tail(z: f64) -> f64 {
    libm::erfc(z / std::f64::consts::SQRT_2) / 2.0
}

#[cfg(test)]
mod tests;
