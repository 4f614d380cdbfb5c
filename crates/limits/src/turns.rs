//! Whose command is next.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// What waits of one client.
#[derive(Debug)]
struct Line<T> {
    waiting: VecDeque<(u64, T)>,
    credit: u64,
}

/// Deficit round robin (Shreedhar and Varghese, 1996): each client that waits gets the same quantum of cost in its turn,
/// whatever the number and size of its commands; what it does not use of a turn it keeps for the next, as long as it
/// waits. One client's items stay in their order.
///
/// Danger: the engine took commands in the order of arrival, so one host with 64 full queues stood before everybody else by
/// 8,192 commands. Harm: a host alone loses nothing; among several, the greedy one waits.
#[derive(Debug)]
pub struct Turns<K, T> {
    quantum: u64,
    lines: HashMap<K, Line<T>>,
    /// Clients that wait, by turn; the first has its turn.
    order: VecDeque<K>,
    len: usize,
}

impl<K: Clone + Eq + Hash, T> Turns<K, T> {
    /// `quantum` is the cost that a client may use in one turn; not 0.
    pub fn new(quantum: u64) -> Self {
        Turns { quantum: quantum.max(1), lines: HashMap::new(), order: VecDeque::new(), len: 0 }
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// An item of a client's, at a cost.
    pub fn push(&mut self, client: K, cost: u64, item: T) {
        self.len += 1;
        if let Some(line) = self.lines.get_mut(&client) {
            line.waiting.push_back((cost, item));
            return;
        }
        let line = Line { waiting: VecDeque::from([(cost, item)]), credit: self.quantum };
        self.lines.insert(client.clone(), line);
        self.order.push_back(client);
    }

    /// The next item, by turns.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            let client = self.order.front()?;
            let line = self.lines.get_mut(client)?;
            let cost = line.waiting.front()?.0;
            if cost > line.credit {
                // Its turn is over; it comes again with more. A large item waits for as many turns as it needs.
                line.credit += self.quantum;
                self.order.rotate_left(1);
                continue;
            }
            line.credit -= cost;
            self.len -= 1;
            let item = line.waiting.pop_front().map(|w| w.1);
            if line.waiting.is_empty() {
                let client = self.order.pop_front()?;
                self.lines.remove(&client);
            }
            return item;
        }
    }

    /// Takes out the first item of a client's that fits.
    pub fn remove(&mut self, client: &K, fits: impl Fn(&T) -> bool) -> Option<T> {
        let line = self.lines.get_mut(client)?;
        let index = line.waiting.iter().position(|w| fits(&w.1))?;
        let item = line.waiting.remove(index).map(|w| w.1);
        self.len -= 1;
        if line.waiting.is_empty() {
            self.lines.remove(client);
            self.order.retain(|c| c != client);
        }
        item
    }
}
