//! The program as a process that has no more descriptors than its configuration grants.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use super::pause::Pause;
use super::until;

/// Descriptors of the process, by its configuration and by the system.
pub const SOCKETS: usize = 64;

/// A process that the system gives so many descriptors and no more, and its log.
pub struct Bound {
    child: Child,
    folder: tempfile::TempDir,
    pub address: SocketAddr,
}

impl Bound {
    pub fn start(config: &serde_json::Value) -> Bound {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("config.json"), config.to_string()).expect("a file");
        let log = std::fs::File::create(folder.path().join("log")).expect("a log");
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {SOCKETS}; exec \"$0\" platform"))
            .arg(env!("CARGO_BIN_EXE_crowbay"))
            .env("PROXY_CONFIG", folder.path().join("config.json"))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a process");
        let mut bound = Bound { child, folder, address: SocketAddr::from(([127, 0, 0, 1], 0)) };
        until("it listens", || {
            let log = bound.log();
            let address = log.split("address=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
            address.map(|a| bound.address = a).is_some()
        });
        bound
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).expect("a log")
    }

    pub fn stop(&self) -> Pause<'_> {
        Pause::of(&self.child)
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors").count()
    }
}

impl Drop for Bound {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
