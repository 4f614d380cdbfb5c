//! A process of the day. Dropped, it is killed: none outlives the day.

use std::ffi::OsString;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child as Process, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::board::Board;
use crate::cost::{Counters, Usage, usage};
use crate::error::DayError;
use crate::line::Line;

/// What a line has to be read as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sort {
    /// A control machine.
    Machine,
    /// A process of gateways.
    Hollow,
}

/// A process, over all its starts.
#[derive(Debug)]
pub(crate) struct Child {
    pub(crate) name: String,
    pub(crate) sort: Sort,
    /// Its number on the board.
    number: usize,
    pub(crate) folder: PathBuf,
    pub(crate) log: PathBuf,
    board: Arc<Board>,
    process: Option<Process>,
    /// What its earlier starts have used and counted.
    before: Counters,
}

impl Child {
    pub(crate) fn new(name: &str, sort: Sort, number: usize, out: &Path, board: &Arc<Board>) -> Child {
        Child {
            name: name.to_owned(),
            sort,
            number,
            folder: out.join("state").join(name),
            log: out.join("logs").join(format!("{name}.log")),
            board: board.clone(),
            process: None,
            before: Counters::default(),
        }
    }

    /// Starts it. Its lines go to the board; lines that cannot be read go to its log.
    pub(crate) fn start(&mut self, program: &Path, arguments: &[OsString]) -> Result<(), DayError> {
        let failed = |e| DayError::Io(self.log.clone(), e);
        let log = || File::options().append(true).create(true).open(&self.log).map_err(failed);
        std::fs::create_dir_all(&self.folder).map_err(|e| DayError::Io(self.folder.clone(), e))?;
        let mut command = Command::new(program);
        // Its standard input stays open as long as this process lives: whatever becomes of that, nobody is left over.
        command.args(arguments).arg("--with-parent");
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log()?);
        let mut process = command.spawn().map_err(|e| DayError::Start(self.name.clone(), e))?;
        let (number, sort, board) = (self.number, self.sort, self.board.clone());
        let (start, mut unread) = (board.started(number), log()?);
        if let Some(output) = process.stdout.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    let read = match sort {
                        Sort::Machine => serde_json::from_str(&line).map(Line::Machine),
                        Sort::Hollow => serde_json::from_str(&line).map(Line::Hollow),
                    };
                    match read {
                        Ok(read) => board.said(number, start, read),
                        // Who waits for such a line says so at the end; the log then tells why.
                        Err(error) => drop(writeln!(unread, "not a status line ({error}): {line}")),
                    }
                }
                board.ended(number, start);
            });
        }
        self.process = Some(process);
        Ok(())
    }

    /// Kills it and does not wait: several that are struck go at once.
    pub(crate) fn strike(&mut self) {
        let now = self.counters();
        self.board.ending(self.number);
        if let Some(process) = &mut self.process {
            // One that has ended already needs no signal.
            let _ = process.kill();
            self.before = now;
        }
    }

    /// Waits for the end of one that was struck.
    pub(crate) fn bury(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.wait();
        }
    }

    /// Tells it to leave, and does not wait.
    pub(crate) fn tell(&mut self) {
        let now = self.counters();
        self.board.ending(self.number);
        if let Some(process) = &self.process {
            let _ = kill(Pid::from_raw(process.id() as i32), Signal::SIGTERM);
            self.before = now;
        }
    }

    /// Waits for the end of one that was told to leave.
    ///
    /// # Errors
    /// It did not leave in time, or not cleanly.
    pub(crate) fn see_off(&mut self, end: Instant) -> Result<(), DayError> {
        let Some(process) = &mut self.process else { return Ok(()) };
        let unclean = |how: String| DayError::Unclean { name: self.name.clone(), how, log: self.log.clone() };
        loop {
            match process.try_wait() {
                Ok(Some(status)) if status.success() => break,
                Ok(Some(status)) => return Err(unclean(format!("ended with {status}"))),
                Ok(None) if Instant::now() >= end => return Err(unclean("did not".into())),
                Ok(None) => std::thread::sleep(Duration::from_millis(20)),
                Err(error) => return Err(unclean(error.to_string())),
            }
        }
        self.process = None;
        Ok(())
    }

    /// What it has used and counted over all its starts, by its last line.
    pub(crate) fn counters(&self) -> Counters {
        let Some(process) = &self.process else { return self.before };
        let slots = self.board.lock();
        let line = slots[self.number].line.as_ref().filter(|_| slots[self.number].is_wanted);
        let now = match line {
            Some(line) => Counters::of(line),
            // It was struck, and is in what was before; or has said nothing yet.
            None if !slots[self.number].is_wanted => return self.before,
            None => Counters::default(),
        };
        self.before.plus(Counters { used: self.usage(process).used, ..now })
    }

    /// Bytes that it holds resident now.
    pub(crate) fn resident(&self) -> u64 {
        self.process.as_ref().map_or(0, |process| self.usage(process).resident)
    }

    fn usage(&self, process: &Process) -> Usage {
        // One that has just ended has no figures any more.
        usage(process.id()).unwrap_or_default()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.strike();
        self.bury();
    }
}
