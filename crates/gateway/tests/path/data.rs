//! Data through the gateway: reads, writes, compares and digests.

use bytes::Bytes;
use emulator::Fault;
use load::{Found, Host, HostOptions, Word, fill, look};
use nvme::{Digests, Sqe, StatusCode, io as opcode};

use crate::bed::{TestBed, served};

#[test]
fn written_data_is_read_back_across_queues_extents_and_sizes() {
    let bed = TestBed::new();
    let host = bed.host(1);
    for (n, blocks) in [1u32, 2, 7, 16, 32].into_iter().enumerate() {
        let (token, slba) = (100 + n as u64, 5 + 100 * n as u64);
        host.write(1, 1, slba, blocks, fill(token, 1, slba, blocks, 4096), token).unwrap();
        served(&bed.answer());
        host.read(2, 1, slba, blocks, 4096, 200 + n as u64).unwrap();
        let answer = bed.answer();
        assert_eq!(look(served(&answer), 1, slba, 4096), vec![Found::Written(token); blocks as usize]);
    }
    host.flush(1, 1, 9).unwrap();
    served(&bed.answer());
    assert!(bed.nodes.iter().all(|n| n.written() > 0), "both shards have data");
}

#[test]
fn all_128_commands_in_flight_on_one_queue_are_answered() {
    let bed = TestBed::new();
    let host = bed.host(1);
    // Stall the nodes so that no command completes before all are in flight.
    bed.nodes.iter().for_each(|n| n.fault(Fault::Stall(true)));
    for n in 0..128u64 {
        host.read(1, 1, n * 8, 1, 4096, n + 1).unwrap();
    }
    assert!(host.read(1, 1, 0, 1, 4096, 999).is_err(), "the queue is full");
    bed.nodes.iter().for_each(|n| n.fault(Fault::Stall(false)));
    let mut users: Vec<u64> = bed.answers(128).iter().map(|a| a.user).collect();
    users.sort_unstable();
    assert_eq!(users, (1..=128).collect::<Vec<_>>());
}

#[test]
fn corrupt_data_and_truncated_replies_are_never_served() {
    let bed = TestBed::new();
    let host = bed.host(1);
    host.write(1, 1, 0, 1, fill(5, 1, 0, 1, 4096), 5).unwrap();
    served(&bed.answer());
    for (on, off) in [(Fault::Corrupt(true), Some(Fault::Corrupt(false))), (Fault::Half, None)] {
        bed.nodes[0].fault(on);
        host.read(1, 1, 0, 1, 4096, 6).unwrap();
        // The first attempt's data is rejected; a retry may be served if the fault is over.
        if let Word::Served(data) = bed.answer().word {
            assert_eq!(look(&data, 1, 0, 4096), [Found::Written(5)]);
        }
        if let Some(off) = off {
            bed.nodes[0].fault(off);
        }
    }
}

#[test]
fn digests_are_used_only_where_both_sides_request_them() {
    let bed = TestBed::new();
    for (n, digests) in [(1, Digests::default()), (2, Digests { header: true, data: false })] {
        let host = Host::connect(HostOptions { digests, ..bed.options(n) }, &bed.sender).unwrap();
        host.write(1, 1, 0, 32, fill(n.into(), 1, 0, 32, 4096), n.into()).unwrap();
        served(&bed.answer());
        host.read(1, 1, 0, 32, 4096, 9).unwrap();
        assert_eq!(look(served(&bed.answer()), 1, 0, 4096), vec![Found::Written(n.into()); 32]);
    }
}

#[test]
fn compare_write_zeroes_and_dataset_management_work_across_extents() {
    let bed = TestBed::new();
    let host = bed.host(1);
    let data = fill(5, 1, 6, 4, 4096);
    host.write(1, 1, 6, 4, data.clone(), 5).unwrap();
    served(&bed.answer());
    let compare = |data: Bytes| {
        host.submit(1, Sqe::blocks(opcode::COMPARE, 1, 6, 4), data, 0, 6).unwrap();
        bed.answer().word
    };
    assert_eq!(compare(data.clone()), Word::Served(Bytes::new()), "no data is returned");
    let mut other = data.to_vec();
    other[3 * 4096 + 77] ^= 1;
    assert_eq!(compare(other.into()), Word::Invalid(StatusCode::CompareFailure as u16));
    // Dataset Management is a hint that is validated; the blocks keep their data.
    let range = |slba: u64, blocks: u32| -> Bytes {
        [&[0; 4][..], &blocks.to_le_bytes(), &slba.to_le_bytes()].concat().into()
    };
    let mut sqe = Sqe::new(opcode::DATASET_MANAGEMENT);
    sqe.set_nsid(1);
    sqe.set_cdw(11, 1 << 2);
    for (data, word) in [
        (range(6, 4), Word::Served(Bytes::new())),
        (range(65_535, 2), Word::Invalid(StatusCode::LbaOutOfRange as u16)),
        (range(u64::MAX, 1), Word::Invalid(StatusCode::LbaOutOfRange as u16)),
        (range(6, 4).slice(..8), Word::Invalid(StatusCode::DataSglLengthInvalid as u16)),
    ] {
        host.submit(1, sqe, data, 0, 7).unwrap();
        assert_eq!(bed.answer().word, word);
    }
    assert_eq!(compare(data), Word::Served(Bytes::new()));
    host.submit(1, Sqe::blocks(opcode::WRITE_ZEROES, 1, 7, 2), Bytes::new(), 0, 8).unwrap();
    served(&bed.answer());
    host.read(1, 1, 6, 4, 4096, 9).unwrap();
    let found = look(served(&bed.answer()), 1, 6, 4096);
    assert_eq!(found, [Found::Written(5), Found::Empty, Found::Empty, Found::Written(5)]);
}

#[test]
fn an_emulated_node_serves_only_reads_writes_and_flushes() {
    let bed = TestBed::new();
    let options = HostOptions { address: bed.nodes[0].address(), ..bed.options(5) };
    let host = Host::connect(options, &bed.sender).expect("connect");
    for code in [opcode::COMPARE, opcode::WRITE_ZEROES, opcode::DATASET_MANAGEMENT] {
        let data = if code == opcode::WRITE_ZEROES { Bytes::new() } else { Bytes::from(vec![0; 4096]) };
        host.submit(1, Sqe::blocks(code, 1, 0, 1), data, 0, 1).unwrap();
        assert_eq!(bed.answer().word, Word::Invalid(StatusCode::InvalidOpcode as u16));
    }
}
