//! Linear regression over measured points.

use serde::Deserialize;
use serde::Serialize;

/// A measured value at a cell size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Number of daemons in the cell.
    pub size: f64,
    /// Measured value, in the unit of the measurement.
    pub value: f64,
}

/// The line `base + slope * size` and its largest residual.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Value at size 0.
    pub base: f64,
    /// Increase of the value per daemon.
    pub slope: f64,
    /// Largest absolute distance of a measured value from the line.
    pub spread: f64,
}

impl Line {
    /// Fits a line by least squares. Points of a single size give a slope of 0.
    pub fn fit(points: &[Point]) -> Self {
        let n = points.len().max(1) as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / n;
        let mean_value = points.iter().map(|p| p.value).sum::<f64>() / n;
        let squares = points.iter().map(|p| (p.size - mean_size).powi(2));
        let products = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.value - mean_value));
        let (squares, products) = (squares.sum::<f64>(), products.sum::<f64>());
        let slope = if squares > 0.0 {
            products / squares
        } else {
            0.0
        };
        let mut line = Self {
            base: mean_value - slope * mean_size,
            slope,
            spread: 0.0,
        };
        let residuals = points.iter().map(|p| (p.value - line.at(p.size)).abs());
        line.spread = residuals.fold(0.0, f64::max);
        line
    }

    /// Returns the value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
