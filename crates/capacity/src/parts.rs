//! Measurements within one process: modules without I/O, driven directly, in virtual time.
//!
//! Deterministic but for the time that calls take: a seed gives the same events. Times are of the processor, by the thread's own clock. What is resident is read of a child process of its
//! own, so that nothing of a size before is in it: the program that measures hands `--child NAME SIZE SEED` to [`child`].

mod caps;
mod fleets;
mod law;
mod lists;
mod memory;
mod module;
mod net;
mod notes;
mod resident;
mod site;
mod timing;

use crate::Measure;

pub use memory::child;

/// All of them, by name.
pub const ALL: &[(&str, Measure)] = &[
    ("law_samples", law::measure),
    ("fleet", fleets::measure),
    ("module", module::measure),
    ("lists", lists::measure),
    ("memory", memory::measure),
    ("repeats_members", caps::members),
    ("repeats_shards", caps::shards),
];
