//! Connections to storage nodes: one request each at a time, kept and used again.

mod beginning;
mod cooling;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use decisions::{Micros, NodeId, Outcome};
use dispatch::AttemptId;
use http1::{Answer, AnswerDecoder, Limits};

use crate::socket::End;
use cooling::COOLING;

/// A connection, by its number.
pub(crate) type LinkId = u64;

enum Phase {
    /// On its way up, with the attempt that waits for it. Without one it was taken back.
    Rising(Option<AttemptId>),
    /// An attempt is out on it.
    Busy(AttemptId),
    /// It has just brought an answer; the attempt that goes out on it next, if one waits.
    Cooling(Option<AttemptId>),
    Idle,
}

struct Link {
    node: NodeId,
    address: SocketAddr,
    phase: Phase,
    /// When it entered its phase.
    since: Micros,
    decoder: AnswerDecoder,
}

/// The nodes' addresses and the connections to each.
pub(crate) struct Links {
    limits: Limits,
    /// How long a connection may stand idle here, and how long it may take to come up.
    idle: Micros,
    rise: Micros,
    most: usize,
    /// Bytes of answers that are not whole, in all: at most, and now.
    most_held: usize,
    held: usize,
    next: LinkId,
    links: HashMap<LinkId, Link>,
    by_attempt: HashMap<AttemptId, LinkId>,
    addresses: HashMap<NodeId, SocketAddr>,
    /// Idle connections of a node, the one used last behind.
    idles: HashMap<NodeId, Vec<LinkId>>,
    /// Cooling connections of a node that nobody waits for yet, the one that has cooled longest in front.
    cooling: HashMap<NodeId, VecDeque<LinkId>>,
    /// Connections of a node on their way up for an attempt, the one asked for first in front.
    awaited: HashMap<NodeId, VecDeque<LinkId>>,
    /// When a connection is to be looked at: rising or idle for too long. Entries of the past are passed over.
    due: BTreeSet<(Micros, LinkId)>,
}

/// What is to be done to send an attempt.
pub(crate) enum Way {
    /// It goes out on this connection, which stood idle, if that is still of use.
    Reuse(LinkId),
    /// It goes out on a connection that is cooling, once that is over.
    Later,
    /// Open this connection; it waits for it. Another may have to be closed first.
    Open(LinkId, SocketAddr, Option<LinkId>),
    /// There is no way: it was never sent.
    None(Outcome),
}

/// What came of a connection's bytes or end.
#[derive(Default)]
pub(crate) struct News {
    /// The attempt on it ended so.
    pub(crate) ended: Option<(AttemptId, Outcome, Option<Answer>)>,
    /// It is of no further use.
    pub(crate) close: bool,
    /// This attempt was to go out on it and never did: it takes another way.
    pub(crate) again: Option<(AttemptId, NodeId)>,
    /// It is up or came free, and this attempt waited for it: it may begin.
    pub(crate) next: Option<AttemptId>,
}

