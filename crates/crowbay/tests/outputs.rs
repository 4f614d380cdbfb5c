//! Whatever is at the other end of standard output and error, a service goes on and a command ends quietly.

mod stage;

use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gateway::{ControlAnswer, ControlRequest};
use nix::fcntl::{FcntlArg, OFlag, fcntl};
use nix::sys::signal::{Signal, kill};
use nix::unistd::{Pid, pipe};
use stage::{Client, LONG, Node, agent, config, list, look, until};

const EXE: &str = env!("CARGO_BIN_EXE_crowbay");
const PANIC_VARIABLE: &str = "CROWBAY_TEST_PANIC";
const PANIC_EXIT_CODE: i32 = 101;

/// A pipe whose reader has gone.
fn without_reader() -> File {
    let (reader, writer) = pipe().expect("a pipe");
    drop(reader);
    writer.into()
}

/// A disk without room.
fn full_disk() -> File {
    File::options().write(true).open("/dev/full").expect("the device")
}

/// A full pipe whose reader has stopped, and the reader.
fn stopped_reader() -> (File, File) {
    let (reader, writer) = pipe().expect("a pipe");
    let mut writer = File::from(writer);
    fcntl(&writer, FcntlArg::F_SETFL(OFlag::O_NONBLOCK)).expect("a flag");
    let full = loop {
        if let Err(error) = writer.write_all(&[b'.'; 512]) {
            break error;
        }
    };
    assert_eq!(full.kind(), ErrorKind::WouldBlock);
    fcntl(&writer, FcntlArg::F_SETFL(OFlag::empty())).expect("a flag");
    (writer, reader.into())
}

/// A gateway of the platform that writes its output and log to `output`.
struct Service {
    child: Child,
    address: SocketAddr,
    folder: tempfile::TempDir,
}

impl Service {
    fn start(output: &File, environment: &[(&str, String)]) -> Service {
        let folder = tempfile::tempdir().expect("a folder");
        let node = Arc::new(Node::default());
        let known = list(1, &[("a", node.start())]);
        let mut config = config(agent(known.clone(), Arc::default()), 64, &known);
        let address = loopback::address().expect("an address");
        config["listen"] = address.to_string().into();
        let file = folder.path().join("config.json");
        std::fs::write(&file, config.to_string()).expect("a file");
        let child = Command::new(EXE)
            .arg("platform")
            .env("PROXY_CONFIG", &file)
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a descriptor"))
            .stderr(output.try_clone().expect("a descriptor"))
            .spawn()
            .expect("a process");
        until("it listens", || TcpStream::connect(address).is_ok());
        Service { child, address, folder }
    }

    fn is_served(&self, id: &str) {
        let mut client = Client::new(self.address).expect("a connection");
        let answer = client.ask(&look(id, 0)).expect("the connection stands").expect("an answer");
        assert_eq!(answer.status, 200);
    }

    /// Makes it write a line to its log.
    fn log_a_line(&self) {
        std::fs::write(self.folder.path().join("config.json"), "{").expect("a file");
        self.signal(Signal::SIGHUP);
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("a signal");
    }

    fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        until("it ends", || {
            status = self.child.try_wait().expect("a status");
            status.is_some()
        });
        status.expect("it has ended")
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Serves, logs, serves on and leaves in order.
fn outlives_its_log(output: &File) {
    let mut service = Service::start(output, &[]);
    for n in 0..3 {
        service.is_served(&format!("request-{n}"));
        service.log_a_line();
    }
    service.is_served("after-the-log");
    service.signal(Signal::SIGTERM);
    assert_eq!(service.ended().code(), Some(0));
}

/// Guards against a service that is aborted at the next line of its log once nobody can read it.
#[test]
fn a_service_outlives_the_reader_of_its_log() {
    outlives_its_log(&without_reader());
}

#[test]
fn a_service_outlives_a_full_disk_under_its_log() {
    outlives_its_log(&full_disk());
}

/// Guards against a service that waits for whoever reads its log.
#[test]
fn a_service_does_not_wait_for_a_reader_that_has_stopped() {
    let (output, _reader) = stopped_reader();
    outlives_its_log(&output);
}

/// Guards against a panic's line that panics again: the process was aborted, with another exit code.
#[cfg(debug_assertions)]
#[test]
fn a_panic_whose_line_cannot_be_written_keeps_its_exit_code() {
    let folder = tempfile::tempdir().expect("a folder");
    let trigger = folder.path().join("panic");
    let variable = (PANIC_VARIABLE, format!("engine:{}", trigger.display()));
    let mut service = Service::start(&without_reader(), &[variable]);
    service.is_served("before");
    std::fs::write(&trigger, "").expect("a file");
    // The engine looks for the file at its next message.
    let _ = TcpStream::connect(service.address);
    assert_eq!(service.ended().code(), Some(PANIC_EXIT_CODE));
}

/// Runs a command that prints much more than a pipe holds, and returns how it ended and what it said of it.
fn printed_to(output: File) -> (ExitStatus, String) {
    let mut child = Command::new(EXE)
        .args(["completions", "bash"])
        .stdout(output)
        .stderr(Stdio::piped())
        .spawn()
        .expect("a process");
    let mut said = String::new();
    child.stderr.take().expect("its errors").read_to_string(&mut said).expect("text");
    (child.wait().expect("a status"), said)
}

/// Guards against `crowbay status | head` that tells of a fault of the program.
#[test]
fn a_command_ends_quietly_when_its_reader_has_gone() {
    let (status, said) = printed_to(without_reader());
    assert_eq!((status.code(), said.as_str()), (Some(0), ""));
}

#[test]
fn a_command_says_that_its_output_found_no_room() {
    let (status, said) = printed_to(full_disk());
    assert_eq!(status.code(), Some(1));
    assert!(said.contains("standard output") && said.lines().count() == 1, "{said}");
}

/// Lines that are lost are counted where an operator looks.
#[test]
fn lost_lines_are_counted_in_the_status() {
    let folder = tempfile::tempdir().expect("a folder");
    let (site, socket) = (folder.path().join("site.toml"), folder.path().join("gw1.sock"));
    std::fs::write(&site, include_str!("../../gateway/tests/site.toml")).expect("a file");
    let mut gateway = Command::new(EXE)
        .args(["gateway", "--name", "gw1", "--listen", "127.0.0.1:0", "--config"])
        .arg(&site)
        .arg("--control")
        .arg(&socket)
        .stdin(Stdio::null())
        .stdout(full_disk())
        .stderr(full_disk())
        .spawn()
        .expect("a process");
    let lost = || match control::call(&socket, &ControlRequest::Status, LONG) {
        Ok(ControlAnswer::Status(status)) => status.lost_log_lines,
        _ => 0,
    };
    until("the lines of its start are counted", || lost() > 0);
    let before = lost();
    std::fs::write(&site, "no site").expect("a file");
    kill(Pid::from_raw(gateway.id() as i32), Signal::SIGHUP).expect("a signal");
    until("one more is counted", || lost() > before);
    kill(Pid::from_raw(gateway.id() as i32), Signal::SIGTERM).expect("a signal");
    assert_eq!(gateway.wait().expect("a status").code(), Some(0));
}

/// Guards against a stand-in node or a control machine that ends with the terminal it was started from.
#[test]
fn services_outlive_the_terminal_they_were_started_from() {
    let folder = tempfile::tempdir().expect("a folder");
    let site = folder.path().join("site.toml");
    let listen = loopback::address().expect("an address");
    let machine =
        format!("[[control.machine]]\nname = \"c1\"\nregion = 1\nlisten = \"{listen}\"\nwriter = true\n");
    let text = include_str!("../../gateway/tests/site.toml");
    std::fs::write(&site, format!("{text}\n[control]\nspread_ms = 50\n\n{machine}")).expect("a file");
    let start = |args: &[&str]| {
        Command::new(EXE).args(args).arg("--config").arg(&site).stdout(Stdio::piped()).spawn()
    };
    let state = folder.path().join("c1");
    let state = state.to_str().expect("a path");
    for args in [&["node", "--name", "node0"][..], &["control", "machine", "--name", "c1", "--state", state]]
    {
        let mut child = start(args).expect("a process");
        let mut out = child.stdout.take().expect("its output");
        out.read_exact(&mut [0; 1]).expect("it is up");
        drop(out);
        let pid = Pid::from_raw(child.id() as i32);
        kill(pid, Signal::SIGHUP).expect("a signal");
        kill(pid, Signal::SIGTERM).expect("a signal");
        let deadline = Instant::now() + LONG;
        let status = loop {
            if let Some(status) = child.try_wait().expect("a status") {
                break status;
            }
            assert!(Instant::now() < deadline, "{args:?} does not end");
            std::thread::sleep(Duration::from_millis(1));
        };
        assert_eq!(status.code(), Some(0), "{args:?}: {status}");
    }
}
