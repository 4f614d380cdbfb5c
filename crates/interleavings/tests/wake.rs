//! The ticker's due time is set, and the ticker stopped, while its thread goes to sleep.
//!
//! The thread's `sleep` is a park whose time never passes, but where a test says that it does: what must be woken and isn't
//! sleeps for ever, and the checker calls that a deadlock.

extern crate interleavings as sync;

#[path = "../../transport/src/wake.rs"]
mod wake;

use std::sync::atomic::{AtomicI64, Ordering};

use records::Micros;
use sync::checker::{Fault, assert_detected, check};
use sync::{Arc, QueueReceiver, QueueSender, injected, queue, thread};
use wake::{MAX_SLEEP, REPEAT_INTERVAL, Wake};

/// Sets and stops as `Ticker` does.
struct Ticker {
    wake: Arc<Wake>,
    thread: thread::JoinHandle<()>,
    ticks: QueueReceiver<Micros>,
}

impl Ticker {
    /// `passes`: time passes until then, and no further.
    fn start(passes: Micros) -> Ticker {
        let (wake, (ticked, ticks)) = (Arc::new(Wake::new()), queue());
        let own = wake.clone();
        let thread = thread::spawn(move || keep(&own, &ticked, passes));
        Ticker { wake, thread, ticks }
    }

    fn due(&self, at: Micros) {
        if self.wake.set_due(at) {
            self.thread.thread().unpark();
        }
    }

    /// Stops it, and waits until it has ended.
    fn stop(self) {
        self.wake.stop();
        if !injected!(StopWithoutWake) {
            self.thread.thread().unpark();
        }
        self.thread.join().expect("it ended");
    }
}

fn keep(wake: &Wake, ticked: &QueueSender<Micros>, passes: Micros) {
    // The thread's own: only it reads the clock.
    let clock = AtomicI64::new(0);
    let now = || clock.load(Ordering::Relaxed);
    let tick = || assert!(ticked.send(now()), "nobody takes the tick");
    let sleep = |span: Micros| {
        assert!((1..=MAX_SLEEP).contains(&span), "it would sleep for {span}");
        if now() + span <= passes {
            clock.fetch_add(span, Ordering::Relaxed);
        } else {
            thread::park();
        }
    };
    wake.run(now, tick, sleep);
}

/// What is due at once is ticked though no time passes.
fn due_at_once() {
    let ticker = Ticker::start(0);
    ticker.due(0);
    assert_eq!(ticker.ticks.receive(), Some(0));
    ticker.stop();
}

/// The engine takes the tick and sets the next, twice.
fn due_again() {
    let ticker = Ticker::start(0);
    ticker.due(0);
    assert_eq!(ticker.ticks.receive(), Some(0));
    ticker.due(Micros::MAX);
    ticker.due(0);
    assert_eq!(ticker.ticks.receive(), Some(0));
    ticker.stop();
}

/// It sleeps until the earlier of two times, in whichever order they are set.
fn due_earlier() {
    let ticker = Ticker::start(50);
    ticker.due(MAX_SLEEP * 2);
    ticker.due(50);
    let at = ticker.ticks.receive();
    assert_eq!(at, Some(50), "it ticked at {at:?}");
    ticker.stop();
}

/// A tick that is not handled is repeated.
fn not_handled() {
    let ticker = Ticker::start(REPEAT_INTERVAL);
    ticker.due(0);
    assert_eq!(ticker.ticks.receive(), Some(0));
    assert_eq!(ticker.ticks.receive(), Some(REPEAT_INTERVAL));
    ticker.due(Micros::MAX);
    ticker.stop();
}

#[test]
fn whatever_is_due_is_ticked() {
    println!("at once: {}", check(None, due_at_once));
    println!("again: {}", check(Some(2), due_again));
    println!("earlier: {}", check(Some(2), due_earlier));
}

#[test]
fn a_stop_is_never_slept_through() {
    println!("{}", check(None, || Ticker::start(0).stop()));
}

#[test]
fn a_lost_wake_up_is_caught() {
    assert_detected(Fault::DueNotRechecked, "deadlock", Some(3), due_at_once);
    assert_detected(Fault::NoFence, "deadlock", Some(3), due_at_once);
}

#[test]
fn a_stop_that_wakes_nobody_is_caught() {
    assert_detected(Fault::StopWithoutWake, "deadlock", None, || Ticker::start(0).stop());
}

#[test]
fn what_is_not_handled_is_ticked_again() {
    println!("{}", check(Some(1), not_handled));
}
