//! What the scheduler says of a thread: how long it ran, and how long it was ready to run and had no processor.

use std::fs::File;
use std::io;
use std::ops::Sub;
use std::os::unix::fs::FileExt;

use records::Micros;

/// Where a thread finds its own figures (proc(5), `schedstat`).
const OWN: &str = "/proc/thread-self/schedstat";
/// Three numbers of at most twenty digits.
const LONGEST: usize = 64;

/// The times of one thread; any thread may read them.
#[derive(Debug)]
pub struct ThreadTimes {
    file: File,
}

/// Times of a thread since its start, or between two reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Times {
    /// On a processor.
    pub ran: Micros,
    /// Ready to run without a processor. A thread that still waits for one has its present wait not counted.
    pub delayed: Micros,
}

impl Sub for Times {
    type Output = Times;

    fn sub(self, before: Times) -> Times {
        Times { ran: self.ran - before.ran, delayed: self.delayed - before.delayed }
    }
}

impl ThreadTimes {
    /// Those of the thread that calls.
    ///
    /// # Errors
    /// The system keeps none, or no file can be opened.
    pub fn of_this_thread() -> io::Result<ThreadTimes> {
        Ok(ThreadTimes { file: File::open(OWN)? })
    }

    /// The times now.
    ///
    /// # Errors
    /// The thread is gone, or the system says something else than its documentation.
    pub fn read(&self) -> io::Result<Times> {
        let mut buffer = [0; LONGEST];
        let length = self.file.read_at(&mut buffer, 0)?;
        parse(&buffer[..length]).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
    }
}

fn parse(bytes: &[u8]) -> Option<Times> {
    let mut words = std::str::from_utf8(bytes).ok()?.split_ascii_whitespace();
    let mut micros = || words.next()?.parse::<Micros>().ok().map(|nanos| nanos / 1000);
    Some(Times { ran: micros()?, delayed: micros()? })
}
