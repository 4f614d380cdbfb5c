//! Measures the cost of reading the latest snapshot while another thread publishes: `reads [READERS]
//! [READS]`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use sync::Published;

/// Interval between two publications.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1);

fn measure(
    name: &str,
    readers: usize,
    reads: u64,
    publish: impl Fn(u64) + Sync,
    read: impl Fn(u64) -> u64 + Sync,
) {
    let finished = AtomicBool::new(false);
    let nanoseconds = thread::scope(|scope| {
        scope.spawn(|| {
            (1..).take_while(|_| !finished.load(Ordering::Relaxed)).for_each(|number| {
                publish(number);
                thread::sleep(PUBLISH_INTERVAL);
            });
        });
        let start = Instant::now();
        let handles: Vec<_> = (0..readers).map(|_| scope.spawn(|| read(reads))).collect();
        let seen: u64 = handles.into_iter().map(|reader| reader.join().expect("reader finished")).sum();
        let elapsed = start.elapsed();
        finished.store(true, Ordering::Relaxed);
        assert!(seen >= reads);
        elapsed.as_nanos() as f64 / reads as f64
    });
    println!("{name}: {nanoseconds:.1} ns a read");
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut next = |default| arguments.next().and_then(|a| a.parse().ok()).unwrap_or(default);
    let (readers, reads) = (next(1) as usize, next(20_000_000));
    let published = Published::new(1);
    let publish = |number: u64| {
        published.publish(number.max(1));
    };
    let refresh = |reads| {
        let mut held = published.latest();
        (0..reads).map(|_| (published.refresh(&mut held), *held).1.min(1)).sum()
    };
    measure("Published::refresh", readers, reads, publish, refresh);
    let latest = |reads| (0..reads).map(|_| (*published.latest()).min(1)).sum();
    measure("Published::latest", readers, reads, publish, latest);
    let swapped = ArcSwap::from_pointee(1u64);
    let load = |reads| (0..reads).map(|_| (**swapped.load()).min(1)).sum();
    measure("ArcSwap::load", readers, reads, |n| swapped.store(std::sync::Arc::new(n.max(1))), load);
    let full = |reads| (0..reads).map(|_| (*swapped.load_full()).min(1)).sum();
    measure("ArcSwap::load_full", readers, reads, |n| swapped.store(std::sync::Arc::new(n.max(1))), full);
}
