//! The codec under any split of the stream, and under noise.

use bytes::{Bytes, BytesMut};
use nvme::{Decoder, Digests, Pdu, Side, TermReason};
use proptest::prelude::*;

fn payload() -> impl Strategy<Value = Bytes> {
    proptest::collection::vec(any::<u8>(), 1..600).prop_map(Bytes::from)
}

fn to_controller() -> impl Strategy<Value = Pdu> {
    prop_oneof![
        (any::<[u8; 32]>(), proptest::option::of(payload())).prop_map(|(half, data)| {
            let mut sqe = [0; 64];
            sqe[..32].copy_from_slice(&half);
            Pdu::CapsuleCmd { sqe, data: data.unwrap_or_default(), intact: true }
        }),
        (any::<u16>(), any::<u16>(), any::<u32>(), any::<bool>(), payload()).prop_map(
            |(cid, ttag, offset, last, data)| Pdu::H2CData { cid, ttag, offset, last, data, intact: true }
        ),
    ]
}

fn to_host() -> impl Strategy<Value = Pdu> {
    prop_oneof![
        any::<[u8; 16]>().prop_map(|cqe| Pdu::CapsuleResp { cqe }),
        (any::<u16>(), any::<u16>(), any::<u32>(), any::<u32>())
            .prop_map(|(cid, ttag, offset, length)| Pdu::R2T { cid, ttag, offset, length }),
        (any::<u16>(), any::<u32>(), any::<bool>(), any::<bool>(), payload()).prop_map(
            |(cid, offset, last, success, data)| Pdu::C2HData {
                cid,
                offset,
                last,
                success: success && last,
                data,
                intact: true
            }
        ),
    ]
}

fn digests() -> impl Strategy<Value = Digests> {
    (any::<bool>(), any::<bool>()).prop_map(|(header, data)| Digests { header, data })
}

fn encoded(pdus: &[Pdu], digests: Digests) -> BytesMut {
    let mut bytes = BytesMut::new();
    pdus.iter().for_each(|p| p.encode(digests, &mut bytes));
    bytes
}

fn decoded(side: Side, digests: Digests, bytes: &[u8], cuts: &[usize]) -> Result<Vec<Pdu>, TermReason> {
    let mut decoder = Decoder::new(side, 1 << 16);
    decoder.set_digests(digests);
    let (mut got, mut rest, mut cuts) = (Vec::new(), bytes, cuts.iter().cycle());
    while !rest.is_empty() {
        let take = cuts.next().map_or(rest.len(), |c| c % 97 + 1).min(rest.len());
        decoder.push(&rest[..take]);
        rest = &rest[take..];
        while let Some(pdu) = decoder.poll()? {
            got.push(pdu);
        }
    }
    Ok(got)
}

proptest! {
    #[test]
    fn any_split_of_the_stream_gives_the_same_pdus_to_the_controller(
        pdus in proptest::collection::vec(to_controller(), 1..8), digests in digests(),
        cuts in proptest::collection::vec(any::<usize>(), 1..40),
    ) {
        let bytes = encoded(&pdus, digests);
        prop_assert_eq!(decoded(Side::Controller, digests, &bytes, &cuts), Ok(pdus));
    }

    #[test]
    fn any_split_of_the_stream_gives_the_same_pdus_to_the_host(
        pdus in proptest::collection::vec(to_host(), 1..8), digests in digests(),
        cuts in proptest::collection::vec(any::<usize>(), 1..40),
    ) {
        let bytes = encoded(&pdus, digests);
        prop_assert_eq!(decoded(Side::Host, digests, &bytes, &cuts), Ok(pdus));
    }

    #[test]
    fn noise_neither_panics_nor_is_waited_for_without_bound(
        bytes in proptest::collection::vec(any::<u8>(), 0..2000), digests in digests(), host in any::<bool>(),
    ) {
        let mut decoder = Decoder::new(if host { Side::Host } else { Side::Controller }, 4096);
        decoder.set_digests(digests);
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.poll() {}
        let fault = decoder.poll();
        decoder.push(&bytes);
        if let Err(reason) = fault {
            prop_assert_eq!(decoder.poll(), Err(reason), "a fault stays");
        }
    }

    #[test]
    fn one_flipped_bit_under_digests_is_never_taken_for_the_pdu(
        pdu in to_controller(), at in any::<prop::sample::Index>(), bit in 0..8u8,
    ) {
        let digests = Digests { header: true, data: true };
        let mut bytes = encoded(std::slice::from_ref(&pdu), digests);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        if let Ok(got) = decoded(Side::Controller, digests, &bytes, &[bytes.len()]) {
            let damaged = |p: &Pdu| matches!(p,
                Pdu::CapsuleCmd { intact: false, .. } | Pdu::H2CData { intact: false, .. });
            prop_assert!(got.is_empty() || got.iter().all(damaged), "{:?}", got);
        }
    }
}

fn fault(bytes: &[u8]) -> TermReason {
    let mut decoder = Decoder::new(Side::Controller, 4096);
    decoder.push(bytes);
    match decoder.poll() {
        Err(reason) => reason,
        other => panic!("expected a fault, got {other:?}"),
    }
}

fn capsule() -> Vec<u8> {
    encoded(&[Pdu::CapsuleCmd { sqe: [0; 64], data: Bytes::new(), intact: true }], Digests::default())
        .to_vec()
}

#[test]
fn a_wrong_type_names_byte_0() {
    for kind in [0x08, 0x0a, 0xff, 0x05, 0x07, 0x09] {
        let mut bytes = capsule();
        bytes[0] = kind;
        assert_eq!(fault(&bytes), TermReason::InvalidHeaderField(0));
    }
}

#[test]
fn a_wrong_header_length_names_byte_2() {
    let mut bytes = capsule();
    bytes[2] = 24;
    assert_eq!(fault(&bytes), TermReason::InvalidHeaderField(2));
}

#[test]
fn a_wrong_data_offset_names_byte_3() {
    let data = Bytes::from_static(&[1; 512]);
    let mut bytes = encoded(&[Pdu::CapsuleCmd { sqe: [0; 64], data, intact: true }], Digests::default());
    for pdo in [0, 64, 73, 255] {
        bytes[3] = pdo;
        assert_eq!(fault(&bytes[..80]), TermReason::InvalidHeaderField(3), "offset {pdo}");
    }
}

#[test]
fn a_length_over_the_limit_is_refused_before_its_data_comes() {
    let mut bytes = capsule();
    bytes[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(fault(&bytes[..8]), TermReason::InvalidHeaderField(4));
    bytes[4..8].copy_from_slice(&71u32.to_le_bytes());
    assert_eq!(fault(&bytes[..8]), TermReason::InvalidHeaderField(4));
}

#[test]
fn digest_flags_other_than_agreed_name_byte_1() {
    let mut bytes = capsule();
    bytes[1] = 1;
    assert_eq!(fault(&bytes), TermReason::InvalidHeaderField(1));
}
