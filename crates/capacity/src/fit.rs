//! A straight line through measurements, with its error, and its prediction at a size that is not in it.

use serde::Serialize;

/// A figure measured at a size. Serialized as the pair of both.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct Point {
    /// The size, such as a number of servers.
    pub size: f64,
    /// The figure, in the unit of its curve.
    pub value: f64,
}

impl From<Point> for (f64, f64) {
    fn from(point: Point) -> (f64, f64) {
        (point.size, point.value)
    }
}

/// A least-squares line `intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Its value at size 0.
    pub intercept: f64,
    /// Its rise for each unit of size.
    pub slope: f64,
    /// Standard error of the slope, in its unit.
    pub slope_error: f64,
}

impl Line {
    /// `None` for fewer than three points or points of one size.
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

    /// Its value at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Measurements of one figure over sizes. The largest is left out of the line, which predicts it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Curve {
    /// What the figure is of.
    pub name: String,
    /// The figure's unit.
    pub unit: &'static str,
    /// What the sizes count, such as servers.
    pub per: &'static str,
    /// In the order of their sizes.
    pub points: Vec<Point>,
    /// Through all points but the last.
    pub line: Option<Line>,
    /// The line's value at the largest size; no number where there is no line.
    pub predicted: f64,
    /// The figure at the largest size.
    pub measured: f64,
    /// The measured figure must not be over it, where there is such a bound.
    pub bound: Option<f64>,
}

impl Curve {
    /// Points in the order of their sizes, the largest last; at least one.
    pub fn new(
        name: &str,
        unit: &'static str,
        per: &'static str,
        points: Vec<Point>,
        bound: Option<f64>,
    ) -> Curve {
        let (largest, fitted) = points.split_last().expect("a curve is made of at least one point");
        let line = Line::fit(fitted);
        let predicted = line.map_or(f64::NAN, |line| line.value_at(largest.size));
        Curve { name: name.to_string(), unit, per, measured: largest.value, line, predicted, bound, points }
    }

    /// Whether the measured figure is not over its bound.
    pub fn is_within_bound(&self) -> bool {
        self.bound.is_none_or(|bound| self.measured <= bound)
    }
}
