//! The engine: the single coroutine that owns the core and processes all messages.

mod attempts;
mod commands;
mod control;
mod control_plane;
mod coordination;
mod node_list;
mod peers;
mod shadow;
mod status;
mod writes;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc as thread_mpsc;

use bytes::Bytes;
use decisions::{NodeId, NodeState};
use limits::FairQueue;
use may::sync::mpsc::Receiver;
use nvme::{Admission, IoCommand};
use records::Clock;
use recovery::InHand;
use storage_core::{Core, Effect, Micros, OperationId};

use crate::connection::{Connection, ConnectionId};
use crate::control_plane::ControlPlane;
use crate::coordination::Coordination;
use crate::front_end::FrontEnd;
use crate::message::{Inbox, Message};
use crate::node_connection::NodeConnection;
use crate::options::GatewayOptions;
use crate::peer_network::PeerNetwork;
use crate::recovery_driver::RecoveryDriver;
use crate::retry_cap::RetryIdentity;
use crate::shadow_trial::ShadowTrial;
use transport::Outlet;
use transport::Ticker;

/// Most messages handled in one batch; all but a batch's first share one reading of the clock.
const MESSAGES_PER_BATCH: usize = 2048;
/// Commands dispatched per reading of the clock, in round-robin order of the hosts.
const COMMANDS_PER_BATCH: usize = 256;
/// A host's quantum in each round of the round robin, in blocks of 4 KiB.
const HOST_QUANTUM_BLOCKS: u64 = 32;
/// Interval at which associations and node connections are checked against their timeouts.
const HOUSEKEEPING_INTERVAL: Micros = 50_000;

/// A client connection as the engine knows it.
struct Client {
    connection: Arc<Connection>,
    admission: Option<Admission>,
    host: Arc<str>,
    operation_ids: HashMap<u16, OperationId>,
}

/// A command that the core has accepted.
struct AcceptedCommand {
    connection: ConnectionId,
    cid: u16,
    bytes: u64,
    /// For a Compare: the data that the blocks read are compared with.
    expected: Option<Bytes>,
    /// Identifies the command to the retry cap, if one is configured.
    identity: Option<RetryIdentity>,
}

/// The optional subsystems, present as configured by the site file.
#[derive(Default)]
pub(crate) struct Subsystems {
    pub(crate) peer_network: Option<PeerNetwork>,
    pub(crate) recovery: Option<RecoveryDriver>,
    pub(crate) coordination: Option<Coordination>,
    pub(crate) control_plane: Option<ControlPlane>,
}

/// The core and everything around it that only the engine's coroutine touches.
pub(crate) struct Engine {
    options: GatewayOptions,
    address: String,
    core: Core,
    front_end: Arc<FrontEnd>,
    inbox: Inbox,
    clients: HashMap<ConnectionId, Client>,
    accepted: HashMap<OperationId, AcceptedCommand>,
    /// Commands waiting for their host's turn; none of them has been submitted to the core.
    host_queues: FairQueue<Arc<str>, (ConnectionId, IoCommand)>,
    next_operation_id: u64,
    node_connections: HashMap<NodeId, Arc<NodeConnection>>,
    effects: Vec<Effect>,
    /// The operators' orders in force: revision, volumes on hold, everything paused.
    revision: u64,
    held_volumes: BTreeSet<u32>,
    paused: bool,
    /// Outlets of clients with data to flush at the end of the batch.
    dirty_outlets: Vec<Arc<Outlet>>,
    /// Nodes whose connections can write and for which attempts may wait, until the end of the batch.
    nodes_to_write: BTreeSet<NodeId>,
    started: Micros,
    next_housekeeping: Micros,
    stop_deadline: Option<Micros>,
    peer_network: Option<PeerNetwork>,
    recovery: Option<RecoveryDriver>,
    coordination: Option<Coordination>,
    /// Reads issued to settle writes that were in progress before the restart.
    settling_reads: HashMap<OperationId, InHand>,
    /// Start times of nodes as listed.
    node_starts: HashMap<NodeId, Micros>,
    /// States of nodes as listed and ordered, regardless of drains by the control plane.
    ordered_states: HashMap<NodeId, NodeState>,
    /// Names of nodes that the control plane drains.
    control_plane_drains: BTreeSet<String>,
    control_plane: Option<ControlPlane>,
    stop_replies: Vec<thread_mpsc::Sender<()>>,
}

