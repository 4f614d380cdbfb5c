//! The core: operations on volumes over the dispatcher's requests, and each operation's one final answer.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use decisions::{Idempotency, Micros, NodeId, Outcome, Request, RequestId, ShardId, Shortage, VolumeId};
use dispatch::{AttemptId, Dispatcher, ListedNode, Step};

use crate::catalogue::{Catalogue, Part};
use crate::effect::{Effect, End, Send};
use crate::operation::{Answer, Operation, Ticket};
use crate::views::{EndedView, Tally, VolumeView};
use crate::wanted::{Wanted, Wants};

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PieceState {
    Open,
    Served(Bytes),
    Over,
}

pub(crate) struct Piece {
    pub(crate) request: RequestId,
    pub(crate) part: Part,
    pub(crate) state: PieceState,
    /// Attempts sent.
    pub(crate) sent: u32,
    /// Attempts that are out, were served, or may have run.
    pub(crate) doubt: u32,
}

pub(crate) struct Open {
    pub(crate) operation: Operation,
    /// The client gave the token: its repeat carries the same.
    pub(crate) named: bool,
    pub(crate) class: usize,
    pub(crate) block_size: u32,
    pub(crate) taken: Micros,
    pub(crate) pieces: Vec<Piece>,
    /// How the last attempt ended that did not serve.
    pub(crate) last: Option<Outcome>,
}

/// A request of the dispatcher: the operation that it is a part of, and which.
type Place = (Ticket, usize);

/// One gateway's core.
pub struct Core {
    pub(crate) catalogue: Catalogue,
    pub(crate) dispatcher: Dispatcher<Place>,
    pub(crate) now: Micros,
    pub(crate) open: HashMap<Ticket, Open>,
    token_salt: u64,
    pub(crate) volumes: BTreeMap<u32, VolumeView>,
    pub(crate) tally: Tally,
    pub(crate) ended: VecDeque<EndedView>,
    pub(crate) reasons: BTreeMap<&'static str, u64>,
    pub(crate) wants: Wants,
}

impl Core {
    /// A core that has taken nothing yet. `seed` feeds the module's randomness and the tokens it gives.
    pub fn new(catalogue: Catalogue, seed: u64) -> Self {
        let dispatcher = Dispatcher::new(catalogue.settings.clone(), seed);
        let volumes = catalogue.volumes().map(|v| (v.nsid, VolumeView::default())).collect();
        Core {
            catalogue,
            dispatcher,
            now: Micros::MIN,
            open: HashMap::new(),
            token_salt: seed,
            volumes,
            tally: Tally::default(),
            ended: VecDeque::new(),
            reasons: BTreeMap::new(),
            wants: Wants::default(),
        }
    }

