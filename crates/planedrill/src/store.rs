//! A process's disk: what was handed to the system survives a kill; an older state can be put back.

/// Bodies as they were kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    base: Vec<Vec<u8>>,
    /// Bodies of before the base that were not yet emptied when it was put in place.
    stale: Vec<Vec<u8>>,
    tail: Vec<(u64, Vec<u8>)>,
    last: u64,
}

impl Store {
    /// Bodies in the order in which they are restored.
    pub(crate) fn bodies(&self) -> impl Iterator<Item = &Vec<u8>> {
        self.base.iter().chain(&self.stale).chain(self.tail.iter().map(|(_, body)| body))
    }

    /// Bodies behind the base.
    pub(crate) fn tail(&self) -> usize {
        self.tail.len()
    }

    /// Keeps one behind the others; its number.
    pub(crate) fn keep(&mut self, body: Vec<u8>) -> u64 {
        self.stale.clear();
        self.last += 1;
        self.tail.push((self.last, body));
        self.last
    }

    /// One could not be kept: the disk is as before it.
    pub(crate) fn take_back(&mut self, number: u64) {
        self.tail.retain(|(other, _)| *other != number);
    }

    /// Without the one that was kept last.
    pub(crate) fn drop_last(&mut self) {
        self.tail.pop();
    }

    /// Keeps these in place of all. With `late` the bodies of before are emptied at the next one only, so that a kill between
    /// finds both.
    pub(crate) fn keep_all(&mut self, bodies: Vec<Vec<u8>>, late: bool) {
        let before = std::mem::take(&mut self.tail).into_iter().map(|(_, body)| body);
        if late {
            self.stale.extend(before);
        } else {
            self.stale.clear();
        }
        self.base = bodies;
    }
}
