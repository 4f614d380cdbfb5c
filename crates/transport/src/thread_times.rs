//! What the scheduler says of a thread: how long it ran, and how long it was ready to run and had no processor.

use std::fs::{self, File};
use std::io::{self, Read};
use std::ops::Sub;
use std::path::{Path, PathBuf};

use records::Micros;

/// Where the system has its figures, and in it the calling thread (proc(5)).
const SYSTEM: &str = "/proc";
const OWN: &str = "thread-self";
/// Three numbers of at most twenty digits.
const LONGEST: usize = 64;

/// The times of one thread; any thread may read them.
///
/// Danger: a file kept open for each would take descriptors that a configuration grants to connections. It is opened for a read
/// alone. Harm: a read costs that much more, and fails while there is no descriptor.
#[derive(Debug)]
pub struct ThreadTimes {
    path: PathBuf,
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
    /// The system has none.
    pub fn of_this_thread() -> io::Result<ThreadTimes> {
        let system = Path::new(SYSTEM);
        Ok(ThreadTimes { path: system.join(fs::read_link(system.join(OWN))?).join("schedstat") })
    }

    /// The times now.
    ///
    /// # Errors
    /// The thread is gone, there is no descriptor, or the system says something else than its documentation.
    pub fn read(&self) -> io::Result<Times> {
        let mut buffer = [0; LONGEST];
        let length = File::open(&self.path)?.read(&mut buffer)?;
        parse(&buffer[..length]).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
    }
}

fn parse(bytes: &[u8]) -> Option<Times> {
    let mut words = std::str::from_utf8(bytes).ok()?.split_ascii_whitespace();
    let mut micros = || words.next()?.parse::<Micros>().ok().map(|nanos| nanos / 1000);
    Some(Times { ran: micros()?, delayed: micros()? })
}
