//! Cost in the core and the scheduler of one operation that is sent and served at once.

use bytes::Bytes;
use criterion::{Criterion, criterion_group, criterion_main};

#[path = "../tests/common/mod.rs"]
mod common;
use storage_core::*;

fn operation(c: &mut Criterion) {
    let mut core = common::core();
    let mut effects = Vec::new();
    let (mut now, mut id) = (0, 0);
    c.bench_function("one read, served", |b| {
        b.iter(|| {
            now += 100;
            id += 1;
            let operation = common::operation(id, Opcode::Read, id % 64, 1, Bytes::new());
            core.submit(now, operation, &mut effects).expect("a valid operation");
            for effect in std::mem::take(&mut effects) {
                if let Effect::Send(send) = effect {
                    let permitted = core.begin_write(now, send.attempt, &mut effects);
                    std::hint::black_box(&permitted);
                    core.attempt_ended(
                        now + 50,
                        send.attempt,
                        AttemptEnd::without_data(Outcome::Served),
                        &mut effects,
                    );
                }
            }
            core.tick(now + 60, &mut effects);
            effects.clear();
        })
    });
}

criterion_group!(benches, operation);
criterion_main!(benches);
