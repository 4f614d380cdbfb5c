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
    /// A gateway's process stands still, or goes on.
    Stall(String, bool),
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
            Change::Stall(g, true) => format!("{g} stands still"),
            Change::Stall(g, false) => format!("{g} goes on"),
            Change::Leave(c) => format!("{c} breaks its connections"),
        }
    }
}

/// The changes of a day, by time since its start.
pub(crate) fn timeline(site: &Site) -> Vec<(Duration, Change)> {
    let mut changes = Vec::new();
    for trouble in &site.trouble {
        let lag = list_lag(site, trouble.at_s).max(list_lag(site, trouble.at_s + trouble.for_s));
        trouble.of.iter().for_each(|name| changes.extend(of_trouble(trouble, name, lag)));
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

fn of_trouble(trouble: &Trouble, name: &str, lag: Duration) -> Vec<(Duration, Change)> {
    let at = Duration::from_secs_f64(trouble.at_s);
    let end = at + Duration::from_secs_f64(trouble.for_s);
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
        TroubleKind::StallGateway => {
            vec![(at, Change::Stall(name.clone(), true)), (end, Change::Stall(name, false))]
        }
        TroubleKind::Leave => vec![(at, Change::Leave(name))],
        _ => Vec::new(),
    }
}
