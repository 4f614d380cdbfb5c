//! Times and sizes.

use std::time::{Duration, Instant};

/// The middle one; no number if there is none.
pub(super) fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

/// In microseconds.
pub(super) fn micros(time: Duration) -> f64 {
    time.as_nanos() as f64 / 1e3
}

/// How long something took, in microseconds.
pub(super) fn timed(work: impl FnOnce()) -> f64 {
    let began = Instant::now();
    work();
    micros(began.elapsed())
}

/// How long each call of something takes that is too short to be timed alone, in microseconds.
pub(super) fn timed_many(mut work: impl FnMut()) -> f64 {
    const CALLS: u32 = 100;
    timed(|| (0..CALLS).for_each(|_| work())) / f64::from(CALLS)
}

/// All sizes; for a look the smaller half of them.
pub(super) fn sizes(all: &[usize], look: bool) -> &[usize] {
    if look { &all[..all.len().div_ceil(2)] } else { all }
}
