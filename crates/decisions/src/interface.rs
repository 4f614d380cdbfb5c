//! What goes into and comes out of the decision module: settings, events, actions and their ids.
//!
//! Nothing here behaves or decides. Times and spans are whole microseconds on a clock with an arbitrary
//! origin; the host supplies the clock.

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// A request, numbered by the host. An id is not reused while the module may still name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A storage node, numbered by the host; a process that restarts keeps its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// The piece of data that a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// The volume on whose account a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// A part of the data; one node at a time holds it, or a few that hold the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Who a request is from, as far as its host can tell: the same number on every connection of that client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Any number of runs is harmless.
    Safe,
    /// Nodes of the group discard repeats for `window` after the first send that may have run.
    Keyed {
        /// The nodes that discard the repeat.
        group: Group,
        /// How long they remember it.
        window: Micros,
    },
    /// A second run does damage.
    Unsafe,
}

/// The nodes that recognise a keyed repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every node.
    All,
    /// Those in the zone of the node first sent to.
    Zone,
    /// Those of the same shard.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub aim: Micros,
    /// The aim grows by this multiple of the request's own work; informative only.
    pub aim_stretch: f64,
    /// What a request is worth.
    pub worth: f64,
    /// The part of the worth that a late answer earns.
    pub late_worth: f64,
    /// May it run again.
    pub repeats: Repeats,
    /// Requests with one key run one at a time, in the order taken.
    pub in_order: bool,
    /// Answers are streamed.
    pub stream: bool,
}

/// A plan; the figures hold for each volume over all hosts and nodes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second the volume is sized for.
    pub rate: f64,
    /// Units a second that earn the full worth.
    pub reserve: f64,
    /// Units a second that the limit's store fills by; 0 means no limit.
    pub limit: f64,
    /// The most that store holds.
    pub limit_burst: f64,
    /// How far below zero it may go.
    pub limit_slack: f64,
    /// Proportion in which a node's capacity beyond the reserves is dealt out.
    pub weight: f64,
    /// Factor on the worth.
    pub price: f64,
}

/// The rule on further attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Span over which both sides are counted.
    pub window: Micros,
    /// Further attempts allowed in any case.
    pub free: f64,
    /// And for each request taken.
    pub share: f64,
}

/// What a host is told once, at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// Hosts that work on this pool, this one included.
    pub hosts: u32,
    /// This host's number among them, from 0.
    pub index: u32,
    /// The node list changes only after asking.
    pub must_ask: bool,
    /// Most attempts of one request.
    pub most_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Nodes may be probed.
    pub probes: bool,
    /// Clients are handed advice when to come back.
    pub advice: bool,
    /// The longest advice that they follow.
    pub most_advice: Micros,
    /// Units that a cold node bears within `cold_window` from all hosts together.
    pub cold_units: f64,
    /// The span in which a cold node must not get too much.
    pub cold_window: Micros,
    /// The part of its capacity that a node starts with at least.
    pub cold_from: f64,
    /// A node is warm after this long at most.
    pub warm_after: Micros,
    /// How long sends to a draining or gone node are still allowed.
    pub drain_grace: Micros,
    /// Rest of a key after an attempt that may still run.
    pub order_rest: Micros,
    /// The rule on further attempts, where there is one.
    pub budget: Option<RetryBudget>,
    /// The most units that a request counts.
    pub most_units: f64,
    /// The mean units of a request.
    pub mean_units: f64,
    /// Worth of units within the share, as a part of the full worth.
    pub share_worth: f64,
    /// Worth of units beyond reserve and share.
    pub spare_worth: f64,
    /// Points that wasted node work costs, as a part of all.
    pub waste_price: f64,
}

/// Whether a node takes work, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It does.
    On,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// A line of the node list.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// Which node.
    pub node: NodeId,
    /// Its zone.
    pub zone: u32,
    /// The shard it holds.
    pub shard: ShardId,
    /// Whether it takes work.
    pub state: NodeState,
    /// When it last started, if that is not long ago.
    pub started: Option<Micros>,
}

