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
}
