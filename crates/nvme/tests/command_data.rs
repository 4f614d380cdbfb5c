//! Each command against data that it does not take, or takes in another length.

mod common;

use bytes::Bytes;
use common::*;
use nvme::*;

/// A descriptor for data in the capsule, without the data.
const IN_CAPSULE: fn(u32) -> Sgl = |length| Sgl::InCapsule { offset: 0, length };
const TRANSPORT: fn(u32) -> Sgl = |length| Sgl::Transport { length };

/// Sends a command with a descriptor and bytes in its capsule; `None`: an R2T asked for data.
fn status_of(raw: &mut Raw, t: &mut Target, mut sqe: Sqe, sgl: Sgl, brought: usize) -> Option<Status> {
    sqe.set_sgl(sgl);
    let data = Bytes::from(vec![7; brought]);
    match &raw.send(t, Pdu::CapsuleCmd { sqe: sqe.0, data, intact: true })[..] {
        [Pdu::CapsuleResp { cqe }] => Some(Cqe::from_bytes(cqe).status),
        [Pdu::R2T { .. }] => None,
        other => panic!("{sqe:?}: {other:?}"),
    }
}

fn handed_on(raw: &mut Raw) -> Vec<IoCommand> {
    let command = |output| match output {
        Output::Command(command) => Some(command),
        _ => None,
    };
    raw.outputs.drain(..).filter_map(command).collect()
}

/// Guards against a Read with data in its capsule that was handed on with it and ended the engine.
#[test]
fn io_commands_with_data_that_they_do_not_take_are_turned_down_and_the_queue_goes_on() {
    let mut t = target();
    let (_admin, mut io) = Raw::queues(&mut t);
    let length = StatusCode::DataSglLengthInvalid;
    let kind = StatusCode::SglDescriptorTypeInvalid;
    let (read, write) = (Sqe::blocks(io::READ, 1, 0, 1), Sqe::blocks(io::WRITE, 1, 0, 1));
    let (zeroes, compare) = (Sqe::blocks(io::WRITE_ZEROES, 1, 0, 1), Sqe::blocks(io::COMPARE, 1, 0, 1));
    let mut flush = Sqe::new(io::FLUSH);
    flush.set_nsid(1);
    // A Flush of all namespaces, which Identify Controller says is not served.
    let mut all = Sqe::new(io::FLUSH);
    all.set_nsid(u32::MAX);
    let (mut fused, mut with_metadata) = (read, read);
    fused.0[1] |= 1;
    with_metadata.0[1] |= 0x80;
    let cases = [
        (fused, TRANSPORT(4096), 0, StatusCode::InvalidField),
        (with_metadata, TRANSPORT(4096), 0, StatusCode::InvalidField),
        (read, TRANSPORT(4096), 512, length),
        (read, TRANSPORT(4096), 4096, length),
        (read, TRANSPORT(4096), 8192, length),
        (read, TRANSPORT(4095), 0, length),
        (read, TRANSPORT(0), 0, length),
        (read, IN_CAPSULE(4096), 4096, kind),
        (read, IN_CAPSULE(0), 0, kind),
        (read, Sgl::Unsupported(0x40), 0, kind),
        (all, TRANSPORT(0), 0, StatusCode::InvalidNamespace),
        (flush, TRANSPORT(0), 1, length),
        (flush, IN_CAPSULE(512), 512, length),
        (flush, TRANSPORT(4096), 0, length),
        (flush, Sgl::Unsupported(0x30), 0, kind),
        (zeroes, TRANSPORT(0), 4096, length),
        (zeroes, IN_CAPSULE(4096), 4096, length),
        (zeroes, TRANSPORT(4096), 0, length),
        (write, TRANSPORT(4096), 4096, length),
        (write, TRANSPORT(0), 0, length),
        (write, IN_CAPSULE(4096), 4095, length),
        (write, IN_CAPSULE(4096), 0, length),
        (write, IN_CAPSULE(0), 0, length),
        (write, IN_CAPSULE(512), 512, length),
        (write, IN_CAPSULE(8192), 8192, length),
        (write, Sgl::InCapsule { offset: 8, length: 4096 }, 4096, StatusCode::SglOffsetInvalid),
        (compare, TRANSPORT(4096), 512, length),
        (compare, IN_CAPSULE(512), 512, length),
        (Sqe::new(io::DATASET_MANAGEMENT), IN_CAPSULE(15), 15, length),
        (Sqe::new(io::DATASET_MANAGEMENT), IN_CAPSULE(4097), 4097, length),
        (Sqe::new(0x0d), IN_CAPSULE(512), 512, StatusCode::InvalidOpcode),
        (Sqe::new(0x81), TRANSPORT(4096), 0, StatusCode::InvalidOpcode),
        (Sqe::new(0xff), TRANSPORT(0), 8192, StatusCode::InvalidOpcode),
    ];
    for (sqe, sgl, brought, code) in cases {
        let status = status_of(&mut io, &mut t, sqe, sgl, brought);
        assert_eq!(status, Some(Status::permanent(code)), "{sqe:?}, {sgl:?}, {brought} bytes");
    }
    assert!(handed_on(&mut io).is_empty(), "none of them was handed on");
    let mut sound = read;
    sound.set_sgl(TRANSPORT(4096));
    assert!(io.send(&mut t, Pdu::CapsuleCmd { sqe: sound.0, data: Bytes::new(), intact: true }).is_empty());
    let commands = handed_on(&mut io);
    assert!(matches!(&commands[..], [IoCommand { opcode: io::READ, data, .. }] if data.is_empty()));
}

