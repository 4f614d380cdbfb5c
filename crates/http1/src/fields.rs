//! Header fields.

use bytes::Bytes;

/// A header field that may appear only once appears more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a header field appears more than once")]
pub struct RepeatedField;

/// The header fields of a message in their order, with names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, Bytes)>);

impl Fields {
    /// Copies parsed header fields and converts their names to lower case.
    pub(crate) fn read(parsed: &[httparse::Header<'_>]) -> Self {
        let field = |h: &httparse::Header<'_>| (h.name.to_ascii_lowercase(), Bytes::copy_from_slice(h.value));
        Fields(parsed.iter().map(field).collect())
    }

    /// Returns all values of a field. `name` must be in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |(n, _)| n == name).map(|(_, v)| &v[..])
    }

    /// Returns the value of a field that may appear only once. `name` must be in lower case.
    ///
    /// # Errors
    /// The field appears more than once.
    pub fn unique<'a>(&'a self, name: &'a str) -> Result<Option<&'a [u8]>, RepeatedField> {
        let mut values = self.all(name);
        match (values.next(), values.next()) {
            (_, Some(_)) => Err(RepeatedField),
            (value, None) => Ok(value),
        }
    }

    /// Whether a comma-separated list field contains a word, ignoring case.
    pub fn list_contains(&self, name: &str, word: &str) -> bool {
        self.all(name).any(|v| {
            v.split(|&b| b == b',').any(|item| item.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        })
    }
}
