//! The rule's figures, and the times and amounts that follow from them.

use peer::PeerName;

use crate::Micros;

/// A right is to one send; accounts are kept in thousandths.
pub const RIGHT: u64 = 1_000;
/// The part of `free` that is left while a node of the shard recovers; each gateway has its even part of that.
pub const RECOVERING_FREE: f64 = 0.25;
/// The part of its even part that a gateway never lends.
pub const RESERVE: f64 = 0.125;
/// Slices of a window: what was earned falls due at a slice's end.
pub const SLICES: Micros = 16;
/// Steps of a slice: what is borrowed falls due, and what is out comes back, at a step's end.
const STEPS: Micros = 4;

/// What the cap is told once.
#[derive(Clone, Debug, PartialEq)]
pub struct CapOptions {
    /// This gateway.
    pub name: PeerName,
    /// Gateways that the site file names, this one included: parts are even over these, never over those that happen to be seen.
    pub members: usize,
    /// The window of the rule, microseconds.
    pub window: Micros,
    /// Further sends to one shard that the whole fleet has in a window whatever is served.
    pub free: f64,
    /// Further sends to a shard for each that it has served.
    pub share: f64,
    /// The same while a node of the shard recovers.
    pub recovering_share: f64,
    /// `free` over all shards together.
    pub fleet_free: f64,
    /// `share` over all shards together.
    pub fleet_share: f64,
    /// The part by which a gateway's clock may run faster or slower than the one that the rule is judged by; below one half.
    pub drift: f64,
    /// The shards that the cap holds for.
    pub shards: Vec<u32>,
    /// How long a node warms, microseconds: what advice is spread over.
    pub warming: Micros,
    /// The longest advice, microseconds.
    pub most_advice: Micros,
}

/// Why the figures cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OptionsError {
    /// A number that is no number, is below nought, or is beyond its bound.
    #[error("repeats: {0} is {1}: give a number from {2} to {3}")]
    Range(&'static str, f64, f64, f64),
    /// No member.
    #[error("repeats: members is 0: name the gateways of the site, this one included")]
    NoMembers,
    /// A window or a warming that is no time.
    #[error("repeats: {0} is {1} us: give at least {2} us")]
    TooShort(&'static str, Micros, Micros),
}

impl CapOptions {
    /// Figures to begin with: a window of a second, a tenth of what is served, four free sends a window for each member: one
    /// is left of them while a node recovers.
    pub fn new(name: PeerName, members: usize, shards: Vec<u32>) -> Self {
        let free = 4.0 * members.max(1) as f64;
        let fleet_free = free * shards.len().clamp(1, 4) as f64;
        CapOptions {
            name,
            members,
            window: 1_000_000,
            free,
            share: 0.1,
            recovering_share: 0.02,
            fleet_free,
            fleet_share: 0.1,
            drift: 0.01,
            shards,
            warming: 5_000_000,
            most_advice: 30_000_000,
        }
    }

    /// Whether these can be used; names the first figure that cannot.
    pub fn check(&self) -> Result<(), OptionsError> {
        if self.members == 0 {
            return Err(OptionsError::NoMembers);
        }
        let range = |what, value: f64, most: f64| {
            if (0.0..=most).contains(&value) {
                Ok(())
            } else {
                Err(OptionsError::Range(what, value, 0.0, most))
            }
        };
        range("free", self.free, 1e9)?;
        range("share", self.share, 10.0)?;
        range("recovering_share", self.recovering_share, self.share)?;
        range("fleet_free", self.fleet_free, 1e9)?;
        range("fleet_share", self.fleet_share, 10.0)?;
        range("drift", self.drift, 0.4)?;
        for (what, value, least) in [("window", self.window, 6_400), ("warming", self.warming, 0)] {
            if value < least {
                return Err(OptionsError::TooShort(what, value, least));
            }
        }
        Ok(())
    }

    /// The times that follow.
    pub fn terms(&self) -> Terms {
        // Danger: figures out of bounds would make a slice of nought. They are held within what `check` demands; a caller
        // that does not check gets a cap that is tighter than it asked for, never a looser one.
        let drift = self.drift.clamp(0.0, 0.4);
        let window = self.window.max(6_400);
        // A slice is whole steps, so that whatever falls due does so at a step's end.
        let step = window / (SLICES * STEPS);
        let slice = step * STEPS;
        let longer = |t: Micros| (t as f64 * (1.0 + drift)).ceil() as Micros;
        let shorter = |t: Micros| (t as f64 * (1.0 - drift)).floor() as Micros;
        Terms {
            slice,
            step,
            window: longer(window) + slice / 2,
            remembered: longer(window + self.most_advice.max(0)),
            earned: shorter(window / 2),
            loan: window / 8,
            loan_held: longer(window / 8),
            drift: (drift * 1e6).ceil() as i64,
        }
    }

    /// A gateway's even part of so many free sends, in thousandths, rounded down.
    pub(crate) fn even(&self, free: f64, members: usize) -> u64 {
        (free.max(0.0) * RIGHT as f64 / members.max(1) as f64).floor() as u64
    }
}

/// Times on this gateway's own clock, already stretched or shortened by the drift, whichever is safe.
///
/// A clock runs at `1 - drift` to `1 + drift` of the judge's. What must last at least `t` of the judge's time is held for
/// `t * (1 + drift)` of ours; what must not outlive `t` is dropped after `t * (1 - drift)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// The grid on which earned rights fall due.
    pub slice: Micros,
    /// The grid on which borrowed rights fall due and spent ones come back.
    pub step: Micros,
    /// A spent even right comes back after this: the window, and half a slice for sends that are so long on their way.
    pub window: Micros,
    /// Keys of unserved requests are known for this long: the window and the longest advice.
    pub remembered: Micros,
    /// A right that was earned is dropped after this: half a window.
    pub earned: Micros,
    /// What a loan's life is stated as, in the judge's time: an eighth of a window.
    pub loan: Micros,
    /// How long a giver counts a loan as in use: the loan's life, on a clock that may be fast.
    pub loan_held: Micros,
    /// In millionths, rounded up.
    drift: i64,
}

