//! A link with a rate, as a network has one: carries connections from clients to a gateway, and what comes back at no
//! more than the rate. Nothing is lost, reordered or reset. Only the standard library is used.
//!
//! `link TARGET BYTES_PER_S` prints the address on which it listens, and carries each connection to TARGET.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes carried at a time.
const PIECE: usize = 16 << 10;

/// The link's rate, shared by its connections: when the next piece may go.
struct Pace {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Pace {
    fn wait_for(&self, bytes: usize) {
        let mut free_at = self.free_at.lock().unwrap();
        let begins = (*free_at).max(Instant::now());
        *free_at = begins + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let ends = *free_at;
        drop(free_at);
        thread::sleep(ends.saturating_duration_since(Instant::now()));
    }
}

/// Carries one way until it ends, and passes the end on.
fn carry(mut from: TcpStream, mut to: TcpStream, pace: Option<Arc<Pace>>) {
    let mut buffer = vec![0; PIECE];
    while let Ok(n) = from.read(&mut buffer) {
        if n == 0 {
            break;
        }
        if let Some(pace) = &pace {
            pace.wait_for(n);
        }
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

fn run(target: &str, rate: &str) -> io::Result<()> {
    let target: SocketAddr = target.parse().map_err(io::Error::other)?;
    let bytes_per_s: f64 = rate.parse().map_err(io::Error::other)?;
    let pace = Arc::new(Pace { bytes_per_s, free_at: Mutex::new(Instant::now()) });
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{{\"address\":\"{}\"}}", listener.local_addr()?);
    for client in listener.incoming() {
        let client = client?;
        let Ok(gateway) = TcpStream::connect(target) else { continue };
        client.set_nodelay(true)?;
        gateway.set_nodelay(true)?;
        let (back_from, back_to, pace) = (gateway.try_clone()?, client.try_clone()?, pace.clone());
        thread::spawn(move || carry(back_from, back_to, Some(pace)));
        thread::spawn(move || carry(client, gateway, None));
    }
    Ok(())
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [target, rate] = &args[..] else {
        eprintln!("usage: link TARGET BYTES_PER_S");
        return ExitCode::from(2);
    };
    match run(target, rate) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the link: {error}");
            ExitCode::from(2)
        }
    }
}
