//! Times and sizes.

use std::sync::OnceLock;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The middle one; no number if there is none.
pub(super) fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

/// In microseconds.
pub(super) fn micros(time: Duration) -> f64 {
    time.as_nanos() as f64 / 1e3
}

/// Processor time of this thread so far. Not the wall's time: what others take of its core meanwhile is not in it.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    Duration::from(time.expect("each thread of this system has a clock of its processor time"))
}

/// What starting and stopping a watch takes itself.
fn of_the_clock() -> Duration {
    static TAKES: OnceLock<Duration> = OnceLock::new();
    *TAKES.get_or_init(|| {
        const CALLS: usize = 1001;
        let one = |_| {
            let began = processor_time();
            processor_time() - began
        };
        let mut all: Vec<Duration> = (0..CALLS).map(one).collect();
        all.sort_unstable();
        all[CALLS / 2]
    })
}

/// Measures the processor time of this thread.
pub(super) struct Watch(Duration);

impl Watch {
    /// Begins.
    pub(super) fn start() -> Watch {
        of_the_clock();
        Watch(processor_time())
    }

    /// What has been taken since, without what the clock takes.
    pub(super) fn stop(self) -> Duration {
        (processor_time() - self.0).saturating_sub(of_the_clock())
    }
}

/// Processor time that something took, in microseconds.
pub(super) fn timed(work: impl FnOnce()) -> f64 {
    let watch = Watch::start();
    work();
    micros(watch.stop())
}

/// Processor time of each call of something that is too short to be timed alone, in microseconds.
pub(super) fn timed_many(mut work: impl FnMut()) -> f64 {
    const CALLS: u32 = 100;
    timed(|| (0..CALLS).for_each(|_| work())) / f64::from(CALLS)
}

/// All sizes; for a look the smaller half of them.
pub(super) fn sizes(all: &[usize], look: bool) -> &[usize] {
    if look { &all[..all.len().div_ceil(2)] } else { all }
}