impl Engine {
    pub(crate) fn new(
        options: GatewayOptions,
        address: String,
        front_end: Arc<FrontEnd>,
        inbox: Inbox,
        subsystems: Subsystems,
    ) -> Self {
        let Subsystems { peer_network, recovery, coordination, control_plane } = subsystems;
        let core = Core::new(options.catalogue.clone(), options.seed);
        Engine {
            core,
            address,
            started: front_end.clock.now(),
            front_end,
            inbox,
            clients: HashMap::new(),
            accepted: HashMap::new(),
            host_queues: FairQueue::new(HOST_QUANTUM_BLOCKS),
            next_operation_id: 0,
            node_connections: HashMap::new(),
            effects: Vec::new(),
            revision: 0,
            held_volumes: BTreeSet::new(),
            paused: options.await_orders,
            dirty_outlets: Vec::new(),
            nodes_to_write: BTreeSet::new(),
            next_housekeeping: 0,
            stop_deadline: None,
            peer_network,
            recovery,
            coordination,
            settling_reads: HashMap::new(),
            node_starts: HashMap::new(),
            ordered_states: HashMap::new(),
            control_plane_drains: BTreeSet::new(),
            control_plane,
            stop_replies: Vec::new(),
            options,
        }
    }

    /// Runs until a stop has been requested and no answer is outstanding. The ticker sends [`Message::Tick`]
    /// at the times set here.
    pub(crate) fn run(mut self, messages: &Receiver<Message>, ticker: &Ticker) {
        let clock: Clock = self.front_end.clock;
        let now = clock.now();
        let lines = std::mem::take(&mut self.options.nodes);
        self.apply_node_list(now, true, true, &lines);
        // Operators' orders in force before the restart stay in force until newer ones arrive.
        if let Some(state) = self.recovery.as_ref().map(|r| r.own_orders().clone()) {
            self.adopt_orders(now, &state);
        }
        self.apply_view(now, true);
        let mut ticker_due = Micros::MIN;
        loop {
            panics::test_point("engine");
            let now = clock.now();
            self.refresh_retry_allowance(now);
            self.core.tick(now, &mut self.effects);
            self.apply_effects(now);
            if now >= self.next_housekeeping {
                self.housekeeping(now);
            }
            if self.recovery.as_ref().is_some_and(|r| now >= r.next_due()) {
                self.with_recovery(now, |r, actions| r.tick(now, actions));
            }
            self.run_coordination(now);
            self.flush();
            if self.may_exit(now) {
                return self.finish();
            }
            let due = self.core.next_due().unwrap_or(Micros::MAX).min(self.next_housekeeping);
            let due = due.min(self.recovery.as_ref().map_or(Micros::MAX, RecoveryDriver::next_due));
            let due = due.min(self.coordination.as_ref().map_or(Micros::MAX, |c| c.next_due(now)));
            if due != ticker_due {
                ticker.set_due(due);
                ticker_due = due;
            }
            if !self.host_queues.is_empty() {
                // Commands wait for their turn; meanwhile sockets that are ready deliver what they have.
                task::yield_to_poller();
            } else {
                let Ok(first) = messages.recv() else { return };
                let now = clock.now();
                self.refresh_retry_allowance(now);
                self.handle_message(now, first);
            }
            let now = clock.now();
            self.refresh_retry_allowance(now);
            for _ in 1..MESSAGES_PER_BATCH {
                let Ok(next) = messages.try_recv() else { break };
                self.handle_message(now, next);
            }
            for _ in 0..COMMANDS_PER_BATCH {
                let Some((id, command)) = self.host_queues.pop() else { break };
                self.submit_command(now, id, command);
                self.apply_effects(now);
            }
            // Flush the answers before running the core's timers and everything else.
            self.flush();
            self.copy_answered_reads(now);
        }
    }

