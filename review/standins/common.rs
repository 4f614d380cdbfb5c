//! What the cases share: child processes, free addresses, the record, and small parsing.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub type Outcome = Result<i32, String>;

/// The record of a run: `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Record, String> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    /// Writes a line with the seconds since the start of the run.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(|p| p.into_inner());
        let _ = writeln!(file, "{:9.4} {}", self.start.elapsed().as_secs_f64(), text.as_ref());
    }
}

/// The child processes of a case. They end when this is dropped; their ids are also written to a file, from
/// which run.sh ends those that are left.
pub struct Children {
    list: Vec<(String, Child)>,
    pids: PathBuf,
}

impl Children {
    pub fn new(folder: &Path) -> Children {
        Children { list: Vec::new(), pids: folder.join("pids") }
    }

    /// Starts a program of the project from its root; its log goes to a file in the temporary folder.
    pub fn start(&mut self, name: &str, command: &mut Command, folder: &Path) -> Result<&mut Child, String> {
        let log = File::create(folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("cannot start {name}: {e}"))?;
        let mut pids =
            File::options().create(true).append(true).open(&self.pids).map_err(|e| e.to_string())?;
        let _ = writeln!(pids, "{}", child.id());
        self.list.push((name.to_owned(), child));
        Ok(&mut self.list.last_mut().expect("just added").1)
    }

    pub fn child(&mut self, name: &str) -> Result<&mut Child, String> {
        let found = self.list.iter_mut().rev().find(|(n, _)| n == name);
        found.map(|(_, c)| c).ok_or(format!("no process {name}"))
    }

    /// Waits for the end of a child that writes a bounded text; returns what it wrote.
    pub fn output(&mut self, name: &str) -> Result<String, String> {
        let child = self.child(name)?;
        let mut out = child.stdout.take().ok_or("no output")?;
        let mut text = String::new();
        out.read_to_string(&mut text).map_err(|e| e.to_string())?;
        child.wait().map_err(|e| e.to_string())?;
        Ok(text)
    }

    /// Sends SIGTERM to a child and waits for its end.
    pub fn terminate(&mut self, name: &str, within: Duration) -> Result<(), String> {
        let child = self.child(name)?;
        signal("TERM", child.id());
        let end = Instant::now() + within;
        while Instant::now() < end {
            if child.try_wait().map_err(|e| e.to_string())?.is_some() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("{name} did not end after SIGTERM"))
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        for (_, child) in &mut self.list {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.pids);
    }
}

pub fn signal(name: &str, pid: u32) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

/// The first line that a child writes, which the project's programs print once they listen.
pub fn first_line(child: &mut Child) -> Result<String, String> {
    let out = child.stdout.take().ok_or("no output")?;
    let mut reader = BufReader::new(out);
    let mut line = String::new();
    reader.read_line(&mut line).map_err(|e| e.to_string())?;
    // What else it writes is read and dropped, so that it never waits.
    std::thread::spawn(move || {
        let mut rest = String::new();
        while matches!(reader.read_line(&mut rest), Ok(n) if n > 0) {
            rest.clear();
        }
    });
    if line.is_empty() { Err("it ended before it was ready".into()) } else { Ok(line) }
}

/// Starts a program that prints a line once it listens, and returns that line.
pub fn started(
    children: &mut Children,
    name: &str,
    command: &mut Command,
    folder: &Path,
) -> Result<String, String> {
    first_line(children.start(name, command, folder)?).map_err(|why| {
        let log = std::fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
        format!("{name}: {why}: {}", log.trim())
    })
}

/// A loopback address of this process alone, so that cases beside each other do not meet.
pub fn own_ip() -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{}", 64 + (pid >> 16) % 64, (pid >> 8) & 255, 1 + pid % 250)
}

/// A port that is free now.
pub fn free_port(ip: &str) -> Result<u16, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
    listener.local_addr().map(|a: SocketAddr| a.port()).map_err(|e| e.to_string())
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The text of a JSON member with this name in a line of one flat object.
pub fn json_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let at = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = line[at..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    }
    rest.split([',', '}', ']']).next().map(str::trim)
}

/// The command that starts the gateway in service, from the deploy file.
pub fn run_command(root: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
    let line = text.lines().find(|l| l.starts_with("run = \"")).ok_or("the deploy file has no run")?;
    line["run = \"".len()..].split('"').next().map(str::to_owned).ok_or("no command".into())
}
