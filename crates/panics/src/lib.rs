//! What a panic means for a process.
//!
//! A panic is a fault of the program. With [`install_hook`], one on any thread or coroutine is logged as one
//! line at level ERROR and ends the process at once with [`EXIT_CODE`]: a process whose engine, listener or
//! timer is gone would go on and serve nobody, and whoever supervises it would take its end for an orderly
//! one. A task that serves one connection runs inside [`contain`] instead: its panic ends that task alone, is
//! counted, and its owner closes the connection.
//!
//! It is not a way to handle errors, and nothing is retried after a panic.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod test_trigger;

use std::any::Any;
use std::cell::Cell;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};

pub use test_trigger::test_point;

/// Exit code of a process that a panic ended; the one that Rust uses for a panic of the main thread.
pub const EXIT_CODE: i32 = 101;

static CONTAINED: AtomicU64 = AtomicU64::new(0);

// Whether the current thread or coroutine is inside of `contain`.
may::coroutine_local! {
    static IS_CONTAINED: Cell<bool> = Cell::new(false)
}

/// A contained task has panicked. The panic has been logged and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Panicked;

/// Makes every panic outside of [`contain`] end the process. To be called once, before the process starts any
/// thread or coroutine.
pub fn install_hook() {
    std::panic::set_hook(Box::new(|info| {
        report(info);
        if !IS_CONTAINED.with(Cell::get) {
            output::finish();
            // Without unwinding: destructors may wait for the task that has just ended.
            std::process::exit(EXIT_CODE);
        }
    }));
}

/// Runs a task that may end alone, such as the one that serves a connection. Data that the task shares with
/// others must be fit for use after a panic at any point.
///
/// # Errors
/// The task has panicked.
pub fn contain<T>(task: impl FnOnce() -> T) -> Result<T, Panicked> {
    let was_contained = IS_CONTAINED.with(|flag| flag.replace(true));
    let result = catch_unwind(AssertUnwindSafe(task));
    IS_CONTAINED.with(|flag| flag.set(was_contained));
    result.map_err(|_| {
        CONTAINED.fetch_add(1, Ordering::Relaxed);
        Panicked
    })
}

/// Returns how many contained tasks of this process have panicked.
pub fn contained_count() -> u64 {
    CONTAINED.load(Ordering::Relaxed)
}

/// Logs a panic; where no log was started, writes it to standard error.
fn report(info: &PanicHookInfo<'_>) {
    let task = current_task();
    let place = info.location().map_or("unknown".to_owned(), ToString::to_string);
    let reason = message(info.payload());
    let consequence = if IS_CONTAINED.with(Cell::get) {
        "its connection is closed and the process goes on"
    } else {
        "the process ends"
    };
    if tracing::enabled!(tracing::Level::ERROR) {
        tracing::error!(
            task,
            place,
            reason,
            "panic, a fault of the program: {consequence}; please report this line with the log before it"
        );
    } else {
        output::errln!("ERROR panic in {task} at {place}: {reason}; a fault of the program: {consequence}");
    }
}

/// The name of the current coroutine, or of the thread outside of one.
fn current_task() -> String {
    let unnamed = || "unnamed".to_owned();
    if may::coroutine::is_coroutine() {
        may::coroutine::current().name().map_or_else(unnamed, str::to_owned)
    } else {
        std::thread::current().name().map_or_else(unnamed, str::to_owned)
    }
}

fn message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "no message".to_owned())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn contained_panic_is_counted_and_what_was_contained_before_stays_so() {
        let before = contained_count();
        let nested = contain(|| {
            let inner = contain(|| -> u32 { panic!("a test's panic") });
            (inner, IS_CONTAINED.with(Cell::get))
        });
        assert_eq!(nested, Ok((Err(Panicked), true)));
        assert_eq!(contain(|| 7), Ok(7));
        assert!(!IS_CONTAINED.with(Cell::get));
        assert_eq!(contained_count(), before + 1);
    }
}
