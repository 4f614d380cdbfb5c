//! The line or power through a row's points, and where it meets the budget.

use serde::{Deserialize, Serialize};

use crate::Row;

/// Points that a fit takes, at least.
pub const LEAST_POINTS: usize = 4;
/// The largest size over the smallest, at least.
pub const LEAST_SPAN: f64 = 16.0;
/// A power is taken for better than a line beyond this difference of their worst residuals only: through the origin both are the same.
const TIE: f64 = 1e-9;
/// What is fixed counts as nothing below this part of the least cost.
const ROUNDING: f64 = 1e-12;

/// How cost goes with size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// `fixed + slope * size`.
    Line {
        /// What it costs at no size at all.
        fixed: f64,
        /// What one more costs.
        slope: f64,
    },
    /// `factor * size ^ exponent`.
    Power {
        /// What it costs at size 1.
        factor: f64,
        /// 1 is in proportion, 2 is by the square.
        exponent: f64,
    },
}

impl Form {
    /// The cost at a size.
    pub fn value(self, size: f64) -> f64 {
        match self {
            Form::Line { fixed, slope } => fixed + slope * size,
            Form::Power { factor, exponent } => factor * size.powf(exponent),
        }
    }

    fn is_finite(self) -> bool {
        let (a, b) = match self {
            Form::Line { fixed, slope } => (fixed, slope),
            Form::Power { factor, exponent } => (factor, exponent),
        };
        a.is_finite() && b.is_finite()
    }
}

/// Where a cost passes its budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Breaks {
    /// It is beyond it at the smallest size that was measured.
    BelowFirst,
    /// At this size.
    At(f64),
    /// At no size.
    Never,
}

/// What the points of a row come to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The form that leaves the smaller worst residual.
    pub form: Form,
    /// The largest residual, as a part of the point's cost.
    pub worst: f64,
    /// The cost at the size that is coming, by the form.
    pub value_at: f64,
    /// Where the budget breaks, if there is one.
    pub breaks: Option<Breaks>,
}

/// Why points make no slope.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// Too few points.
    #[error("{row}: {points} points are no slope: measure at {LEAST_POINTS} sizes at least")]
    TooFew {
        /// The row.
        row: &'static str,
        /// How many it has.
        points: usize,
    },
    /// The sizes lie too close together.
    #[error(
        "{row}: sizes from {smallest} to {largest} are too close: the largest is to be {LEAST_SPAN} times the smallest at least"
    )]
    TooNarrow {
        /// The row.
        row: &'static str,
        /// Its smallest size.
        smallest: f64,
        /// Its largest.
        largest: f64,
    },
    /// The sizes do not rise.
    #[error("{row}: size {size} stands behind {after}: give each size above 0 once, the smallest first")]
    NotRising {
        /// The row.
        row: &'static str,
        /// The size before.
        after: f64,
        /// The one that is no larger.
        size: f64,
    },
    /// A size or cost is no number, or the fit came to none.
    #[error("{row}: a size, a cost or what follows from them is no number: look at the measurement")]
    NotFinite {
        /// The row.
        row: &'static str,
    },
}

impl Fit {
    /// Fits a line and a power, both by least squares of the residuals as parts of the costs (for the power: of the logarithms), and
    /// keeps the one whose worst residual is smaller.
    ///
    /// Weighted so, as costs span decades: plain squares would see the largest sizes alone and leave any residual at the smallest.
    ///
    /// # Errors
    /// The points make no slope.
    pub fn of(row: &Row) -> Result<Fit, FitError> {
        let points = &row.points;
        check(row)?;
        let line = line(points);
        let (mut form, mut worst) = (line, residual(line, points));
        if let Some(power) = power(points) {
            let its = residual(power, points);
            if !form.is_finite() || its + TIE < worst {
                (form, worst) = (power, its);
            }
        }
        let (first, value_at) = (points[0].0, form.value(row.at));
        if !form.is_finite() || !worst.is_finite() || !value_at.is_finite() {
            return Err(FitError::NotFinite { row: row.name });
        }
        let breaks = row.budget.map(|budget| breaks(form, first, budget));
        Ok(Fit { form, worst, value_at, breaks })
    }
}

