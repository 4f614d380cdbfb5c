//! What happens next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Micros;

struct Entry<T> {
    at: Micros,
    number: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events by time; those of one time come in the order in which they were planned.
pub(crate) struct Timeline<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    now: Micros,
    next: u64,
}

impl<T> Timeline<T> {
    pub(crate) fn new(now: Micros) -> Self {
        Timeline { heap: BinaryHeap::new(), now, next: 0 }
    }

    pub(crate) fn now(&self) -> Micros {
        self.now
    }

    /// Plans something `after` from now.
    pub(crate) fn plan(&mut self, after: Micros, what: T) {
        self.plan_at(self.now + after.max(0), what);
    }

    /// Plans something; what is past happens now.
    pub(crate) fn plan_at(&mut self, at: Micros, what: T) {
        self.heap.push(Reverse(Entry { at: at.max(self.now), number: self.next, what }));
        self.next += 1;
    }

    /// The next event until `end`, which becomes the present.
    pub(crate) fn next(&mut self, end: Micros) -> Option<T> {
        if self.heap.peek()?.0.at > end {
            self.now = end;
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.what)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_planned_for_one_time_comes_in_the_order_of_planning() {
        let mut line = Timeline::new(10);
        for (at, what) in [(30, 'c'), (20, 'a'), (20, 'b'), (5, 'x')] {
            line.plan_at(at, what);
        }
        let mut seen = Vec::new();
        while let Some(what) = line.next(25) {
            seen.push((line.now(), what));
        }
        assert_eq!(seen, [(10, 'x'), (20, 'a'), (20, 'b')]);
        assert_eq!((line.now(), line.next(30)), (25, Some('c')));
    }
}
