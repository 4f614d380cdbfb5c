//! A process of the program that has not said yet where it listens.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use serde_json::Value;

use super::{LONG, Process};

/// Killed when it is dropped, as every process here.
pub struct Starting {
    pub process: Process,
    told: Receiver<SocketAddr>,
}

impl Starting {
    /// Starts the gateway on a configuration. `under`: words of a command that runs it, such as one that binds it to cores.
    pub fn new(config: &Value, under: &[&str]) -> Starting {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("config.json"), config.to_string()).expect("a file");
        Starting::within(folder, under)
    }

    /// The same where a folder has the configuration already, or something that stands for it.
    pub fn within(folder: tempfile::TempDir, under: &[&str]) -> Starting {
        let words: Vec<&str> =
            under.iter().copied().chain([env!("CARGO_BIN_EXE_crowbay"), "platform"]).collect();
        let mut child = Command::new(words[0])
            .args(&words[1..])
            .env("PROXY_CONFIG", folder.path().join("config.json"))
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let (tell, told) = channel();
        thread::spawn(move || {
            let mut line = String::new();
            while log.read_line(&mut line).is_ok_and(|n| n > 0) {
                let named = line.split("address=").nth(1).and_then(|rest| rest.split(' ').next());
                if let Some(at) = named.and_then(|at| at.trim().parse().ok()) {
                    let _ = tell.send(at);
                }
                line.clear();
            }
        });
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        Starting { process: Process { child, address, folder }, told }
    }

    /// Waits until it listens.
    pub fn up(self) -> Process {
        let address = self.told.recv_timeout(LONG).expect("it listens");
        let mut process = self.process;
        process.address = address;
        process
    }
}
