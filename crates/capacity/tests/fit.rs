//! Fits find what was planted, say truly what they leave over, and refuse what is no slope.

use capacity::fit::{Breaks, Fit, FitError, Form};
use capacity::{Role, Row};
use proptest::prelude::*;

fn row(points: Vec<(f64, f64)>, at: f64, budget: Option<f64>) -> Row {
    Row {
        name: "planted",
        role: Role::Control,
        of: "things",
        cost: "bytes",
        points,
        at,
        budget,
        how: String::new(),
    }
}

/// Sizes that rise by these factors from the first.
fn sizes(first: f64, factors: &[f64]) -> Vec<f64> {
    let mut all = vec![first];
    for factor in factors {
        all.push(all[all.len() - 1] * factor);
    }
    all
}

fn near(a: f64, b: f64, scale: f64) -> bool {
    (a - b).abs() <= 1e-6 * scale.abs()
}

prop_compose! {
    /// Four to seven sizes, the largest at least 16 times the smallest.
    fn some_sizes()(first in 1.0..100.0_f64, factors in prop::collection::vec(2.6..4.0_f64, 3..=6)) -> Vec<f64> {
        sizes(first, &factors)
    }
}

proptest! {
    #[test]
    fn a_planted_line_is_found_and_carried_on(
        sizes in some_sizes(), fixed in 0.0..1e6_f64, slope in 1e-3..1e6_f64, further in 1.0..1e4_f64,
    ) {
        let cost = |size: f64| fixed + slope * size;
        let (first, last) = (sizes[0], sizes[sizes.len() - 1]);
        let (at, budget) = (last * further, cost(last * further / 2.0).max(cost(first)));
        let fit = Fit::of(&row(sizes.iter().map(|x| (*x, cost(*x))).collect(), at, Some(budget))).expect("a slope");
        let Form::Line { fixed: f, slope: s } = fit.form else { panic!("{:?} for a line", fit.form) };
        prop_assert!(near(f, fixed, cost(first)), "{f} for {fixed}");
        prop_assert!(near(s, slope, cost(first) / first), "{s} for {slope}");
        prop_assert!(near(fit.value_at, cost(at), cost(first) / first * at), "{} for {}", fit.value_at, cost(at));
        prop_assert!(fit.worst < 1e-6, "{}", fit.worst);
        let Some(Breaks::At(size)) = fit.breaks else { panic!("{:?} for a budget that breaks", fit.breaks) };
        prop_assert!((cost(size) - budget).abs() <= 1e-5 * budget.max(cost(first) / first * size), "{size}");
    }

    #[test]
    fn a_planted_power_is_found_and_carried_on(
        sizes in some_sizes(), factor in 1e-3..1e3_f64, small in 0.3..0.8_f64, large in 1.2..3.0_f64, is_large in any::<bool>(), further in 1.0..1e4_f64,
    ) {
        let exponent = if is_large { large } else { small };
        let cost = |size: f64| factor * size.powf(exponent);
        let (first, last) = (sizes[0], sizes[sizes.len() - 1]);
        let (at, breaks) = (last * further, first * 1.5 * further);
        let points = sizes.iter().map(|x| (*x, cost(*x))).collect();
        let fit = Fit::of(&row(points, at, Some(cost(breaks)))).expect("a slope");
        let Form::Power { factor: f, exponent: p } = fit.form else { panic!("{:?} for a power", fit.form) };
        prop_assert!(near(f, factor, factor), "{f} for {factor}");
        prop_assert!(near(p, exponent, exponent), "{p} for {exponent}");
        prop_assert!(near(fit.value_at, cost(at), cost(at)), "{} for {}", fit.value_at, cost(at));
        let Some(Breaks::At(size)) = fit.breaks else { panic!("{:?} for a budget that breaks", fit.breaks) };
        prop_assert!(near(size, breaks, breaks), "{size} for {breaks}");
    }

    #[test]
    fn the_worst_residual_is_the_worst_and_neither_form_alone_leaves_less(
        sizes in some_sizes(), costs in prop::collection::vec(1.0..1e6_f64, 7),
    ) {
        let points: Vec<(f64, f64)> = sizes.iter().copied().zip(costs).collect();
        let fit = Fit::of(&row(points.clone(), 1e6, None)).expect("a slope");
        let left = |form: Form| points.iter().map(|p| (form.value(p.0) - p.1).abs() / p.1).fold(0.0, f64::max);
        prop_assert!(near(fit.worst, left(fit.form), fit.worst), "{} for {}", fit.worst, left(fit.form));
        // The power through the same logarithms, by another way: exponent as covariance over variance.
        let (x, y): (Vec<f64>, Vec<f64>) = points.iter().map(|p| (p.0.ln(), p.1.ln())).unzip();
        let n = x.len() as f64;
        let (sx, sy) = (x.iter().sum::<f64>(), y.iter().sum::<f64>());
        let sxy: f64 = x.iter().zip(&y).map(|(x, y)| x * y).sum();
        let sxx: f64 = x.iter().map(|x| x * x).sum();
        let exponent = (n * sxy - sx * sy) / (n * sxx - sx * sx);
        let power = Form::Power { factor: ((sy - exponent * sx) / n).exp(), exponent };
        prop_assert!(fit.worst <= left(power) * (1.0 + 1e-6) + 1e-8, "{} beside {}", fit.worst, left(power));
        prop_assert_eq!(fit.breaks, None);
    }

    #[test]
    fn fewer_than_four_points_are_refused(sizes in some_sizes(), points in 0..4_usize) {
        let points: Vec<(f64, f64)> = sizes.iter().take(points).map(|x| (*x, *x)).collect();
        let (count, result) = (points.len(), Fit::of(&row(points, 1e6, None)));
        prop_assert_eq!(result, Err(FitError::TooFew { row: "planted", points: count }));
    }

    #[test]
    fn sizes_that_span_less_than_sixteen_are_refused(first in 1.0..100.0_f64, factor in 1.01..2.5_f64) {
        let sizes = sizes(first, &[factor, factor, factor]);
        let result = Fit::of(&row(sizes.iter().map(|x| (*x, *x)).collect(), 1e6, None));
        prop_assert_eq!(result, Err(FitError::TooNarrow { row: "planted", smallest: sizes[0], largest: sizes[3] }));
    }

    #[test]
    fn sizes_that_do_not_rise_are_refused(sizes in some_sizes(), at in any::<prop::sample::Index>(), back in 0.0..1.0_f64) {
        let mut sizes = sizes;
        let at = 1 + at.index(sizes.len() - 1);
        sizes[at] = sizes[at - 1] * back;
        let (after, size) = (sizes[at - 1], sizes[at]);
        let result = Fit::of(&row(sizes.iter().map(|x| (*x, *x)).collect(), 1e6, None));
        prop_assert_eq!(result, Err(FitError::NotRising { row: "planted", after, size }));
    }
}

