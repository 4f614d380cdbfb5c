//! Reading a file and finding every problem in it.

use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};

use records::Op;

use crate::lines::{Lines, line};
use crate::schema::*;

mod control;
mod day;
mod fleet;

/// Problems told at most.
const MOST: usize = 50;

/// One problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line, from 1.
    pub line: usize,
    /// Key, as a path; empty where the text is no TOML.
    pub key: String,
    /// What is wrong and what would be right.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "line {}: {}", self.line, self.what),
            key => write!(f, "line {}: {key}: {}", self.line, self.what),
        }
    }
}

/// Why a file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It could not be read.
    #[error("cannot read {0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// It has problems.
    #[error("{}", told(.0, .1))]
    Problems(PathBuf, Vec<Problem>),
}

fn told(path: &Path, problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(|p| format!("{}: {p}", path.display())).collect();
    lines.join("\n")
}

impl Site {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// It cannot be read, or every problem in it.
    pub fn load(path: &Path) -> Result<Site, LoadError> {
        let text = std::fs::read_to_string(path).map_err(|e| LoadError::Io(path.to_owned(), e))?;
        Site::parse(&text).map_err(|problems| LoadError::Problems(path.to_owned(), problems))
    }

    /// Checks a text.
    ///
    /// # Errors
    /// Every problem in it, by line.
    pub fn parse(text: &str) -> Result<Site, Vec<Problem>> {
        let (site, mut problems) = shape(text);
        if let Some(site) = site {
            let mut check = Check { lines: Lines::of(text), problems };
            check.site(&site);
            check.problems.sort_by(|a, b| (a.line, &a.key, &a.what).cmp(&(b.line, &b.key, &b.what)));
            return if check.problems.is_empty() { Ok(site) } else { Err(check.problems) };
        }
        problems.sort_by_key(|p| p.line);
        Err(problems)
    }
}

/// Reads the shape. Each line with a wrong or unknown key is told, blanked, and the rest read again, so that one
/// reading tells them all.
fn shape(text: &str) -> (Option<Site>, Vec<Problem>) {
    let (mut problems, mut rest) = (Vec::new(), text.to_owned());
    let lines = Lines::of(text);
    loop {
        let error = match toml::from_str::<Site>(&rest) {
            Ok(site) => return (Some(site), problems),
            Err(error) => error,
        };
        let message = error.message().lines().next().unwrap_or_default().to_owned();
        let at = error.span().map_or(0, |s| s.start);
        let (number, missing) = (line(&rest, at), message.starts_with("missing field"));
        // A key that is missing may be one that was blanked because it was wrong.
        if !missing || problems.is_empty() {
            let key = lines.key_at(number).unwrap_or_default().to_owned();
            problems.push(Problem { line: number, key, what: message });
        }
        let start = rest[..at].rfind('\n').map_or(0, |n| n + 1);
        let end = rest[at..].find('\n').map_or(rest.len(), |n| at + n);
        let header = rest[start..end].trim_start().starts_with('[');
        if problems.len() >= MOST || (!header && (missing || rest[start..end].trim().is_empty())) {
            return (None, problems);
        }
        // A section that lacks a key is left out whole, so that the others are still looked at.
        let next = rest[end..].find("\n[").map_or(rest.len(), |n| end + n);
        let blank = start..if header { next } else { end };
        let spaces: String = rest[blank.clone()].chars().map(|c| if c == '\n' { c } else { ' ' }).collect();
        rest.replace_range(blank, &spaces);
    }
}

struct Check {
    lines: Lines,
    problems: Vec<Problem>,
}

impl Check {
    fn problem(&mut self, key: String, what: impl Into<String>) {
        let line = self.lines.find(&key);
        self.problems.push(Problem { line, key, what: what.into() });
    }

    fn within(&mut self, key: String, value: f64, from: f64, to: f64) {
        if !(from..=to).contains(&value) {
            self.problem(key, format!("{value} is not from {from} to {to}"));
        }
    }

