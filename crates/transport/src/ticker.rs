//! Wakes the engine when something is due.
//!
//! Danger: `may` 0.3.51 loses timed waits. Under load a `recv_timeout` of 100 us now and then never ends until a message
//! comes (measured: 14 waits of 20 s of mixed traffic hung until the next message); a gateway with nothing else to do then
//! held a request past its deadline. So no coroutine of the gateway waits with a time: this plain thread keeps the
//! time and sends a message, and everything that must end in time is ended by the engine.

use std::io;
use std::sync::{Arc, mpsc};
use std::thread::Thread;
use std::time::Duration;

use records::{Clock, Micros};

use crate::thread_times::ThreadTimes;
use crate::wake::Wake;

/// A thread that ticks.
pub struct Ticker {
    wake: Arc<Wake>,
    thread: Thread,
    times: Option<ThreadTimes>,
}

impl Ticker {
    /// Starts the thread; it calls `tick` once something is due. `tick` must not park its thread.
    pub fn start(clock: Clock, tick: impl Fn() + Send + 'static) -> io::Result<Ticker> {
        let wake = Arc::new(Wake::new());
        let own = wake.clone();
        let sleep = |span: Micros| std::thread::park_timeout(Duration::from_micros(span as u64));
        let (tell, told) = mpsc::sync_channel(1);
        let run = move || {
            let _ = tell.send(ThreadTimes::of_this_thread().ok()); // Whoever starts it waits for this.
            own.run(|| clock.now(), tick, sleep);
        };
        let thread = std::thread::Builder::new().name("ticker".into()).spawn(run)?.thread().clone();
        Ok(Ticker { wake, thread, times: told.recv().ok().flatten() })
    }

    /// The times of its thread, where the system keeps them.
    pub fn times(&self) -> Option<&ThreadTimes> {
        self.times.as_ref()
    }

    /// The next due time, in place of the one before.
    pub fn due(&self, at: Micros) {
        if self.wake.set(at) {
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
    fn an_earlier_due_time_wakes_it_and_every_one_is_ticked() {
        let (sender, ticks) = mpsc::channel();
        let clock = Clock::new();
        let ticker = Ticker::start(clock, move || {
            let _ = sender.send(()); // The test may be over.
        })
        .unwrap();
        for span in [50_000, 1000, 200, 0, 3000] {
            ticker.due(i64::MAX);
            while ticks.try_recv().is_ok() {}
            let at = clock.now() + span;
            ticker.due(at);
            ticks.recv_timeout(Duration::from_secs(10)).expect("a tick");
            assert!(clock.now() >= at);
        }
    }
}
