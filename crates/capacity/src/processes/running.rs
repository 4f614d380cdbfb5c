//! A process of the program that ends with whoever measures it.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use super::{LONG, io_error};
use crate::MeasureError;

/// Bytes of a log that an error cites.
const CITED: usize = 600;

/// Killed when it is dropped: also where a measurement ends in an error.
pub(super) struct Running {
    child: Child,
    log: PathBuf,
}

impl Running {
    /// Starts it; what it says on standard error goes to a file.
    pub(super) fn start(command: &mut Command, log: PathBuf) -> Result<Running, MeasureError> {
        let errors = File::create(&log).map_err(io_error(&log.display().to_string()))?;
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(errors);
        let named = format!("cannot start {}", command.get_program().to_string_lossy());
        let child = command.spawn().map_err(io_error(&named))?;
        Ok(Running { child, log })
    }

    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the line that it prints once it listens.
    pub(super) fn line(&mut self) -> Result<String, MeasureError> {
        let said = self.said(LONG, |out| {
            let mut line = String::new();
            // An end without a line is told as an empty one.
            let _ = BufReader::new(out).read_line(&mut line);
            line
        });
        match said.as_str() {
            "" => Err(self.failed("did not come up")),
            _ => Ok(said),
        }
    }

    /// Waits for its end; all that it printed.
    pub(super) fn output(&mut self, within: Duration) -> Result<String, MeasureError> {
        let said = self.said(within, |mut out| {
            let mut text = String::new();
            let _ = out.read_to_string(&mut text);
            text
        });
        if said.is_empty() {
            return Err(self.failed("printed nothing"));
        }
        let ended = self.child.wait().map_err(io_error("the end of a process"))?;
        if !ended.success() {
            return Err(self.failed(&format!("ended with {ended}")));
        }
        Ok(said)
    }

    fn said(
        &mut self,
        within: Duration,
        read: impl FnOnce(ChildStdout) -> String + Send + 'static,
    ) -> String {
        let (tell, told) = mpsc::channel();
        if let Some(out) = self.child.stdout.take() {
            thread::spawn(move || tell.send(read(out)));
        }
        told.recv_timeout(within).unwrap_or_default()
    }

    /// What its log says so far. It has ended: an error with the end of it.
    pub(super) fn log(&mut self) -> Result<String, MeasureError> {
        let text = read_log(&self.log);
        match self.child.try_wait() {
            Ok(None) => Ok(text),
            _ => Err(self.failed("has ended")),
        }
    }

    fn failed(&self, what: &str) -> MeasureError {
        let log = read_log(&self.log);
        let from = log.len().saturating_sub(CITED);
        let from = (from..=log.len()).find(|at| log.is_char_boundary(*at)).unwrap_or_default();
        let end = log[from..].trim();
        MeasureError::Failed(format!("a process {what}; its log {} ends: {end}", self.log.display()))
    }
}

fn read_log(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

impl Drop for Running {
    fn drop(&mut self) {
        // One that has ended already is not there to be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
