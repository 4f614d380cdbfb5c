//! Routes peer events to the subsystems that handle them.

use peer::Told;
use storage_core::Micros;

use super::Engine;
use crate::peer_network::Recipients;
use crate::recovery_driver::RECOVERY_STATE;

impl Engine {
    /// Handles a peer event.
    pub(super) fn on_peer_event(&mut self, now: Micros, event: Told) {
        let Some(peer_network) = &self.peer_network else { return };
        let recipients = peer_network.recipients(&event);
        match recipients {
            Recipients::Recovery if self.recovery.is_none() => {
                // A recovering peer asks. Without state of its own this gateway declines, so that the peer
                // does not wait for it.
                if let Told::Asked { conn, id, .. } = event {
                    peer_network.answer(conn, id, None);
                }
            }
            Recipients::Recovery | Recipients::Kind(RECOVERY_STATE) => {
                self.with_recovery(now, |r, actions| r.on_peer_event(now, event, actions))
            }
            // The kind may be unknown here; later versions may send more kinds.
            Recipients::Kind(_) => self.on_coordination_event(now, &event),
            Recipients::All => {
                self.on_coordination_event(now, &event);
                self.with_recovery(now, |r, actions| r.on_peer_event(now, event, actions));
            }
            Recipients::Nobody => {}
        }
    }
}
