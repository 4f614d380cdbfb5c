//! Registration of a new connection with the engine, after admission control has accepted it.

use limits::{AdmissionControl, ConnectionId};
use sync::{Mutex, injected, lock};

/// Registers a connection by calling `register_connection`. Returns whether the connection may continue.
///
/// Admission control may evict a connection in favour of another one before its own coroutine has registered
/// it. The eviction message then reaches the engine too early, and the connection would stay open, uncounted
/// and without a limit. Therefore admission control is checked after the registration: if the connection is
/// still admitted then, any eviction message follows the registration and finds the connection.
pub(crate) fn register(
    client_limits: &Mutex<AdmissionControl>,
    id: ConnectionId,
    register_connection: impl FnOnce(),
) -> bool {
    if injected!(CheckBeforeRegister) {
        let is_admitted = lock(client_limits).contains(id);
        register_connection();
        return is_admitted;
    }
    register_connection();
    lock(client_limits).contains(id)
}
