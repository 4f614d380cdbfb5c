//! What the system says of a process: processor time, memory, threads, descriptors.

use std::io::ErrorKind;
use std::thread;
use std::time::{Duration, Instant};

use super::{LONG, io_error};
use crate::MeasureError;

/// What the system counts processor time in: a hundredth of a second, for all programs.
const TICK: Duration = Duration::from_millis(10);
/// Between two looks at a process that is to come to rest.
const PAUSE: Duration = Duration::from_millis(2);

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Resident now.
    pub resident: u64,
    /// The most that was resident; the system counts it to a MB or so.
    pub peak: u64,
}

/// A process at rest.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    /// Time that its threads ran, in sum.
    pub run_time: Duration,
    /// Since when at the latest.
    pub since: Instant,
}

fn read(path: &str) -> Result<String, MeasureError> {
    std::fs::read_to_string(path).map_err(io_error(path))
}

fn odd(path: &str) -> MeasureError {
    MeasureError::Failed(format!("{path} is not in the form that is known here"))
}

/// Processor time of a process with all threads it had: `utime` and `stime`, to a hundredth of a second.
///
/// # Errors
/// It has ended.
pub fn processor_time(pid: u32) -> Result<Duration, MeasureError> {
    let path = format!("/proc/{pid}/stat");
    let text = read(&path)?;
    // The name may hold anything but ends with the last ')'; the time is in the 14th and 15th field of all.
    let fields: Vec<&str> = text.rsplit_once(')').map_or("", |t| t.1).split_ascii_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<u32>().ok());
    let (user, system) = ticks(11).zip(ticks(12)).ok_or_else(|| odd(&path))?;
    Ok(TICK * user + TICK * system)
}

/// Time that the threads of a process ran, to the nanosecond; without those that have ended.
///
/// # Errors
/// The process has ended.
pub fn run_time(pid: u32) -> Result<Duration, MeasureError> {
    Ok(look(pid)?.0)
}

/// Run time of all threads, and whether all of them sleep.
fn look(pid: u32) -> Result<(Duration, bool), MeasureError> {
    let path = format!("/proc/{pid}/task");
    let (mut run, mut sleeps, mut seen) = (Duration::ZERO, true, 0);
    for thread in std::fs::read_dir(&path).map_err(io_error(&path))? {
        let own = thread.map_err(io_error(&path))?.path();
        let texts = std::fs::read_to_string(own.join("schedstat"))
            .and_then(|schedule| Ok((schedule, std::fs::read_to_string(own.join("stat"))?)));
        let (schedule, stat) = match texts {
            Ok(texts) => texts,
            // A thread that has ended meanwhile: not there, or no such process.
            Err(e) if e.kind() == ErrorKind::NotFound || e.raw_os_error() == Some(3) => continue,
            Err(e) => return Err(MeasureError::Io(own.display().to_string(), e)),
        };
        let nanos = schedule.split_ascii_whitespace().next().and_then(|n| n.parse().ok());
        run += Duration::from_nanos(nanos.ok_or_else(|| odd(&own.display().to_string()))?);
        let state = stat.rsplit_once(')').map_or("", |t| t.1).trim_start();
        // A thread that is about to go says nothing about the others; of a process that has ended all are so.
        if state.starts_with(['Z', 'X']) {
            continue;
        }
        sleeps &= state.starts_with('S');
        seen += 1;
    }
    match seen {
        0 => Err(MeasureError::Failed(format!("process {pid} has ended"))),
        _ => Ok((run, sleeps)),
    }
}

/// Waits until a process is at rest: all its threads sleep, and none has run between two looks.
///
/// # Errors
/// It has ended, or never rests.
pub fn settle(pid: u32) -> Result<Rest, MeasureError> {
    rests(pid, None)
}

/// Waits until a process has run since it was at rest, and is so again.
///
/// # Errors
/// It has ended, never runs, or never rests.
pub fn settle_beyond(pid: u32, before: Rest) -> Result<Rest, MeasureError> {
    rests(pid, Some(before.run_time))
}

fn rests(pid: u32, beyond: Option<Duration>) -> Result<Rest, MeasureError> {
    let end = Instant::now() + LONG;
    let (mut run_time, mut since) = (look(pid)?.0, Instant::now());
    while Instant::now() < end {
        thread::sleep(PAUSE);
        let (now, sleeps) = look(pid)?;
        if now != run_time {
            (run_time, since) = (now, Instant::now());
        } else if sleeps && beyond.is_none_or(|b| run_time > b) {
            return Ok(Rest { run_time, since });
        }
    }
    Err(MeasureError::Failed(format!("process {pid} never came to rest within {LONG:?}")))
}

fn status(pid: u32, name: &str) -> Result<u64, MeasureError> {
    let path = format!("/proc/{pid}/status");
    let text = read(&path)?;
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':'));
    let number = line.and_then(|l| l.split_ascii_whitespace().next()?.parse().ok());
    number.ok_or_else(|| odd(&path))
}

/// Memory of a process.
///
/// # Errors
/// It has ended.
pub fn memory(pid: u32) -> Result<Memory, MeasureError> {
    Ok(Memory { resident: status(pid, "VmRSS")? << 10, peak: status(pid, "VmHWM")? << 10 })
}

/// Threads of a process.
///
/// # Errors
/// It has ended.
pub fn threads(pid: u32) -> Result<u64, MeasureError> {
    status(pid, "Threads")
}

/// Descriptors that a process has open.
///
/// # Errors
/// It has ended.
pub fn descriptors(pid: u32) -> Result<u64, MeasureError> {
    let path = format!("/proc/{pid}/fd");
    Ok(std::fs::read_dir(&path).map_err(io_error(&path))?.count() as u64)
}

/// Descriptors that this process, and those it starts, may have open.
///
/// # Errors
/// The system does not say.
pub fn descriptor_limit() -> Result<u64, MeasureError> {
    let path = "/proc/self/limits";
    let text = read(path)?;
    let line = text.lines().find_map(|l| l.strip_prefix("Max open files"));
    match line.and_then(|l| l.split_ascii_whitespace().next()) {
        Some("unlimited") => Ok(u64::MAX),
        Some(number) => number.parse().map_err(|_| odd(path)),
        None => Err(odd(path)),
    }
}

/// The machine's load averages over 1, 5 and 15 minutes: figures taken beside others are noisy.
///
/// # Errors
/// The system does not say.
pub fn load_averages() -> Result<String, MeasureError> {
    let text = read("/proc/loadavg")?;
    Ok(text.split_ascii_whitespace().take(3).collect::<Vec<_>>().join(" "))
}
