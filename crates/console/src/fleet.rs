//! What a gateway holds together with its fleet, in lines for people.

use std::collections::BTreeMap;

use gateway::{FleetStatus, RetryCapStatus, ShadowStatus, Status};
use repeats::ShardState;
use shadow::Enough;

use crate::control::control_line;

/// The control plane, the view, the cap and the candidate of a gateway, as far as it has them; most remarkable last in each line.
pub fn fleet_lines(s: &Status) -> Vec<String> {
    let control = s.control.iter().map(|c| control_line(c, s.now));
    let fleet = s.fleet.iter().map(|f| view(f, s.now));
    let repeats = s.repeats.iter().flat_map(cap);
    control.chain(fleet).chain(repeats).chain(s.shadow.iter().map(candidate)).collect()
}

fn seconds(span: i64) -> String {
    format!("{:.1} s", span as f64 / 1e6)
}

fn view(f: &FleetStatus, now: i64) -> String {
    let up = f.members.iter().filter(|m| m.standing == "up").count();
    let mut line = format!("fleet: {up} of {} up, view {} {}", f.members.len(), f.number, f.digest);
    let mut by_cap: BTreeMap<u64, usize> = BTreeMap::new();
    for m in &f.members {
        if m.standing != "up" {
            line += &format!("; {} {} for {}", m.name, m.standing, seconds(now - m.since));
        } else {
            *by_cap.entry(m.cap).or_default() += 1;
        }
    }
    for n in &f.nodes {
        let left = n.cold_for - (now - f.at);
        if n.cold_for > 0 && left > 0 {
            line += &format!("; {} cold for {}", n.node, seconds(left));
        }
        if !n.silent_for.is_empty() {
            line += &format!("; {} silent for {}", n.node, n.silent_for.join(", "));
        }
    }
    if by_cap.len() > 1 {
        line += "; MEMBERS HOLD OTHER FIGURES FOR REPEATS: their site files differ";
    }
    line
}

fn cap(r: &RetryCapStatus) -> Vec<String> {
    let look = |l: &repeats::ShardSnapshot| {
        let shard = l.shard.map_or("all shards".into(), |s| format!("shard {s}"));
        let state = format!("{:?}", l.state).to_lowercase();
        let why = if l.state == ShardState::Normal || l.reason.is_empty() {
            String::new()
        } else {
            format!(" for {}: {}", seconds(l.since), l.reason)
        };
        format!(
            "repeats, {shard}: {state}{why}; rights left {:.1}, allowed {}, spent {:.0}, earned {:.0}, lent {:.0}, \
             borrowed {:.0}, waiting {}, held back {} (right not told {})",
            l.available,
            l.allowed,
            l.spent,
            l.earned,
            l.lent,
            l.borrowed,
            l.waiting,
            l.rejected,
            l.rejected_with_token
        )
    };
    r.shards.iter().map(look).collect()
}

fn candidate(s: &ShadowStatus) -> String {
    let (v, r) = (&s.verdict, &s.verdict.results);
    let verdict = match &v.enough {
        Enough::Wrong(extents) => {
            let named: Vec<String> =
                extents.iter().take(8).map(|(v, e)| format!("volume {v} extent {e}")).collect();
            format!("WRONG in {} extents: {}", extents.len(), named.join(", "))
        }
        Enough::NotYet { .. } => format!("not enough yet, {} extents lack", s.lacking),
        Enough::Enough => "enough".to_owned(),
    };
    format!(
        "candidate {} {}: {} compared by {} gateways in {} lives (same {}, different {}, raced {}, unknown {}); at most {:.2e} \
         differ; {verdict}",
        s.number,
        s.digest,
        v.compared,
        v.gateways,
        v.lives,
        r.same,
        r.different,
        r.raced,
        r.unknown,
        v.at_most
    )
}
