//! A site on one machine with its supervisor, load on it, and a console on a pseudo-terminal.

#![allow(dead_code)] // Each test file uses a part of it.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use appliance::wire::Question;
use appliance::{Client, SiteView};
use portable_pty::{CommandBuilder, PtySize, native_pty_system};
use records::Recorder;
use settings::Site;
use steering::{Phase, State};

pub const EXE: &str = env!("CARGO_BIN_EXE_crowbay");
pub const PATIENCE: Duration = Duration::from_secs(30);

/// A site of its own: its folder, and its supervisor, which is stopped in order at the end.
pub struct Stage {
    pub dir: tempfile::TempDir,
    pub supervisor: Option<Child>,
    /// Variables in the environment of the supervisor and of what it starts.
    environment: Vec<(&'static str, String)>,
}

impl Stage {
    pub fn new(nodes: u32, gateways: u32) -> Stage {
        Stage::with(nodes, gateways, |text| text)
    }

    /// A site whose file is changed before its start.
    pub fn with(nodes: u32, gateways: u32, edit: impl FnOnce(String) -> String) -> Stage {
        let mut stage = Stage::dark(nodes, gateways, edit);
        stage.start();
        stage
    }

    /// A site of which one process panics at a point once the file [`Stage::trigger`] is there.
    pub fn with_panic_at(point: &str, nodes: u32, gateways: u32) -> Stage {
        let mut stage = Stage::dark(nodes, gateways, |text| text);
        stage.environment.push(("CROWBAY_TEST_PANIC", format!("{point}:{}", stage.trigger().display())));
        stage.start();
        stage
    }

    pub fn trigger(&self) -> PathBuf {
        self.dir.path().join("panic")
    }

    fn dark(nodes: u32, gateways: u32, edit: impl FnOnce(String) -> String) -> Stage {
        let dir = tempfile::Builder::new().prefix("crb").tempdir().unwrap();
        let file = dir.path().join("site.toml");
        let numbers = [nodes.to_string(), gateways.to_string()];
        let args = ["init", file.to_str().unwrap(), "--name", "t", "--volumes", "2", "--port", "4420"];
        let done =
            Command::new(EXE).args(args).args(["--nodes", &numbers[0], "--gateways", &numbers[1]]).output();
        assert!(done.unwrap().status.success());
        // Addresses that nobody else is given.
        let mut text = std::fs::read_to_string(&file).unwrap();
        for g in 0..gateways as u16 {
            let address = loopback::address().unwrap();
            text = text.replace(&format!("127.0.0.1:{}", 4420 + g), &address.to_string());
        }
        let text = edit(text.replace("[rules]", "[appliance]\nrecords = true\n\n[rules]"));
        std::fs::write(&file, text).unwrap();
        Stage { dir, supervisor: None, environment: Vec::new() }
    }

    pub fn file(&self) -> PathBuf {
        self.dir.path().join("site.toml")
    }

    pub fn state(&self) -> PathBuf {
        self.dir.path().join("s")
    }

    pub fn socket(&self) -> PathBuf {
        self.state().join("appliance.sock")
    }

    pub fn command(&self) -> Command {
        let mut command = Command::new(EXE);
        command.arg("appliance").arg("--config").arg(self.file()).arg("--state").arg(self.state());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        command.envs(self.environment.iter().map(|(name, value)| (name, value)));
        command
    }

    pub fn start(&mut self) {
        self.supervisor = Some(self.command().spawn().unwrap());
    }

    /// Starts the supervisor with the signal of an exceeded file size ignored, so that the write is told of it as of a
    /// full disk.
    pub fn start_without_file_size_signal(&mut self) {
        let plain = self.command();
        let mut shell = Command::new("sh");
        shell
            .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
            .arg(plain.get_program())
            .args(plain.get_args());
        shell.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        self.supervisor = Some(shell.spawn().unwrap());
    }