impl Links {
    /// `most`: connections at a time; `most_held`: bytes of answers that are not whole, in all.
    pub(crate) fn new(limits: Limits, idle: Micros, rise: Micros, most: usize, most_held: usize) -> Self {
        Links {
            limits,
            idle,
            rise,
            most,
            most_held,
            held: 0,
            next: 0,
            links: HashMap::new(),
            by_attempt: HashMap::new(),
            addresses: HashMap::new(),
            idles: HashMap::new(),
            cooling: HashMap::new(),
            awaited: HashMap::new(),
            due: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }

    /// Entries of all tables, for tests of what is kept.
    pub(crate) fn held(&self) -> usize {
        self.links.len()
            + self.by_attempt.len()
            + self.addresses.len()
            + self.idles.len()
            + self.cooling.len()
            + self.awaited.len()
            + self.due.len()
    }

    /// A node has this address now, or was started anew: idle connections of before are of no use. Which they are.
    pub(crate) fn moved(&mut self, node: NodeId, address: SocketAddr, anew: bool) -> Vec<LinkId> {
        let before = self.addresses.insert(node, address);
        if before != Some(address) || anew { self.drop_idle(node) } else { Vec::new() }
    }

    /// A node is gone. Its idle connections, to be closed.
    pub(crate) fn gone(&mut self, node: NodeId) -> Vec<LinkId> {
        self.drop_idle(node)
    }

    /// A node is forgotten.
    pub(crate) fn forget(&mut self, node: NodeId) -> Vec<LinkId> {
        self.addresses.remove(&node);
        self.drop_idle(node)
    }

    fn drop_idle(&mut self, node: NodeId) -> Vec<LinkId> {
        let mut idle = self.idles.remove(&node).unwrap_or_default();
        idle.extend(self.cooling.remove(&node).unwrap_or_default());
        for id in &idle {
            self.remove(*id);
        }
        idle
    }

    /// Sends an attempt: on the idle connection used last, else on a new one.
    pub(crate) fn send(&mut self, now: Micros, attempt: AttemptId, node: NodeId) -> Way {
        let Some(&address) = self.addresses.get(&node) else { return Way::None(Outcome::Unreachable) };
        while let Some(id) = self.idles.get_mut(&node).and_then(Vec::pop) {
            if let Some(link) = self.links.get_mut(&id).filter(|l| l.address == address) {
                self.due.remove(&(link.since + self.idle, id));
                (link.phase, link.since) = (Phase::Busy(attempt), now);
                self.by_attempt.insert(attempt, id);
                return Way::Reuse(id);
            }
        }
        while let Some(id) = self.cooling.get_mut(&node).and_then(VecDeque::pop_front) {
            if let Some(link) = self.links.get_mut(&id).filter(|l| l.address == address) {
                link.phase = Phase::Cooling(Some(attempt));
                self.by_attempt.insert(attempt, id);
                return Way::Later;
            }
        }
        // Danger: out of descriptors, nothing can be opened any more, not even to discovery. The connection that has been
        // idle the longest gives way; without one the attempt was never sent. Harm: that node's next request waits for a
        // new connection.
        let mut gives_way = None;
        if self.links.len() >= self.most {
            let free = |l: &Link| matches!(l.phase, Phase::Idle | Phase::Cooling(None));
            let idle = self.links.iter().filter(|(_, l)| free(l));
            let Some(id) = idle.min_by_key(|(id, l)| (l.since, **id)).map(|(id, _)| *id) else {
                return Way::None(Outcome::NotSent);
            };
            self.remove(id);
            gives_way = Some(id);
        }
        let id = self.next;
        self.next += 1;
        let (phase, decoder) = (Phase::Rising(Some(attempt)), AnswerDecoder::new(self.limits));
        self.links.insert(id, Link { node, address, phase, since: now, decoder });
        self.by_attempt.insert(attempt, id);
        self.due.insert((now + self.rise, id));
        self.awaited.entry(node).or_default().push_back(id);
        Way::Open(id, address, gives_way)
    }

    /// An idle connection turned out to be of no use before anything was written: the attempt that was to go out on it.
    pub(crate) fn stale(&mut self, id: LinkId) -> Option<(AttemptId, NodeId)> {
        let link = self.remove(id)?;
        match link.phase {
            Phase::Busy(attempt) => Some((attempt, link.node)),
            _ => None,
        }
    }

    /// Bytes came on a connection.
    pub(crate) fn received(&mut self, now: Micros, id: LinkId, bytes: &[u8]) -> News {
        let Some(link) = self.links.get_mut(&id) else { return News::default() };
        let Phase::Busy(attempt) = link.phase else {
            // Danger: what comes while nothing was asked is a second answer, or noise; the next request would be served
            // with it. Covers whatever a node sends too much. Harm: a new connection.
            return News { close: true, ..self.ended(id, End::Cut) };
        };
        let before = link.decoder.held();
        link.decoder.receive(bytes);
        let polled = link.decoder.poll();
        self.held = self.held + link.decoder.held() - before;
        match polled {
            Ok(None) if self.held <= self.most_held => News::default(),
            Ok(None) => {
                // Danger: answers that are long and come slowly fill the memory, and a gateway without any is killed with
                // all it has taken. The one that passes the bound is given up. Harm: a good answer may be lost.
                tracing::warn!(
                    held = self.held,
                    "answers that are not whole fill their memory; one is given up"
                );
                self.remove(id);
                News { ended: Some((attempt, Outcome::Error, None)), close: true, ..News::default() }
            }
            Ok(Some(answer)) => {
                let kept = answer.keep
                    && link.decoder.is_between()
                    && self.addresses.get(&link.node) == Some(&link.address);
                self.by_attempt.remove(&attempt);
                if kept {
                    self.cool(now, id);
                } else {
                    self.remove(id);
                }
                let outcome = crate::outcome::outcome_of(&answer);
                News { ended: Some((attempt, outcome, Some(answer))), close: !kept, ..News::default() }
            }
            Err(fault) => {
                tracing::debug!(%fault, "a node's answer cannot be read");
                self.remove(id);
                News { ended: Some((attempt, Outcome::Error, None)), close: true, ..News::default() }
            }
        }
    }

    /// A connection ended, or never came.
    pub(crate) fn ended(&mut self, id: LinkId, end: End) -> News {
        let Some(mut link) = self.remove(id) else { return News::default() };
        let node = link.node;
        let ended = match link.phase {
            Phase::Cooling(waiting) => {
                return News { again: waiting.map(|attempt| (attempt, node)), ..News::default() };
            }
            Phase::Rising(Some(attempt)) => Some((attempt, Outcome::Unreachable, None)),
            Phase::Busy(attempt) => Some(match end {
                // A node that has begun to answer has seen enough of the request to have done something.
                End::Cut if link.decoder.is_between() => (attempt, Outcome::Unreachable, None),
                End::Cut | End::Broken => (attempt, Outcome::Reset, None),
                End::Orderly => match link.decoder.end() {
                    Some(answer) => (attempt, crate::outcome::outcome_of(&answer), Some(answer)),
                    None => (attempt, Outcome::Reset, None),
                },
            }),
            Phase::Rising(None) | Phase::Idle => None,
        };
        News { ended, ..News::default() }
    }

    /// Nobody waits for an attempt any more. One that has gone out takes its connection with it, which is to be closed; one
    /// that waits for its connection is taken back.
    pub(crate) fn forget_attempt(&mut self, attempt: AttemptId) -> Option<LinkId> {
        let id = self.by_attempt.remove(&attempt)?;
        let link = self.links.get_mut(&id)?;
        let node = link.node;
        match &mut link.phase {
            Phase::Rising(waiting) => {
                *waiting = None;
                self.no_longer_awaited(node, id);
                return None;
            }
            Phase::Cooling(waiting) => {
                *waiting = None;
                self.cooling.entry(node).or_default().push_front(id);
                return None;
            }
            Phase::Busy(_) | Phase::Idle => {}
        }
        self.remove(id);
        Some(id)
    }

    /// When [`Links::tick`] is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// The next connection that took too long to come up or stood idle for long enough, to be closed, or that has cooled.
    pub(crate) fn tick(&mut self, now: Micros) -> Option<(LinkId, News)> {
        let &(at, id) = self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first();
        if self.links.get(&id).is_some_and(|l| matches!(l.phase, Phase::Cooling(_))) {
            return Some((id, self.cooled(now, id)));
        }
        Some((id, News { close: true, ..self.ended(id, End::Cut) }))
    }

    fn remove(&mut self, id: LinkId) -> Option<Link> {
        let link = self.links.remove(&id)?;
        self.held -= link.decoder.held();
        match &link.phase {
            Phase::Rising(waiting) => {
                self.due.remove(&(link.since + self.rise, id));
                if let Some(attempt) = waiting {
                    self.by_attempt.remove(attempt);
                }
                self.no_longer_awaited(link.node, id);
            }
            Phase::Busy(attempt) => {
                self.by_attempt.remove(attempt);
            }
            Phase::Cooling(waiting) => {
                self.due.remove(&(link.since + COOLING, id));
                if let Some(attempt) = waiting {
                    self.by_attempt.remove(attempt);
                }
                self.no_longer_cooling(link.node, id);
            }
            Phase::Idle => {
                self.due.remove(&(link.since + self.idle, id));
                if let Some(idle) = self.idles.get_mut(&link.node) {
                    idle.retain(|&i| i != id);
                    if idle.is_empty() {
                        self.idles.remove(&link.node);
                    }
                }
            }
        }
        Some(link)
    }
}
