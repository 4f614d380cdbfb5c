//! Standard output and standard error of all programs.
//!
//! Whatever is at the other end (a closed console, a pipe without a reader, a full disk, a reader that has
//! stopped), a service goes on. Its lines go through [`log_line`], [`LogWriter`] and [`announce`]: a thread
//! of its own writes them, so that a caller never waits, and a line that cannot be written is dropped and
//! counted by [`lost_lines`].
//!
//! A command that prints a result and ends uses [`outln!`] and [`out!`]. It waits for its reader, as commands
//! do; when the reader has closed the pipe, the rest of the output is dropped and the command ends as usual.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod command;
mod line_sink;

use std::io;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

pub use command::{command_output_result, print};
use line_sink::LineSink;

/// Longest wait of [`finish`] for lines that are still to be written.
const FINISH_LIMIT: Duration = Duration::from_millis(100);

static STANDARD_OUTPUT: OnceLock<LineSink> = OnceLock::new();
static STANDARD_ERROR: OnceLock<LineSink> = OnceLock::new();

/// Writes a line of a service's log to standard error. The line break is part of `line`.
pub fn log_line(line: &[u8]) {
    STANDARD_ERROR.get_or_init(|| LineSink::start("log-writer", io::stderr())).push(line);
}

/// Writes a line of a service to standard output, such as the one that says where it listens.
pub fn announce(line: &str) {
    let sink = STANDARD_OUTPUT.get_or_init(|| LineSink::start("output-writer", io::stdout()));
    sink.push(format!("{line}\n").as_bytes());
}

/// Returns how many lines of this process's services could not be written and were dropped.
pub fn lost_lines() -> u64 {
    [&STANDARD_OUTPUT, &STANDARD_ERROR].into_iter().filter_map(OnceLock::get).map(LineSink::lost).sum()
}

/// Waits until all lines are written, for 0.1 s at most. To be called before the process ends.
pub fn finish() {
    let deadline = Instant::now() + FINISH_LIMIT;
    [&STANDARD_OUTPUT, &STANDARD_ERROR]
        .into_iter()
        .filter_map(OnceLock::get)
        .for_each(|s| s.finish(deadline));
}

/// Writes to a service's log. A write never fails and never waits; each write must be a whole line.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogWriter;

impl io::Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        log_line(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
