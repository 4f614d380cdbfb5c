//! The gateway's process, over all its lives.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

use crate::client::pause;
use crate::error::SoakError;
use crate::http::{Side, Wire};
use crate::records::{MILLI, Micros, SECOND, now};
use crate::threads::Threads;

/// How often a condition is looked at.
const LOOK: Micros = MILLI;
/// One question whether it is ready takes so long at most.
const READY: Micros = SECOND;

/// One life of the gateway's process. Dropped, it is killed.
#[derive(Debug)]
pub(crate) struct Gateway {
    program: PathBuf,
    child: Child,
    address: SocketAddr,
}

impl Gateway {
    /// Starts it on a configuration, with its log behind those of earlier lives.
    pub(crate) fn start(program: &Path, folder: &Path, address: SocketAddr) -> Result<Gateway, SoakError> {
        let path = folder.join("gateway.log");
        let log = File::options().append(true).create(true).open(&path);
        let log = log.map_err(|error| SoakError::File { path, error })?;
        let mut command = Command::new(program);
        command.arg("platform").env("PROXY_CONFIG", folder.join("config.json"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn();
        let child = child.map_err(|error| SoakError::Process { program: program.to_owned(), error })?;
        Ok(Gateway { program: program.to_owned(), child, address })
    }

    /// Sends a signal; one that has ended needs none.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), SoakError> {
        match kill(Pid::from_raw(self.child.id() as i32), signal) {
            Ok(()) | Err(nix::errno::Errno::ESRCH) => Ok(()),
            Err(error) => Err(SoakError::Process { program: self.program.clone(), error: error.into() }),
        }
    }

    /// How it has ended, if it has.
    pub(crate) fn ended(&mut self) -> Result<Option<String>, SoakError> {
        let status = self.child.try_wait();
        let status = status.map_err(|error| SoakError::Process { program: self.program.clone(), error })?;
        Ok(status.map(|status| status.to_string()))
    }

    /// Waits until it answers that it is ready, or a time is over, or it has ended.
    pub(crate) fn until_ready(&mut self, until: Micros) -> Result<Option<Micros>, SoakError> {
        while now() < until {
            if self.is_ready() {
                return Ok(Some(now()));
            }
            if self.ended()?.is_some() {
                return Ok(None);
            }
            pause(LOOK);
        }
        Ok(None)
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_micros(READY as u64))
        else {
            return false;
        };
        let Ok(mut wire) = Wire::new(stream, Side::Client) else { return false };
        let question = b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        wire.write(question).is_ok() && wire.read(now() + READY).is_ok_and(|answer| answer.first.0 == "200")
    }

    /// Waits for its end until a time.
    pub(crate) fn until_ended(&mut self, until: Micros) -> Result<Option<(Micros, String)>, SoakError> {
        loop {
            if let Some(how) = self.ended()? {
                return Ok(Some((now(), how)));
            }
            if now() >= until {
                return Ok(None);
            }
            pause(LOOK);
        }
    }

    /// Its threads now.
    pub(crate) fn threads(&self) -> Threads {
        Threads::of(self.child.id())
    }

    /// Writes a line into its log.
    pub(crate) fn note(folder: &Path, line: &str) -> Result<(), SoakError> {
        let path = folder.join("gateway.log");
        let log = File::options().append(true).open(&path);
        let written = log.and_then(|mut log| writeln!(log, "restartsoak: {line}"));
        written.map_err(|error| SoakError::File { path, error })
    }

    /// Descriptors, and resident memory in KB, while it runs.
    pub(crate) fn held(&self) -> Option<(usize, u64)> {
        let folder = Path::new("/proc").join(self.child.id().to_string());
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count();
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let memory = line.split_ascii_whitespace().nth(1)?.parse().ok()?;
        Some((descriptors, memory))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // One that has ended already needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the configuration that the next start or SIGHUP reads.
pub(crate) fn write_configuration(folder: &Path, configuration: &Value) -> Result<(), SoakError> {
    write(folder, &configuration.to_string())
}

/// Writes a configuration that cannot be read.
pub(crate) fn write_garbage(folder: &Path) -> Result<(), SoakError> {
    write(folder, "{\"name\": ")
}

fn write(folder: &Path, text: &str) -> Result<(), SoakError> {
    let path = folder.join("config.json");
    std::fs::write(&path, text).map_err(|error| SoakError::File { path, error })
}