    fn names<'a>(&mut self, section: &str, names: impl Iterator<Item = &'a str>) -> BTreeSet<&'a str> {
        let mut seen = BTreeSet::new();
        for (n, name) in names.enumerate() {
            let key = format!("{section}[{n}].name");
            let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
                self.problem(
                    key,
                    format!("'{name}' is no name: letters, digits, '-', '_' and '.', 1 to 64 of them"),
                );
            } else if !seen.insert(name) {
                self.problem(key, format!("a second {section} is named '{name}'"));
            }
        }
        if seen.is_empty() && section != "client" {
            self.problem(section.to_owned(), format!("at least one [[{section}]] is needed"));
        }
        seen
    }

    fn site(&mut self, s: &Site) {
        let most = 1e12;
        let g = &s.site;
        if !g.subsystem.starts_with("nqn.") || g.subsystem.len() > 223 {
            self.problem("site.subsystem".into(), "an NQN starts with 'nqn.' and has at most 223 bytes");
        }
        self.within("site.unit_kib".into(), g.unit_kib.into(), 1.0, 65536.0);
        self.within("site.most_units".into(), g.most_units, 1.0, 1e6);
        self.within("site.mean_units".into(), g.mean_units, 0.01, g.most_units.max(1.0));
        for (key, x) in [("share", g.share_worth), ("spare", g.spare_worth)] {
            self.within(format!("site.{key}_worth"), x, 0.0, 1.0);
        }
        self.rules(&s.rules);
        self.limits(s);
        self.names("class", s.class.iter().map(|c| c.name.as_str()));
        s.class.iter().enumerate().for_each(|(n, c)| self.class(n, c));
        for op in [Op::Read, Op::Write, Op::Flush] {
            if !s.class.iter().any(|c| c.op == op && c.most_kib.is_none()) {
                let word = format!("{op:?}").to_lowercase();
                self.problem(
                    "class".into(),
                    format!("no class without most_kib takes op = \"{word}\"; add one"),
                );
            }
        }
        let plans = self.names("plan", s.plan.iter().map(|p| p.name.as_str()));
        for (n, p) in s.plan.iter().enumerate() {
            for (key, x) in [("rate", p.rate), ("weight", p.weight)] {
                self.within(format!("plan[{n}].{key}"), x, 1e-3, most);
            }
            for (key, x) in [("reserve", p.reserve), ("limit", p.limit), ("price", p.price)] {
                self.within(format!("plan[{n}].{key}"), x, 0.0, most);
            }
            if p.limit > 0.0 && p.limit_burst < g.most_units {
                let what = format!("a limit needs a burst of at least most_units, {}", g.most_units);
                self.problem(format!("plan[{n}].limit_burst"), what);
            }
        }
        let gateways = self.names("gateway", s.gateway.iter().map(|g| g.name.as_str()));
        self.names("node", s.node.iter().map(|n| n.name.as_str()));
        self.nodes(s);
        self.volumes(s, &plans, &gateways);
        self.fleet(s);
        self.control(s);
        self.day(s);
    }

    fn rules(&mut self, r: &Rules) {
        self.within("rules.most_attempts".into(), r.most_attempts.into(), 1.0, 100.0);
        self.within("rules.cold_from".into(), r.cold_from, 0.001, 1.0);
        self.within("rules.cold_units".into(), r.cold_units, 0.0, 1e9);
        self.within("rules.fall_multiple".into(), r.fall_multiple, 1.0, 1e6);
        if r.budget_window_ms == Some(0) {
            self.problem(
                "rules.budget_window_ms".into(),
                "a budget needs a window above 0; leave the key out for none",
            );
        }
    }

    fn limits(&mut self, s: &Site) {
        let l = &s.limits;
        self.within("limits.queue_entries".into(), l.queue_entries.into(), 2.0, 65536.0);
        self.within("limits.io_queues".into(), l.io_queues.into(), 1.0, 1024.0);
        self.within("limits.connections".into(), l.connections as f64, 2.0, 1e6);
        let whole = [
            ("connections_from_address", l.connections_from_address, 1e6),
            ("rising_from_address", l.rising_from_address, 1e6),
            ("host_commands", l.host_commands, 1e7),
            ("commands", l.commands, 1e7),
            ("host_held_mib", l.host_held_mib as usize, 1e6),
            ("held_mib", l.held_mib as usize, 1e6),
            ("way_up_ms", l.way_up_ms as usize, 3.6e6),
        ];
        whole
            .into_iter()
            .for_each(|(key, n, most)| self.within(format!("limits.{key}"), n as f64, 1.0, most));
        self.within("limits.associations".into(), l.associations as f64, 1.0, 60000.0);
        self.within("limits.in_capsule_kib".into(), l.in_capsule_kib.into(), 1.0, 128.0);
        // MDTS 0, which 4 KiB would be, tells hosts that there is no limit (Base 5.17.2.1).
        if !(l.transfer_kib.is_power_of_two() && (8..=1024).contains(&l.transfer_kib)) {
            let what = format!("{} is not a power of two from 8 to 1024", l.transfer_kib);
            self.problem("limits.transfer_kib".into(), what);
        }
        // A client that reads slowly may have a whole queue of answers on the way: it asked for them.
        let asked = l.queue_entries as usize * l.transfer_kib as usize;
        if l.spill_kib < asked {
            let what = format!("less than a queue of the largest answers; at least {asked} is needed");
            self.problem("limits.spill_kib".into(), what);
        }
        for (n, &ms) in l.retry_delays_ms.iter().enumerate() {
            if ms == 0 || ms % 100 != 0 || ms > 6_553_500 {
                let key = format!("limits.retry_delays_ms[{n}]");
                self.problem(key, format!("{ms} is not a multiple of 100 from 100 to 6553500"));
            }
        }
        if let Some(recovery) = &s.recovery {
            self.within("recovery.ask_for_ms".into(), recovery.ask_for_ms.into(), 10.0, 600_000.0);
        }
        self.within("link.queue_entries".into(), s.link.queue_entries.into(), 2.0, 65536.0);
        self.within("link.connect_ms".into(), s.link.connect_ms.into(), 1.0, 600_000.0);
        self.within("link.keep_alive_ms".into(), s.link.keep_alive_ms.into(), 100.0, 3_600_000.0);
    }

    fn class(&mut self, n: usize, c: &Class) {
        let key = |name: &str| format!("class[{n}].{name}");
        if c.aim_ms == 0 {
            self.problem(key("aim_ms"), "an aim of 0 cannot be met");
        }
        if c.patience_ms < c.aim_ms {
            self.problem(key("patience_ms"), format!("{} is under aim_ms, {}", c.patience_ms, c.aim_ms));
        }
        match (c.repeats, c.window_ms) {
            (Repeats::Keyed, None | Some(0)) => {
                self.problem(key("window_ms"), "keyed requests need the time for which nodes remember them");
            }
            (Repeats::Safe | Repeats::Unsafe, Some(_)) => {
                self.problem(key("window_ms"), "only repeats = \"keyed\" has a window");
            }
            _ => {}
        }
        if c.op != Op::Write && c.repeats != Repeats::Safe {
            self.problem(key("repeats"), "only writes can be keyed or unsafe");
        }
        if c.in_order && c.op == Op::Flush {
            self.problem(key("in_order"), "a flush has no block to keep order by");
        }
        self.within(key("worth"), c.worth, 0.0, 1e6);
        self.within(key("late_worth"), c.late_worth, 0.0, 1.0);
    }

    fn nodes(&mut self, s: &Site) {
        let mut addresses = BTreeSet::new();
        for (n, node) in s.node.iter().enumerate() {
            let key = |name: &str| format!("node[{n}].{name}");
            if node.address.port() != 0 && !addresses.insert(node.address) {
                self.problem(key("address"), format!("a second node has the address {}", node.address));
            }
            self.within(key("cores"), node.cores.into(), 1.0, 4096.0);
            self.within(key("queue"), node.queue as f64, 1.0, 1e6);
            self.within(key("us_per_kib"), node.us_per_kib, 0.0, 1e6);
            self.within(key("write_factor"), node.write_factor, 0.01, 1000.0);
            self.within(key("put_off"), node.put_off, 0.0, 1.0);
        }
        for (n, gateway) in s.gateway.iter().enumerate() {
            if gateway.listen.port() != 0 && !addresses.insert(gateway.listen) {
                self.problem(format!("gateway[{n}].listen"), format!("{} is used twice", gateway.listen));
            }
            match gateway.peer {
                None if (s.recovery.is_some() || s.fleet.is_some()) && s.gateway.len() > 1 => {
                    let table = if s.recovery.is_some() { "recovery" } else { "fleet" };
                    let what = format!("with [{table}] a gateway's peers need an address to connect to");
                    self.problem(format!("gateway[{n}].peer"), what);
                }
                Some(peer) if peer.port() != 0 && !addresses.insert(peer) => {
                    self.problem(format!("gateway[{n}].peer"), format!("{peer} is used twice"));
                }
                _ => {}
            }
        }
    }

    fn volumes(&mut self, s: &Site, plans: &BTreeSet<&str>, gateways: &BTreeSet<&str>) {
        self.names("volume", s.volume.iter().map(|v| v.name.as_str()));
        let (shards, mut nsids): (BTreeSet<u32>, _) =
            (s.node.iter().map(|n| n.shard).collect(), BTreeSet::new());
        for (n, v) in s.volume.iter().enumerate() {
            let key = |name: &str| format!("volume[{n}].{name}");
            if v.nsid == 0 || v.nsid > 0xffff || !nsids.insert(v.nsid) {
                self.problem(key("nsid"), format!("{} is 0, above 65535 or used twice", v.nsid));
            }
            if !(v.block_size.is_power_of_two() && (512..=65536).contains(&v.block_size)) {
                self.problem(
                    key("block_size"),
                    format!("{} is no power of two from 512 to 65536", v.block_size),
                );
            }
            if v.blocks == 0 || v.blocks >= 1 << 40 {
                self.problem(key("blocks"), "a volume has 1 to 2^40 - 1 blocks");
            }
            if v.extent_blocks == 0 {
                self.problem(key("extent_blocks"), "an extent has at least one block");
            }
            if !plans.contains(v.plan.as_str()) {
                self.problem(key("plan"), format!("no [[plan]] is named '{}'", v.plan));
            }
            if v.shards.is_empty() {
                self.problem(key("shards"), "a volume lies on at least one shard");
            }
            for (m, shard) in v.shards.iter().enumerate().filter(|(_, s)| !shards.contains(s)) {
                self.problem(format!("volume[{n}].shards[{m}]"), format!("no [[node]] holds shard {shard}"));
            }
            for (m, name) in v.gateways.iter().flatten().enumerate() {
                if !gateways.contains(name.as_str()) {
                    self.problem(
                        format!("volume[{n}].gateways[{m}]"),
                        format!("no [[gateway]] is named '{name}'"),
                    );
                }
            }
            if v.gateways.as_ref().is_some_and(Vec::is_empty) {
                self.problem(key("gateways"), "a volume is reached through at least one gateway");
            }
        }
    }
}