/// A request, as a client brought it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its volume's plan.
    pub plan: usize,
    /// Its volume.
    pub volume: VolumeId,
    /// The data it is about, if it has a key.
    pub key: Option<KeyId>,
    /// The shard that holds the data; none for a new object.
    pub shard: Option<ShardId>,
    /// Its size.
    pub units: f64,
    /// Hosts through which the volume's requests come.
    pub hosts: u32,
    /// How long the client waits.
    pub patience: Micros,
    /// It is known to be a client's further try.
    pub retry: bool,
    /// Whose it is, where that is known.
    pub client: Option<ClientId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The node returned an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u32,
    /// The node it went to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request is finished, by this or earlier.
    pub settled: bool,
    /// Time since it was sent.
    pub latency: Micros,
    /// The volume's use over all hosts in a finished period, as a part of the plan's rate.
    pub metered: Option<f64>,
    /// Units this node served the volume through other hosts since its last answer here.
    pub elsewhere: f64,
}

/// What happens to a host.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node list, whole or only what changed. `remembered` marks a list kept from before the start.
    Nodes {
        /// The list is whole: nodes that it leaves out are gone.
        whole: bool,
        /// It comes from this host's own store and may be old.
        remembered: bool,
        /// The lines.
        entries: Vec<NodeEntry>,
    },
    /// Asking for the node list failed, or the subscription broke.
    NodesFailed,
    /// A client's request.
    Request(Request),
    /// The answer of a streamed attempt began.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The node.
        node: NodeId,
        /// Time since it was sent.
        latency: Micros,
    },
    /// An attempt ended.
    Answer(Answer),
    /// The client is gone; nothing is owed.
    Withdrawn(RequestId),
    /// Less time is left for a request than was said: its host ends before its client's time is over.
    Hastened {
        /// The request.
        request: RequestId,
        /// What is left.
        patience: Micros,
    },
    /// A sent attempt waits for its connection, or is begun after that. Without this event it is begun when it is sent.
    Waits {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// It waits; else it is begun.
        waits: bool,
    },
    /// A timer set earlier is due.
    Timer(u64),
    /// What a shard bears from this host beyond first attempts, in place of what was left of an earlier such event.
    /// A shard never named is unlimited.
    Allowance {
        /// The shard.
        shard: ShardId,
        /// So many further attempts, or first ones of requests with [`Request::retry`], may go out.
        further: u32,
        /// What is refused for want of them is to come back after this span; no longer than the settings' advice.
        come_back: Micros,
    },
    /// How many requests of a shard may wait for a right while it has none left; those beyond are refused at once, or at the
    /// next `Allowance` if they wait already. None may until this is told; those of a class in order never do.
    AwaitLimit {
        /// The shard.
        shard: ShardId,
        /// So many.
        most: u32,
    },
}

/// What the module thinks of a node, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeLook {
    /// The law's bound on attempts out, within the reserve.
    pub bound: f64,
    /// The law's L: smoothed latency over aim.
    pub load: f64,
    /// Places taken.
    pub held: usize,
    /// Requests that wait for its shard.
    pub waiting: usize,
    /// No word from it for too long.
    pub silent: bool,
    /// It warms up.
    pub cold: bool,
}

/// Requests that wait at a shard for a right, for whoever deals the rights out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// The shard.
    pub shard: ShardId,
    /// So many wait.
    pub waiting: u32,
    /// Worth of the class of the first of them, times the price of its plan; 0 if none waits.
    pub worth: f64,
}

/// What a host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; attempts of a request count from 0. A patience of 0 lasts until the client gives up.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        node: NodeId,
        /// The attempt's time-out.
        patience: Micros,
    },
    /// Final answer: turned away, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come back; 0 means no advice.
        come_back: Micros,
    },
    /// Final answer: failed, nothing is known about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Deliver `Event::Timer` with this token after the span.
    SetTimer {
        /// From now.
        after: Micros,
        /// Handed back.
        token: u64,
    },
    /// Subscribe to the node list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
