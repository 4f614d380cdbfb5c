//! The core: splits operations on volumes into the dispatcher's requests and gives each operation one final
//! answer.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use decisions::{Idempotency, Micros, NodeId, Outcome, Request, RequestId, ShardId, TokenShortage, VolumeId};
use dispatch::{AttemptId, Command, Dispatcher, ListedNode};

use crate::catalogue::{Catalogue, Part, Volume};
use crate::effect::{AttemptEnd, Effect, OutgoingAttempt};
use crate::operation::{InvalidOperation, Operation, OperationId};
use crate::retry_demand::{RetryDemand, RetryDemands};
use crate::views::{OperationCounts, UnservedView, VolumeView};

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PieceState {
    Open,
    /// Served, with the data of a read.
    Served(Bytes),
    Unserved,
}

/// The state of one part of an open operation.
pub(crate) struct Piece {
    pub(crate) request: RequestId,
    pub(crate) part: Part,
    pub(crate) state: PieceState,
    /// Attempts decided on, less those that were not sent, as the scheduler counts them.
    pub(crate) tries: u32,
    /// Attempts whose write has begun.
    pub(crate) attempts_sent: u32,
    /// Attempts of these that are in flight, were served, or may have run.
    pub(crate) attempts_possibly_run: u32,
}

/// An operation without a final answer yet.
pub(crate) struct OpenOperation {
    pub(crate) operation: Operation,
    /// The token was set by the client, whose retry carries the same one.
    pub(crate) has_client_token: bool,
    pub(crate) class: usize,
    pub(crate) block_size: u32,
    pub(crate) accepted_at: Micros,
    pub(crate) pieces: Vec<Piece>,
    /// Outcome of the last attempt that ended without serving.
    pub(crate) last_outcome: Option<Outcome>,
}

/// Payload of a dispatcher request: the operation that it belongs to, and the index of its piece.
type PieceRef = (OperationId, usize);

/// One gateway's core.
pub struct Core {
    pub(crate) catalogue: Catalogue,
    pub(crate) dispatcher: Dispatcher<PieceRef>,
    pub(crate) now: Micros,
    pub(crate) open: HashMap<OperationId, OpenOperation>,
    /// Randomizes the tokens generated for operations without one.
    token_salt: u64,
    pub(crate) volume_views: BTreeMap<u32, VolumeView>,
    pub(crate) tally: OperationCounts,
    /// The latest operations that ended unserved, oldest first.
    pub(crate) unserved: VecDeque<UnservedView>,
    /// Operations that ended unserved, by reason.
    pub(crate) reasons: BTreeMap<&'static str, u64>,
    pub(crate) retry_demands: RetryDemands,
}

impl Core {
    /// Creates a core without operations. `seed` initializes the scheduler's random numbers and the tokens
    /// that the core generates.
    pub fn new(catalogue: Catalogue, seed: u64) -> Self {
        let dispatcher = Dispatcher::new(catalogue.settings.clone(), seed);
        let volume_views = catalogue.volumes().map(|v| (v.nsid, VolumeView::default())).collect();
        Core {
            catalogue,
            dispatcher,
            now: Micros::MIN,
            open: HashMap::new(),
            token_salt: seed,
            volume_views,
            tally: OperationCounts::default(),
            unserved: VecDeque::new(),
            reasons: BTreeMap::new(),
            retry_demands: RetryDemands::default(),
        }
    }

