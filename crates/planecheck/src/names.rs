//! Names as numbers.

use std::collections::HashMap;

/// Each name once, by a number counted from 0.
#[derive(Debug, Default)]
pub(crate) struct Names {
    numbers: HashMap<Box<str>, u32>,
    names: Vec<Box<str>>,
}

impl Names {
    /// The name's number; a new one if it was not seen before.
    pub(crate) fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.into(), number);
        self.names.push(name.into());
        number
    }

    /// The name's number, if it was seen.
    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    pub(crate) fn name(&self, number: u32) -> &str {
        self.names.get(number as usize).map_or("", |name| name)
    }
}
