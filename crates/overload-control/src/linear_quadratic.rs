//! Linear-quadratic regulation of `y(k) + a y(k-1) = b1 u1(k-1) + b2 u2(k-1)`: gains by Riccati
//! iteration, the plant by recursive least squares. Pure sums, no decision.

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plant {
    pub a: f64,
    pub b: [f64; 2],
}

type M2 = [[f64; 2]; 2];

fn mul(x: &M2, y: &M2) -> M2 {
    std::array::from_fn(|i| std::array::from_fn(|j| x[i][0] * y[0][j] + x[i][1] * y[1][j]))
}

fn transposed(x: &M2) -> M2 {
    [[x[0][0], x[1][0]], [x[0][1], x[1][1]]]
}

/// Gains `k` with `u_i = k_i0 * error + k_i1 * running sum`, for state weights `q` and input weights
/// `r`. `None` where the iteration finds no finite gains within `steps`.
pub fn gains(plant: &Plant, q: [f64; 2], r: [f64; 2], steps: usize, tolerance: f64) -> Option<M2> {
    let a: M2 = [[-plant.a, 0.0], [-plant.a, 1.0]];
    let b: M2 = [plant.b, plant.b];
    let (at, bt) = (transposed(&a), transposed(&b));
    let mut p: M2 = [[q[0], 0.0], [0.0, q[1]]];
    let mut last = [[0.0; 2]; 2];
    for _ in 0..steps {
        let btp = mul(&bt, &p);
        let mut s = mul(&btp, &b);
        s[0][0] += r[0];
        s[1][1] += r[1];
        let det = s[0][0] * s[1][1] - s[0][1] * s[1][0];
        let inverse = [[s[1][1] / det, -s[0][1] / det], [-s[1][0] / det, s[0][0] / det]];
        let k = mul(&inverse, &mul(&btp, &a));
        let bk = mul(&b, &k);
        let closed: M2 = std::array::from_fn(|i| std::array::from_fn(|j| a[i][j] - bk[i][j]));
        p = mul(&mul(&at, &p), &closed);
        p[0][0] += q[0];
        p[1][1] += q[1];
        if !k.iter().flatten().all(|x| x.is_finite()) {
            return None;
        }
        let moved = k.iter().flatten().zip(last.iter().flatten()).map(|(x, y)| (x - y).abs());
        if moved.fold(0.0, f64::max) < tolerance {
            // The optimal input is -k x; for a plant that refusing cools, -k is positive.
            return Some(k.map(|row| row.map(|x| -x)));
        }
        last = k;
    }
    None
}

/// Recursive least squares with forgetting over (a, b1, b2).
#[derive(Clone, Debug)]
pub struct Fit {
    theta: [f64; 3],
    p: [[f64; 3]; 3],
    forgetting: f64,
}

impl Fit {
    pub fn new(prior: &Plant, doubt: f64, forgetting: f64) -> Self {
        let p = std::array::from_fn(|i| std::array::from_fn(|j| if i == j { doubt } else { 0.0 }));
        Self { theta: [prior.a, prior.b[0], prior.b[1]], p, forgetting }
    }

    pub fn learn(&mut self, y_before: f64, u_before: [f64; 2], y: f64) {
        let phi = [-y_before, u_before[0], u_before[1]];
        let pphi: [f64; 3] = std::array::from_fn(|i| (0..3).map(|j| self.p[i][j] * phi[j]).sum());
        let denominator = self.forgetting + (0..3).map(|i| phi[i] * pphi[i]).sum::<f64>();
        let miss = y - (0..3).map(|i| phi[i] * self.theta[i]).sum::<f64>();
        for (theta, x) in self.theta.iter_mut().zip(pphi) {
            *theta += x / denominator * miss;
        }
        let spread = pphi.map(|x| x / denominator);
        for (row, lead) in self.p.iter_mut().zip(spread) {
            for (cell, x) in row.iter_mut().zip(pphi) {
                *cell = (*cell - lead * x) / self.forgetting;
            }
        }
    }

    pub fn plant(&self) -> Plant {
        Plant { a: self.theta[0], b: [self.theta[1], self.theta[2]] }
    }
}
