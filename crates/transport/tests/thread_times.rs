//! A thread's times grow with what it does, and whoever holds them reads those of that thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use transport::{ThreadTimes, Times};

const LONG: Duration = Duration::from_secs(30);
/// The scheduler counts by the tick, of 10 ms at most.
const TICK: i64 = 10_000;

/// Reads until something holds of what was added to the times.
fn until(times: &ThreadTimes, holds: impl Fn(Times) -> bool) -> Times {
    let (begun, end) = (times.read().expect("times"), Instant::now() + LONG);
    loop {
        let since = times.read().expect("times") - begun;
        if holds(since) {
            return since;
        }
        assert!(Instant::now() < end, "never: {since:?}");
    }
}

/// A thread that runs until it is told to end.
struct Spinner {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<()>,
    times: ThreadTimes,
}

impl Spinner {
    fn start() -> Spinner {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let (tell, told) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            tell.send(ThreadTimes::of_this_thread().expect("the system keeps times"))
                .expect("it is waited for");
            while !over.load(Ordering::Acquire) {
                std::hint::spin_loop();
            }
        });
        Spinner { is_over, thread, times: told.recv().expect("its times") }
    }

    /// Ends it. Its times without it.
    fn end(self) -> ThreadTimes {
        self.is_over.store(true, Ordering::Release);
        self.thread.join().expect("it ends");
        self.times
    }
}

#[test]
fn a_thread_that_works_runs_no_longer_than_the_time_that_passes() {
    let times = ThreadTimes::of_this_thread().expect("the system keeps times");
    let begun = Instant::now();
    let since = until(&times, |since| since.ran >= 10 * TICK);
    let span = begun.elapsed().as_micros() as i64;
    assert!(since.ran + since.delayed <= span + TICK, "{since:?} in {span}");
}

#[test]
fn among_more_threads_than_cores_one_wants_a_processor() {
    let cores = thread::available_parallelism().expect("cores").get();
    let others: Vec<Spinner> = (0..2 * cores).map(|_| Spinner::start()).collect();
    let times = ThreadTimes::of_this_thread().expect("the system keeps times");
    until(&times, |since| since.delayed >= TICK);
    others.into_iter().for_each(|spinner| drop(spinner.end()));
}

#[test]
fn another_threads_times_are_read_from_here_while_it_is_there() {
    let spinner = Spinner::start();
    until(&spinner.times, |since| since.ran >= 5 * TICK);
    let (times, end) = (spinner.end(), Instant::now() + LONG);
    while times.read().is_ok() {
        assert!(Instant::now() < end, "the system has times of a thread that ended");
    }
}
