//! Problems of the fleet's tables.

use std::collections::BTreeSet;

use super::Check;
use crate::schema::*;

/// Extents that a candidate may have in all.
const MOST_EXTENTS: u64 = 1 << 17;

impl Check {
    pub(super) fn fleet(&mut self, s: &Site) {
        for (table, there) in [("repeats", s.repeats.is_some()), ("candidate", s.candidate.is_some())] {
            if there && s.fleet.is_none() {
                let what =
                    format!("[{table}] needs gateways that know of each other: add [fleet], or leave it out");
                self.problem(table.into(), what);
            }
        }
        if let Some(f) = &s.fleet {
            self.within("fleet.period_ms".into(), f.period_ms.into(), 10.0, 60_000.0);
            self.within("fleet.fanout".into(), f.fanout as f64, 1.0, 64.0);
            self.within("fleet.indirect".into(), f.indirect as f64, 0.0, 64.0);
            self.within("fleet.exchange".into(), f.exchange.into(), 1.0, 10_000.0);
            self.within("fleet.most_nodes".into(), f.most_nodes as f64, 1.0, 65_536.0);
            if let Some([longest, shortest]) = f.suspicion
                && (shortest == 0 || longest < shortest || longest > 10_000)
            {
                let what = "the longest suspicion comes first, then the shortest: 1 to 10000 periods each";
                self.problem("fleet.suspicion".into(), what);
            }
        }
        if let Some(r) = &s.repeats {
            self.within("repeats.window_ms".into(), r.window_ms.into(), 10.0, 600_000.0);
            self.within("repeats.free".into(), r.free.unwrap_or(0.0), 0.0, 1e9);
            self.within("repeats.share".into(), r.share, 0.0, 10.0);
            self.within("repeats.recovering_share".into(), r.recovering_share, 0.0, r.share);
            self.within("repeats.fleet_free".into(), r.fleet_free.unwrap_or(0.0), 0.0, 1e9);
            self.within("repeats.fleet_share".into(), r.fleet_share, 0.0, 10.0);
            self.within("repeats.drift".into(), r.drift, 0.0, 0.4);
        }
        if let Some(candidate) = &s.candidate {
            self.candidate(s, candidate);
        }
    }

    fn candidate(&mut self, s: &Site, c: &CandidateTable) {
        if c.number == 0 {
            let what = "0 stands for none; a candidate is numbered from 1, each map by a number of its own";
            self.problem("candidate.number".into(), what);
        }
        self.within("candidate.slice".into(), c.slice, 0.0, 1.0);
        self.within("candidate.node_rate".into(), c.node_rate, 0.0, 1e6);
        let of = |name: &str| s.volume.iter().find(|v| v.name == name);
        for (name, part) in &c.parts {
            let key = format!("candidate.parts.{name}");
            if of(name).is_none() {
                self.problem(key, format!("no [[volume]] is named '{name}'"));
            } else {
                self.within(key, *part, 0.0, 1.0);
            }
        }
        let shards: BTreeSet<u32> = s.node.iter().map(|n| n.shard).collect();
        let mut seen = BTreeSet::new();
        for (n, v) in c.volume.iter().enumerate() {
            let key = |name: &str| format!("candidate.volume[{n}].{name}");
            let Some(in_force) = of(&v.name) else {
                self.problem(key("name"), format!("no [[volume]] is named '{}'", v.name));
                continue;
            };
            if !seen.insert(v.name.as_str()) {
                let what = format!("'{}' is there twice, so that its extents overlap; leave one out", v.name);
                self.problem(key("name"), what);
            }
            if v.extent_blocks != in_force.extent_blocks {
                let what = format!(
                    "an extent has {} blocks; a candidate does not change that",
                    in_force.extent_blocks
                );
                self.problem(key("extent_blocks"), what);
                continue;
            }
            if v.shards.is_empty() {
                self.problem(key("shards"), "every extent is left out; name at least one shard");
            }
            for (m, shard) in v.shards.iter().enumerate().filter(|(_, s)| !shards.contains(s)) {
                self.problem(key(&format!("shards[{m}]")), format!("no [[node]] holds shard {shard}"));
            }
            self.moved(n, v, in_force, &shards);
        }
        let left_out: Vec<&str> =
            s.volume.iter().map(|v| v.name.as_str()).filter(|name| !seen.contains(name)).collect();
        if !left_out.is_empty() {
            let what =
                format!("all extents of {} are left out; add [[candidate.volume]]", left_out.join(", "));
            self.problem("candidate.volume".into(), what);
        }
        let extents = |v: &Volume| v.blocks.div_ceil(v.extent_blocks.max(1));
        let all = s.volume.iter().map(extents).fold(0, u64::saturating_add);
        if all > MOST_EXTENTS {
            let what = format!("{all} extents are more than a candidate is tried with, {MOST_EXTENTS}");
            self.problem("candidate".into(), what);
        } else if self.problems.is_empty()
            && let Err(error) = s.candidate_map(c).check(&s.current_map(), &shards)
        {
            // What the shadow would turn away and nothing above has named.
            self.problem("candidate".into(), error.to_string());
        }
    }

    fn moved(&mut self, n: usize, v: &CandidateVolume, in_force: &Volume, shards: &BTreeSet<u32>) {
        let extents = in_force.blocks.div_ceil(in_force.extent_blocks.max(1));
        let mut before: Vec<&Moved> = Vec::new();
        for (m, moved) in v.moved.iter().enumerate() {
            let key = |name: &str| format!("candidate.volume[{n}].moved[{m}].{name}");
            if moved.first > moved.last || moved.last >= extents {
                let what =
                    format!("extents {} to {} are not within 0 to {}", moved.first, moved.last, extents - 1);
                self.problem(key("first"), what);
            }
            if !shards.contains(&moved.shard) {
                self.problem(key("shard"), format!("no [[node]] holds shard {}", moved.shard));
            }
            let overlaps = |b: &&&Moved| b.first <= moved.last && moved.first <= b.last;
            if let Some(b) = before.iter().find(overlaps) {
                let what = format!("extents {} to {} were moved already", b.first, b.last);
                self.problem(key("first"), what);
            }
            before.push(moved);
        }
    }
}
