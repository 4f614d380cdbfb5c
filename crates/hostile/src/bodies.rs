//! Clients that stop half way through a request.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Kind;
use crate::connection::{RunEnd, discard_input, reconnect, write_all};
use crate::request::{BODY_BYTES, Target};

/// Most bytes of a body that are never sent.
const MAX_MISSING_BYTES: usize = 33_000;
/// Bytes of a slow body written at once, and the pause after them.
const STEP_BYTES: usize = 4000;
const STEP_PAUSE: Duration = Duration::from_millis(50);
/// Size of the fields of an open head, in bytes.
const HEAD_BYTES: std::ops::RangeInclusive<usize> = 4000..=15_000;
const SHORT_FIELD: &str = "a:b\r\n";
const TIMEOUT_MS: u32 = 1000;

/// Opens one connection after the other and stops half way through a request on each; holds it until the peer
/// ends it. Returns the number of connections.
pub(crate) fn stop_half_way(
    kind: Kind,
    client: usize,
    seed: u64,
    target: &Target,
    address: SocketAddr,
    end: RunEnd<'_>,
) -> u64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut number = 0;
    reconnect(address, end, |stream| {
        number += 1;
        let id = format!("half-{client}-{number}");
        let kind = if kind == Kind::Mixed { kind_in_turn(client + number) } else { kind };
        if send_part(kind, &id, target, &stream, &mut random, end) {
            discard_input(&stream, end);
        }
    })
}

fn kind_in_turn(turn: usize) -> Kind {
    [Kind::OpenBodies, Kind::SlowBodies, Kind::OpenHeads][turn % 3]
}

/// Sends a part of a request. Returns whether the connection is still of use.
fn send_part(
    kind: Kind,
    id: &str,
    target: &Target,
    stream: &TcpStream,
    random: &mut SmallRng,
    end: RunEnd<'_>,
) -> bool {
    if kind == Kind::OpenHeads {
        let head = target.read(id, TIMEOUT_MS);
        let fields = SHORT_FIELD.repeat(random.random_range(HEAD_BYTES) / SHORT_FIELD.len());
        return write_all(stream, format!("{}{fields}", head.trim_end()).as_bytes(), end);
    }
    let body = vec![b'x'; BODY_BYTES - random.random_range(1..=MAX_MISSING_BYTES)];
    if !write_all(stream, target.write_head(id, TIMEOUT_MS).as_bytes(), end) {
        return false;
    }
    if kind == Kind::OpenBodies {
        return write_all(stream, &body, end);
    }
    body.chunks(STEP_BYTES).all(|step| {
        end.wait(STEP_PAUSE);
        write_all(stream, step, end)
    })
}
