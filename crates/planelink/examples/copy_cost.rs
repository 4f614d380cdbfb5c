//! What one copy of the control plane's state costs at four sizes of a site: memory, time for a change, a whole state and a
//! start, and bytes on the wire. Prints one line of JSON for each size; each is measured in processes that hold nothing else.
//!
//! `cargo run --release -p planelink --example copy_cost`

use std::error::Error;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};
use peer::channel::{self, Greeting};
use peer::{Life, Nonce, PeerName};
use plane::{Bounds, Conn, Copy, Cursor, Entry, Epoch, Input, Key, Kind, Message, Output, Region, Stamp};
use plane::{Subscription, SubscriptionOptions, Version, WireEntry};
use planelink::Store;
use serde::{Deserialize, Serialize};

const NODES: [usize; 4] = [2_100, 8_400, 21_000, 33_600];
const REGIONS: u16 = 5;
const DELTAS: usize = 1000;
const MACHINE: &str = "c1";

type Done<T> = Result<T, Box<dyn Error>>;

/// Costs of one size.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Cost {
    nodes: usize,
    shards: usize,
    members: usize,
    entries: usize,
    /// Bytes that the entries hold, as bounds count them.
    entry_bytes: usize,
    /// Resident bytes of a process that holds the copy, and of the same process before it had it.
    resident_bytes: u64,
    resident_before_bytes: u64,
    /// Processor time for a delta of one change, from the frame's bytes to its being in force.
    delta_median_ns: u64,
    delta_p99_ns: u64,
    /// Processor time to keep such a delta and hand it to the system.
    keep_median_ns: u64,
    /// Processor time for a whole state, likewise.
    whole_cpu_us: u64,
    /// Bytes of frames.
    whole_wire_bytes: usize,
    delta_wire_bytes: usize,
    /// From opening the store to a copy that is in force, by the clock and in processor time.
    start_us: u64,
    start_cpu_us: u64,
    /// Bytes of the store's base.
    base_bytes: u64,
}

fn main() -> Done<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["make", nodes, folder] => make(nodes.parse()?, Path::new(folder)),
        ["hold", folder] => hold(Path::new(folder)),
        ["whole", folder] => take_whole(Path::new(folder)),
        [] => measure(),
        _ => Err("copy_cost takes no arguments".into()),
    }
}

fn measure() -> Done<()> {
    for nodes in NODES {
        let folder = tempfile::tempdir()?;
        child(&["make", &nodes.to_string()], folder.path())?;
        // Before changes are kept behind it.
        let whole: Cost = serde_json::from_str(&child(&["whole"], folder.path())?)?;
        let mut cost: Cost = serde_json::from_str(&child(&["hold"], folder.path())?)?;
        (cost.nodes, cost.shards, cost.members) = (nodes, nodes / 3, nodes / 6);
        (cost.whole_cpu_us, cost.whole_wire_bytes) = (whole.whole_cpu_us, whole.whole_wire_bytes);
        println!("{}", serde_json::to_string(&cost)?);
    }
    Ok(())
}

/// Runs a part of this program in a process of its own; what it says.
fn child(arguments: &[&str], folder: &Path) -> Done<String> {
    let output = Command::new(std::env::current_exe()?).args(arguments).arg(folder).output()?;
    if !output.status.success() {
        return Err(format!("{arguments:?}: {}", String::from_utf8_lossy(&output.stderr)).into());
    }
    Ok(String::from_utf8(output.stdout)?)
}

fn regions() -> impl Iterator<Item = Region> {
    (1..=REGIONS).map(Region)
}

fn empty() -> Copy {
    Copy::new(regions(), Bounds::default())
}

/// Makes the store of a site of this size.
fn make(nodes: usize, folder: &Path) -> Done<()> {
    let mut copy = empty();
    let nodes_of = |n: usize| (Kind::Node, format!("node{n:06}"), 40);
    let shards_of = |n: usize| (Kind::Shard, format!("shard{n:06}"), 24);
    let members_of = |n: usize| (Kind::Member, format!("gateway{n:05}"), 32);
    let all =
        (0..nodes).map(nodes_of).chain((0..nodes / 3).map(shards_of)).chain((0..nodes / 6).map(members_of));
    for (n, (kind, name, length)) in all.enumerate() {
        let region = Region((n % REGIONS as usize) as u16 + 1);
        let message = next(&copy, region, kind, &name, &value(length, n as u64));
        copy.take(message, Conn(0), None)?;
    }
    let (mut store, _) = Store::open(folder)?;
    store.keep_all(&copy.export())?;
    Ok(())
}

fn value(length: usize, n: u64) -> Vec<u8> {
    (0..length as u64).map(|at| (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (at % 57)) as u8).collect()
}

/// The region's next change, as a machine sends it to a copy that is level.
fn next(copy: &Copy, region: Region, kind: Kind, name: &str, value: &[u8]) -> Message {
    let after = copy.cursor(region);
    let upto = Stamp { epoch: Epoch(1), version: Version(after.version.0 + 1) };
    let key = Key::new(region, kind, name);
    let table = copy.table(region);
    let before = table.and_then(|table| table.get(&key)).map(|entry| entry.digest());
    let entry = Entry { key, stamp: upto, value: Some(value.into()) };
    let sum = table.map(|table| table.digest()).unwrap_or_default();
    let digest = before.map_or(sum, |before| sum.without(before)).with(entry.digest());
    let mut epochs = plane::Epochs::default();
    if after == Cursor::default() {
        epochs.begin(Epoch(1), Version(1));
    }
    let entries = vec![WireEntry::from_entry(&entry)];
    Message::Delta { region, after, upto, epochs, entries, digest: Some(digest) }
}