    /// The catalogue it works by.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Takes an operation whose range was checked. An unknown volume is refused without advice.
    pub fn submit(&mut self, now: Micros, operation: Operation, effects: &mut Vec<Effect>) {
        self.advance(now);
        let ticket = operation.ticket;
        let Some(volume) = self.catalogue.volume(operation.nsid) else {
            effects.push(Effect::Answer(ticket, Answer::Refused { come_back: 0 }));
            return;
        };
        let bytes = u64::from(operation.blocks) * u64::from(volume.block_size);
        let class = self.catalogue.class(operation.opcode, bytes);
        let patience = self.catalogue.rules[class].patience;
        let parts: Vec<(Part, Request)> = volume
            .parts(operation.slba, operation.blocks)
            .into_iter()
            .map(|part| {
                let request = Request {
                    id: RequestId(0),
                    class,
                    plan: volume.plan,
                    volume: VolumeId(u64::from(volume.nsid)),
                    key: (part.blocks > 0).then(|| volume.key(part.slba)),
                    shard: Some(part.shard),
                    units: self.catalogue.units(u64::from(part.blocks) * u64::from(volume.block_size)),
                    hosts: volume.hosts,
                    timeout: patience,
                    is_retry: operation.retry,
                    client: operation.client,
                };
                (part, request)
            })
            .collect();
        let block_size = volume.block_size;
        if let Some(view) = self.volumes.get_mut(&operation.nsid) {
            view.units += parts.iter().map(|(_, r)| r.units).sum::<f64>();
            view.taken += 1;
            view.open += 1;
        }
        let mut pieces = Vec::with_capacity(parts.len());
        for (index, (part, ask)) in parts.into_iter().enumerate() {
            let request = self.dispatcher.take(self.now, ask, (ticket, index));
            pieces.push(Piece { request, part, state: PieceState::Open, sent: 0, doubt: 0 });
        }
        self.tally.taken += 1;
        let mut operation = operation;
        let named = operation.token != 0;
        if !named {
            operation.token = self.token_salt ^ (ticket.0 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        }
        let taken = self.now;
        self.open.insert(ticket, Open { operation, named, class, block_size, taken, pieces, last: None });
        self.settle(effects);
    }

    /// The client is gone: nothing more is owed, no further attempt goes out. Whether something of it had been sent.
    pub fn withdraw(&mut self, now: Micros, ticket: Ticket, effects: &mut Vec<Effect>) -> bool {
        self.advance(now);
        let Some(open) = self.open.get(&ticket) else { return false };
        let was_sent = open.pieces.iter().any(|piece| piece.sent > 0);
        self.tally.withdrawn += 1;
        self.drop_operation(ticket);
        self.settle(effects);
        was_sent
    }

    /// Takes an operation back if nothing of it has gone out; whether that was so. It then gets no other answer.
    pub fn abort(&mut self, now: Micros, ticket: Ticket, effects: &mut Vec<Effect>) -> bool {
        self.advance(now);
        let Some(open) = self.open.get(&ticket) else { return false };
        if open.pieces.iter().any(|p| p.sent > 0) {
            return false;
        }
        self.tally.aborted += 1;
        self.drop_operation(ticket);
        self.settle(effects);
        true
    }

    pub(crate) fn drop_operation(&mut self, ticket: Ticket) {
        let Some(open) = self.open.remove(&ticket) else { return };
        if let Some(view) = self.volumes.get_mut(&open.operation.nsid) {
            view.open -= 1;
        }
        for piece in open.pieces.into_iter().filter(|p| p.state == PieceState::Open) {
            self.dispatcher.withdraw(self.now, piece.request);
        }
    }

    /// The host leaves: every open operation is answered now, refused where nothing of it went out or a repeat is
    /// harmless, else failed.
    pub fn end_all(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.advance(now);
        let mut tickets: Vec<Ticket> = self.open.keys().copied().collect();
        tickets.sort();
        for ticket in tickets {
            let Some(open) = self.open.get(&ticket) else { continue };
            let answer = if self.repeat_is_harmless(open) {
                Answer::Refused { come_back: self.catalogue.settings.max_retry_after }
            } else {
                Answer::Failed
            };
            self.count_unserved(ticket, &answer);
            self.drop_operation(ticket);
            effects.push(Effect::Answer(ticket, answer));
        }
        self.settle(effects);
    }

    /// An attempt ended. Ends that nobody waits for any more are counted and passed over.
    pub fn ended(&mut self, now: Micros, attempt: AttemptId, end: End, effects: &mut Vec<Effect>) {
        self.advance(now);
        if let Some(&(ticket, index)) = self.dispatcher.payload(attempt.request)
            && end.outcome != Outcome::Served
            && self.dispatcher.is_out(attempt)
            && let Some(open) = self.open.get_mut(&ticket)
        {
            open.last = Some(end.outcome);
            let never_ran = matches!(end.outcome, Outcome::Full | Outcome::Unreachable | Outcome::NotSent);
            open.pieces[index].doubt -= u32::from(never_ran);
        }
        let served = self.dispatcher.ended(self.now, attempt, end.outcome, end.load);
        if let Some((ticket, index)) = served
            && let Some(open) = self.open.get_mut(&ticket)
        {
            open.pieces[index].state = PieceState::Served(end.data);
            self.answer_if_whole(ticket, effects);
        }
        self.settle(effects);
    }

    /// The node list: whole, or the lines that changed.
    pub fn nodes(
        &mut self,
        now: Micros,
        whole: bool,
        remembered: bool,
        listed: &[ListedNode],
        effects: &mut Vec<Effect>,
    ) {
        self.advance(now);
        self.dispatcher.nodes(self.now, whole, remembered, listed);
        self.settle(effects);
    }

    /// The node list could not be had.
    pub fn nodes_failed(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.advance(now);
        self.dispatcher.nodes_failed(self.now);
        self.settle(effects);
    }

    /// What a shard bears from now on beyond first attempts, in place of what was allowed before: so many further attempts,
    /// or first ones of operations with `retry`; the rest is refused with this advice, in microseconds, at once or after it
    /// has waited ([`Core::limit_awaiting`]). A shard never named is unlimited.
    pub fn allow(
        &mut self,
        now: Micros,
        shard: ShardId,
        further: u32,
        come_back: Micros,
        effects: &mut Vec<Effect>,
    ) {
        self.advance(now);
        self.wants.allow(shard, further);
        self.dispatcher.allow(self.now, shard, further, come_back);
        self.settle(effects);
    }

    /// How many parts may wait for a right of a shard while it has none left; none until this is told.
    pub fn limit_awaiting(&mut self, now: Micros, shard: ShardId, most: u32) {
        self.advance(now);
        self.dispatcher.limit_awaiting(self.now, shard, most);
    }

    /// The shards at which other parts wait for a right than were told of last.
    pub fn take_shortages(&mut self) -> Vec<Shortage> {
        self.dispatcher.take_shortages()
    }

    /// What was turned away for want of rights since the last call, oldest first; the last few hundred at most.
    pub fn take_wanted(&mut self) -> VecDeque<Wanted> {
        self.wants.take()
    }

    /// Forgets the nodes that are gone for good; which they are.
    pub fn forget_gone(&mut self) -> Vec<NodeId> {
        self.dispatcher.forget_gone()
    }

    /// The number of a node; a name that is new gets the next one.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        self.dispatcher.node_id(name)
    }

