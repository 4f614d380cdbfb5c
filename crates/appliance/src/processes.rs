//! Processes that outlive their supervisor.

use std::fmt;
use std::fs::{File, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Why an identity could not be had.
#[derive(Debug, thiserror::Error)]
pub enum IdentityError {
    /// Another process has it.
    #[error("{0} is held by process {1}: a second one on its identity is not started")]
    Taken(PathBuf, u32),
    /// The lock file.
    #[error("the lock {0}: {1}")]
    Io(PathBuf, io::Error),
}

/// A process's hold on its identity: a lock that ends with the process, however it ends.
#[derive(Debug)]
pub struct Identity {
    _file: File,
}

impl Identity {
    /// Takes an identity and writes the process's number into its lock file.
    ///
    /// # Errors
    /// Another process has it, or the file cannot be made.
    pub fn take(path: &Path) -> Result<Identity, IdentityError> {
        let failed = |e| IdentityError::Io(path.to_owned(), e);
        let mut file =
            File::options().read(true).write(true).create(true).truncate(false).open(path).map_err(failed)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(IdentityError::Taken(path.to_owned(), number(&mut file)));
            }
            Err(TryLockError::Error(e)) => return Err(failed(e)),
        }
        file.set_len(0).and_then(|()| file.rewind()).map_err(failed)?;
        write!(file, "{}", std::process::id()).map_err(failed)?;
        Ok(Identity { _file: file })
    }

    /// The process that has an identity, if one does. Asking does not take it.
    pub(crate) fn holder(path: &Path) -> Option<u32> {
        let mut file = File::open(path).ok()?;
        match file.try_lock_shared() {
            Ok(()) => None,
            Err(_) => Some(number(&mut file)).filter(|&n| n > 0),
        }
    }
}

fn number(file: &mut File) -> u32 {
    let mut text = String::new();
    let _ = file.read_to_string(&mut text); // One that cannot be read has no number.
    text.trim().parse().unwrap_or(0)
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessEnd {
    /// By itself or by a signal.
    Exited(ExitStatus),
    /// It was started by an earlier supervisor, so that its status is not known.
    Unknown,
}

impl fmt::Display for ProcessEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProcessEnd::Exited(status) => status.fmt(f),
            ProcessEnd::Unknown => f.write_str("exit status unknown"),
        }
    }
}

/// A process of the site, started by this supervisor or by one before it.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) control: PathBuf,
    lock: PathBuf,
    log: PathBuf,
    args: Vec<String>,
    child: Option<Child>,
}

impl Process {
    pub(crate) fn new(name: &str, state: &Path, args: Vec<String>) -> Self {
        Process {
            name: name.to_owned(),
            control: state.join(format!("{name}.sock")),
            lock: state.join(format!("{name}.lock")),
            log: state.join(format!("{name}.log")),
            args,
            child: None,
        }
    }

    /// The process that runs on this identity.
    pub(crate) fn holder(&self) -> Option<u32> {
        Identity::holder(&self.lock)
    }

    pub(crate) fn start(&mut self, exe: &Path) -> io::Result<()> {
        let log = File::options().append(true).create(true).open(&self.log)?;
        let mut command = Command::new(exe);
        command.args(&self.args).arg("--control").arg(&self.control).arg("--lock").arg(&self.lock);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // A group of its own: what ends the supervisor's terminal does not end the site.
        command.process_group(0);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// How it has ended, if it has; a child is taken off the system's list.
    pub(crate) fn end(&mut self) -> Option<ProcessEnd> {
        let Some(child) = &mut self.child else {
            return self.holder().is_none().then_some(ProcessEnd::Unknown);
        };
        let end = match child.try_wait() {
            Ok(None) => return None,
            Ok(Some(status)) => ProcessEnd::Exited(status),
            Err(_) => ProcessEnd::Unknown,
        };
        self.child = None;
        Some(end)
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let number = self.child.as_ref().map(Child::id).or_else(|| self.holder());
        if let Some(number) = number.filter(|&n| n > 1) {
            let _ = kill(Pid::from_raw(number as i32), signal); // It may have ended meanwhile.
        }
    }
}
