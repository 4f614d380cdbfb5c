//! The views as plain text.

use std::fmt::Write as _;

use crate::fleet::fleet_lines;
use appliance::{NodeView, SiteView};
use steering::{Change, Micros, Phase, Source, Verdict};

/// A time of day, UTC.
pub fn when(t: Micros) -> String {
    let s = t.max(0) / 1_000_000;
    let (days, s) = (s / 86400, s % 86400);
    // Days to a date: Howard Hinnant's civil_from_days.
    let z = days + 719_468;
    let era = z / 146_097;
    let doe = z - era * 146_097;
    let yoe = (doe - doe / 1460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let (d, m) = (doy - (153 * mp + 2) / 5 + 1, if mp < 10 { mp + 3 } else { mp - 9 });
    let y = yoe + era * 400 + i64::from(m <= 2);
    format!("{y:04}-{m:02}-{d:02} {:02}:{:02}:{:02}", s / 3600, s / 60 % 60, s % 60)
}

/// A node's state, and who says so.
pub(crate) fn state(n: &NodeView) -> String {
    let word = format!("{:?}", n.state).to_lowercase();
    match (n.source, &n.drained) {
        (Source::Operator, Some(mark)) => format!("{word} by {}", mark.by),
        _ => word,
    }
}

/// What is remarkable about a node.
pub(crate) fn marks(n: &NodeView) -> String {
    let marks = [(n.cold, "cold"), (n.silent, "silent"), (n.links == 0, "no link")];
    marks.iter().filter(|m| m.0).map(|m| m.1).collect::<Vec<_>>().join(" ")
}

fn line(out: &mut String, text: std::fmt::Arguments<'_>) {
    let _ = writeln!(out, "{text}"); // A String takes everything.
}

/// The nodes.
pub fn nodes_text(view: &SiteView) -> String {
    let mut out = String::new();
    line(
        &mut out,
        format_args!(
            "{:14} {:>5} {:20} {:>5} {:>6} {:>6} {:>7} {:>8} {:>8} {:>8}  marks",
            "node", "shard", "state", "out", "bound", "L", "waiting", "sent", "served", "last ms"
        ),
    );
    for n in &view.nodes {
        let (ms, state) = (n.latency as f64 / 1000.0, state(n));
        line(
            &mut out,
            format_args!(
                "{:14} {:>5} {state:20} {:>5} {:>6.1} {:>6.2} {:>7} {:>8} {:>8} {ms:>8.1}  {}",
                n.name,
                n.shard,
                n.out,
                n.bound,
                n.l,
                n.waiting,
                n.sent,
                n.served,
                marks(n)
            ),
        );
    }
    out
}

/// The volumes.
pub fn volumes_text(view: &SiteView) -> String {
    let mut out = String::new();
    line(
        &mut out,
        format_args!(
            "{:14} {:12} {:>8} {:>8} {:>8} {:>5} {:>9} {:>9} {:>8} {:>7}  held",
            "volume", "plan", "rate", "reserve", "limit", "open", "taken", "served", "refused", "failed"
        ),
    );
    for v in &view.volumes {
        let held = v.held.as_ref().map_or(String::new(), |m| format!("by {}", m.by));
        line(
            &mut out,
            format_args!(
                "{:14} {:12} {:>8} {:>8} {:>8} {:>5} {:>9} {:>9} {:>8} {:>7}  {held}",
                v.name, v.plan, v.rate, v.reserve, v.limit, v.open, v.taken, v.served, v.refused, v.failed
            ),
        );
    }
    out
}

/// The open requests.
pub fn requests_text(view: &SiteView) -> String {
    let mut out = String::new();
    line(
        &mut out,
        format_args!(
            "{:20} {:>9} {:12} {:6} {:16} {:>8}  at",
            "request", "age ms", "volume", "op", "class", "attempts"
        ),
    );
    for g in &view.gateways {
        for r in &g.requests {
            let at = if r.nodes.is_empty() { "held".to_owned() } else { r.nodes.join(" ") };
            let (id, ms) = (format!("{}/{}", g.name, r.id), r.age as f64 / 1000.0);
            line(
                &mut out,
                format_args!(
                    "{id:20} {ms:>9.1} {:12} {:6} {:16} {:>8}  {at}",
                    r.volume, r.op, r.class, r.attempts
                ),
            );
        }
    }
    out
}

/// The site in a few lines.
pub(crate) fn head(view: &SiteView) -> String {
    let up = view.processes.iter().filter(|p| p.phase == Phase::Up).count();
    let mut out =
        format!("{}: {up} of {} processes up, intents {}", view.name, view.processes.len(), view.revision);
    if let Some(mark) = &view.paused {
        let _ = write!(out, ", PAUSED by {}", mark.by);
    }
    if view.stopping {
        out.push_str(", STOPPING");
    }
    out
}

/// The whole view.
pub fn text(view: &SiteView) -> String {
    let mut out = format!("{}\n\n", head(view));
    line(&mut out, format_args!("{:14} {:8} {:10} {:>8}", "process", "kind", "phase", "restarts"));
    for p in &view.processes {
        let (kind, phase) = (format!("{:?}", p.kind).to_lowercase(), format!("{:?}", p.phase).to_lowercase());
        line(&mut out, format_args!("{:14} {kind:8} {phase:10} {:>8}", p.name, p.restarts));
    }
    for (title, part) in [("", nodes_text(view)), ("", volumes_text(view)), ("", requests_text(view))] {
        let _ = write!(out, "{title}\n{part}");
    }
    out.push('\n');
    for g in &view.gateways {
        match &g.status {
            Some(s) => line(
                &mut out,
                format_args!(
                    "{} on {}: {} connections, taken {}, served {}, refused {}, failed {}, open {}",
                    g.name, s.address, s.connections, s.taken, s.served, s.refused, s.failed, s.open
                ),
            ),
            None => line(&mut out, format_args!("{}: does not answer", g.name)),
        }
        for l in g.status.iter().flat_map(|s| fleet_lines(s)) {
            line(&mut out, format_args!("  {l}"));
        }
    }
    for note in &view.notes {
        line(&mut out, format_args!("note of {} {}: {}", note.mark.by, when(note.mark.t), note.text));
    }
    out
}

/// What became of a change, in a sentence.
pub fn verdict_text(change: &Change, verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { revision, remark: None } => format!("{change}: done, revision {}", revision.0),
        Verdict::Accepted { revision, remark: Some(remark) } => {
            format!("{change}: done, revision {}; {remark}", revision.0)
        }
        Verdict::Already { since: Some(mark) } => {
            format!("{change}: it is so already, by {} since {}", mark.by, when(mark.t))
        }
        Verdict::Already { since: None } => format!("{change}: it is so already"),
        Verdict::Conflict { what, .. } => format!("{change}: not done, somebody was first: {what}"),
        Verdict::Confirm { refused } => format!("{change}: not done yet. {refused}. Confirm to go on"),
        Verdict::Unknown { what } => format!("{change}: {what}"),
        Verdict::NotStored { why } => format!("{change}: NOT done, it could not be stored: {why}"),
    }
}