impl Terms {
    /// How long what may live `left` of the judge's time is kept by a clock that may be slow.
    pub fn kept(&self, left: Micros) -> Micros {
        left - (left * self.drift + 999_999).div_euclid(1_000_000)
    }

    /// A new life is empty for this long: a former one may have lent all in its last moment.
    pub fn empty(&self) -> Micros {
        self.window + self.loan_held
    }

    /// The end of the step that `at` is in; `at` itself on the grid.
    pub(crate) fn up(&self, at: Micros) -> Micros {
        (at + self.step - 1).div_euclid(self.step) * self.step
    }

    /// The next step's beginning after `at`.
    pub(crate) fn next_step(&self, at: Micros) -> Micros {
        (at.div_euclid(self.step) + 1) * self.step
    }

    /// The beginning of the slice that `at` is in.
    pub(crate) fn down(&self, at: Micros) -> Micros {
        at.div_euclid(self.slice) * self.slice
    }
}

/// A mistake that a test plants to see that it is caught. None in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Plant {
    /// A grant goes out and the giver's account is left as it was.
    LentBeforeTaken,
    /// A grant's life is counted from when it came.
    GrantUsedLate,
    /// A grant that comes twice is taken twice.
    GrantTakenTwice,
    /// A new life has its whole even part at once.
    NewLifeFull,
    /// The sketch forgets after half a window.
    SketchForgets,
    /// Parts are even over the members that are seen.
    PartsOverSeen,
    /// A lent even right comes back a window after it was lent, not after its latest use.
    LoanBackEarly,
    /// A peer's word is passed on as one's own.
    WordPassedOn,
}

/// Where a gateway's rights come from; the others than `Escrow` are there to be measured beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// The even part alone.
    Even,
    /// What one served itself, alone.
    Earned,
    /// Both, and lent.
    #[default]
    Escrow,
}

/// What a test or a measurement sets beside the options; nothing in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trial {
    /// A mistake.
    pub plant: Option<Plant>,
    /// Where rights come from.
    pub way: Way,
}
