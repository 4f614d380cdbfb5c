//! Detects stalls of the engine and logs what its threads did meanwhile: ran, waited for a processor, or
//! slept.

use std::fmt::Write;

use decisions::Micros;
use transport::{ThreadTimes, Ticker, Times};

/// Delay of a wake-up, or duration of an iteration, from which the engine counts as stalled.
const STALL_THRESHOLD: Micros = 100_000;
/// Minimum interval of reading the threads' times. A stall's report includes up to this much of the time
/// before it.
const SAMPLE_INTERVAL: Micros = 20_000;

/// CPU times of the engine's and the ticker's threads at one moment.
#[derive(Clone, Copy)]
struct Sample {
    at: Micros,
    engine: Option<Times>,
    ticker: Option<Times>,
}

/// Measures the engine's loop iterations. It must be created and used on the engine's thread.
pub(crate) struct StallDetector<'a> {
    engine: Option<ThreadTimes>,
    ticker: Option<&'a ThreadTimes>,
    last_sample: Sample,
}

impl<'a> StallDetector<'a> {
    pub(crate) fn new(now: Micros, ticker: &'a Ticker) -> StallDetector<'a> {
        let (engine, ticker) = (ThreadTimes::of_this_thread().ok(), ticker.times());
        let empty = Sample { at: now, engine: None, ticker: None };
        let mut detector = StallDetector { engine, ticker, last_sample: empty };
        detector.last_sample = detector.sample(now);
        detector
    }

    fn sample(&self, at: Micros) -> Sample {
        let read = |times: &ThreadTimes| times.read().ok();
        Sample { at, engine: self.engine.as_ref().and_then(read), ticker: self.ticker.and_then(read) }
    }

    /// Notes the start of an iteration.
    pub(crate) fn begin_iteration(&mut self, now: Micros) {
        if now - self.last_sample.at >= SAMPLE_INTERVAL {
            self.last_sample = self.sample(now);
        }
    }

    /// Checks an iteration that handled `count` messages: it was due at the latest at `due`, and was woken
    /// and done at these times.
    pub(crate) fn end_iteration(&self, due: Micros, woken: Micros, done: Micros, count: usize) {
        let (late, busy) = (woken.saturating_sub(due), done - woken);
        if late <= STALL_THRESHOLD && busy <= STALL_THRESHOLD {
            return;
        }
        let (before, after) = (self.last_sample, self.sample(done));
        let span = done - before.at;
        let engine = format_times(before.engine, after.engine);
        let ticker = format_times(before.ticker, after.ticker);
        let pressure = pressure();
        tracing::warn!(
            late,
            busy,
            count,
            span,
            engine,
            ticker,
            pressure,
            "the engine stood still; what is due meanwhile is late"
        );
    }
}

/// Formats what a thread did between two samples; for the rest of the time it slept or was stopped.
fn format_times(before: Option<Times>, after: Option<Times>) -> String {
    let Some((before, after)) = before.zip(after) else { return "unknown".into() };
    let times = after - before;
    format!("ran {}, no processor {}", times.ran, times.delayed)
}

/// Formats the machine's pressure stall information: the percentages of the last 10 s in which some task
/// waited for a processor, for I/O or for memory.
fn pressure() -> String {
    let mut all = String::new();
    for resource in ["cpu", "io", "memory"] {
        let text = std::fs::read_to_string(format!("/proc/pressure/{resource}")).unwrap_or_default();
        let share = text.split_ascii_whitespace().find_map(|word| word.strip_prefix("avg10="));
        let _ = write!(all, "{resource} {} ", share.unwrap_or("unknown"));
    }
    all.truncate(all.trim_end().len());
    all
}
