//! What happens when on a day.

use std::time::Duration;

use emulator::Fault;
use gateway::NodeLineState;
use settings::{Site, Trouble, TroubleKind};

/// One change.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Change {
    /// A node's fault.
    Fault(String, Fault),
    /// The node list says something else of a node; its start is looked up then.
    List(String, NodeLineState),
    /// A gateway is killed.
    Kill(String),
    /// A gateway is told to leave.
    Stop(String),
    /// A gateway comes back.
    Start(String),
    /// A gateway comes up for the first time.
    Join(String),
    /// A gateway is told to leave, and does not come back.
    Depart(String),
    /// A process stands still, or goes on.
    Stall(String, bool),
    /// A trouble of links begins or ends, by its number.
    Links(usize, bool, String),
    /// The power goes for these at once.
    PowerOff(Vec<String>),
    /// It comes back.
    PowerOn(Vec<String>),
    /// A client breaks its connections.
    Leave(String),
}

impl Change {
    /// For people.
    pub(crate) fn words(&self) -> String {
        match self {
            Change::Fault(node, fault) => format!("{node}: {fault:?}"),
            Change::List(node, state) => format!("the list says {node} is {state:?}").to_lowercase(),
            Change::Kill(g) => format!("{g} is killed"),
            Change::Stop(g) => format!("{g} is told to leave"),
            Change::Start(g) => format!("{g} starts again"),
            Change::Join(g) => format!("{g} joins"),
            Change::Depart(g) => format!("{g} is told to leave for good"),
            Change::Stall(g, true) => format!("{g} stands still"),
            Change::Stall(g, false) => format!("{g} goes on"),
            Change::Links(_, _, words) => words.clone(),
            Change::PowerOff(of) => format!("the power of {} is cut", of.join(", ")),
            Change::PowerOn(of) => format!("the power of {} is back", of.join(", ")),
            Change::Leave(c) => format!("{c} breaks its connections"),
        }
    }
}

/// The changes of a day, by time since its start.
pub(crate) fn timeline(site: &Site) -> Vec<(Duration, Change)> {
    let mut changes = Vec::new();
    for (number, trouble) in site.trouble.iter().enumerate() {
        if trouble.what.is_of_links() {
            changes.extend(of_links(number, trouble));
            continue;
        }
        let lag = list_lag(site, trouble.at_s).max(list_lag(site, trouble.at_s + trouble.for_s));
        if trouble.what == TroubleKind::Power {
            changes.extend(of_power(site, trouble, lag));
            continue;
        }
        for name in &trouble.of {
            // A gateway leaves for good; a client breaks its connections.
            let leaves = trouble.what == TroubleKind::Leave && site.gateway_index(name).is_some();
            match leaves {
                true => changes.push((Duration::from_secs_f64(trouble.at_s), Change::Depart(name.clone()))),
                false => changes.extend(of_trouble(trouble, name, lag)),
            }
        }
    }
    changes.sort_by_key(|c| c.0);
    changes
}

/// How late the node list is about what happens at a time.
fn list_lag(site: &Site, at: f64) -> Duration {
    let usual = Duration::from_millis(site.day.as_ref().map_or(0, |d| d.list_lag_ms.into()));
    let late = |t: &&Trouble| t.what == TroubleKind::LateList && (t.at_s..t.at_s + t.for_s).contains(&at);
    usual + site.trouble.iter().filter(late).map(|t| Duration::from_secs_f64(t.factor)).sum::<Duration>()
}

/// When a trouble begins and ends.
fn span(trouble: &Trouble) -> (Duration, Duration) {
    let at = Duration::from_secs_f64(trouble.at_s);
    (at, at + Duration::from_secs_f64(trouble.for_s))
}

