//! Linear regression.

/// A fitted line and its largest residual.
#[derive(Clone, Copy, Debug)]
pub struct LinearFit {
    /// The value at 0.
    pub intercept: f64,
    /// The increase per unit.
    pub slope: f64,
    /// The largest absolute residual.
    pub max_residual: f64,
}

/// Returns the least-squares line through `points`, which must have at least two
/// distinct x values.
pub fn fit_line(points: &[(f64, f64)]) -> LinearFit {
    let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX));
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let variance_sum = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let covariance_sum = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
    let slope = covariance_sum.sum::<f64>() / variance_sum;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|p| (p.1 - intercept - slope * p.0).abs());
    LinearFit {
        intercept,
        slope,
        max_residual: residuals.fold(0.0, f64::max),
    }
}
