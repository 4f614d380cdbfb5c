//! `ports N` prints N free ports of the loopback address, which the system chooses. Only the standard library is used.

use std::net::TcpListener;
use std::process::ExitCode;

fn main() -> ExitCode {
    let count: usize = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(1);
    let held: Vec<TcpListener> = (0..count).filter_map(|_| TcpListener::bind("127.0.0.1:0").ok()).collect();
    let ports: Vec<String> =
        held.iter().filter_map(|l| Some(l.local_addr().ok()?.port().to_string())).collect();
    println!("{}", ports.join(" "));
    if ports.len() == count { ExitCode::SUCCESS } else { ExitCode::from(2) }
}
