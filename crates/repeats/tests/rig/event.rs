//! Events of the simulated fleet, and the requests and attempts that they concern.

use repeats::Micros;

pub(super) enum Event {
    New(u32),
    Try { request: usize, gateway: usize },
    AtNode { attempt: usize },
    End { attempt: usize, outcome: End },
    Reply { request: usize, try_number: u32, served: bool, retry_after: Option<Micros> },
    TimedOut { request: usize, try_number: u32 },
    Message { from: usize, life: u64, to: usize, body: Vec<u8> },
    Tick,
    Kill(usize),
    Start(usize),
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum End {
    Served,
    Refused,
    NoAnswer,
}

pub(super) struct Request {
    pub(super) shard: u32,
    pub(super) key: u64,
    pub(super) is_marked: bool,
    pub(super) created: Micros,
    pub(super) tries: u32,
    pub(super) gateway: usize,
    pub(super) done: bool,
}

pub(super) struct Attempt {
    pub(super) request: usize,
    /// The client's try that this attempt belongs to.
    pub(super) try_number: u32,
    pub(super) gateway: usize,
    pub(super) life: u64,
    pub(super) node: usize,
    /// The position among the attempts of its gateway for that try.
    pub(super) attempt_number: u32,
    pub(super) open: bool,
}
