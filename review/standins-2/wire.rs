//! A wire between a gateway and a storage node over NVMe/TCP: it carries bytes, and plays one trouble. Only the standard
//! library is used.
//!
//! `wire RECORD UPSTREAM` prints the address on which it listens, and carries each connection to UPSTREAM. Unless
//! `TROUBLE=0` is in the environment, the FIFTH write that comes over it (a piece of 4 KiB or more) is carried to the
//! node, but no answer comes back on its connection, which is reset after RESET. Of the two connections that are made
//! next, the second comes up LATE.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const FIFTH: usize = 5;
const RESET: Duration = Duration::from_millis(490);
const LATE: Duration = Duration::from_millis(195);

struct Shared {
    record: Mutex<File>,
    writes: AtomicUsize,
    /// Connections made since the reset; none before it.
    since_reset: Mutex<Option<usize>>,
}

impl Shared {
    fn line(&self, text: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros());
        let _ = writeln!(self.record.lock().unwrap(), "{{\"wire\":\"{text}\",\"t\":{now}}}");
    }
}

/// Closes a connection by a reset.
fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger(i32, i32);
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger(1, 0);
    // SAFETY: the descriptor is open, and the value has the length that is given.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
    let _ = stream.shutdown(Shutdown::Read);
}

fn carry(shared: &Arc<Shared>, host: TcpStream, upstream: SocketAddr, trouble: bool) -> io::Result<()> {
    let late = {
        let mut made = shared.since_reset.lock().unwrap();
        made.as_mut().is_some_and(|made| {
            *made += 1;
            *made == 2
        })
    };
    if late {
        shared.line("a connection comes up late");
        thread::sleep(LATE);
    }
    let node = TcpStream::connect(upstream)?;
    host.set_nodelay(true)?;
    node.set_nodelay(true)?;
    let cut = Arc::new(AtomicBool::new(false));
    let (mut from_node, mut to_host, silent) = (node.try_clone()?, host.try_clone()?, cut.clone());
    let back = thread::spawn(move || {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(n) = from_node.read(&mut buffer) {
            if n == 0 || silent.load(Ordering::SeqCst) || to_host.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        if !silent.load(Ordering::SeqCst) {
            let _ = to_host.shutdown(Shutdown::Both);
        }
    });
    let (mut from_host, mut to_node) = (host.try_clone()?, node.try_clone()?);
    let mut buffer = vec![0; 64 << 10];
    while let Ok(n) = from_host.read(&mut buffer) {
        if n == 0 {
            break;
        }
        let is_write = n >= 4096;
        let troubled =
            is_write && shared.writes.fetch_add(1, Ordering::SeqCst) + 1 == FIFTH && trouble;
        if troubled {
            cut.store(true, Ordering::SeqCst);
            shared.line("the fifth write goes to the node; its answer will not come back");
        }
        if to_node.write_all(&buffer[..n]).is_err() {
            break;
        }
        if troubled {
            thread::sleep(RESET);
            shared.line("its connection is reset");
            *shared.since_reset.lock().unwrap() = Some(0);
            let _ = node.shutdown(Shutdown::Both);
            let _ = back.join();
            reset(&host);
            drop((from_host, host));
            return Ok(());
        }
    }
    let _ = node.shutdown(Shutdown::Both);
    let _ = back.join();
    Ok(())
}

fn run(record: &str, upstream: &str) -> io::Result<()> {
    let upstream: SocketAddr = upstream.parse().map_err(io::Error::other)?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Mutex::new(File::create(record)?);
    let shared = Arc::new(Shared { record, writes: AtomicUsize::new(0), since_reset: Mutex::new(None) });
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{{\"address\":\"{}\"}}", listener.local_addr()?);
    for stream in listener.incoming() {
        let (stream, shared) = (stream?, shared.clone());
        thread::spawn(move || {
            let _ = carry(&shared, stream, upstream, trouble); // A connection that fails ends.
        });
    }
    Ok(())
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [record, upstream] = &args[..] else {
        eprintln!("usage: wire RECORD UPSTREAM");
        return ExitCode::from(2);
    };
    match run(record, upstream) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the wire: {error}");
            ExitCode::from(2)
        }
    }
}
