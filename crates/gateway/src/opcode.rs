//! The core's operation for an NVMe command.

use nvme::IoCommand;
use storage_core::Opcode;

/// The operation that the core carries out for a command. A Compare reads, and the gateway compares the data.
pub(crate) fn opcode_of(command: &IoCommand) -> Opcode {
    match command.opcode {
        nvme::io::READ | nvme::io::COMPARE => Opcode::Read,
        nvme::io::WRITE => Opcode::Write,
        _ => Opcode::Flush,
    }
}
