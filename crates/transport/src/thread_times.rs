//! Scheduler statistics of a thread: the time it ran, and the time it was ready to run but had no processor.

use std::fs::{self, File};
use std::io::{self, Read};
use std::ops::Sub;
use std::path::{Path, PathBuf};

use records::Micros;

/// The proc file system, and in it the link to the calling thread (proc(5)).
const PROC: &str = "/proc";
const CALLING_THREAD: &str = "thread-self";
/// Length of three numbers of at most twenty digits, with room to spare.
const BUFFER_BYTES: usize = 64;

/// Access to the times of one thread; any thread may read them.
///
/// The file is opened for each read, because a file kept open per thread would take descriptors that a
/// configuration grants to connections. The cost is a slower read that fails while no descriptor is
/// available.
#[derive(Debug)]
pub struct ThreadTimes {
    path: PathBuf,
}

/// Times of a thread since its start, or between two reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Times {
    /// Time on a processor.
    pub ran: Micros,
    /// Time ready to run without a processor. A wait that is still going on is not included.
    pub delayed: Micros,
}

impl Sub for Times {
    type Output = Times;

    fn sub(self, before: Times) -> Times {
        Times { ran: self.ran - before.ran, delayed: self.delayed - before.delayed }
    }
}

impl ThreadTimes {
    /// The times of the calling thread.
    ///
    /// # Errors
    ///
    /// The system does not provide them.
    pub fn of_this_thread() -> io::Result<ThreadTimes> {
        let proc = Path::new(PROC);
        Ok(ThreadTimes { path: proc.join(fs::read_link(proc.join(CALLING_THREAD))?).join("schedstat") })
    }

    /// Reads the current times.
    ///
    /// # Errors
    ///
    /// The thread is gone, no descriptor is available, or the content is not as documented.
    pub fn read(&self) -> io::Result<Times> {
        let mut buffer = [0; BUFFER_BYTES];
        let length = File::open(&self.path)?.read(&mut buffer)?;
        parse(&buffer[..length]).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
    }
}

fn parse(bytes: &[u8]) -> Option<Times> {
    let mut words = std::str::from_utf8(bytes).ok()?.split_ascii_whitespace();
    let mut micros = || words.next()?.parse::<Micros>().ok().map(|nanos| nanos / 1000);
    Some(Times { ran: micros()?, delayed: micros()? })
}
