//! The checker on records by hand.

mod breaks;
mod folder;
mod latencies;
mod record;