#[test]
fn admin_and_fabrics_commands_with_data_that_they_do_not_take_are_turned_down() {
    let mut t = target();
    let (mut admin, mut io) = Raw::queues(&mut t);
    let length = StatusCode::DataSglLengthInvalid;
    let feature = |opcode, identifier| {
        let mut sqe = Sqe::new(opcode);
        sqe.set_cdw(10, u32::from(identifier));
        sqe
    };
    let behavior = feature(admin::SET_FEATURES, feature::HOST_BEHAVIOR_SUPPORT);
    let queues = feature(admin::SET_FEATURES, feature::NUMBER_OF_QUEUES);
    let mut identify = Sqe::new(admin::IDENTIFY);
    identify.set_cdw(10, 1);
    let cases = [
        (behavior, IN_CAPSULE(511), 511, length),
        (behavior, IN_CAPSULE(8193), 8193, length),
        (behavior, TRANSPORT(4096), 0, length),
        (behavior, TRANSPORT(0), 0, length),
        (queues, IN_CAPSULE(512), 512, length),
        (queues, TRANSPORT(0), 16, length),
        (identify, TRANSPORT(4096), 4096, length),
        (identify, TRANSPORT(0), 0, length),
        (identify, IN_CAPSULE(4096), 4096, StatusCode::SglDescriptorTypeInvalid),
        (Sqe::new(admin::KEEP_ALIVE), TRANSPORT(0), 1, length),
        (Sqe::new(admin::ASYNC_EVENT_REQUEST), IN_CAPSULE(64), 64, length),
        (Sqe::new(admin::ABORT), IN_CAPSULE(64), 64, length),
        (Sqe::new(0x0d), IN_CAPSULE(4096), 4096, StatusCode::InvalidOpcode), // Namespace Management.
        (Sqe::property_get(property::CSTS, false), IN_CAPSULE(8), 8, length),
        (Sqe::fabrics(0x05), IN_CAPSULE(64), 64, StatusCode::InvalidField), // Authentication Send.
    ];
    for (sqe, sgl, brought, code) in cases {
        let status = status_of(&mut admin, &mut t, sqe, sgl, brought);
        assert_eq!(status, Some(Status::permanent(code)), "{sqe:?}, {sgl:?}, {brought} bytes");
    }
    let disconnect = Sqe::fabrics(fabrics::DISCONNECT);
    let status = status_of(&mut io, &mut t, disconnect, IN_CAPSULE(8), 8);
    assert_eq!(status, Some(Status::permanent(length)));
    assert!(
        status_of(&mut admin, &mut t, Sqe::new(admin::KEEP_ALIVE), TRANSPORT(0), 0).unwrap().is_success()
    );
}

/// A Connect brings its data in the capsule (TCP 3.5): no transfer is agreed on before it.
#[test]
fn connect_without_its_data_in_the_capsule_is_turned_down_and_may_come_again() {
    let mut t = target();
    let mut raw = Raw::opened(&mut t);
    let connect = Sqe::connect(0, 31, 0, false);
    for (sgl, brought, code) in [
        (TRANSPORT(1024), 0, StatusCode::SglDescriptorTypeInvalid),
        (IN_CAPSULE(1024), 0, StatusCode::DataSglLengthInvalid),
        (IN_CAPSULE(1023), 1023, StatusCode::DataSglLengthInvalid),
        (IN_CAPSULE(1025), 1025, StatusCode::DataSglLengthInvalid),
    ] {
        let status = status_of(&mut raw, &mut t, connect, sgl, brought);
        assert_eq!(status, Some(Status::permanent(code)), "{sgl:?}, {brought} bytes");
    }
    assert!(raw.connect(&mut t, 0, 32).is_success());
}
