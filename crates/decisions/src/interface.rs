//! The interface of the decision module: ids, events and actions.
//!
//! Times and spans are in whole microseconds, on a clock with an arbitrary origin that the host supplies.

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// Id of a request, assigned by the host. An id is not reused while the module may still refer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of a storage node, assigned by the host; a process that restarts keeps its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// Id of the data that a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// Id of the volume to which a request is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// Id of a part of the data, held by one node at a time or by a few that hold the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Id of a client, as far as the host can identify it: the same on all its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Whether a node accepts work, according to the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The node accepts work.
    On,
    /// The node finishes what it has and accepts nothing new.
    Draining,
    /// The node is removed.
    Gone,
}

/// An entry of the node list.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: u32,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Whether it accepts work.
    pub state: NodeState,
    /// When its process last started, if that was recently.
    pub started: Option<Micros>,
}

/// A request from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class in `Settings::classes`.
    pub class: usize,
    /// Index of its volume's plan in `Settings::plans`.
    pub plan: usize,
    /// The volume to which it is charged.
    pub volume: VolumeId,
    /// The data that it reads or writes, if it has a key.
    pub key: Option<KeyId>,
    /// The shard that holds the data; `None` for a new object, which any node may take.
    pub shard: Option<ShardId>,
    /// Its size in units of work.
    pub units: f64,
    /// Number of hosts through which the volume's requests come.
    pub hosts: u32,
    /// How long the client waits for its answer, in microseconds.
    pub timeout: Micros,
    /// The client has marked it as a retry of an earlier request.
    pub is_retry: bool,
    /// The client, if it is known.
    pub client: Option<ClientId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node served it.
    Served,
    /// The node returned an error; the attempt may have run.
    Error,
    /// The node rejected it as overloaded; it never ran.
    Full,
    /// No answer came in time; the attempt may have run.
    TimedOut,
    /// No connection to the node; the attempt never ran.
    Unreachable,
    /// The connection was lost; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The node to which it was sent.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer, from this attempt or from before.
    pub settled: bool,
    /// Time since the attempt was sent, in microseconds.
    pub latency: Micros,
    /// The volume's use over all hosts in the last complete metering period, as a fraction of the plan's
    /// rate.
    pub metered_use: Option<f64>,
    /// Units that this node served the volume through other hosts since its last answer to this host.
    pub units_elsewhere: f64,
}

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node list, or changes of it.
    Nodes {
        /// The list is complete: nodes that it does not contain are removed.
        complete: bool,
        /// The list comes from this host's own storage and may be out of date.
        from_cache: bool,
        /// The entries.
        entries: Vec<NodeEntry>,
    },
    /// The request for the node list failed, or the subscription was lost.
    NodeListFailed,
    /// A request from a client.
    Request(Request),
    /// The answer of a streamed attempt began to arrive.
    AnswerStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// The node to which it was sent.
        node: NodeId,
        /// Time since the attempt was sent, in microseconds.
        latency: Micros,
    },
    /// An attempt ended.
    Answer(Answer),
    /// The client withdrew its request and needs no answer.
    Withdrawn(RequestId),
    /// Less time is left for a request than `Request::timeout` said, as its host shuts down before then.
    DeadlineShortened {
        /// The request.
        request: RequestId,
        /// Time left from now, in microseconds.
        timeout: Micros,
    },
    /// A sent attempt awaits its connection, or begins after that wait. Without this event an attempt begins
    /// when it is sent.
    ConnectionWait {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// It awaits its connection; otherwise it begins now.
        waiting: bool,
    },
    /// The timer with this token is due.
    Timer(u64),
    /// A shard's retry tokens for this host, which replace those left from the previous event. A shard
    /// without any such event has no limit on retries.
    RetryAllowance {
        /// The shard.
        shard: ShardId,
        /// Number of tokens. Each allows one retry, or a first attempt of a request with
        /// [`Request::is_retry`].
        tokens: u32,
        /// Advice for requests that are refused for want of a token, in microseconds; the settings cap it.
        retry_after: Micros,
    },
    /// How many requests of a shard may wait for a retry token while none is left. Requests beyond that are
    /// refused at once, or at the next `RetryAllowance` if they wait already. None may wait before this
    /// event; requests of a class in order never do.
    TokenWaitLimit {
        /// The shard.
        shard: ShardId,
        /// Maximum number of waiting requests.
        max_waiting: u32,
    },
}

/// A snapshot of what the module knows about a node, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeSnapshot {
    /// The law's bound on attempts in flight, for requests within the reserve.
    pub bound: f64,
    /// The law's L: smoothed latency over latency target.
    pub latency_ratio: f64,
    /// Attempts in flight, without those taken for lost.
    pub in_flight: usize,
    /// Requests that wait for its shard.
    pub waiting: usize,
    /// It has attempts in flight and has not answered for too long.
    pub silent: bool,
    /// It started recently and gets limited work.
    pub cold: bool,
}

/// Requests that wait for a retry token of a shard, reported to whoever allots the tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenShortage {
    /// The shard.
    pub shard: ShardId,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Worth of the first one's class times the price of its plan; 0 if none waits.
    pub worth: f64,
}

/// What a host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request; attempts are numbered from 0.
    Send {
        /// The request.
        request: RequestId,
        /// The node to send it to.
        node: NodeId,
        /// Time-out of the attempt in microseconds; 0 means that it lasts until the client's time is over.
        timeout: Micros,
    },
    /// Final answer: the request is refused, and a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client is advised to retry, in microseconds from now; 0 means no advice.
        retry_after: Micros,
    },
    /// Final answer: the request failed, and it is unknown whether it ran.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Deliver `Event::Timer` with this token after a span.
    SetTimer {
        /// The span from now, in microseconds.
        after: Micros,
        /// The token to return.
        token: u64,
    },
    /// Subscribe to the node list.
    Subscribe,
    /// A log line for operators.
    Log(String),
}
