//! Refusal of commands for places that the recovery has not opened yet.

use nvme::IoCommand;
use recovery::{Closed, Entry, Phase, Place};
use storage_core::{Catalogue, Micros};

use super::RecoveryDriver;
use crate::opcode::opcode_of;

impl RecoveryDriver {
    /// The retry delay for a command whose place is not open yet; `None` if it is open.
    pub(crate) fn retry_delay_if_closed(
        &mut self,
        now: Micros,
        catalogue: &Catalogue,
        command: &IoCommand,
    ) -> Option<Micros> {
        if self.recovery.phase() == Phase::Serving {
            return None;
        }
        let volume = catalogue.volume(command.nsid)?;
        let is_write = matches!(command.opcode, nvme::io::WRITE);
        let opcode = opcode_of(command);
        let size = u64::from(volume.block_size);
        let class = catalogue.class(opcode, u64::from(command.blocks) * size);
        let settings = &catalogue.settings;
        let worth = settings.classes.get(class).map_or(1.0, |c| c.worth)
            * settings.plans.get(volume.plan).map_or(1.0, |p| p.price);
        for part in volume.parts(command.slba, command.blocks) {
            let (nsid, shard) = (command.nsid, part.shard.0);
            let place = Place { nsid, slba: part.slba, blocks: part.blocks, shard };
            if let Some(closed) = self.recovery.closed(&place, is_write) {
                let (Closed::Joining { until } | Closed::Unsettled { until, .. } | Closed::Blind { until }) =
                    closed;
                return Some((until - now).clamp(1, self.max_retry_delay));
            }
            if self.nodes_cold {
                let units = catalogue.units(u64::from(part.blocks) * size);
                if let Entry::Later { come_back } = self.admission.entry(now, shard, worth, units) {
                    return Some(come_back);
                }
            }
        }
        None
    }
}
