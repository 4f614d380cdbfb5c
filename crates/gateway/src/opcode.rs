//! The core's operation for an NVMe command.

use bytes::Bytes;
use nvme::{IoCommand, StatusCode};
use storage_core::{Action, InvalidOperation, Opcode};

/// The operation that the core carries out for a command. A Compare reads, and the gateway compares the data.
pub(crate) fn opcode_of(command: &IoCommand) -> Opcode {
    match command.opcode {
        nvme::io::READ | nvme::io::COMPARE => Opcode::Read,
        nvme::io::WRITE => Opcode::Write,
        _ => Opcode::Flush,
    }
}

/// The action that the core carries out for a command, and the data that a Compare expects to be read.
pub(crate) fn action_of(command: IoCommand) -> (Action, Option<Bytes>) {
    let opcode = opcode_of(&command);
    let IoCommand { slba, blocks, data, .. } = command;
    match opcode {
        Opcode::Read => {
            let expected = (command.opcode == nvme::io::COMPARE).then_some(data);
            (Action::Read { slba, blocks }, expected)
        }
        Opcode::Write => (Action::Write { slba, blocks, data }, None),
        Opcode::Flush => (Action::Flush, None),
    }
}

/// The status of a command that the core does not accept.
pub(crate) fn status_of(invalid: &InvalidOperation) -> StatusCode {
    match invalid {
        InvalidOperation::UnknownVolume(_) => StatusCode::InvalidNamespace,
        InvalidOperation::NoBlocks => StatusCode::InvalidField,
        InvalidOperation::OutOfRange { .. } => StatusCode::LbaOutOfRange,
        InvalidOperation::DataLength { .. } => StatusCode::DataSglLengthInvalid,
    }
}
