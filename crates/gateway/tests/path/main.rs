//! End-to-end tests on loopback: hosts, the gateway and emulated nodes, with a test for each failure on the
//! path.

mod bed;
mod clients;
mod control;
mod data;
mod late_writes;
mod limits;
mod nodes;
