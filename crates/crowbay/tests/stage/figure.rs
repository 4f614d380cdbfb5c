//! Times that a term or a setting states. They pass; nothing is waited for.

use std::thread;
use std::time::{Duration, Instant};

pub fn pass(time: Duration) {
    let over = Instant::now() + time;
    while let left = over.saturating_duration_since(Instant::now())
        && left > Duration::ZERO
    {
        thread::sleep(left);
    }
}
