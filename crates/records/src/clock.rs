//! The clock of the records.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::Micros;

/// Microseconds since the Unix epoch that never step back: the system's time at the start, and what has passed since.
///
/// Processes on one machine agree as well as the system's clock was steady between their starts.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the system's time once.
    pub fn new() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Clock { base, start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