fn check(row: &Row) -> Result<(), FitError> {
    let (points, name) = (&row.points, row.name);
    if points.len() < LEAST_POINTS {
        return Err(FitError::TooFew { row: name, points: points.len() });
    }
    let mut numbers = points.iter().flat_map(|p| [p.0, p.1]).chain([row.at]).chain(row.budget);
    if numbers.any(|x| !x.is_finite()) {
        return Err(FitError::NotFinite { row: name });
    }
    let mut after = 0.0;
    for &(size, _) in points {
        if size <= after {
            return Err(FitError::NotRising { row: name, after, size });
        }
        after = size;
    }
    let (smallest, largest) = (points[0].0, after);
    if largest < LEAST_SPAN * smallest {
        return Err(FitError::TooNarrow { row: name, smallest, largest });
    }
    Ok(())
}

/// What a residual at this cost is held against: the cost; where that is nought, the largest of all.
fn scale(cost: f64, points: &[(f64, f64)]) -> f64 {
    let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
    [cost.abs(), largest].into_iter().find(|x| *x > 0.0).unwrap_or(1.0)
}

fn residual(form: Form, points: &[(f64, f64)]) -> f64 {
    let one = |&(size, cost): &(f64, f64)| (form.value(size) - cost).abs() / scale(cost, points);
    points.iter().map(one).fold(0.0, f64::max)
}

/// Where it crosses 0 and its slope: the line through points with weights that makes the weighted sum of squares least.
fn least_squares(points: &[(f64, f64, f64)]) -> (f64, f64) {
    let weight: f64 = points.iter().map(|p| p.2).sum();
    let mean_x = points.iter().map(|(x, _, w)| x * w).sum::<f64>() / weight;
    let mean_y = points.iter().map(|(_, y, w)| y * w).sum::<f64>() / weight;
    let xy: f64 = points.iter().map(|(x, y, w)| w * (x - mean_x) * (y - mean_y)).sum();
    let xx: f64 = points.iter().map(|(x, _, w)| w * (x - mean_x) * (x - mean_x)).sum();
    let slope = xy / xx;
    (mean_y - slope * mean_x, slope)
}

fn line(points: &[(f64, f64)]) -> Form {
    let weighted: Vec<(f64, f64, f64)> =
        points.iter().map(|&(size, cost)| (size, cost, scale(cost, points).powi(-2))).collect();
    let (fixed, slope) = least_squares(&weighted);
    // What rounding leaves of a line through the origin is nothing fixed.
    let rounding = points.iter().map(|p| p.1.abs()).fold(f64::INFINITY, f64::min) * ROUNDING;
    Form::Line { fixed: if fixed.abs() < rounding { 0.0 } else { fixed }, slope }
}

/// None where a cost has no logarithm.
fn power(points: &[(f64, f64)]) -> Option<Form> {
    if points.iter().any(|p| p.1 <= 0.0) {
        return None;
    }
    let logarithms: Vec<(f64, f64, f64)> =
        points.iter().map(|&(size, cost)| (size.ln(), cost.ln(), 1.0)).collect();
    let (factor, exponent) = least_squares(&logarithms);
    Some(Form::Power { factor: factor.exp(), exponent })
}

fn breaks(form: Form, first: f64, budget: f64) -> Breaks {
    if form.value(first) > budget {
        return Breaks::BelowFirst;
    }
    let size = match form {
        Form::Line { fixed, slope } if slope > 0.0 => (budget - fixed) / slope,
        Form::Power { factor, exponent } if exponent > 0.0 => (budget / factor).powf(1.0 / exponent),
        Form::Line { .. } | Form::Power { .. } => f64::INFINITY,
    };
    if size.is_finite() { Breaks::At(size.max(first)) } else { Breaks::Never }
}
