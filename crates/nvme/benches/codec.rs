//! How long the codec takes for a command of 4 KiB and one of 64 KiB, with and without digests.

use bytes::{Bytes, BytesMut};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use nvme::{Decoder, Digests, Pdu, Side};

fn codec(c: &mut Criterion) {
    for size in [4096usize, 65536] {
        for on in [false, true] {
            let digests = Digests { header: on, data: on };
            let data = Bytes::from(vec![7; size]);
            let pdu = Pdu::H2CData { cid: 3, ttag: 1, offset: 0, last: true, data, intact: true };
            let mut bytes = BytesMut::new();
            pdu.encode(digests, &mut bytes);
            let mut group = c.benchmark_group(format!("{size} bytes, digests {on}"));
            group.throughput(Throughput::Bytes(size as u64));
            group.bench_function("encode", |b| {
                let mut out = BytesMut::with_capacity(size + 64);
                b.iter(|| {
                    out.clear();
                    pdu.encode(digests, &mut out);
                })
            });
            group.bench_function("decode", |b| {
                let mut decoder = Decoder::new(Side::Controller, 1 << 20);
                decoder.set_digests(digests);
                b.iter(|| {
                    decoder.push(&bytes);
                    decoder.poll()
                })
            });
            group.finish();
        }
    }
}

criterion_group!(benches, codec);
criterion_main!(benches);