    fn handle_message(&mut self, now: Micros, message: Message) {
        match message {
            Message::Tick => {}
            Message::JournalSynced { sequences, error } => self.on_journal_synced(now, sequences, error),
            Message::PeerEvent(event) => self.on_peer_event(now, event),
            Message::Opened(connection) => {
                let (operation_ids, host) = (HashMap::new(), Arc::from(""));
                let client = Client { admission: None, operation_ids, host, connection: connection.clone() };
                self.clients.insert(connection.id, client);
            }
            Message::Bound(id, admission, host) => {
                if let Some(client) = self.clients.get_mut(&id) {
                    (client.admission, client.host) = (Some(admission), host);
                }
            }
            Message::Evict(id) => self.evict(id, "a newer connection takes its place"),
            Message::Command(id, command) => {
                if let Some(client) = self.clients.get(&id) {
                    // One for the command plus one for each whole 4 KiB of data; blocks are taken as 4 KiB.
                    let cost = 1 + (command.data.len() as u64).max(u64::from(command.blocks) * 4096) / 4096;
                    self.host_queues.push(client.host.clone(), cost, (id, command));
                }
            }
            Message::Abort { connection, cid, sqid, victim } => {
                self.abort(now, connection, cid, sqid, victim);
            }
            Message::Closed(id) => self.on_connection_closed(now, id),
            Message::AssociationEnded(cntlid) => self.end_association(cntlid),
            Message::AttemptEnded(attempt, end) if ShadowTrial::is_copy(attempt) => {
                self.on_copy_ended(now, attempt, &end)
            }
            Message::AttemptEnded(attempt, end) => self.on_attempt_ended(now, attempt, end),
            Message::NodeWritable(node) => _ = self.nodes_to_write.insert(node),
            Message::DrainedNodes(nodes) => self.apply_drains(now, nodes),
            Message::ReplaceCandidate(candidate) => self.replace_candidate(now, candidate.map(|c| *c)),
            Message::Control(request, reply) => {
                let answer = self.handle_control_request(now, request);
                let _ = reply.send(answer); // The requester may have gone.
            }
            Message::Stop(reply) => {
                self.begin_stop(now);
                self.stop_replies.push(reply);
            }
        }
        self.apply_effects(now);
    }

    /// Writes what the batch has brought: attempts to nodes, answers to clients.
    fn flush(&mut self) {
        self.write_attempts();
        self.dirty_outlets.drain(..).for_each(|outlet| outlet.flush());
    }

    fn housekeeping(&mut self, now: Micros) {
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        let overdue = self.front_end.client_limits().remove_overdue(now);
        overdue.into_iter().for_each(|id| self.evict(id, "it took longer than limits.way_up_ms"));
        let expired = self.front_end.target().expire(now);
        for cntlid in expired {
            tracing::info!(cntlid, "a host was silent for its keep alive time-out");
            self.end_association(cntlid);
        }
        for node in self.core.remove_gone_nodes() {
            self.ordered_states.remove(&node);
            if let Some(connection) = self.node_connections.remove(&node) {
                connection.close();
            }
        }
        if self.recovery.is_some() {
            let views = self.core.node_views();
            let up = |(id, connection): (&NodeId, &Arc<NodeConnection>)| {
                let view = views.get(id).filter(|_| connection.phase() == "up")?;
                Some((*id, (view.name.clone(), view.shard, self.node_starts.get(id).copied().unwrap_or(0))))
            };
            let up = self.node_connections.iter().filter_map(up).collect();
            self.with_recovery(now, |r, actions| {
                r.set_nodes_up(now, up, actions);
                if let Some(journal) = r.journal() {
                    journal.release_expired(now);
                }
            });
        }
        self.report_observations(now);
        let views = self.core.node_views();
        self.node_connections.retain(|id, connection| {
            connection.check_timeouts();
            let is_over =
                views.get(id).is_none_or(|view| view.state == NodeState::Gone && view.in_flight == 0);
            if is_over {
                connection.close();
            }
            !is_over
        });
    }

    fn begin_stop(&mut self, now: Micros) {
        if self.stop_deadline.is_none() {
            tracing::info!(open = self.core.open_operations(), "stopping; no new requests are accepted");
            self.stop_deadline = Some(now + self.options.stop_timeout.as_micros() as Micros);
            self.front_end.closing.store(true, Ordering::Relaxed);
            if let Some(coordination) = &mut self.coordination {
                coordination.begin_leaving(now);
            }
        }
    }

    /// Whether the engine may exit: every accepted request is answered, or the stop timeout has passed. In
    /// the latter case requests still open are answered from what is known of them.
    fn may_exit(&mut self, now: Micros) -> bool {
        let Some(deadline) = self.stop_deadline else { return false };
        if self.core.open_operations() > 0 && now >= deadline {
            tracing::warn!(
                open = self.core.open_operations(),
                "stop timeout reached; answering all open requests now"
            );
            self.core.answer_all_open(now, &mut self.effects);
            self.apply_effects(now);
        }
        let is_announcing =
            now < deadline && self.coordination.as_ref().is_some_and(|c| c.is_announcing(now));
        self.core.open_operations() == 0 && self.host_queues.is_empty() && !is_announcing
    }

    fn finish(mut self) {
        self.dirty_outlets.drain(..).for_each(|outlet| outlet.flush());
        self.clients.values().for_each(|c| c.connection.outlet.finish());
        self.node_connections.values().for_each(|c| c.close());
        tracing::info!("stopped; every accepted request has been answered");
        for reply in self.stop_replies.drain(..) {
            let _ = reply.send(()); // The requester may have gone.
        }
    }
}