    pub fn kill_supervisor(&mut self) {
        let mut child = self.supervisor.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub fn client(&self) -> Client {
        let end = Instant::now() + PATIENCE;
        loop {
            match Client::connect(&self.socket(), "anna") {
                Ok(client) => return client,
                Err(e) => assert!(Instant::now() < end, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn until(&self, client: &mut Client, what: &str, done: impl Fn(&SiteView) -> bool) -> SiteView {
        let end = Instant::now() + PATIENCE;
        loop {
            let view = client.view().expect("a view");
            if done(&view) {
                return view;
            }
            assert!(Instant::now() < end, "{what}: {:#?}", view.processes);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn all_up(&self, client: &mut Client) -> SiteView {
        let ready = |v: &SiteView| {
            let up = v.processes.iter().all(|p| p.phase == Phase::Up);
            up && v
                .nodes
                .iter()
                .all(|n| n.state != State::Gone && n.links == v.gateways.len() && n.follows > 0)
        };
        self.until(client, "everything comes up", ready)
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if self.supervisor.is_none() {
            self.start();
        }
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Ok(mut client) = Client::connect(&self.socket(), "end") {
                let _ = client.ask(Question::Stop); // It may be stopping already.
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        if let Some(mut child) = self.supervisor.take() {
            while Instant::now() < end && matches!(child.try_wait(), Ok(None)) {
                std::thread::sleep(Duration::from_millis(20));
            }
            let _ = child.kill(); // It has left, but for a failed test.
            let _ = child.wait();
        }
    }
}

pub fn gateways(view: &SiteView) -> Vec<(String, SocketAddr)> {
    let address = |g: &appliance::GatewayView| g.status.as_ref().unwrap().address.parse().unwrap();
    view.gateways.iter().map(|g| (g.name.clone(), address(g))).collect()
}

pub fn pid(view: &SiteView, gateway: &str) -> u32 {
    view.gateways.iter().find(|g| g.name == gateway).unwrap().status.as_ref().unwrap().pid
}

pub fn kill(pid: u32, signal: &str) {
    assert!(Command::new("kill").args(["-s", signal, &pid.to_string()]).status().unwrap().success());
}

/// Load on a site, written down into its state folder.
pub struct Load {
    client: Arc<load::Client>,
    thread: std::thread::JoinHandle<load::Summary>,
}

impl Load {
    pub fn start(stage: &Stage, view: &SiteView, rate: f64) -> Load {
        let mix = "{ op = \"read\", kib = 4, share = 0.5 }, { op = \"write\", kib = 4, share = 0.5 }";
        Load::start_mix(stage, view, rate, mix)
    }

    pub fn start_reads(stage: &Stage, view: &SiteView, rate: f64) -> Load {
        Load::start_mix(stage, view, rate, "{ op = \"read\", kib = 4, share = 1 }")
    }

    pub fn start_mix(stage: &Stage, view: &SiteView, rate: f64, mix: &str) -> Load {
        let day = format!(
            "{}\n[day]\nseed = 5\nseconds = 600\n[[client]]\nname = \"c\"\nvolumes = [\"vol1\", \"vol2\"]\nrate = {rate}\n\
             mix = [{mix}]\nrepeats = 1\n",
            std::fs::read_to_string(stage.file()).unwrap()
        );
        let site = Site::parse(&day).expect("well formed");
        std::fs::write(stage.state().join("terms.json"), serde_json::to_vec(&site.terms()).unwrap()).unwrap();
        let recorder = Recorder::append(&stage.state().join("clients-c.jsonl")).unwrap();
        let client = Arc::new(load::Client::new(site.client_options(0, &gateways(view)), recorder));
        let runs = client.clone();
        Load { client, thread: std::thread::spawn(move || runs.run()) }
    }

    pub fn end(self) -> load::Summary {
        self.client.stop();
        self.thread.join().unwrap()
    }
}

/// The console on a pseudo-terminal of 80 by 24.
pub struct Terminal {
    writer: Box<dyn Write + Send>,
    pub child: Box<dyn portable_pty::Child + Send + Sync>,
    shown: Arc<Mutex<Vec<u8>>>,
    _master: Box<dyn portable_pty::MasterPty + Send>,
}

impl Terminal {
    pub fn open(state: &Path) -> Terminal {
        let size = PtySize { rows: 24, cols: 80, pixel_width: 0, pixel_height: 0 };
        let pair = native_pty_system().openpty(size).unwrap();
        let mut command = CommandBuilder::new(EXE);
        command.args(["console", "--state", state.to_str().unwrap()]);
        command.env("TERM", "xterm");
        command.env("USER", "anna");
        let child = pair.slave.spawn_command(command).unwrap();
        drop(pair.slave);
        let (mut reader, writer) =
            (pair.master.try_clone_reader().unwrap(), pair.master.take_writer().unwrap());
        let shown = Arc::new(Mutex::new(Vec::new()));
        let keeps = shown.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 4096];
            while let Ok(n @ 1..) = reader.read(&mut buffer) {
                keeps.lock().unwrap().extend_from_slice(&buffer[..n]);
            }
        });
        Terminal { writer, child, shown, _master: pair.master }
    }

    pub fn type_in(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).unwrap();
        self.writer.flush().unwrap();
    }

    pub fn until_shown(&self, word: &str) {
        let end = Instant::now() + PATIENCE;
        while !String::from_utf8_lossy(&self.shown.lock().unwrap()).contains(word) {
            assert!(Instant::now() < end, "'{word}' is not shown");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

pub fn size(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

pub fn is_drained(view: &SiteView, node: &str) -> bool {
    view.nodes
        .iter()
        .any(|n| n.name == node && n.state == State::Draining && n.follows == view.gateways.len())
}
