//! What comes to a cold node within the window of the rule.

use std::collections::VecDeque;

use crate::Micros;

/// Requests of mean work that a cold node bears in a window, `n` being what the settings allow it then: it falls beyond.
pub(crate) fn bears(n: f64) -> f64 {
    n + 3.0 * n.sqrt() + 3.0
}

/// The requests of one window, each in requests of mean work and whether its gateway had been told of the start.
#[derive(Default)]
pub(crate) struct Press {
    window: VecDeque<(Micros, f64, bool)>,
    all: f64,
    told: f64,
    worst: f64,
    fallen: bool,
}

impl Press {
    /// A request comes to a node that bears `n` by its settings. Whether this makes it fall by the fault of those told: the
    /// platform blames them where over two thirds came from them.
    pub(crate) fn add(&mut self, now: Micros, span: Micros, work: f64, told: bool, n: f64) -> bool {
        while let Some(&(_, work, told)) = self.window.front().filter(|w| w.0 <= now - span) {
            self.window.pop_front();
            self.all -= work;
            self.told -= if told { work } else { 0.0 };
        }
        self.window.push_back((now, work, told));
        self.all += work;
        self.told += if told { work } else { 0.0 };
        let part = self.all / bears(n);
        self.worst = self.worst.max(part);
        let first = part > 1.0 && !std::mem::replace(&mut self.fallen, true);
        first && self.told > self.all * 2.0 / 3.0
    }

    /// The most of what it bore that came within one window, as a part of it.
    pub(crate) fn worst(&self) -> f64 {
        self.worst
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fall_is_blamed_on_those_who_knew_where_over_two_thirds_came_from_them() {
        let many = bears(9.0) as usize;
        assert_eq!(many, 21);
        for (told, blamed) in [(22, true), (15, true), (14, false), (0, false)] {
            let mut press = Press::default();
            let falls: Vec<bool> = (0..22).map(|k| press.add(k, 1000, 1.0, k < told, 9.0)).collect();
            assert_eq!((falls[..21].contains(&true), falls[21]), (false, blamed), "{told} of 22 told");
            assert!(!press.add(22, 1000, 1.0, true, 9.0), "the first fall counts");
        }
    }

    #[test]
    fn what_is_older_than_the_window_presses_no_more() {
        let mut press = Press::default();
        (0..100).for_each(|k| assert!(!press.add(k * 100, 1000, 1.0, true, 9.0)));
        assert!((press.worst() - 10.0 / 21.0).abs() < 1e-9);
    }
}
