//! What is resident, in a process that does nothing beside: the only test of this file, as others would be counted with it.

use capacity::parts;

#[test]
fn a_listed_node_keeps_what_its_tables_hold_and_an_unknown_kind_is_told() {
    let nodes = 2_100;
    let bytes = parts::child("memory_dispatch_listed", nodes, 1).expect("measured") / nodes as f64;
    // Its name twice, its view, the module's node: some hundreds of bytes at least, and no buffers.
    assert!((200.0..8_000.0).contains(&bytes), "{bytes} bytes for each node");
    let error = parts::child("nothing", 3, 1).expect_err("no such kind").to_string();
    assert!(error.contains("nothing"), "{error}");
}
