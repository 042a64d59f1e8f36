//! Straight lines through measured points.

use serde::Deserialize;
use serde::Serialize;

/// A measured value at a size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// Value.
    pub value: f64,
}

/// `base + slope * size`, with the largest distance of a point from it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Value at size 0.
    pub base: f64,
    /// Value for each unit of size.
    pub slope: f64,
    /// Largest distance of a measured point.
    pub spread: f64,
}

impl Line {
    /// Fits a line by least squares; one size alone gives a level line.
    pub fn fit(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
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
        let distances = points.iter().map(|p| (p.value - line.at(p.size)).abs());
        line.spread = distances.fold(0.0, f64::max);
        line
    }

    /// Returns the value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