fn of_links(number: usize, trouble: &Trouble) -> Vec<(Duration, Change)> {
    let (at, end) = span(trouble);
    let others = if trouble.to.is_empty() { "all others".to_owned() } else { trouble.to.join(", ") };
    let ways = if trouble.both { "and" } else { "to" };
    let what = match trouble.what {
        TroubleKind::SlowLink => format!("{} ms + {} ms late", trouble.delay_ms, trouble.jitter_ms),
        _ => "cut".to_owned(),
    };
    let change = |on| {
        let end = if on { "" } else { " no longer" };
        Change::Links(number, on, format!("{} {ways} {others}: {what}{end}", trouble.of.join(", ")))
    };
    if trouble.what != TroubleKind::Flap {
        return vec![(at, change(true)), (end, change(false))];
    }
    let (down, up) = (ms(trouble.down_ms), ms(trouble.up_ms));
    let mut changes = Vec::new();
    let mut from = at;
    while from < end {
        changes.push((from, change(true)));
        changes.push(((from + down).min(end), change(false)));
        from += down + up;
    }
    changes
}

fn ms(ms: u32) -> Duration {
    Duration::from_millis(ms.max(1).into())
}

/// The power of all that are named goes and comes back at one time; the list learns late of nodes, as of any that die.
fn of_power(site: &Site, trouble: &Trouble, lag: Duration) -> Vec<(Duration, Change)> {
    let (at, end) = span(trouble);
    let mut changes =
        vec![(at, Change::PowerOff(trouble.of.clone())), (end, Change::PowerOn(trouble.of.clone()))];
    for node in site.node.iter().map(|n| &n.name).filter(|n| trouble.of.contains(n)) {
        changes.push((at + lag, Change::List(node.clone(), NodeLineState::Gone)));
        changes.push((end + lag, Change::List(node.clone(), NodeLineState::On)));
    }
    changes
}

fn of_trouble(trouble: &Trouble, name: &str, lag: Duration) -> Vec<(Duration, Change)> {
    let (at, end) = span(trouble);
    let name = name.to_owned();
    if let Some(kind) = trouble.what.fault() {
        let (on, off) = kind.switch(trouble.factor);
        let mut changes = vec![(at, Change::Fault(name.clone(), on))];
        changes.extend(off.map(|off| (end, Change::Fault(name.clone(), off))));
        if trouble.what == TroubleKind::Die {
            // The list knows only whether a process runs, and knows it late.
            changes.push((at + lag, Change::List(name.clone(), NodeLineState::Gone)));
            changes.push((end + lag, Change::List(name, NodeLineState::On)));
        }
        return changes;
    }
    match trouble.what {
        TroubleKind::Drain => vec![
            (at + lag, Change::List(name.clone(), NodeLineState::Draining)),
            (end + lag, Change::List(name, NodeLineState::On)),
        ],
        TroubleKind::Unlist => vec![
            (at + lag, Change::List(name.clone(), NodeLineState::Gone)),
            (end + lag, Change::List(name, NodeLineState::On)),
        ],
        TroubleKind::KillGateway => vec![(at, Change::Kill(name.clone())), (end, Change::Start(name))],
        TroubleKind::StopGateway => vec![(at, Change::Stop(name.clone())), (end, Change::Start(name))],
        TroubleKind::Join => vec![(at, Change::Join(name))],
        TroubleKind::StallGateway | TroubleKind::Freeze => {
            vec![(at, Change::Stall(name.clone(), true)), (end, Change::Stall(name, false))]
        }
        TroubleKind::Leave => vec![(at, Change::Leave(name))],
        _ => Vec::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flapping_link_is_down_first_and_up_at_the_end() {
        let flap = Trouble {
            up_ms: 300,
            down_ms: 200,
            ..Trouble::new(TroubleKind::Flap, 1.0, 1.1, vec!["g1".to_owned()])
        };
        let times: Vec<(u128, bool)> = of_links(3, &flap)
            .into_iter()
            .map(|(at, c)| (at.as_millis(), matches!(c, Change::Links(3, true, _))))
            .collect();
        let want = [(1000, true), (1200, false), (1500, true), (1700, false), (2000, true), (2100, false)];
        assert_eq!(times, want);
    }
}
