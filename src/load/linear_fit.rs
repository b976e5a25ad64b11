//! Least-squares linear regression.

use serde::Serialize;

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// Predicted value at size 0.
    #[serde(rename = "base")]
    pub intercept: f64,
    /// Increase of the value for each unit of size.
    pub slope: f64,
    /// Coefficient of determination, from 0 to 1.
    pub r2: f64,
}

impl LinearFit {
    /// Fits a line to `(size, value)` points.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let yy: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let r2 = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
        Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r2,
        }
    }

    /// Returns the predicted value at `size`.
    pub fn predict(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
