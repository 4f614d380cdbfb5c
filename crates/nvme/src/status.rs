//! Status of a completion (Base 3.3.3.2, figures "Status Field", "Generic" and "Command Specific").

/// A status code with its type, by the specification's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u16)]
#[allow(missing_docs)]
pub enum StatusCode {
    Success = 0x000,
    InvalidOpcode = 0x001,
    InvalidField = 0x002,
    CommandIdConflict = 0x003,
    DataTransferError = 0x004,
    InternalError = 0x006,
    AbortRequested = 0x007,
    InvalidNamespace = 0x00b,
    CommandSequenceError = 0x00c,
    DataSglLengthInvalid = 0x00f,
    SglDescriptorTypeInvalid = 0x011,
    SglOffsetInvalid = 0x016,
    CommandInterrupted = 0x021,
    TransientTransportError = 0x022,
    LbaOutOfRange = 0x080,
    NamespaceNotReady = 0x082,
    InvalidQueueIdentifier = 0x101,
    AbortLimitExceeded = 0x103,
    AsyncEventLimitExceeded = 0x105,
    InvalidLogPage = 0x109,
    FeatureNotChangeable = 0x10e,
    ConnectIncompatibleFormat = 0x180,
    ConnectControllerBusy = 0x181,
    ConnectInvalidParameters = 0x182,
    ConnectInvalidHost = 0x184,
    CompareFailure = 0x285,
    /// Vendor specific, on the node's leg: turned away unseen, never ran (docs/nvme.md).
    VendorFull = 0x7c0,
}

/// When a host may come back (CRD, Base 3.3.3.2 and 5.27 "Host Behavior Support").
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Retry {
    /// No delay is stated.
    #[default]
    Any,
    /// After the Command Retry Delay Time 1, 2 or 3 of Identify Controller.
    Delay(u8),
    /// A repeat is not expected to succeed (DNR).
    Never,
}

/// The status field of a completion: SCT and SC, and what the host is told of a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// SCT in bits 10:8, SC in bits 7:0.
    pub code: u16,
    /// CRD and DNR.
    pub retry: Retry,
}

impl Status {
    /// Successful completion.
    pub const SUCCESS: Status = Status { code: 0, retry: Retry::Any };

    /// An error that a repeat of the same command would meet again.
    pub const fn permanent(code: StatusCode) -> Self {
        Status { code: code as u16, retry: Retry::Never }
    }

    /// An error after which a repeat may succeed.
    pub const fn passing(code: StatusCode) -> Self {
        Status { code: code as u16, retry: Retry::Any }
    }

    /// A passing error with one of the Command Retry Delays (1 to 3).
    pub const fn after(code: StatusCode, delay: u8) -> Self {
        Status { code: code as u16, retry: Retry::Delay(delay & 3) }
    }

    /// Whether the command was carried out.
    pub fn is_success(&self) -> bool {
        self.code == 0
    }

    /// Whether this is the given code.
    pub fn is(&self, code: StatusCode) -> bool {
        self.code == code as u16
    }

    /// The field as it stands in the completion queue entry's bytes 14 and 15; bit 0 is the phase, unused here.
    pub fn to_field(self) -> u16 {
        let (crd, dnr) = match self.retry {
            Retry::Any => (0, 0),
            Retry::Delay(n) => (u16::from(n & 3), 0),
            Retry::Never => (0, 1),
        };
        (self.code & 0x7ff) << 1 | crd << 12 | dnr << 15
    }

    /// Reads the field of a completion queue entry.
    pub fn from_field(field: u16) -> Self {
        let retry = match (field >> 15, (field >> 12 & 3) as u8) {
            (1, _) => Retry::Never,
            (_, 0) => Retry::Any,
            (_, n) => Retry::Delay(n),
        };
        Status { code: field >> 1 & 0x7ff, retry }
    }
}

impl std::fmt::Display for Status {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SCT {:x}h SC {:02x}h", self.code >> 8, self.code & 0xff)?;
        match self.retry {
            Retry::Any => Ok(()),
            Retry::Delay(n) => write!(f, ", retry after CRDT{n}"),
            Retry::Never => write!(f, ", do not retry"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_status_field_survives_the_round_trip() {
        for code in 0..0x800u16 {
            for retry in [Retry::Any, Retry::Delay(1), Retry::Delay(3), Retry::Never] {
                let status = Status { code, retry };
                assert_eq!(Status::from_field(status.to_field()), status);
                assert_eq!(status.to_field() & 1, 0, "the phase bit stays clear");
            }
        }
    }
}
