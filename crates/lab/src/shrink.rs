//! Finding the smallest part of a list that still fails, by trying ever smaller parts. Without I/O.

/// What is left to try.
///
/// Delta debugging over the parts that are left out: the list is cut into pieces, and each piece in turn is left out. What still
/// fails without it goes on without it; where no piece can be missed, the pieces are made half as long.
///
/// Danger: a trial may pass by luck where time decides. Harm: what remains is then larger than it had to be, never one that
/// was not seen to fail.
#[derive(Clone, Debug)]
pub(crate) struct Shrink<T> {
    /// The smallest that was seen to fail.
    least: Vec<T>,
    pieces: usize,
    /// The piece that is left out next.
    piece: usize,
    trials: usize,
}

impl<T: Clone> Shrink<T> {
    /// Begins with a list that was seen to fail; at most so many trials are made.
    pub(crate) fn new(whole: Vec<T>, trials: usize) -> Self {
        Shrink { least: whole, pieces: 2, piece: 0, trials }
    }

    /// What to try next; none where nothing smaller is left to try, or all trials were made.
    pub(crate) fn next(&self) -> Option<Vec<T>> {
        if self.trials == 0 || self.least.len() < 2 {
            return None;
        }
        let out = self.span();
        let rest = self.least.iter().enumerate().filter(|(n, _)| !out.contains(n));
        Some(rest.map(|(_, item)| item.clone()).collect())
    }

    /// How the trial that [`Shrink::next`] names went.
    pub(crate) fn told(&mut self, failed: bool) {
        let Some(trial) = self.next() else { return };
        self.trials -= 1;
        if failed {
            self.least = trial;
            self.pieces = (self.pieces - 1).max(2);
            // The pieces before this one were needed; those after it have moved up to its place.
            self.piece = if self.piece < self.pieces { self.piece } else { 0 };
            return;
        }
        self.piece += 1;
        if self.piece < self.pieces {
            return;
        }
        self.piece = 0;
        if self.pieces >= self.least.len() {
            self.trials = 0; // None can be missed.
        }
        self.pieces = (self.pieces * 2).min(self.least.len().max(2));
    }

    /// The smallest that was seen to fail.
    pub(crate) fn least(&self) -> &[T] {
        &self.least
    }

    /// The places of the piece that is left out.
    fn span(&self) -> std::ops::Range<usize> {
        let (length, pieces) = (self.least.len(), self.pieces.min(self.least.len()));
        let piece = self.piece.min(pieces - 1);
        piece * length / pieces..(piece + 1) * length / pieces
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn shrunk(length: u32, trials: usize, fails: impl Fn(&[u32]) -> bool) -> (Vec<u32>, usize) {
        let mut shrink = Shrink::new((0..length).collect(), trials);
        let mut made = 0;
        while let Some(trial) = shrink.next() {
            assert!(trial.len() < shrink.least().len(), "each trial is smaller");
            made += 1;
            assert!(made <= trials, "bounded");
            shrink.told(fails(&trial));
        }
        (shrink.least().to_vec(), made)
    }

    #[test]
    fn a_planted_set_is_what_remains_whatever_it_is() {
        let sets: [&[u32]; 6] = [&[17], &[0, 44], &[3, 17, 29], &[0, 1, 2, 3], &[5, 6, 40, 41, 42], &[44]];
        for planted in sets {
            let (least, made) = shrunk(45, 1000, |trial| planted.iter().all(|p| trial.contains(p)));
            assert_eq!(least, planted);
            assert!(made < 200, "{planted:?} took {made}");
        }
    }

    #[test]
    fn what_fails_in_several_ways_shrinks_to_one_of_them_that_has_nothing_to_spare() {
        let fails = |t: &[u32]| t.iter().filter(|n| **n % 2 == 1).count() >= 3 || t.contains(&8);
        let (least, _) = shrunk(45, 1000, fails);
        assert!(fails(&least));
        for n in 0..least.len() {
            let without: Vec<u32> = least.iter().enumerate().filter(|x| x.0 != n).map(|x| *x.1).collect();
            assert!(!fails(&without), "{least:?} without {n}");
        }
    }

    #[test]
    fn few_trials_leave_something_that_fails_and_one_alone_is_not_tried() {
        for trials in 0..12 {
            let (least, made) = shrunk(45, trials, |t| t.contains(&30) && t.contains(&31));
            assert!(least.contains(&30) && least.contains(&31) && made <= trials);
        }
        assert_eq!(shrunk(1, 10, |_| true), (vec![0], 0));
        assert_eq!(shrunk(0, 10, |_| true), (vec![], 0));
        assert_eq!(shrunk(9, 100, |_| true).0.len(), 1, "one trouble stays: a day without any is no trial");
    }
}