    /// Returns the core's configuration.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Submits an operation.
    ///
    /// # Errors
    /// The volume is unknown, the blocks do not all lie on it, or the data of a write is not as long as its
    /// blocks. The operation is not accepted: it gets no answer by an effect.
    pub fn submit(
        &mut self,
        now: Micros,
        operation: Operation,
        effects: &mut Vec<Effect>,
    ) -> Result<(), InvalidOperation> {
        self.advance(now);
        let id = operation.id;
        let volume = self.catalogue.volume(operation.nsid);
        let volume = volume.ok_or(InvalidOperation::UnknownVolume(operation.nsid))?;
        operation.action.check(volume)?;
        let bytes = u64::from(operation.action.blocks()) * u64::from(volume.block_size);
        let class = self.catalogue.class(operation.action.opcode(), bytes);
        let parts = self.split(volume, &operation, class);
        let block_size = volume.block_size;
        if let Some(view) = self.volume_views.get_mut(&operation.nsid) {
            view.units += parts.iter().map(|(_, r)| r.units).sum::<f64>();
            view.accepted += 1;
            view.open += 1;
        }
        let mut pieces = Vec::with_capacity(parts.len());
        for (index, (part, request)) in parts.into_iter().enumerate() {
            let request = self.dispatcher.submit(self.now, request, (id, index));
            pieces.push(Piece {
                request,
                part,
                state: PieceState::Open,
                tries: 0,
                attempts_sent: 0,
                attempts_possibly_run: 0,
            });
        }
        self.tally.accepted += 1;
        let mut operation = operation;
        let has_client_token = operation.token != 0;
        if !has_client_token {
            operation.token = self.token_salt ^ (id.0 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        }
        let accepted_at = self.now;
        self.open.insert(
            id,
            OpenOperation {
                operation,
                has_client_token,
                class,
                block_size,
                accepted_at,
                pieces,
                last_outcome: None,
            },
        );
        self.carry_out_commands(effects);
        Ok(())
    }

    /// Splits an operation into its parts, each with its request.
    fn split(&self, volume: &Volume, operation: &Operation, class: usize) -> Vec<(Part, Request)> {
        let timeout = self.catalogue.rules[class].timeout;
        volume
            .parts(operation.action.slba(), operation.action.blocks())
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
                    timeout,
                    is_retry: operation.retry,
                    client: operation.client,
                };
                (part, request)
            })
            .collect()
    }

    /// Withdraws an operation whose client has gone: it gets no answer and no more attempts. Returns whether
    /// any attempt had been sent.
    pub fn withdraw(&mut self, now: Micros, id: OperationId, effects: &mut Vec<Effect>) -> bool {
        self.advance(now);
        let Some(open) = self.open.get(&id) else { return false };
        let was_sent = open.pieces.iter().any(|piece| piece.attempts_sent > 0);
        self.tally.withdrawn += 1;
        self.remove_operation(id);
        self.carry_out_commands(effects);
        was_sent
    }

    /// Aborts an operation if no attempt's write has begun; returns whether it was aborted. An aborted operation gets
    /// no answer.
    pub fn abort(&mut self, now: Micros, id: OperationId, effects: &mut Vec<Effect>) -> bool {
        self.advance(now);
        let Some(open) = self.open.get(&id) else { return false };
        if open.pieces.iter().any(|piece| piece.attempts_sent > 0) {
            return false;
        }
        self.tally.aborted += 1;
        self.remove_operation(id);
        self.carry_out_commands(effects);
        true
    }

    /// Removes an open operation and withdraws the requests of its unfinished parts.
    pub(crate) fn remove_operation(&mut self, id: OperationId) {
        let Some(open) = self.open.remove(&id) else { return };
        if let Some(view) = self.volume_views.get_mut(&open.operation.nsid) {
            view.open -= 1;
        }
        for piece in open.pieces.into_iter().filter(|piece| piece.state == PieceState::Open) {
            self.dispatcher.withdraw(self.now, piece.request);
        }
    }

    /// Reports the end of an attempt. The end of an attempt that is no longer in flight is counted as late
    /// and otherwise ignored.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        self.advance(now);
        if let Some(&(id, index)) = self.dispatcher.payload(attempt.request)
            && end.outcome != Outcome::Served
            && self.dispatcher.is_in_flight(attempt)
            && let Some(open) = self.open.get_mut(&id)
        {
            open.last_outcome = Some(end.outcome);
            let has_begun = self.dispatcher.has_begun(attempt);
            let never_ran = matches!(end.outcome, Outcome::Full | Outcome::Unreachable | Outcome::NotSent);
            let piece = &mut open.pieces[index];
            piece.attempts_possibly_run -= u32::from(has_begun && never_ran);
            piece.tries -= u32::from(end.outcome == Outcome::NotSent);
        }
        let served = self.dispatcher.attempt_ended(self.now, attempt, end.outcome, end.load);
        if let Some((id, index)) = served
            && let Some(open) = self.open.get_mut(&id)
        {
            open.pieces[index].state = PieceState::Served(end.data);
            self.answer_if_complete(id, effects);
        }
        self.carry_out_commands(effects);
    }

    /// Applies the node list: the complete list, or only the entries that changed.
    pub fn update_nodes(
        &mut self,
        now: Micros,
        complete: bool,
        from_cache: bool,
        listed: &[ListedNode],
        effects: &mut Vec<Effect>,
    ) {
        self.advance(now);
        self.dispatcher.update_nodes(self.now, complete, from_cache, listed);
        self.carry_out_commands(effects);
    }

    /// Notifies the scheduler that fetching the node list failed.
    pub fn node_list_failed(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.advance(now);
        self.dispatcher.node_list_failed(self.now);
        self.carry_out_commands(effects);
    }

    /// Replaces a shard's allowance of retry tokens. Each retry uses one, and so does each first attempt of
    /// an operation with `retry` set. Without a token a part waits if [`Core::limit_token_waiters`]
    /// allows it. Otherwise, or if none comes, it is refused and its client is advised to retry after
    /// `retry_after` microseconds, within the bounds of the settings; it fails instead if it may have run and
    /// a second run could do harm. A shard without an allowance is unlimited.
    pub fn set_retry_tokens(
        &mut self,
        now: Micros,
        shard: ShardId,
        tokens: u32,
        retry_after: Micros,
        effects: &mut Vec<Effect>,
    ) {
        self.advance(now);
        // A second count of the tokens, only to report demand that found none.
        self.retry_demands.set_tokens(shard, tokens);
        self.dispatcher.set_retry_tokens(self.now, shard, tokens, retry_after);
        self.carry_out_commands(effects);
    }

    /// Sets how many parts may wait for a retry token of a shard that has none left. The limit is 0 until it
    /// is set.
    pub fn limit_token_waiters(&mut self, now: Micros, shard: ShardId, limit: u32) {
        self.advance(now);
        self.dispatcher.limit_token_waiters(self.now, shard, limit);
    }

    /// Returns the shards whose set of parts waiting for a retry token has changed since the last call.
    pub fn take_shortages(&mut self) -> Vec<TokenShortage> {
        self.dispatcher.take_shortages()
    }

    /// Returns the parts refused for lack of a retry token since the last call, oldest first; the last 256 at
    /// most.
    pub fn take_retry_demands(&mut self) -> VecDeque<RetryDemand> {
        self.retry_demands.take()
    }

    /// Removes the nodes that are gone and unused; returns them.
    pub fn remove_gone_nodes(&mut self) -> Vec<NodeId> {
        self.dispatcher.remove_gone_nodes()
    }

    /// Returns the number of a node. An unknown name is assigned the next number.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        self.dispatcher.node_id(name)
    }

    /// Returns the time at which [`Core::tick`] must be called next.
    pub fn next_due(&self) -> Option<Micros> {
        self.dispatcher.next_due()
    }

    /// Handles everything that is due: the scheduler's timers, and attempts whose deadline has passed.
    pub fn tick(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.advance(now);
        while self.dispatcher.tick(self.now) {
            self.carry_out_commands(effects);
        }
    }

    /// Advances the clock, which never goes back.
    pub(crate) fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Carries out the dispatcher's commands until there are none left.
    pub(crate) fn carry_out_commands(&mut self, effects: &mut Vec<Effect>) {
        while let Some(command) = self.dispatcher.next_command() {
            match command {
                Command::Send { attempt, node, .. } => self.send(attempt, node, effects),
                Command::Abandon(attempt, node, outcome) => {
                    if let Some(&(id, index)) = self.dispatcher.payload(attempt.request)
                        && let Some(open) = self.open.get_mut(&id)
                    {
                        open.last_outcome = Some(outcome);
                        open.pieces[index].tries -= u32::from(outcome == Outcome::NotSent);
                    }
                    effects.push(Effect::Abandon(attempt, node, outcome));
                }
                Command::EndUnserved(_, (id, index), verdict) => {
                    self.end_unserved(id, index, verdict, effects)
                }
                Command::Subscribe => effects.push(Effect::Subscribe),
                Command::Log(line) => effects.push(Effect::Log(line)),
            }
        }
    }

    fn send(&mut self, attempt: AttemptId, node: NodeId, effects: &mut Vec<Effect>) {
        if let Some(piece) = self.piece_mut(attempt) {
            piece.tries += 1;
        }
        let Some(outgoing) = self.outgoing_attempt(attempt, node) else { return };
        if outgoing.is_retry {
            self.retry_demands.use_token(outgoing.shard);
        }
        effects.push(Effect::Send(outgoing));
    }

    /// Describes an attempt of an open operation; `None` if the operation is answered.
    pub(crate) fn outgoing_attempt(&self, attempt: AttemptId, node: NodeId) -> Option<OutgoingAttempt> {
        let &(id, index) = self.dispatcher.payload(attempt.request)?;
        let open = self.open.get(&id)?;
        let (piece, operation) = (&open.pieces[index], &open.operation);
        let part = piece.part;
        let idempotency = self.catalogue.settings.classes[open.class].idempotency;
        Some(OutgoingAttempt {
            attempt,
            node,
            opcode: operation.action.opcode(),
            nsid: operation.nsid,
            slba: part.slba,
            blocks: part.blocks,
            bytes: part.blocks * open.block_size,
            data: operation.action.data_of(&part, open.block_size),
            shard: part.shard,
            is_retry: piece.tries > 1 || operation.retry,
            token: operation.token,
            keyed: matches!(idempotency, Idempotency::Keyed { .. }),
        })
    }
}
