//! Lists and requests that are well-formed and hold odd values: numbers at the ends of their types, texts that are
//! empty or long.

mod common;

use common::*;
use platform::SocketId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

const LISTS: usize = 1_000;
const REQUESTS: usize = 4_000;
/// The longest that any request may take here, in microseconds, with what the gateway needs beside.
const REQUEST_LIMIT: i64 = 20_000_000;

fn number(rng: &mut StdRng) -> Value {
    let ends = [
        0,
        1,
        -1,
        i64::MIN,
        i64::MIN / 1000,
        i64::MAX / 1000,
        i64::MAX - 1,
        i64::MAX,
        1 << 31,
        (1 << 32) - 1,
    ];
    match rng.random_range(0..6) {
        0 => json!(u64::MAX),
        1 => json!(rng.random::<u32>()),
        2 => json!(1.5),
        _ => json!(ends[rng.random_range(0..ends.len())]),
    }
}

/// A list of three nodes of which up to three values are odd.
fn odd_list(rng: &mut StdRng, revision: u64) -> Value {
    let phases = ["in_service", "terminating", "terminated", "odd"];
    let member = |rng: &mut StdRng, n: u16| {
        let phase = phases[rng.random_range(0..phases.len())];
        list_entry(&format!("n{n}"), address(100 + n), u32::from(n % 2), phase)
    };
    let members = [member(rng, 0), member(rng, 1), member(rng, 2)];
    let mut list = node_list(revision, rng.random(), &members);
    for _ in 0..rng.random_range(1..4) {
        let n = rng.random_range(0..members.len());
        let field = ["cell", "up_since_ms", "size", "id", "host_port", "locality"][rng.random_range(0..6)];
        let text = || ["", "x", "127.0.0.9:0", "127.0.0.9:65535", "[::1]:1"];
        list["members"][n][field] = match field {
            "id" | "host_port" | "locality" => json!(text()[rng.random_range(0..5)]),
            _ => number(rng),
        };
    }
    list
}

/// Guards against a start, shard or revision of a list that is added to unchecked.
#[test]
fn odd_lists_leave_a_gateway_that_serves_by_the_next_sound_one() {
    let mut rng = StdRng::seed_from_u64(68);
    for n in 0..LISTS / 20 {
        let mut gateway = TestGateway::with_two_nodes();
        let watch = gateway.establish_answered_watch();
        for revision in 6..26 {
            let list = odd_list(&mut rng, revision);
            gateway.send_list(watch, &list);
            let client = gateway.connect_client();
            gateway.receive(client, read_request(&format!("r{n}-{revision}"), rng.random_range(-1..2)));
            gateway.advance(rng.random_range(0..700_000));
        }
        gateway.advance(5_000_000);
        let members =
            [list_entry("z", address(200), 0, "in_service"), list_entry("y", address(201), 1, "in_service")];
        gateway.send_list(watch, &node_list(1000, true, &members));
        let client = gateway.connect_client();
        gateway.receive(client, read_request(&format!("last{n}"), 0));
        let to_new = gateway
            .connecting
            .iter()
            .any(|(socket, to)| matches!(socket, SocketId::Node(_)) && to.port() == 200);
        assert!(to_new, "lists {n}: the sound one counts: {:?}", gateway.connecting);
    }
}

/// A request of which up to three values are odd.
fn odd_request(rng: &mut StdRng, id: usize) -> String {
    let values = [
        "0",
        "1",
        "-1",
        "-2",
        "999999999999",
        "1000000000000",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "1e308",
        "NaN",
        "inf",
        "0.0000001",
        "8",
        "",
        " ",
        "+1",
        "0x10",
    ];
    let value = |rng: &mut StdRng| values[rng.random_range(0..values.len())];
    let odd = |rng: &mut StdRng, usual: &str| {
        if rng.random_range(0..4) == 0 { value(rng).to_owned() } else { usual.to_owned() }
    };
    let timeout = odd(rng, "400");
    let (units, shard, hosts) = (odd(rng, "1"), odd(rng, "0"), odd(rng, "1"));
    let retried = if rng.random() { format!("X-Retried: {}\r\n", odd(rng, "1")) } else { String::new() };
    format!(
        "GET /look/00000000000000aa/{:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: r{id}\r\nX-Priority-Class: look\r\n\
         X-Plan: plain\r\nX-Timeout-Ms: {timeout}\r\nX-IO: units={units},shard={shard},hosts={hosts}\r\n{retried}\r\n",
        if rng.random() { rng.random::<u64>() } else { u64::MAX }
    )
}

/// Guards against a time, size or number of a request that is added to unchecked.
#[test]
fn odd_requests_get_one_answer_each_or_their_connection_ends() {
    let mut rng = StdRng::seed_from_u64(68);
    let mut answers = std::collections::BTreeMap::new();
    for n in 0..REQUESTS / 10 {
        let mut gateway = TestGateway::with_two_nodes();
        let clients: Vec<SocketId> = (0..10)
            .map(|k| {
                let client = gateway.connect_client();
                gateway.receive(client, odd_request(&mut rng, n * 10 + k));
                client
            })
            .collect();
        gateway.advance(REQUEST_LIMIT);
        for client in clients {
            let statuses = gateway.take_statuses(client);
            assert!(statuses.len() == 1 || gateway.closed.contains(&client), "{statuses:?}");
            statuses.into_iter().for_each(|status| *answers.entry(status).or_insert(0) += 1);
        }
    }
    assert!(answers.len() > 1 && answers.contains_key(&400), "{answers:?}");
}
