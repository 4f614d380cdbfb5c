//! Where the keys of a file stand.

use std::collections::HashMap;

use toml::de::{DeTable, DeValue};

/// Lines of the keys, by their path: `site.name`, `volume[2].plan`.
#[derive(Debug, Default)]
pub(crate) struct Lines(HashMap<String, usize>);

impl Lines {
    /// Reads a text that is TOML; one that is not has no lines.
    pub(crate) fn of(text: &str) -> Self {
        let mut lines = Lines::default();
        if let Ok(table) = DeTable::parse(text) {
            lines.table(text, "", table.get_ref());
        }
        lines
    }

    fn table(&mut self, text: &str, path: &str, table: &DeTable<'_>) {
        for (key, value) in table.iter() {
            let dot = if path.is_empty() { "" } else { "." };
            let path = format!("{path}{dot}{}", key.get_ref());
            self.0.insert(path.clone(), line(text, key.span().start));
            self.value(text, &path, value.get_ref());
        }
    }

    fn value(&mut self, text: &str, path: &str, value: &DeValue<'_>) {
        match value {
            DeValue::Table(table) => self.table(text, path, table),
            DeValue::Array(array) => {
                for (n, item) in array.iter().enumerate() {
                    let path = format!("{path}[{n}]");
                    self.0.insert(path.clone(), line(text, item.span().start));
                    self.value(text, &path, item.get_ref());
                }
            }
            _ => {}
        }
    }

    /// The line of a key, or of the nearest that holds it.
    pub(crate) fn find(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(&line) = self.0.get(path) {
                return line;
            }
            match path.rfind(['.', '[']) {
                Some(cut) => path = &path[..cut],
                None => return 1,
            }
        }
    }

    /// The path of the key that stands in a line.
    pub(crate) fn key_at(&self, line: usize) -> Option<&str> {
        let in_line = self.0.iter().filter(|(_, l)| **l == line).map(|(path, _)| path.as_str());
        in_line.max_by_key(|path| path.len())
    }
}

/// The line, from 1, of a byte of a text.
pub(crate) fn line(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}
