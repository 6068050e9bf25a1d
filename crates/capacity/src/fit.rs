//! A straight line through measurements, with its error, and what it predicts at a size that is not in it.

use serde::Serialize;

/// A least-squares line `intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
    /// Standard error of the slope, in its unit.
    pub slope_error: f64,
}

impl Line {
    /// `None` for fewer than three points or points of one size.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let n = points.len() as f64;
        if points.len() < 3 {
            return None;
        }
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let residuals: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let slope_error = (residuals / (n - 2.0) / spread).sqrt();
        Some(Line { intercept, slope, slope_error })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Measurements of one quantity over sizes. The largest is left out of the line, which predicts it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Curve {
    pub name: String,
    pub unit: &'static str,
    /// What the sizes count, such as servers.
    pub per: &'static str,
    pub points: Vec<(f64, f64)>,
    pub line: Option<Line>,
    /// At the largest size: predicted from the others, then measured.
    pub predicted: f64,
    pub measured: f64,
    /// What the measured figure has to stay under, where there is such a bound.
    pub bound: Option<f64>,
}

impl Curve {
    /// Points in the order of their sizes, the largest last; at least one.
    pub fn new(
        name: &str,
        unit: &'static str,
        per: &'static str,
        points: Vec<(f64, f64)>,
        bound: Option<f64>,
    ) -> Curve {
        let (last, fitted) = points.split_last().expect("at least one size");
        let line = Line::through(fitted);
        let predicted = line.map_or(f64::NAN, |line| line.at(last.0));
        Curve { name: name.to_string(), unit, per, measured: last.1, line, predicted, bound, points }
    }

    pub fn is_within_bound(&self) -> bool {
        self.bound.is_none_or(|bound| self.measured <= bound)
    }
}
