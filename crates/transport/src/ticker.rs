//! Wakes the engine when something is due.
//!
//! `may` 0.3.51 loses timed waits: under load a `recv_timeout` of 100 us occasionally does not end until a
//! message arrives (measured: 14 waits in 20 s of mixed traffic hung until the next message), and a gateway
//! with nothing else to do then held a request past its deadline. Therefore no coroutine of the gateway waits
//! with a timeout: this plain thread keeps time and sends a message, and everything that must end in time is
//! ended by the engine.

use std::io;
use std::sync::{Arc, mpsc};
use std::thread::Thread;
use std::time::Duration;

use records::{Clock, Micros};

use crate::thread_times::ThreadTimes;
use crate::wake::Wake;

/// A thread that calls back when something is due.
pub struct Ticker {
    wake: Arc<Wake>,
    thread: Thread,
    times: Option<ThreadTimes>,
}

impl Ticker {
    /// Starts the thread. It calls `tick` at the due time, and every millisecond after it until the due time
    /// is replaced. `tick` must not park: that could consume the wake-up of `set_due`.
    pub fn start(clock: Clock, tick: impl Fn() + Send + 'static) -> io::Result<Ticker> {
        let wake = Arc::new(Wake::new());
        let thread_wake = wake.clone();
        let sleep = |duration: Micros| std::thread::park_timeout(Duration::from_micros(duration as u64));
        let (sender, receiver) = mpsc::sync_channel(1);
        let run = move || {
            let _ = sender.send(ThreadTimes::of_this_thread().ok()); // The starting thread waits for this.
            thread_wake.run(|| clock.now(), tick, sleep);
        };
        let thread = std::thread::Builder::new().name("ticker".into()).spawn(run)?.thread().clone();
        Ok(Ticker { wake, thread, times: receiver.recv().ok().flatten() })
    }

    /// The times of the ticker's thread, if the system provides them.
    pub fn times(&self) -> Option<&ThreadTimes> {
        self.times.as_ref()
    }

    /// Sets the next due time, replacing the previous one.
    pub fn set_due(&self, at: Micros) {
        if self.wake.set_due(at) {
            self.thread.unpark();
        }
    }
}

impl Drop for Ticker {
    fn drop(&mut self) {
        self.wake.stop();
        self.thread.unpark();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc;

    #[test]
    fn an_earlier_due_time_wakes_the_thread_and_each_due_time_ticks() {
        let (sender, ticks) = mpsc::channel();
        let clock = Clock::new();
        let ticker = Ticker::start(clock, move || {
            let _ = sender.send(()); // The test may be over.
        })
        .unwrap();
        for delay in [50_000, 1000, 200, 0, 3000] {
            ticker.set_due(i64::MAX);
            while ticks.try_recv().is_ok() {}
            let at = clock.now() + delay;
            ticker.set_due(at);
            ticks.recv_timeout(Duration::from_secs(10)).expect("a tick");
            assert!(clock.now() >= at);
        }
    }
}