    /// When [`Core::tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.dispatcher.next_due()
    }

    /// Carries out what is due: the module's timers, and attempts whose time is up.
    pub fn tick(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.advance(now);
        while self.dispatcher.tick(self.now) {
            self.settle(effects);
        }
    }

    fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Carries out what the dispatcher says until it says nothing more.
    fn settle(&mut self, effects: &mut Vec<Effect>) {
        while let Some(step) = self.dispatcher.step() {
            match step {
                Step::Send { attempt, node, .. } => self.send(attempt, node, effects),
                Step::Forget(attempt, node, outcome) => {
                    if let Some(&(ticket, _)) = self.dispatcher.payload(attempt.request)
                        && let Some(open) = self.open.get_mut(&ticket)
                    {
                        open.last = Some(outcome);
                    }
                    effects.push(Effect::Forget(attempt, node));
                }
                Step::Over(_, (ticket, index), verdict) => self.end(ticket, index, verdict, effects),
                Step::Subscribe => effects.push(Effect::Subscribe),
                Step::Log(line) => effects.push(Effect::Log(line)),
            }
        }
    }

    fn send(&mut self, attempt: AttemptId, node: NodeId, effects: &mut Vec<Effect>) {
        let Some(&(ticket, index)) = self.dispatcher.payload(attempt.request) else { return };
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let piece = &mut open.pieces[index];
        piece.sent += 1;
        piece.doubt += 1;
        let (part, operation) = (piece.part, &open.operation);
        let bytes = part.blocks * open.block_size;
        let data = if operation.data.is_empty() {
            Bytes::new()
        } else {
            let from = (part.slba - operation.slba) as usize * open.block_size as usize;
            operation.data.slice(from..from + bytes as usize)
        };
        let further = attempt.n > 0 || operation.retry;
        if further {
            self.wants.sent(part.shard);
        }
        effects.push(Effect::Send(Send {
            attempt,
            node,
            opcode: operation.opcode,
            nsid: operation.nsid,
            slba: part.slba,
            blocks: part.blocks,
            bytes,
            data,
            shard: part.shard,
            further,
            token: operation.token,
            keyed: matches!(
                self.catalogue.settings.classes[open.class].idempotency,
                Idempotency::Keyed { .. }
            ),
        }));
    }
}
