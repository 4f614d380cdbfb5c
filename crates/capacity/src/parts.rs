//! Measurements within one process: modules without I/O, driven directly.

use crate::Measure;

/// All of them, by name.
pub const ALL: &[(&str, Measure)] = &[];
