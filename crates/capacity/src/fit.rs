//! Fits a line to measurements at several sizes of a system, such as fleet sizes. The linear regression
//! leaves out the largest size. The line predicts the value at the largest size, and the prediction is
//! compared with the measurement. The standard error of the line's slope is calculated, too.

use serde::Serialize;

/// Value that was measured at one size of the system, such as one fleet size. A point is serialized as the
/// pair `(size, value)`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct Point {
    /// Size of the measured system, such as its number of servers.
    pub size: f64,
    /// Measured value, in the unit of the [`Curve`].
    pub value: f64,
}

impl From<Point> for (f64, f64) {
    fn from(point: Point) -> (f64, f64) {
        (point.size, point.value)
    }
}

/// Line `intercept + slope * size`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Increase of the value when the size increases by one.
    pub slope: f64,
    /// Standard error of `slope`, in the unit of `slope`.
    pub slope_error: f64,
}

impl Line {
    /// Fits a line to `points` by least squares. Returns `None` if there are fewer than three points or all
    /// points have equal sizes.
    pub fn fit(points: &[Point]) -> Option<Line> {
        let count = points.len() as f64;
        if points.len() < 3 {
            return None;
        }
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        if spread <= 0.0 {
            return None;
        }
        let covariance = |point: &Point| (point.size - mean_size) * (point.value - mean_value);
        let slope = points.iter().map(covariance).sum::<f64>() / spread;
        let intercept = mean_value - slope * mean_size;
        let residual = |point: &Point| (point.value - intercept - slope * point.size).powi(2);
        let residuals: f64 = points.iter().map(residual).sum();
        let slope_error = (residuals / (count - 2.0) / spread).sqrt();
        Some(Line { intercept, slope, slope_error })
    }

    /// Returns the value of the line at `size`.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Measurements of one quantity at several sizes, and a fitted line. The line is fitted to all points except
/// the point of the largest size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Curve {
    /// Name of the measured quantity.
    pub name: String,
    /// Unit of the values.
    pub unit: &'static str,
    /// Singular noun for the things that the size counts, such as `server`.
    pub per: &'static str,
    /// Measurements in ascending order of size.
    pub points: Vec<Point>,
    /// Line fitted to all points except the point of the largest size; `None` if no line can be fitted, for
    /// example to fewer than three points.
    pub line: Option<Line>,
    /// Value that the line predicts for the largest size; NaN without a line.
    pub predicted: f64,
    /// Value of the quantity that was measured at the largest size of the system, such as the largest number
    /// of servers.
    pub measured: f64,
    /// Upper bound for the measured value at the largest size; `None` without a bound.
    pub bound: Option<f64>,
}

impl Curve {
    /// Creates a curve from `points`. There must be at least one point, and the points must be in ascending
    /// order of size.
    pub fn new(
        name: &str,
        unit: &'static str,
        per: &'static str,
        points: Vec<Point>,
        bound: Option<f64>,
    ) -> Curve {
        let (largest, fitted) = points.split_last().expect("a curve needs at least one point");
        let line = Line::fit(fitted);
        let predicted = line.map_or(f64::NAN, |line| line.value_at(largest.size));
        Curve { name: name.to_string(), unit, per, measured: largest.value, line, predicted, bound, points }
    }

    /// Returns whether the measured value at the largest size is at most the bound. Returns true if the curve
    /// has no bound.
    pub fn is_within_bound(&self) -> bool {
        self.bound.is_none_or(|bound| self.measured <= bound)
    }
}
