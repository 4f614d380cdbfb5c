//! How a connection comes in: counted by the gate first, then made known to the engine.

use limits::{ConnectionId, Gate};
use sync::{Mutex, lock, planted};

/// Makes a connection known, with `say`; whether it may go on.
///
/// Danger: the gate may let a connection go for another one before its own coroutine has made it known to the engine. The word
/// that it is to be closed then comes too early, and the connection would stay, counted by nobody and under no limit. So it looks
/// once it is known: if it is still let in then, that word comes behind and finds it. Harm: none.
pub(crate) fn enter(gate: &Mutex<Gate>, id: ConnectionId, say: impl FnOnce()) -> bool {
    if planted!(HeldFirst) {
        let holds = lock(gate).holds(id);
        say();
        return holds;
    }
    say();
    lock(gate).holds(id)
}
