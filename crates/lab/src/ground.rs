//! Where a day's processes run, and how each is started.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use gateway::NodeLine;
use relay::{Listening, Plan};

use crate::LabError;
use crate::process::Process;

/// What is left of a record that was on its way to a disk when the power went.
const TORN: [u8; 33] = [0x5a; 33];

/// Where a day's processes run.
pub(crate) struct Ground {
    pub(crate) exe: PathBuf,
    pub(crate) file: PathBuf,
    pub(crate) out: PathBuf,
    /// Control sockets: a short path of their own, as sockets' paths are short.
    pub(crate) run: PathBuf,
}

/// What a gateway starts with.
pub(crate) struct GatewayStart<'a> {
    pub(crate) name: &'a str,
    pub(crate) seed: u64,
    /// The list that it had last.
    pub(crate) list: &'a [NodeLine],
    /// Where its peers are, in place of the file's addresses.
    pub(crate) peers: Option<BTreeMap<String, SocketAddr>>,
}

impl Ground {
    /// The folder of what is durable.
    pub(crate) fn disks(&self) -> PathBuf {
        self.out.join("disks")
    }

    fn disk(&self, node: &str) -> PathBuf {
        self.disks().join(format!("{node}.disk"))
    }

    fn state(&self, gateway: &str) -> PathBuf {
        self.disks().join(format!("{gateway}.state"))
    }

    /// Starts a node, whose blocks are in memory or on a disk.
    pub(crate) fn node(&self, name: &str, disk: bool, cold: bool) -> Result<Process, LabError> {
        let control = self.run.join(format!("{name}.node"));
        let mut command = Command::new(&self.exe);
        command.arg("node").arg("--with-parent").arg("--config").arg(&self.file).args(["--name", name]);
        command
            .arg("--records")
            .arg(self.out.join(format!("node-{name}.jsonl")))
            .arg("--control")
            .arg(&control);
        if disk {
            command.arg("--disk").arg(self.disk(name));
        }
        if cold {
            command.arg("--cold");
        }
        Process::start(name, command, control, &self.out.join("nodes.log"))
    }

    /// Starts a gateway.
    pub(crate) fn gateway(&self, start: &GatewayStart) -> Result<Process, LabError> {
        let name = start.name;
        let control = self.run.join(format!("{name}.gateway"));
        let mut command = Command::new(&self.exe);
        command.arg("gateway").arg("--with-parent").arg("--config").arg(&self.file).args(["--name", name]);
        command.arg("--nodes").arg(self.json(&format!("{name}.nodes.json"), start.list)?);
        command.arg("--control").arg(&control).args(["--seed", &start.seed.to_string()]);
        // Used by a site with [recovery] or [fleet] alone.
        command.arg("--state").arg(self.state(name)).arg("--mark").arg("--records").arg(&self.out);
        if let Some(peers) = &start.peers {
            command.arg("--peers").arg(self.json(&format!("{name}.peers.json"), peers)?);
        }
        Process::start(name, command, control, &self.out.join("gateways.log"))
    }

    /// Starts the relay.
    pub(crate) fn relay(&self, plan: &Plan) -> Result<Process<Vec<Listening>>, LabError> {
        let (file, control) = (self.run.join("relay.toml"), self.relay_control());
        let text = toml::to_string(plan).unwrap_or_default();
        std::fs::write(&file, text).map_err(|e| LabError::Io(file.clone(), e))?;
        let mut command = Command::new(&self.exe);
        command.arg("relay").arg(&file).arg("--with-parent");
        Process::start("the relay", command, control, &self.out.join("relay.log"))
    }

    /// Where the relay takes orders.
    pub(crate) fn relay_control(&self) -> PathBuf {
        self.run.join("relay")
    }

    /// The power of a node's disk went: what was not durable is gone, the last record torn. Its process has ended.
    pub(crate) fn cut_node(&self, name: &str) -> Result<(), LabError> {
        let disk = self.disk(name);
        emulator::cut_power(&disk, &TORN).map(drop).map_err(|e| LabError::Io(disk, e))
    }

    /// The same for a gateway's journal of work in hand, if it keeps one.
    pub(crate) fn cut_gateway(&self, name: &str) -> Result<(), LabError> {
        let hand = self.state(name).join("hand");
        if !hand.exists() {
            return Ok(());
        }
        emulator::cut_power(&hand, &TORN).map(drop).map_err(|e| LabError::Io(hand, e))
    }

    fn json(&self, name: &str, value: &(impl serde::Serialize + ?Sized)) -> Result<PathBuf, LabError> {
        let path = self.run.join(name);
        let text = serde_json::to_vec(value).unwrap_or_default();
        std::fs::write(&path, text).map_err(|e| LabError::Io(path.clone(), e))?;
        Ok(path)
    }
}
