//! The states of a simulated agent over time, and the outcomes of calls to it.

use proptest::prelude::*;

use super::SECOND;

/// What happens to a call, or to an open watch, while the agent is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Refused; a call without a free descriptor looks the same.
    Refused,
    /// The connection is never established.
    Hangs,
    /// The connection is established this late, and is then treated like a call made at that time.
    EstablishedLate(i64),
    /// The connection is established and nothing is ever sent on it, or nothing until the agent is back.
    NoAnswer,
    Reset,
    /// Answered with an error.
    Error,
    /// Answered with data that is not HTTP.
    InvalidHttp,
    /// Answered with data that is not JSON.
    InvalidJson,
    /// Answered with an object that is not a list, again and again.
    UnknownObject,
    /// Answered with a response head only.
    HeadOnly,
    /// Answered correctly, then ended.
    AnsweredThenEnded,
    /// Answered correctly, then silent.
    AnsweredThenSilent,
    /// Answered with a list that arrives byte by byte and is never complete.
    EndlessList,
}

pub fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    use CallOutcome::*;
    let late = (1..2 * SECOND).prop_map(EstablishedLate);
    let rest = vec![
        Refused,
        Hangs,
        NoAnswer,
        Reset,
        Error,
        InvalidHttp,
        InvalidJson,
        UnknownObject,
        HeadOnly,
        AnsweredThenEnded,
        AnsweredThenSilent,
        EndlessList,
    ];
    prop_oneof![1 => late, 8 => prop::sample::select(rest)]
}

/// The states of an agent over time, beginning with an unusable period.
#[derive(Clone, Debug)]
pub struct AgentSchedule {
    /// Pairs of durations: unusable, then ready.
    pub phases: Vec<(i64, i64)>,
    /// What happens to each call, and to each watch that is open when the agent becomes unusable, in turn.
    pub outcomes: Vec<CallOutcome>,
    /// Unanswered calls are answered once the agent is back.
    pub answers_later: bool,
    /// Times of changes, and of SIGHUP.
    pub changes: Vec<i64>,
    pub sighups: Vec<i64>,
    pub indented: bool,
}
