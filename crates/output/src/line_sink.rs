//! A bounded queue of lines and the thread that writes them.

use std::collections::VecDeque;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::unistd::write;

/// Most bytes of lines that wait to be written.
const MAX_QUEUED_BYTES: usize = 128 << 10;

/// Accepts lines without ever waiting for the descriptor to which they are written.
pub(crate) struct LineSink(Arc<Shared>);

struct Shared {
    queue: Mutex<Queue>,
    /// A line was queued.
    queued: Condvar,
    /// The queue is empty and nothing is being written.
    drained: Condvar,
    lost: AtomicU64,
}

#[derive(Default)]
struct Queue {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    is_writing: bool,
}

impl LineSink {
    /// Starts a sink and its thread. If there is no thread, all lines are lost.
    pub(crate) fn start(name: &str, device: impl AsFd + Send + 'static) -> LineSink {
        let shared = Arc::new(Shared {
            queue: Mutex::default(),
            queued: Condvar::new(),
            drained: Condvar::new(),
            lost: AtomicU64::new(0),
        });
        let for_thread = shared.clone();
        // Without a thread the queue fills up, and what follows is counted as lost.
        let _ = thread::Builder::new().name(name.to_owned()).spawn(move || for_thread.write_lines(&device));
        LineSink(shared)
    }

    /// Queues a line; one that finds no room is lost.
    pub(crate) fn push(&self, line: &[u8]) {
        let mut queue = self.0.lock();
        if queue.bytes + line.len() > MAX_QUEUED_BYTES {
            self.0.lost.fetch_add(1, Ordering::Relaxed);
            return;
        }
        queue.bytes += line.len();
        queue.lines.push_back(line.to_vec());
        self.0.queued.notify_one();
    }

    pub(crate) fn lost(&self) -> u64 {
        self.0.lost.load(Ordering::Relaxed)
    }

    /// Waits until all lines are written or the deadline has passed.
    pub(crate) fn finish(&self, deadline: Instant) {
        let mut queue = self.0.lock();
        while queue.is_writing || !queue.lines.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            queue = self.0.drained.wait_timeout(queue, left).unwrap_or_else(|p| p.into_inner()).0;
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn write_lines(&self, device: &impl AsFd) {
        loop {
            let line = self.next_line();
            if write_whole(device, &line).is_err() {
                self.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Waits for the next line.
    fn next_line(&self) -> Vec<u8> {
        let mut queue = self.lock();
        queue.is_writing = false;
        loop {
            if let Some(line) = queue.lines.pop_front() {
                queue.bytes -= line.len();
                queue.is_writing = true;
                return line;
            }
            self.drained.notify_all();
            queue = self.queued.wait(queue).unwrap_or_else(|p| p.into_inner());
        }
    }
}

/// Writes all bytes, without the standard library's lock on the stream: a write that waits for its reader
/// must not hold up others that use the stream.
fn write_whole(device: &impl AsFd, mut bytes: &[u8]) -> nix::Result<()> {
    while !bytes.is_empty() {
        match write(device, bytes) {
            Ok(0) => return Err(Errno::EIO),
            Ok(written) => bytes = &bytes[written..],
            Err(Errno::EINTR) => {}
            // Whoever shares the descriptor has made it non-blocking.
            Err(Errno::EAGAIN) => {
                poll(&mut [PollFd::new(device.as_fd(), PollFlags::POLLOUT)], PollTimeout::NONE)?;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use std::fs::File;
    use std::io::{BufRead, BufReader};
    use std::time::Duration;

    use nix::unistd::pipe;

    use super::*;

    const LONG: Duration = Duration::from_secs(20);

    fn finish(sink: &LineSink) {
        sink.finish(Instant::now() + LONG);
    }

    #[test]
    fn lines_are_written_in_their_order() {
        let (reader, writer) = pipe().expect("a pipe");
        let sink = LineSink::start("test", writer);
        let lines = [b"first\n".as_slice(), b"second\n"];
        lines.iter().for_each(|line| sink.push(line));
        let mut read = BufReader::new(File::from(reader)).lines();
        assert_eq!(read.next().expect("a line").expect("it is text"), "first");
        assert_eq!(read.next().expect("a line").expect("it is text"), "second");
        assert_eq!(sink.lost(), 0);
    }

    #[test]
    fn lines_to_a_pipe_without_a_reader_are_lost_and_counted() {
        let (reader, writer) = pipe().expect("a pipe");
        drop(reader);
        let sink = LineSink::start("test", writer);
        (0..3).for_each(|_| sink.push(b"nobody reads this\n"));
        finish(&sink);
        assert_eq!(sink.lost(), 3);
    }

    #[test]
    fn lines_to_a_full_disk_are_lost_and_counted() {
        let full = File::options().write(true).open("/dev/full").expect("the device");
        let sink = LineSink::start("test", full);
        sink.push(b"no room\n");
        finish(&sink);
        assert_eq!(sink.lost(), 1);
    }

    #[test]
    fn a_reader_that_has_stopped_holds_up_nobody() {
        let (_reader, writer) = pipe().expect("a pipe");
        let sink = LineSink::start("test", writer);
        let line = [b'x'; 1024];
        // More than the pipe and the queue take.
        for _ in 0..1024 {
            sink.push(&line);
        }
        let begun = Instant::now();
        sink.finish(begun + Duration::from_millis(10));
        assert!(sink.lost() > 0);
        assert!(begun.elapsed() < LONG);
    }
}