/// Restores the copy, as a process that starts does.
fn restore(folder: &Path) -> Done<(Store, Copy)> {
    let (store, bodies) = Store::open(folder)?;
    let mut copy = empty();
    for body in &bodies {
        copy.restore(body, None)?;
    }
    Ok((store, copy))
}

/// A link that is up, and the machine's greeting was heard.
fn linked(copy: &mut Copy) -> Done<Subscription> {
    let greeting = |name: &str| Greeting { site: 7, name: name.into(), life: Life::after(None, Nonce(1)) };
    let machine = PeerName::from(MACHINE);
    let mut options = SubscriptionOptions::new(greeting("g1"), regions().collect(), vec![machine.clone()]);
    options.spread = 0;
    let (mut link, mut out) = (Subscription::new(options, 0, 1), Vec::new());
    link.handle(0, Input::Tick, copy, None, &mut out);
    if out != [Output::Dial(machine.clone())] {
        return Err(format!("it did not dial: {out:?}").into());
    }
    link.handle(0, Input::Dialled { machine, conn: Conn(1) }, copy, None, &mut out);
    let bytes = channel::hello(&greeting(MACHINE));
    link.handle(0, Input::Bytes { conn: Conn(1), bytes }, copy, None, &mut out);
    if link.machine().is_none() {
        return Err("it was not greeted".into());
    }
    Ok(link)
}

fn hold(folder: &Path) -> Done<()> {
    let resident_before_bytes = resident()?;
    let (wall, cpu) = (Instant::now(), processor()?);
    let (mut store, mut copy) = restore(folder)?;
    let (start_us, start_cpu_us) =
        (wall.elapsed().as_micros() as u64, (processor()? - cpu).as_micros() as u64);
    let resident_bytes = resident()?;
    let mut link = linked(&mut copy)?;
    let (entries, entry_bytes) = (copy.len(), copy.bytes());
    let nodes = copy.table(Region(1)).into_iter().flat_map(|table| table.iter());
    let nodes = nodes.filter(|entry| entry.key.kind == Kind::Node).count();
    let (mut taken, mut kept, mut out, mut delta_wire_bytes) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for n in 0..DELTAS {
        let name = format!("node{:06}", n % nodes * REGIONS as usize);
        let message = next(&copy, Region(1), Kind::Node, &name, &value(40, n as u64 + 1));
        let frame = message.frame().ok_or("too long")?;
        let (bytes, body) = (frame.to_vec(), message.body());
        delta_wire_bytes = bytes.len();
        out.clear();
        let before = processor()?;
        link.handle(0, Input::Bytes { conn: Conn(1), bytes }, &mut copy, None, &mut out);
        taken.push(processor()? - before);
        if !out.iter().any(|output| matches!(output, Output::InForce(_))) {
            return Err(format!("change {n} is not in force: {out:?}").into());
        }
        let before = processor()?;
        store.keep(&body)?;
        store.hand_over()?;
        kept.push(processor()? - before);
    }
    if copy.len() != entries {
        return Err("a change was of no key that was there".into());
    }
    taken.sort();
    kept.sort();
    let cost = Cost {
        entries,
        entry_bytes,
        resident_bytes,
        resident_before_bytes,
        delta_median_ns: taken[DELTAS / 2].as_nanos() as u64,
        delta_p99_ns: taken[DELTAS * 99 / 100].as_nanos() as u64,
        keep_median_ns: kept[DELTAS / 2].as_nanos() as u64,
        delta_wire_bytes,
        start_us,
        start_cpu_us,
        base_bytes: std::fs::metadata(folder.join("base"))?.len(),
        ..Cost::default()
    };
    println!("{}", serde_json::to_string(&cost)?);
    Ok(())
}

/// Has an empty copy take the whole state from frames.
fn take_whole(folder: &Path) -> Done<()> {
    let (_, bodies) = Store::open(folder)?;
    let frames: Option<Vec<Vec<u8>>> =
        bodies.into_iter().map(|body| channel::note(plane::KIND, body)).collect();
    let frames = frames.ok_or("too long")?;
    let whole_wire_bytes = frames.iter().map(Vec::len).sum();
    let (mut copy, mut out) = (empty(), Vec::new());
    let mut link = linked(&mut copy)?;
    let before = processor()?;
    for bytes in frames {
        link.handle(0, Input::Bytes { conn: Conn(1), bytes }, &mut copy, None, &mut out);
    }
    let whole_cpu_us = (processor()? - before).as_micros() as u64;
    let whole = out.iter().filter(|output| matches!(output, Output::InForce(_))).count();
    if whole != REGIONS as usize {
        return Err(format!("{whole} regions are in force").into());
    }
    println!("{}", serde_json::to_string(&Cost { whole_cpu_us, whole_wire_bytes, ..Cost::default() })?);
    Ok(())
}

/// Processor time of this process.
fn processor() -> Done<Duration> {
    Ok(clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID)?.into())
}

/// Resident bytes of this process.
fn resident() -> Done<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no resident size")?;
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse()?;
    Ok(kilobytes * 1024)
}
