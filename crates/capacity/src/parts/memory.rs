//! What modules keep resident.

use crate::coming::{GATEWAYS, NODES, SHARD_NODES};
use crate::{Ask, MeasureError, Role, Row};

use super::module::{self, Stand};
use super::net::{Net, PERIOD};
use super::timing::{median, sizes};
use super::{caps, lists, notes, resident, site};

/// Children of which the median is taken.
const RUNS: u64 = 3;
/// Requests after which every structure of a site of any size here has been used: five seconds and more of them.
const USED: usize = 4_600;

/// Something that grows with a size, and the bytes that one of it keeps.
struct Kind {
    name: &'static str,
    role: Role,
    of: &'static str,
    sizes: &'static [usize],
    at: usize,
    how: &'static str,
    bytes: fn(usize, u64) -> Result<f64, MeasureError>,
}

const KINDS: &[Kind] = &[
    Kind {
        name: "memory_dispatch_listed",
        role: Role::GatewayControl,
        of: "nodes listed",
        sizes: &module::SIZES,
        at: NODES,
        how: "`dispatch` and `decisions` that have been told the whole list, shards of 3 nodes, and have served nothing.",
        bytes: |nodes, seed| dispatch(nodes, seed, false),
    },
    Kind {
        name: "memory_dispatch_used",
        role: Role::GatewayData,
        of: "nodes listed",
        sizes: &module::SIZES,
        at: NODES,
        how: "The same after 4,600 requests, or one for each node if those are more, at 917 a second, all answered.",
        bytes: |nodes, seed| dispatch(nodes, seed, true),
    },
    Kind {
        name: "memory_machine_listed",
        role: Role::GatewayControl,
        of: "nodes listed",
        sizes: &module::SIZES,
        at: NODES,
        how: "`platform::Machine` with the whole list remembered, without connections; its configuration is not in it.",
        bytes: machine,
    },
    Kind {
        name: "memory_fleet_members",
        role: Role::GatewayControl,
        of: "members of the fleet",
        sizes: &[10, 20, 40, 80, 160],
        at: GATEWAYS,
        how: "`fleet::Fleet` of one member whose view has settled and rested for 15 periods, no volumes held and no node seen.",
        bytes: fleet,
    },
    Kind {
        name: "memory_repeats_members",
        role: Role::GatewayControl,
        of: "members of the fleet",
        sizes: &[10, 40, 160, 640],
        at: GATEWAYS,
        how: "`repeats::Cap` of 30 shards that every peer has told of one shard in trouble and asked for rights to it.",
        bytes: |members, seed| {
            resident::each(copies(members, 5_120), |n| Ok(caps::heard_from_all(members, seed + n)))
        },
    },
    Kind {
        name: "memory_repeats_shards",
        role: Role::GatewayControl,
        of: "shards",
        sizes: &caps::SHARDS,
        at: NODES / SHARD_NODES,
        how: "`repeats::Cap` of so many shards among 160 members, after three windows of served requests.",
        bytes: |shards, seed| {
            resident::each(copies(shards, 21_000), |n| {
                let mut one = notes::Company::alone(shards as u32, seed + n);
                (0..3 * notes::STEPS).for_each(|_| one.step());
                Ok(one)
            })
        },
    },
];

/// As many of a size that some such things are in them together.
fn copies(size: usize, things: usize) -> usize {
    (things / size).clamp(1, 128)
}

fn dispatch(nodes: usize, seed: u64, used: bool) -> Result<f64, MeasureError> {
    let settings = site::config(nodes, &site::list(1, false, &[]), seed)?.settings;
    let listed = site::listed(nodes);
    resident::each(copies(nodes, 3 * NODES), |n| {
        let mut stand = Stand::new(&listed, &settings, seed + n);
        if used {
            stand.batch(nodes.max(USED));
        }
        Ok(stand)
    })
}

fn machine(nodes: usize, seed: u64) -> Result<f64, MeasureError> {
    let config = site::config(nodes, &site::whole(1, nodes), seed)?;
    resident::each(copies(nodes, 3 * NODES), |_| Ok(lists::machine(&config)))
}

fn fleet(members: usize, seed: u64) -> Result<f64, MeasureError> {
    let net = |n: u64| -> Result<Net, MeasureError> {
        let mut net = Net::started(members, seed + n);
        net.settle("the start")?;
        net.run(15 * PERIOD);
        Ok(net)
    };
    Ok(resident::each(copies(members, 320), net)? / members as f64)
}

/// The bytes that one of a kind, by its name, keeps at a size: what a program does that is asked for `--child NAME SIZE SEED`.
///
/// # Errors
/// No such kind, or what is to be measured went wrong.
pub fn child(name: &str, size: usize, seed: u64) -> Result<f64, MeasureError> {
    let kind = KINDS.iter().find(|k| k.name == name);
    let kind =
        kind.ok_or_else(|| MeasureError::Failed(format!("no memory is measured under the name {name}")))?;
    (kind.bytes)(size, seed)
}

/// Resident memory of each kind, each size in processes of its own.
pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let row = |kind: &Kind| -> Result<Row, MeasureError> {
        let mut points = Vec::new();
        for &size in sizes(kind.sizes, ask.look) {
            let runs = (0..RUNS).map(|n| resident::in_child(kind.name, size, ask.seed + 1_000 * n));
            points.push((size as f64, median(runs.collect::<Result<_, _>>()?)));
        }
        Ok(Row {
            name: kind.name,
            role: kind.role,
            of: kind.of,
            cost: "resident memory, bytes",
            points,
            at: kind.at as f64,
            budget: None,
            how: format!(
                "{} Growth of what is resident in a fresh process with 1 to 128 more of it, divided; the allocator's slack is in it; median \
                 of {RUNS} processes.",
                kind.how
            ),
        })
    };
    KINDS.iter().map(row).collect()
}
