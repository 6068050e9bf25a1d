//! Linear-quadratic regulator, which computes how many arrivals to refuse from the measured utilization. The
//! plant model is `y(k) + a y(k-1) = b1 u1(k-1) + b2 u2(k-1)`. Here `y` is the utilization, and `u1` and `u2`
//! are the refusal time ratios of the premium class and the basic class.
//!
//! The gains of the regulator are computed by Riccati iteration. The coefficients `a`, `b1` and `b2` are
//! estimated by recursive least squares.

/// Refusal time ratios of the two priority classes. The ratio of a class is the share of a control period in
/// which arrivals of the class are rejected, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RefusalRatios {
    /// Refusal time ratio of the premium class.
    pub premium: f64,
    /// Refusal time ratio of the basic class.
    pub basic: f64,
}

/// Coefficients `a`, `b1` and `b2` of the plant model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plant {
    /// Coefficient `a`: the share of the utilization that carries over to the next control period, negated.
    pub a: f64,
    /// Coefficient `b1`: change of the utilization if all arrivals of the premium class are refused;
    /// negative.
    pub premium: f64,
    /// Coefficient `b2`: change of the utilization if all arrivals of the basic class are refused; negative.
    pub basic: f64,
}

/// Weights of the cost that the regulator minimizes: the diagonal elements of the weight matrices `Q`
/// (errors) and `R` (refusals).
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Cost of the utilization error (first diagonal element of `Q`).
    pub error: f64,
    /// Cost of the running sum of the utilization error (second diagonal element of `Q`).
    pub error_sum: f64,
    /// Cost of refusing arrivals of the premium class (first diagonal element of `R`).
    pub premium: f64,
    /// Cost of refusing arrivals of the basic class (second diagonal element of `R`).
    pub basic: f64,
}

/// Conditions that end the Riccati iteration.
#[derive(Clone, Copy, Debug)]
pub struct Iteration {
    pub steps_max: usize,
    /// Convergence tolerance: the iteration ends when each gain changes by less than this in one step.
    pub tolerance: f64,
}

/// Gains from which the refusal time ratio of one class is computed. The ratio is `error * e + error_sum *
/// sum(e)`, where `e` is the utilization error.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassGains {
    pub error: f64,
    pub error_sum: f64,
}

/// Gains for both inputs of the plant: the refusal time ratios of the premium class and the basic class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gains {
    pub premium: ClassGains,
    pub basic: ClassGains,
}

type Matrix2 = [[f64; 2]; 2];

fn product(x: &Matrix2, y: &Matrix2) -> Matrix2 {
    std::array::from_fn(|i| std::array::from_fn(|j| x[i][0] * y[0][j] + x[i][1] * y[1][j]))
}

fn transposed(x: &Matrix2) -> Matrix2 {
    [[x[0][0], x[1][0]], [x[0][1], x[1][1]]]
}

fn difference(x: &Matrix2, y: &Matrix2) -> Matrix2 {
    std::array::from_fn(|i| std::array::from_fn(|j| x[i][j] - y[i][j]))
}

fn inverse(x: &Matrix2) -> Matrix2 {
    let determinant = x[0][0] * x[1][1] - x[0][1] * x[1][0];
    [[x[1][1] / determinant, -x[0][1] / determinant], [-x[1][0] / determinant, x[0][0] / determinant]]
}

fn largest_change(before: &Matrix2, after: &Matrix2) -> f64 {
    let pairs = after.iter().flatten().zip(before.iter().flatten());
    pairs.map(|(x, y)| (x - y).abs()).fold(0.0, f64::max)
}

/// Computes the optimal gains by Riccati iteration. Returns `None` if the iteration does not converge to
/// finite gains.
pub fn gains(plant: &Plant, weights: &Weights, iteration: &Iteration) -> Option<Gains> {
    let a: Matrix2 = [[-plant.a, 0.0], [-plant.a, 1.0]];
    let b: Matrix2 = [[plant.premium, plant.basic], [plant.premium, plant.basic]];
    let (a_transposed, b_transposed) = (transposed(&a), transposed(&b));
    let mut p: Matrix2 = [[weights.error, 0.0], [0.0, weights.error_sum]];
    let mut before: Matrix2 = [[0.0; 2]; 2];
    for _ in 0..iteration.steps_max {
        let b_p = product(&b_transposed, &p);
        let mut s = product(&b_p, &b);
        s[0][0] += weights.premium;
        s[1][1] += weights.basic;
        let k = product(&inverse(&s), &product(&b_p, &a));
        let closed_loop = difference(&a, &product(&b, &k));
        p = product(&product(&a_transposed, &p), &closed_loop);
        p[0][0] += weights.error;
        p[1][1] += weights.error_sum;
        if !k.iter().flatten().all(|gain| gain.is_finite()) {
            return None;
        }
        if largest_change(&before, &k) < iteration.tolerance {
            // The optimal input of the plant is `-k x`, where `x` is the state, so the gains are `-k`. The
            // gains are positive, because refusing arrivals lowers the utilization.
            let [premium, basic] =
                k.map(|[error, error_sum]| ClassGains { error: -error, error_sum: -error_sum });
            return Some(Gains { premium, basic });
        }
        before = k;
    }
    None
}

/// Estimator of the coefficients `a`, `b1` and `b2` of the plant by recursive least squares. Exponential
/// forgetting gives recent observations more weight.
#[derive(Clone, Debug)]
pub struct PlantEstimator {
    /// Current estimate of the coefficients `a`, `b1` and `b2`.
    theta: [f64; 3],
    /// Covariance matrix of the errors of the estimated coefficients.
    covariance: [[f64; 3]; 3],
    forgetting: f64,
}

impl PlantEstimator {
    /// Creates an estimator. The initial estimate is `prior`, and each coefficient has the variance
    /// `prior_variance`. With each new observation, the weight of earlier observations is multiplied by
    /// `forgetting`, from 0 to 1.
    pub fn new(prior: &Plant, prior_variance: f64, forgetting: f64) -> Self {
        let covariance =
            std::array::from_fn(|i| std::array::from_fn(|j| if i == j { prior_variance } else { 0.0 }));
        Self { theta: [prior.a, prior.premium, prior.basic], covariance, forgetting }
    }

    /// Updates the estimate with the observation of one control period. The observation is the utilization at
    /// the start and at the end of the period, and the refusal time ratios during the period.
    pub fn observe(&mut self, utilization_before: f64, ratios: RefusalRatios, utilization_after: f64) {
        let phi = [-utilization_before, ratios.premium, ratios.basic];
        let covariance_phi: [f64; 3] =
            std::array::from_fn(|i| (0..3).map(|j| self.covariance[i][j] * phi[j]).sum());
        let denominator = self.forgetting + (0..3).map(|i| phi[i] * covariance_phi[i]).sum::<f64>();
        let prediction_error = utilization_after - (0..3).map(|i| phi[i] * self.theta[i]).sum::<f64>();
        for (theta, x) in self.theta.iter_mut().zip(covariance_phi) {
            *theta += x / denominator * prediction_error;
        }
        let gain = covariance_phi.map(|x| x / denominator);
        for (row, row_gain) in self.covariance.iter_mut().zip(gain) {
            for (cell, x) in row.iter_mut().zip(covariance_phi) {
                *cell = (*cell - row_gain * x) / self.forgetting;
            }
        }
    }

    /// Returns the current estimate of the plant's coefficients.
    pub fn plant(&self) -> Plant {
        let [a, premium, basic] = self.theta;
        Plant { a, premium, basic }
    }
}
