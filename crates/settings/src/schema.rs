//! The keys of a site or day file. Spans are in the unit that a key's name ends with.

pub use crate::control::*;
pub use crate::day::*;
pub use crate::fleet::*;
pub use crate::process::*;
pub use crate::site::*;
pub use crate::volume::*;
