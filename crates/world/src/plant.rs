//! Mistakes planted into gateways, to see that the counts show them.

/// A mistake that is harmless in one gateway. It sits between the machine and its sockets; the machine is untouched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plant {
    /// None.
    #[default]
    None,
    /// Each connection is opened twice, one of them unasked; it is never used.
    OpensUnasked,
    /// A connection to a node that ended is opened again at once, for later.
    ReconnectsAtOnce,
    /// All gateways' calls for the list come in step: on the full second.
    InStep,
    /// Bytes to nodes go out twice.
    SendsTwice,
    /// A client's answer that is no service is held back until its time is nearly over.
    HoldsBack,
    /// A list ends at each end of a line, as the reader before did: one over several lines is never learnt.
    LineReader,
    /// A silent watch is given up 5 s after its last line, and calls follow after pauses drawn up to 0.4 s, doubled up to 3.2 s.
    OldPauses,
    /// Every so often a node's answer is kept, and handed to the next request on its connection.
    NextAnswer,
    /// Told to leave, it keeps its clients' connections to the end.
    EndsLate,
    /// Told to leave, it ends a tenth of a second later with what is open.
    EndsAtOnce,
    /// It calls for the list every fifth of a second besides its watch.
    Polls,
    /// It is not told when nodes started, and takes cold ones for warm.
    NoStarts,
    /// The lists that its watches bring are put off by 2 s.
    LearnsLate,
}
