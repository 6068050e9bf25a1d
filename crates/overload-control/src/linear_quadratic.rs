//! Linear-quadratic regulation of `y(k) + a y(k-1) = b1 u1(k-1) + b2 u2(k-1)`: gains by Riccati iteration,
//! the plant by recursive least squares. Sums only, no decision.
//!
//! `y` is the utilization, `u1` and `u2` are the refusal time ratios of premium and basic.

/// Refusal time ratios: the share of a control period in which arrivals of a class are shed, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RefusalRatios {
    pub premium: f64,
    pub basic: f64,
}

/// The coefficients of the model: `a`, `b1` and `b2`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plant {
    /// Negative share of the utilization that lasts into the next period (`a`).
    pub a: f64,
    /// Effect of refusing premium on the utilization (`b1`), negative.
    pub premium: f64,
    /// Effect of refusing basic on the utilization (`b2`), negative.
    pub basic: f64,
}

/// What a deviation costs: the diagonals of the weight matrices `Q` and `R`.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Of the error of the utilization and of its running sum (`Q`).
    pub error: f64,
    pub error_sum: f64,
    /// Of refusing premium and basic (`R`).
    pub premium: f64,
    pub basic: f64,
}

/// When the Riccati iteration ends.
#[derive(Clone, Copy, Debug)]
pub struct Iteration {
    pub steps_max: usize,
    /// Largest move of a gain in one step that counts as settled.
    pub tolerance: f64,
}

/// Gains of one input: `u = error * e + error_sum * sum(e)`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassGains {
    pub error: f64,
    pub error_sum: f64,
}

/// Gains of both inputs.
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

fn largest_move(before: &Matrix2, after: &Matrix2) -> f64 {
    let pairs = after.iter().flatten().zip(before.iter().flatten());
    pairs.map(|(x, y)| (x - y).abs()).fold(0.0, f64::max)
}

/// The optimal gains; `None` where the iteration does not settle on finite ones.
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
        if largest_move(&before, &k) < iteration.tolerance {
            // The optimal input is -k x; refusing lowers the utilization, so -k is positive.
            let [premium, basic] =
                k.map(|[error, error_sum]| ClassGains { error: -error, error_sum: -error_sum });
            return Some(Gains { premium, basic });
        }
        before = k;
    }
    None
}

/// Estimates (a, b1, b2) by recursive least squares with forgetting.
#[derive(Clone, Debug)]
pub struct PlantEstimator {
    /// The estimate, and the covariance of its errors.
    theta: [f64; 3],
    covariance: [[f64; 3]; 3],
    forgetting: f64,
}

impl PlantEstimator {
    /// `doubt` is the variance of each coefficient of the prior; `forgetting` is the weight that an
    /// observation keeps with each one after it, from 0 to 1.
    pub fn new(prior: &Plant, doubt: f64, forgetting: f64) -> Self {
        let covariance = std::array::from_fn(|i| std::array::from_fn(|j| if i == j { doubt } else { 0.0 }));
        Self { theta: [prior.a, prior.premium, prior.basic], covariance, forgetting }
    }

    /// Takes in a period: the utilization and the ratios at its start, and the utilization at its end.
    pub fn observe(&mut self, before: f64, ratios: RefusalRatios, after: f64) {
        let phi = [-before, ratios.premium, ratios.basic];
        let covariance_phi: [f64; 3] =
            std::array::from_fn(|i| (0..3).map(|j| self.covariance[i][j] * phi[j]).sum());
        let denominator = self.forgetting + (0..3).map(|i| phi[i] * covariance_phi[i]).sum::<f64>();
        let miss = after - (0..3).map(|i| phi[i] * self.theta[i]).sum::<f64>();
        for (theta, x) in self.theta.iter_mut().zip(covariance_phi) {
            *theta += x / denominator * miss;
        }
        let gain = covariance_phi.map(|x| x / denominator);
        for (row, lead) in self.covariance.iter_mut().zip(gain) {
            for (cell, x) in row.iter_mut().zip(covariance_phi) {
                *cell = (*cell - lead * x) / self.forgetting;
            }
        }
    }

    /// The present estimate.
    pub fn plant(&self) -> Plant {
        let [a, premium, basic] = self.theta;
        Plant { a, premium, basic }
    }
}