#[test]
fn sixteen_times_is_enough_and_a_size_given_twice_or_of_nought_is_not() {
    let of = |sizes: &[f64]| Fit::of(&row(sizes.iter().map(|x| (*x, 2.0 * x)).collect(), 100.0, None));
    assert_eq!(of(&[1.0, 2.0, 4.0, 16.0]).expect("a slope").value_at.round(), 200.0);
    assert_eq!(
        of(&[1.0, 2.0, 2.0, 16.0]),
        Err(FitError::NotRising { row: "planted", after: 2.0, size: 2.0 })
    );
    assert_eq!(
        of(&[0.0, 1.0, 2.0, 16.0]),
        Err(FitError::NotRising { row: "planted", after: 0.0, size: 0.0 })
    );
}

#[test]
fn what_is_no_number_is_refused() {
    let points = |cost| vec![(1.0, 1.0), (4.0, cost), (8.0, 3.0), (16.0, 4.0)];
    let refused = Err(FitError::NotFinite { row: "planted" });
    assert_eq!(Fit::of(&row(points(f64::NAN), 1.0, None)), refused);
    assert_eq!(Fit::of(&row(points(f64::INFINITY), 1.0, None)), refused);
    assert_eq!(Fit::of(&row(points(2.0), f64::NAN, None)), refused);
    assert_eq!(Fit::of(&row(points(2.0), 1.0, Some(f64::NAN))), refused);
    assert!(Fit::of(&row(points(2.0), 1.0, None)).is_ok());
}

#[test]
fn a_budget_breaks_below_the_first_size_at_one_or_never() {
    let breaks = |costs: [f64; 4], budget| {
        let points = [1.0, 2.0, 4.0, 16.0].into_iter().zip(costs).collect();
        Fit::of(&row(points, 100.0, Some(budget))).expect("a slope").breaks
    };
    let rising = [10.0, 20.0, 40.0, 160.0];
    assert_eq!(breaks(rising, 9.0), Some(Breaks::BelowFirst));
    let Some(Breaks::At(size)) = breaks(rising, 1000.0) else { panic!("it breaks at a size") };
    assert!((size - 100.0).abs() < 1e-6, "{size}");
    assert_eq!(breaks([5.0; 4], 6.0), Some(Breaks::Never));
    assert_eq!(breaks([5.0; 4], 4.0), Some(Breaks::BelowFirst));
    assert_eq!(breaks([16.0, 8.0, 4.0, 1.0], 20.0), Some(Breaks::Never));
    assert_eq!(breaks([0.0; 4], 1.0), Some(Breaks::Never));
}

#[test]
fn a_large_size_that_is_a_little_off_does_not_bend_the_small_ones() {
    let points = vec![(1.0, 11.0), (10.0, 20.0), (100.0, 110.0), (1000.0, 1.05 * 1010.0)];
    let fit = Fit::of(&row(points, 1e6, None)).expect("a slope");
    let Form::Line { fixed, .. } = fit.form else { panic!("{:?} for a line", fit.form) };
    assert!(fit.worst < 0.05 && (fixed - 10.0).abs() < 1.0, "{fit:?}");
}
