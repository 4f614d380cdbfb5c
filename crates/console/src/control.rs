//! The control plane as a gateway follows it, in a line for people.

use gateway::ControlPlaneStatus;

/// Where it stands, whom it follows and since when.
pub(crate) fn control_line(c: &ControlPlaneStatus, now: i64) -> String {
    let span = format!("{:.1} s", (now - c.since).max(0) as f64 / 1e6);
    let link = match &c.machine {
        Some(machine) => format!("{machine} for {span}, {}", if c.caught_up { "level" } else { "not level" }),
        None => format!("NO MACHINE for {span}, it serves on with what it has"),
    };
    let of = |r: &gateway::RegionStatus| format!("{}: {}.{}", r.region, r.epoch, r.version);
    let regions: Vec<String> = c.regions.iter().map(of).collect();
    let (came, went) = (c.bytes_in / 1024, c.bytes_out / 1024);
    let mut line = format!(
        "control: {link}; {}; {} entries, {came} KiB in, {went} KiB out, {} whole; {} turned away",
        regions.join(", "),
        c.entries,
        c.snapshots_received,
        c.rejected_messages
    );
    if !c.stored {
        line += "; NOT KEPT on its disk";
    }
    if !c.drains.is_empty() {
        line += &format!("; it drains {}", c.drains.join(", "));
    }
    line
}
