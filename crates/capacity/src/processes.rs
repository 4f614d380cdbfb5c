//! Measurements of whole processes over loopback.

use crate::Measure;

/// All of them, by name.
pub const ALL: &[(&str, Measure)] = &[];
