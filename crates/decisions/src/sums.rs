//! Sums over time: fading ones, means, stores that fill, and how requests spread.

use crate::interface::Micros;

/// A sum that fades over a span, in microseconds.
#[derive(Clone, Copy)]
pub(crate) struct Fading {
    pub(crate) span: f64,
    pub(crate) sum: f64,
    pub(crate) at: Micros,
}

impl Fading {
    pub(crate) fn over(span: f64) -> Self {
        Fading { span, sum: 0.0, at: 0 }
    }
    pub(crate) fn read(&self, now: Micros) -> f64 {
        self.sum * (-((now - self.at) as f64) / self.span).exp()
    }
    pub(crate) fn add(&mut self, now: Micros, x: f64) {
        self.sum = self.read(now) + x;
        self.at = now;
    }
}

/// Smoothed latencies: their ratios to the aim, themselves, and the weight of both.
#[derive(Clone, Copy)]
pub(crate) struct Mean {
    pub(crate) ratio: Fading,
    pub(crate) delay: Fading,
    pub(crate) weight: Fading,
}

impl Mean {
    pub(crate) fn over(span: f64) -> Self {
        Mean { ratio: Fading::over(span), delay: Fading::over(span), weight: Fading::over(span) }
    }
    pub(crate) fn add(&mut self, now: Micros, ratio: f64, delay: f64) {
        self.ratio.add(now, ratio);
        self.delay.add(now, delay);
        self.weight.add(now, 1.0);
    }
}

/// A store of units that fills at a rate up to a cap.
#[derive(Clone, Copy)]
pub(crate) struct Store {
    pub(crate) level: f64,
    pub(crate) at: Micros,
    pub(crate) rate: f64,
    pub(crate) cap: f64,
}

impl Store {
    pub(crate) fn read(&self, now: Micros) -> f64 {
        (self.level + self.rate * (now - self.at) as f64 / 1e6).min(self.cap)
    }
    pub(crate) fn add(&mut self, now: Micros, x: f64) {
        self.level = (self.read(now) + x).min(self.cap);
        self.at = now;
    }
}

/// How requests spread over the shards.
#[derive(Default)]
pub(crate) struct Spread {
    /// Shards asked for, and those asked for once.
    pub(crate) used: usize,
    pub(crate) once: usize,
    /// Requests counted.
    pub(crate) asks: u64,
}

impl Spread {
    /// One more request for a shard that was asked for so many times.
    pub(crate) fn met(&mut self, asks: &mut u64) {
        *asks += 1;
        self.asks += 1;
        match *asks {
            1 => (self.used, self.once) = (self.used + 1, self.once + 1),
            2 => self.once -= 1,
            _ => {}
        }
    }
}