/// Why a request waits, or how it ended: GATEWAY/NUMBER.
pub fn why(view: &SiteView, request: &str) -> String {
    let Some((name, number)) = request.split_once('/') else {
        return format!("'{request}' is no request; they are named GATEWAY/NUMBER");
    };
    let Some(gateway) = view.gateways.iter().find(|g| g.name == name) else {
        return format!("no gateway is named '{name}'");
    };
    let Ok(id) = number.parse::<u64>() else { return format!("'{number}' is no number") };
    if let Some(r) = gateway.requests.iter().find(|r| r.id == id) {
        let ms = r.age as f64 / 1000.0;
        if !r.nodes.is_empty() {
            return format!(
                "{request}: {} of {}, attempt {} is out at {} since at most {ms:.1} ms",
                r.op,
                r.volume,
                r.attempts,
                r.nodes.join(", ")
            );
        }
        let busy: Vec<String> = view
            .nodes
            .iter()
            .filter(|n| n.waiting > 0)
            .map(|n| {
                format!(
                    "{} ({} out, bound {:.1}, L {:.2}, {} wait; {})",
                    n.name,
                    n.out,
                    n.bound,
                    n.l,
                    n.waiting,
                    state(n)
                )
            })
            .collect();
        let at = if busy.is_empty() { "its block's turn".into() } else { busy.join("; ") };
        return format!(
            "{request}: {} of {}, held for {ms:.1} ms, {} attempts so far; waits for {at}",
            r.op, r.volume, r.attempts
        );
    }
    match gateway.ended.iter().rev().find(|e| e.id == id) {
        Some(e) => {
            let how = match e.refused {
                Some(advice) => format!("refused, to come back after {} ms", advice / 1000),
                None => "failed, effect unknown".into(),
            };
            format!(
                "{request}: {} of {}, {how}, after {:.1} ms and {} attempts: {}",
                e.op,
                e.volume,
                e.age as f64 / 1000.0,
                e.attempts,
                e.reason
            )
        }
        None => format!("{request} is not open, and not among the last that ended unserved"),
    }
}
