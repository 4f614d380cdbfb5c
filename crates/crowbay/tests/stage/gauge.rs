//! What a process holds: memory and descriptors.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Resident memory of a process, in KB.
pub fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("its memory");
    line.split_ascii_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

/// Descriptors that a process has open.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors").count()
}

/// The most that a process held while this was there.
pub struct Gauge {
    over: Arc<AtomicBool>,
    looks: JoinHandle<(u64, usize)>,
}

impl Gauge {
    pub fn new(pid: u32) -> Gauge {
        let over = Arc::new(AtomicBool::new(false));
        let until = over.clone();
        let looks = thread::spawn(move || {
            let mut most = (0, 0);
            while !until.load(Ordering::SeqCst) {
                most = (memory_kb(pid).max(most.0), descriptors(pid).max(most.1));
                thread::sleep(Duration::from_millis(2));
            }
            most
        });
        Gauge { over, looks }
    }

    /// Memory in KB, and descriptors.
    pub fn most(self) -> (u64, usize) {
        self.over.store(true, Ordering::SeqCst);
        self.looks.join().expect("no panic")
    }
}
