//! Says when the engine stood still, and what its threads did meanwhile: ran, wanted a processor, or slept.

use std::fmt::Write;

use decisions::Micros;
use transport::{ThreadTimes, Ticker, Times};

/// The engine is said to have stood still where it was woken, or went on, so much too late.
const STILL: Micros = 100_000;
/// The threads' times are read no more often than this. Harm: a standstill is told with up to so much of what was before it.
const LOOK: Micros = 20_000;

/// The times of the engine's thread and the ticker's at one moment.
#[derive(Clone, Copy)]
struct Sample {
    at: Micros,
    engine: Option<Times>,
    ticker: Option<Times>,
}

/// Watches the engine's turns. It is made and used on the engine's thread.
pub(crate) struct Witness<'a> {
    engine: Option<ThreadTimes>,
    ticker: Option<&'a ThreadTimes>,
    before: Sample,
}

impl<'a> Witness<'a> {
    pub(crate) fn new(now: Micros, ticker: &'a Ticker) -> Witness<'a> {
        let (engine, ticker) = (ThreadTimes::of_this_thread().ok(), ticker.times());
        let before = Sample { at: now, engine: None, ticker: None };
        let mut witness = Witness { engine, ticker, before };
        witness.before = witness.sample(now);
        witness
    }

    fn sample(&self, at: Micros) -> Sample {
        let read = |times: &ThreadTimes| times.read().ok();
        Sample { at, engine: self.engine.as_ref().and_then(read), ticker: self.ticker.and_then(read) }
    }

    /// A turn of the engine begins.
    pub(crate) fn look(&mut self, now: Micros) {
        if now - self.before.at >= LOOK {
            self.before = self.sample(now);
        }
    }

    /// A turn has handled so many messages: due at the latest then, woken and done at these times.
    pub(crate) fn turned(&self, due: Micros, woken: Micros, done: Micros, count: usize) {
        let (late, busy) = (woken.saturating_sub(due), done - woken);
        if late <= STILL && busy <= STILL {
            return;
        }
        let (before, after) = (self.before, self.sample(done));
        let span = done - before.at;
        let engine = told(before.engine, after.engine);
        let ticker = told(before.ticker, after.ticker);
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

/// What a thread did between two samples; for the rest of the time it slept or was stopped.
fn told(before: Option<Times>, after: Option<Times>) -> String {
    let Some((before, after)) = before.zip(after) else { return "unknown".into() };
    let times = after - before;
    format!("ran {}, no processor {}", times.ran, times.delayed)
}

/// Shares of the last 10 s in which some task of the machine lacked a resource, in percent.
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
