//! Registration of a new connection with the engine, after the gate has admitted it.

use limits::{ConnectionId, Gate};
use sync::{Mutex, injected, lock};

/// Registers a connection by calling `register_connection`. Returns whether the connection may continue.
///
/// The gate may evict a connection in favour of another one before its own coroutine has registered it. The
/// eviction message then reaches the engine too early, and the connection would stay open, uncounted and
/// without a limit. Therefore the gate is checked after the registration: if the connection is still admitted
/// then, any eviction message follows the registration and finds the connection.
pub(crate) fn register(gate: &Mutex<Gate>, id: ConnectionId, register_connection: impl FnOnce()) -> bool {
    if injected!(CheckBeforeRegister) {
        let is_admitted = lock(gate).holds(id);
        register_connection();
        return is_admitted;
    }
    register_connection();
    lock(gate).holds(id)
}
