//! A terminal console: runs one program on a pseudo-terminal of its own, as a login shell would, and closes the
//! console when it is told to. Only the standard library and the system's C library are used.
//!
//! `console FOLDER PROGRAM ARGS...` starts the program as the leader of a session whose controlling terminal, standard
//! input, output and error are the console. It writes the process's number to FOLDER/pid, what the program prints
//! to FOLDER/screen, and how it ended to FOLDER/end. Once FOLDER/close exists, the console is closed: the system then
//! sends SIGHUP, and writes to the terminal fail.

use std::ffi::{CStr, c_char, c_int, c_ulong};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::fd::{AsRawFd, FromRawFd};
use std::os::unix::fs::OpenOptionsExt;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, ExitCode};
use std::thread;
use std::time::Duration;

const O_RDWR: c_int = 2;
const O_NOCTTY: c_int = 0o400;
/// The program must not hold the master side, or the console would stay open.
const O_CLOEXEC: c_int = 0o2000000;
const TIOCSCTTY: c_ulong = 0x540E;

unsafe extern "C" {
    fn posix_openpt(flags: c_int) -> c_int;
    fn grantpt(fd: c_int) -> c_int;
    fn unlockpt(fd: c_int) -> c_int;
    fn ptsname_r(fd: c_int, name: *mut c_char, length: usize) -> c_int;
    fn setsid() -> c_int;
    fn ioctl(fd: c_int, request: c_ulong, ...) -> c_int;
}

/// Opens a pseudo-terminal: its master side, and the path of its other side.
fn open_terminal() -> io::Result<(File, String)> {
    let mut name = [0; 128];
    // SAFETY: the descriptor is checked and owned by the file alone; the name has room for the length that is given.
    unsafe {
        let fd = posix_openpt(O_RDWR | O_NOCTTY | O_CLOEXEC);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let master = File::from_raw_fd(fd);
        if grantpt(fd) != 0 || unlockpt(fd) != 0 || ptsname_r(fd, name.as_mut_ptr(), name.len()) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok((master, CStr::from_ptr(name.as_ptr()).to_string_lossy().into_owned()))
    }
}

fn run(folder: &Path, program: &str, args: &[String]) -> io::Result<()> {
    let (mut master, path) = open_terminal()?;
    let terminal = OpenOptions::new().read(true).write(true).custom_flags(O_NOCTTY).open(path)?;
    let mut command = Command::new(program);
    command
        .args(args)
        .stdin(terminal.try_clone()?)
        .stdout(terminal.try_clone()?)
        .stderr(terminal.try_clone()?);
    // SAFETY: between fork and exec only two system calls are made.
    unsafe {
        command.pre_exec(|| {
            if setsid() < 0 || ioctl(0, TIOCSCTTY, 0) < 0 { Err(io::Error::last_os_error()) } else { Ok(()) }
        });
    }
    let mut child = command.spawn()?;
    drop((terminal, command));
    std::fs::write(folder.join("pid"), child.id().to_string())?;
    let mut screen = File::create(folder.join("screen"))?;
    let mut reader = master.try_clone()?;
    let close = folder.join("close");
    let (open, closing) = (std::sync::Arc::new(()), close.clone());
    let watched = std::sync::Arc::downgrade(&open);
    thread::spawn(move || {
        // Polled in turns with the sign to close, so that the master has no reader left when it is closed.
        let _open = open;
        let mut buffer = [0; 4096];
        set_nonblocking(&reader);
        while !closing.exists() {
            match reader.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) => drop(screen.write_all(&buffer[..n])),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => thread::sleep(Duration::from_millis(20)),
                Err(_) => break,
            }
        }
    });
    loop {
        if let Some(end) = child.try_wait()? {
            return std::fs::write(folder.join("end"), end.to_string());
        }
        if close.exists() && watched.strong_count() == 0 {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    let _ = master.flush();
    drop(master);
    std::fs::write(folder.join("closed"), "")?;
    let end = child.wait()?;
    std::fs::write(folder.join("end"), end.to_string())
}

fn set_nonblocking(file: &File) {
    unsafe extern "C" {
        fn fcntl(fd: c_int, command: c_int, ...) -> c_int;
    }
    const F_SETFL: c_int = 4;
    const O_NONBLOCK: c_int = 0o4000;
    // SAFETY: the descriptor is open; no memory is passed.
    unsafe { fcntl(file.as_raw_fd(), F_SETFL, O_RDWR | O_NONBLOCK) };
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [folder, program, rest @ ..] = &args[..] else {
        eprintln!("usage: console FOLDER PROGRAM ARGS...");
        return ExitCode::from(2);
    };
    match run(Path::new(folder), program, rest) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the console: {error}");
            ExitCode::from(2)
        }
    }
}
