//! The site file of a day.

use std::fmt::Write;
use std::net::SocketAddr;

use loopback::LeaseError;

use crate::options::Size;

/// What a site file needs beside the control plane. Its one gateway and node are not run.
const REST: &str = r#"
[site]
name = "plane-day"
subsystem = "nqn.2026-12.example.crowbay:plane-day"
unit_kib = 4
most_units = 8
mean_units = 2
share_worth = 0.35
spare_worth = 0.08

[rules]
most_attempts = 4
most_advice_ms = 1000
drain_grace_ms = 500
order_rest_ms = 200
cold_units = 20
cold_window_ms = 1000
cold_from = 0.2
warm_after_ms = 5000
fall_multiple = 3

[[class]]
name = "read"
op = "read"
repeats = "safe"
aim_ms = 150
patience_ms = 750
worth = 2

[[class]]
name = "write"
op = "write"
repeats = "keyed"
window_ms = 2500
aim_ms = 250
patience_ms = 1500
worth = 2

[[class]]
name = "flush"
op = "flush"
repeats = "safe"
aim_ms = 500
patience_ms = 2000
worth = 1

[[plan]]
name = "standard"
rate = 100
reserve = 60
weight = 1
price = 1

[[volume]]
name = "volume1"
nsid = 1
blocks = 65536
plan = "standard"
extent_blocks = 64
shards = [0]

[[gateway]]
name = "gateway1"

[[node]]
name = "node1"
shard = 0

[control]
region = 1
"#;

/// The name of a machine, counted from 0.
pub(crate) fn machine(number: usize) -> String {
    format!("c{}", number + 1)
}

/// The text of a site file with these machines, in the order of their regions; the first of each region is its writer.
pub fn site_file(size: &Size, listen: &[SocketAddr]) -> String {
    let mut text = String::from("# Written for a day of the control plane.\n");
    text.push_str(REST);
    let places =
        size.regions().zip(&size.machines).flat_map(|(region, count)| (0..*count).map(move |n| (region, n)));
    for (number, ((region, n), listen)) in places.zip(listen).enumerate() {
        let name = machine(number);
        // A string takes all that is written to it.
        let _ = write!(
            text,
            "\n[[control.machine]]\nname = \"{name}\"\nregion = {region}\nlisten = \"{listen}\"\n"
        );
        if n == 0 {
            text.push_str("writer = true\n");
        }
    }
    text
}

/// Addresses on loopback that nobody else is given while this process lives.
///
/// # Errors
/// There are no more.
pub(crate) fn addresses(count: usize) -> Result<Vec<SocketAddr>, LeaseError> {
    (0..count).map(|_| loopback::address()).collect()
}
