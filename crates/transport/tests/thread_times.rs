//! Thread times grow with the work of their thread, and a holder reads the times of that thread only.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use transport::{ThreadTimes, Times};

const TIMEOUT: Duration = Duration::from_secs(30);
/// The scheduler accounts in ticks of at most 10 ms.
const TICK_MICROS: i64 = 10_000;

/// Reads the times until their increase satisfies a condition.
fn wait_until(times: &ThreadTimes, condition: impl Fn(Times) -> bool) -> Times {
    let (start, end) = (times.read().expect("read the times"), Instant::now() + TIMEOUT);
    loop {
        let since = times.read().expect("read the times") - start;
        if condition(since) {
            return since;
        }
        assert!(Instant::now() < end, "timed out: {since:?}");
    }
}

/// A thread that runs until it is stopped.
struct Spinner {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
    times: ThreadTimes,
}

impl Spinner {
    fn start() -> Spinner {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let (sender, receiver) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            sender
                .send(ThreadTimes::of_this_thread().expect("thread times are available"))
                .expect("the receiver is waiting");
            while !stopped.load(Ordering::Acquire) {
                std::hint::spin_loop();
            }
        });
        Spinner { stop, thread, times: receiver.recv().expect("the thread sends its times") }
    }

    /// Stops the thread and returns its times.
    fn stop(self) -> ThreadTimes {
        self.stop.store(true, Ordering::Release);
        self.thread.join().expect("join");
        self.times
    }
}

#[test]
fn run_and_wait_times_do_not_exceed_the_elapsed_time() {
    let times = ThreadTimes::of_this_thread().expect("thread times are available");
    let start = Instant::now();
    let since = wait_until(&times, |since| since.ran >= 10 * TICK_MICROS);
    let elapsed = start.elapsed().as_micros() as i64;
    assert!(since.ran + since.delayed <= elapsed + TICK_MICROS, "{since:?} in {elapsed}");
}

#[test]
fn a_thread_is_delayed_when_there_are_more_threads_than_cores() {
    let cores = thread::available_parallelism().expect("number of cores").get();
    let others: Vec<Spinner> = (0..2 * cores).map(|_| Spinner::start()).collect();
    let times = ThreadTimes::of_this_thread().expect("thread times are available");
    wait_until(&times, |since| since.delayed >= TICK_MICROS);
    others.into_iter().for_each(|spinner| drop(spinner.stop()));
}

#[test]
fn the_times_of_another_thread_are_readable_until_it_ends() {
    let spinner = Spinner::start();
    wait_until(&spinner.times, |since| since.ran >= 5 * TICK_MICROS);
    let (times, end) = (spinner.stop(), Instant::now() + TIMEOUT);
    while times.read().is_ok() {
        assert!(Instant::now() < end, "the times of an ended thread remain readable");
    }
}
