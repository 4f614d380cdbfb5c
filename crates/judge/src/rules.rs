//! The seven rules, each by itself, and the data of reads.

mod answers;
mod budget;
mod cold;
mod data;
mod effects;
mod order;

pub(crate) use answers::one_answer;
pub(crate) use budget::{budget, limits};
pub(crate) use cold::cold_nodes;
pub(crate) use data::{data, durable};
pub(crate) use effects::{drains, no_double_effect};
pub(crate) use order::order;
