//! When commands come: open loop, by the clock alone.

use rand::Rng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp1};

use crate::scenario::{Micros, Phase, Shape};

/// The intended times of a scenario's phases, rising, from its start.
///
/// Each phase states how many commands are due by a time; the next command's time is that function's inverse at the next
/// whole number (steady) or at the next point of a Poisson process of rate 1 (the others). So a ramp needs no steps, and
/// a time never depends on an answer.
#[derive(Debug)]
pub struct Arrivals {
    phases: std::vec::IntoIter<Phase>,
    phase: Option<Phase>,
    /// When the phase began, in seconds.
    began: f64,
    /// Commands due so far in the phase, and bursts done.
    due: f64,
    bursts: u32,
    left_of_burst: u32,
    /// A background command that waits for a burst to pass.
    waiting: Option<f64>,
    rng: StdRng,
}

impl Arrivals {
    /// Arrivals of phases, drawn from a generator.
    pub fn new(phases: Vec<Phase>, rng: StdRng) -> Self {
        let mut phases = phases.into_iter();
        let phase = phases.next();
        Arrivals { phases, phase, began: 0.0, due: 0.0, bursts: 0, left_of_burst: 0, waiting: None, rng }
    }

    fn next_phase(&mut self) {
        self.began += self.phase.map_or(0.0, |p| p.seconds);
        (self.due, self.bursts, self.left_of_burst, self.waiting) = (0.0, 0, 0, None);
        self.phase = self.phases.next();
    }

    /// The next command of the phase's rate, in seconds since its start.
    fn background(&mut self, phase: &Phase) -> Option<f64> {
        if let Some(at) = self.waiting.take() {
            return Some(at);
        }
        let step: f64 = if phase.shape == Shape::Steady { 1.0 } else { Exp1.sample(&mut self.rng) };
        // The first steady command is due at the phase's start.
        let at = time_of(phase, if phase.shape == Shape::Steady { self.due } else { self.due + step })?;
        self.due += step;
        (at < phase.seconds).then_some(at)
    }
}

/// When the `n`th command of a phase is due, in seconds since its start; none if never.
fn time_of(phase: &Phase, n: f64) -> Option<f64> {
    let (from, to) = (phase.rate, phase.to_rate);
    match phase.shape {
        Shape::Steady | Shape::Poisson | Shape::Bursts => (from > 0.0).then(|| n / from),
        Shape::Ramp => {
            // n = from t + (to - from) t^2 / (2 T), solved for t without loss where the ramp is flat.
            let slope = (to - from) / phase.seconds;
            let root = from * from + 2.0 * slope * n;
            (root >= 0.0 && (from > 0.0 || slope > 0.0)).then(|| 2.0 * n / (from + root.sqrt()))
        }
        Shape::OnOff => {
            let of_one = from * phase.on_s;
            let whole = (n / of_one).floor();
            (from > 0.0).then(|| whole * (phase.on_s + phase.off_s) + (n - whole * of_one) / from)
        }
    }
}

impl Iterator for Arrivals {
    type Item = Micros;

    fn next(&mut self) -> Option<Micros> {
        loop {
            let phase = self.phase?;
            let micros = |at: f64| Some(((self.began + at) * 1e6).round() as Micros);
            let burst_at = f64::from(self.bursts) * phase.every_s;
            if self.left_of_burst > 0 {
                self.left_of_burst -= 1;
                return micros(f64::from(self.bursts - 1) * phase.every_s);
            }
            let burst_due = phase.shape == Shape::Bursts && burst_at < phase.seconds;
            match self.background(&phase) {
                Some(at) if !burst_due || at < burst_at => {
                    return Some(((self.began + at) * 1e6).round() as Micros);
                }
                later if burst_due => {
                    self.waiting = later;
                    self.bursts += 1;
                    self.left_of_burst = phase.burst;
                }
                _ => self.next_phase(),
            }
        }
    }
}

/// A generator of its own for one purpose, so that one more draw here changes nothing there.
pub(crate) fn rng_of(seed: u64, purpose: u64) -> StdRng {
    use rand::SeedableRng;
    let mut rng = StdRng::seed_from_u64(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let _: u64 = rng.random();
    rng
}
