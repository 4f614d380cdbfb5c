//! Open requests and their attempts.

use crate::interface::*;
use crate::nodes::Node;
use crate::shards::QueueEntry;

/// What is known of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    InFlight,
    MayHaveRun,
    NeverRan,
    /// Nothing of it was written to a node, as no connection was made.
    Unreachable,
    /// It was never begun.
    NotSent,
}

pub(crate) struct Attempt {
    pub(crate) zone: u32,
    pub(crate) shard: ShardId,
    pub(crate) sent: Micros,
    /// When the node's process started, as known when the attempt was sent.
    pub(crate) node_started: Option<Micros>,
    /// Its units are charged to its volume's limit, or kept free there while it awaits a connection.
    pub(crate) charged: bool,
    pub(crate) awaiting_connection: bool,
    pub(crate) state: AttemptState,
}

impl Attempt {
    /// An attempt that is sent to a node now.
    pub(crate) fn sent_to(node: &Node, now: Micros, charged: bool) -> Self {
        let (zone, shard, node_started) = (node.zone, node.shard, node.started);
        Attempt {
            zone,
            shard,
            sent: now,
            node_started,
            charged,
            awaiting_connection: false,
            state: AttemptState::InFlight,
        }
    }

    /// It may have run, or may still run.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::MayHaveRun)
    }
}

/// A request that has no final answer yet, or still has attempts in flight.
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// End of the latency target, counted from the client's first try.
    pub(crate) first_due: Micros,
    /// `first_due`, or the end of its own latency target if `first_due` was past when it came; never after
    /// the deadline.
    pub(crate) due: Micros,
    /// For a late retry (one that came after `first_due`): when the last try that was not late ended.
    pub(crate) last_timely_try_ended: Option<Micros>,
    /// If nothing of it has been sent by this time, it is refused.
    pub(crate) send_by: Micros,
    pub(crate) deadline: Micros,
    /// Index into `TIERS`.
    pub(crate) tier: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// Where it waits: in a queue of the shard, or for one of the shard's retry tokens.
    pub(crate) waits_at: Option<(ShardId, QueueEntry)>,
    pub(crate) finished: bool,
    /// Its answer has begun to arrive.
    pub(crate) streaming: bool,
}

/// A request that ended unserved, kept to recognise its client's retry.
#[derive(Clone, Copy)]
pub(crate) struct Unserved {
    /// End of the latency target of the client's first try.
    pub(crate) due: Micros,
    /// When that request ended or, if it was a late retry, its `last_timely_try_ended`.
    pub(crate) ended: Micros,
}

/// What a request and its client's retries have in common: the client if known, the volume, the key, the
/// class and the units.
pub(crate) type Fingerprint = (Option<ClientId>, VolumeId, Option<KeyId>, usize, u64);

pub(crate) fn fingerprint(request: &Request) -> Fingerprint {
    (request.client, request.volume, request.key, request.class, request.units.to_bits())
}

impl OpenRequest {
    pub(crate) fn new(
        request: Request,
        tier: usize,
        first_due: Micros,
        due: Micros,
        deadline: Micros,
    ) -> Self {
        OpenRequest {
            request,
            first_due,
            due,
            last_timely_try_ended: None,
            send_by: due,
            deadline,
            tier,
            attempts: Vec::new(),
            waits_at: None,
            finished: false,
            streaming: false,
        }
    }
    /// Moves all its time limits to `deadline` at the latest.
    pub(crate) fn shorten_deadline(&mut self, deadline: Micros) {
        for at in [&mut self.send_by, &mut self.due, &mut self.deadline] {
            *at = deadline.min(*at);
        }
    }
    /// When it is checked for want of an answer.
    pub(crate) fn wake_times(&self) -> [Micros; 3] {
        [self.send_by, self.due, self.deadline]
    }
    /// It is a retry that came after `first_due`.
    pub(crate) fn is_late_retry(&self) -> bool {
        self.last_timely_try_ended.is_some()
    }
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.state == AttemptState::InFlight)
    }
    /// Nothing of it has been written to a node, and no attempt is in flight.
    pub(crate) fn is_unwritten(&self) -> bool {
        self.attempts.iter().all(|a| matches!(a.state, AttemptState::Unreachable | AttemptState::NotSent))
    }
    /// The number of its last attempt.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.attempts.len().saturating_sub(1) as u32
    }
    /// No attempt of it is charged to its volume's limit.
    pub(crate) fn is_uncharged(&self) -> bool {
        self.attempts.iter().all(|a| !a.charged)
    }
    /// Attempts that may have run, or may still run.
    pub(crate) fn uncertain_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.may_have_run())
    }
}
