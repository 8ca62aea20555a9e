//! Straight lines through measured points.

/// A `Fit` is a straight line with the spread of the points about it.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// The value at nothing.
    pub base: f64,
    /// What each unit adds.
    pub slope: f64,
    /// The largest distance of a point from the line.
    pub off: f64,
}

/// Returns the line with the least squared distance from `points`, which must
/// lie at two places at least.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX));
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let along = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let across = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
    let slope = across.sum::<f64>() / along;
    let base = mean_y - slope * mean_x;
    let distances = points.iter().map(|p| (p.1 - base - slope * p.0).abs());
    Fit {
        base,
        slope,
        off: distances.fold(0.0, f64::max),
    }
}
