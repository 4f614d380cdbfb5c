//! What tests of several processes have in common; not each of them needs all of it.

#![allow(dead_code)]

pub mod client;
pub mod machine;
pub mod process;
pub mod stage;
