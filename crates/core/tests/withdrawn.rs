//! Operations whose client has gone.

mod common;

use bytes::Bytes;
use common::*;
use storage_core::*;

/// Guards against treating a client's resubmission as a retry although no attempt of the withdrawn operation
/// was sent.
#[test]
fn withdraw_returns_whether_an_attempt_was_sent() {
    let mut core = core();
    let mut effects = Vec::new();
    let read = |id| operation(id, Opcode::Read, 0, 1, Bytes::new());
    for id in 1..=20 {
        core.submit(1000, read(id), &mut effects).expect("a valid operation");
    }
    let mut sent = 0;
    for effect in std::mem::take(&mut effects) {
        if let Effect::Send(send) = effect {
            let permitted = core.begin_write(1000, send.attempt, &mut effects);
            assert_eq!(permitted.expect("the attempt is wanted").attempt(), &send);
            sent += 1;
        }
    }
    assert!(0 < sent && sent < 20, "{sent} of 20 were sent; the others must wait for the node");
    let withdrawn: Vec<bool> =
        (1..=20).map(|id| core.withdraw(2000, OperationId(id), &mut Vec::new())).collect();
    assert_eq!(withdrawn.iter().filter(|was_sent| **was_sent).count(), sent);
    assert!(!core.withdraw(2000, OperationId(1), &mut effects), "the operation was already withdrawn");
}
