//! Clients that write several requests at once and do not read the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::connection::{RunEnd, reconnect, wait_for_end, write_all};
use crate::request::Target;

/// Requests written at once.
const BATCH: std::ops::RangeInclusive<usize> = 4..=60;
/// Milliseconds until the close.
const STAY_MS: std::ops::RangeInclusive<u64> = 20..=500;
const TIMEOUT_MS: u32 = 8000;

/// A client that left: none of these requests may be sent to a node later than a moment after that.
#[derive(Clone, Debug)]
pub struct Departure {
    /// When the connection was closed.
    pub closed: Instant,
    /// Ids of the requests written on it.
    pub ids: Vec<String>,
}

/// Requests of a client that reads nothing.
const UNREAD_BATCH: usize = 100;

/// Opens connections, writes requests and reads nothing, until the end of the run. Returns the number of
/// connections.
pub(crate) fn read_nothing(client: usize, target: &Target, address: SocketAddr, end: RunEnd<'_>) -> u64 {
    let mut number = 0;
    reconnect(address, end, |stream| {
        number += 1;
        let request = |n| target.read(&format!("unread-{client}-{number}-{n}"), TIMEOUT_MS);
        let batch: String = (0..UNREAD_BATCH).map(request).collect();
        if write_all(&stream, batch.as_bytes(), end) {
            wait_for_end(&stream, end);
        }
    })
}

/// Opens connections, writes requests and leaves, until the end of the run.
pub(crate) fn leave(
    client: usize,
    seed: u64,
    target: &Target,
    address: SocketAddr,
    end: RunEnd<'_>,
) -> Vec<Departure> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut departures = Vec::new();
    reconnect(address, end, |stream| {
        let number = departures.len();
        let ids: Vec<String> =
            (0..random.random_range(BATCH)).map(|n| format!("leave-{client}-{number}-{n}")).collect();
        let batch: String = ids.iter().map(|id| target.read(id, TIMEOUT_MS)).collect();
        write_all(&stream, batch.as_bytes(), end);
        end.wait(Duration::from_millis(random.random_range(STAY_MS)));
        drop(stream);
        departures.push(Departure { closed: Instant::now(), ids });
    });
    departures
}
