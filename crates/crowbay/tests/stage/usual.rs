//! Usual clients, and what share of their requests is served in time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::{Client, request};

/// A client of the platform waits so long.
const PATIENCE: Duration = Duration::from_millis(1000);

/// Some of them, each asking one request after the other.
pub struct Usual {
    over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<(usize, usize)>>,
    begun: Instant,
}

/// What became of their requests.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    pub asked: usize,
    pub served: usize,
    pub per_second: f64,
}

impl Share {
    pub fn part(&self) -> f64 {
        self.served as f64 / self.asked as f64
    }
}

impl Usual {
    pub fn start(count: usize, to: SocketAddr, name: &'static str) -> Usual {
        let over = Arc::new(AtomicBool::new(false));
        let each = |n: usize| {
            let over = over.clone();
            thread::spawn(move || asks(to, &format!("{name}{n}"), &over))
        };
        Usual { clients: (0..count).map(each).collect(), over, begun: Instant::now() }
    }

    /// They stop, once each has asked often enough to tell a share.
    pub fn end(self) -> Share {
        self.over.store(true, Ordering::SeqCst);
        let all: Vec<(usize, usize)> =
            self.clients.into_iter().map(|c| c.join().expect("no panic")).collect();
        let (asked, served) = (all.iter().map(|a| a.0).sum(), all.iter().map(|a| a.1).sum());
        Share { asked, served, per_second: served as f64 / self.begun.elapsed().as_secs_f64() }
    }
}

fn asks(to: SocketAddr, name: &str, over: &AtomicBool) -> (usize, usize) {
    let (mut asked, mut served, mut client) = (0, 0, None);
    while !over.load(Ordering::SeqCst) || asked < 50 {
        let id = format!("{name}-{asked}");
        let text = request::text(request::READ, &id, PATIENCE.as_millis() as u32, "", "");
        let begun = Instant::now();
        asked += 1;
        // Closed while it stood idle: sent once more on a new connection, as clients do.
        for _ in 0..2 {
            let Some(own) = client.take().or_else(|| Client::new(to).ok()) else { continue };
            let mut own: Client = own;
            if let Ok(Some(answer)) = own.ask(&text) {
                let is_right = answer.status == 200 && &answer.body[..] == id.as_bytes();
                assert!(is_right || answer.status == 503, "{id}: {} {:?}", answer.status, answer.body);
                served += usize::from(is_right && begun.elapsed() < PATIENCE);
                client = answer.keep_alive.then_some(own);
                break;
            }
        }
    }
    (asked, served)
}
