//! Output of commands that print a result and end.

use std::fmt;
use std::io::{self, ErrorKind, Write};
use std::sync::Mutex;

/// The error that ended the output of this process's command.
static FAILED: Mutex<Option<io::Error>> = Mutex::new(None);

/// Prints to standard output; used by [`crate::out!`] and [`crate::outln!`]. After an error, nothing more is
/// printed.
pub fn print(text: fmt::Arguments<'_>) {
    let mut failed = FAILED.lock().unwrap_or_else(|p| p.into_inner());
    if failed.is_none() {
        *failed = io::stdout().write_fmt(text).err();
    }
}

/// Returns whether everything was printed. A reader that closed the pipe has read all it wanted: that is no
/// error.
///
/// # Errors
/// Standard output could not be written for another reason, such as a full disk.
pub fn command_output_result() -> io::Result<()> {
    let mut failed = FAILED.lock().unwrap_or_else(|p| p.into_inner());
    let error = failed.take().or_else(|| io::stdout().flush().err());
    error.filter(|e| e.kind() != ErrorKind::BrokenPipe).map_or(Ok(()), Err)
}

/// Prints to standard output, like `print!`, but never panics.
#[macro_export]
macro_rules! out {
    ($($argument:tt)*) => { $crate::print(format_args!($($argument)*)) };
}

/// Prints a line to standard output, like `println!`, but never panics.
#[macro_export]
macro_rules! outln {
    () => { $crate::print(format_args!("\n")) };
    ($($argument:tt)*) => { $crate::print(format_args!("{}\n", format_args!($($argument)*))) };
}

/// Prints a line to standard error through [`crate::log_line`], like `eprintln!`, but never panics or waits.
#[macro_export]
macro_rules! errln {
    ($($argument:tt)*) => { $crate::log_line(format!("{}\n", format_args!($($argument)*)).as_bytes()) };
}
