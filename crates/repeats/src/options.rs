//! The options of the cap, and the durations and amounts derived from them.

use peer::PeerName;

use crate::Micros;

/// One token pays for one retry; accounts count in thousandths of it.
pub const ONE_TOKEN: u64 = 1_000;
/// The part of `free` that remains while a node of the shard recovers; each gateway has its base tokens
/// of that.
pub const RECOVERING_FREE_PART: f64 = 0.25;
/// The part of its base tokens that a gateway never leases to peers.
pub const RESERVED_PART: f64 = 0.125;
/// Slices in a window: earned tokens expire at the end of a slice.
pub const SLICES_PER_WINDOW: Micros = 16;
/// Steps in a slice: borrowed tokens expire, and tokens in use return, at the end of a step.
const STEPS_PER_SLICE: Micros = 4;

/// Options of a gateway's cap.
#[derive(Clone, Debug, PartialEq)]
pub struct CapOptions {
    /// The name of this gateway.
    pub name: PeerName,
    /// Gateways in the site file, including this one. Base tokens are divided among these, never among
    /// the gateways that are currently reachable.
    pub members: usize,
    /// The window of the limit, microseconds.
    pub window: Micros,
    /// Retries to one shard that the whole fleet has in each window, whatever is served.
    pub free: f64,
    /// Retries to a shard that each request it serves adds.
    pub share: f64,
    /// `share` while a node of the shard recovers.
    pub recovering_share: f64,
    /// `free` over all shards together.
    pub fleet_free: f64,
    /// `share` over all shards together.
    pub fleet_share: f64,
    /// The part by which a gateway's clock may run faster or slower than the reference clock; below one
    /// half.
    pub drift: f64,
    /// The shards that the cap covers.
    pub shards: Vec<u32>,
    /// How long a node takes to warm up, microseconds: retry delays are spread over at least this time.
    pub warm_up: Micros,
    /// The longest retry delay advised, microseconds.
    pub max_retry_after: Micros,
}

/// Why options are invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OptionsError {
    /// A number is not finite or out of range.
    #[error("repeats: {0} is {1}: give a number from {2} to {3}")]
    Range(&'static str, f64, f64, f64),
    /// The number of members is zero.
    #[error("repeats: members is 0: name the gateways of the site, this one included")]
    NoMembers,
    /// A duration is too short.
    #[error("repeats: {0} is {1} us: give at least {2} us")]
    TooShort(&'static str, Micros, Micros),
}

impl CapOptions {
    /// Default options: a window of one second, a tenth of what is served, and four free retries a
    /// window for each member, of which one remains while a node recovers.
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
            warm_up: 5_000_000,
            max_retry_after: 30_000_000,
        }
    }

    /// Returns an error for the first invalid option.
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
        for (what, value, least) in [("window", self.window, 6_400), ("warming", self.warm_up, 0)] {
            if value < least {
                return Err(OptionsError::TooShort(what, value, least));
            }
        }
        Ok(())
    }

    /// The durations that follow from the options.
    pub fn durations(&self) -> Durations {
        // Out-of-range options could make a slice of zero length, so they are clamped to the range that
        // `check` requires. A caller that skips `check` gets a tighter cap than it asked for, never a
        // looser one.
        let drift = self.drift.clamp(0.0, 0.4);
        let window = self.window.max(6_400);
        // A slice is a whole number of steps, so that everything expires at the end of a step.
        let step = window / (SLICES_PER_WINDOW * STEPS_PER_SLICE);
        let slice = step * STEPS_PER_SLICE;
        let lengthened = |t: Micros| (t as f64 * (1.0 + drift)).ceil() as Micros;
        let shortened = |t: Micros| (t as f64 * (1.0 - drift)).floor() as Micros;
        Durations {
            slice,
            step,
            window: lengthened(window) + slice / 2,
            key_retention: lengthened(window + self.max_retry_after.max(0)),
            earned_lifetime: shortened(window / 2),
            lease: window / 8,
            lease_held: lengthened(window / 8),
            drift: (drift * 1e6).ceil() as i64,
        }
    }

    /// A gateway's base tokens of `free` retries, in thousandths, rounded down.
    pub(crate) fn base_tokens(&self, free: f64, members: usize) -> u64 {
        (free.max(0.0) * ONE_TOKEN as f64 / members.max(1) as f64).floor() as u64
    }
}

/// Durations on this gateway's own clock, lengthened or shortened by the drift, whichever is safe.
///
/// A clock runs at `1 - drift` to `1 + drift` of the reference clock. What must last for at least `t` on
/// the reference clock is held for `t * (1 + drift)` of local time; what must not outlive `t` is dropped
/// after `t * (1 - drift)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Durations {
    /// The grid on which earned tokens expire.
    pub slice: Micros,
    /// The tick interval, a quarter of a slice (1/64 of a window): the grid on which borrowed tokens expire
    /// and spent base tokens return.
    pub step: Micros,
    /// A spent base token returns after this: the window, and half a slice for attempts that take that
    /// long to arrive.
    pub window: Micros,
    /// Keys of unserved requests are remembered for this long: the window and the longest retry delay.
    pub key_retention: Micros,
    /// An earned token expires after this: half a window.
    pub earned_lifetime: Micros,
    /// The term of a lease on the reference clock: an eighth of a window.
    pub lease: Micros,
    /// How long a lender counts leased tokens as in use: the term of the lease, on a clock that may be
    /// fast.
    pub lease_held: Micros,
    /// The drift in millionths, rounded up.
    drift: i64,
}

impl Durations {
    /// How long a lifetime of `left` on the reference clock lasts on a clock that may be slow.
    pub fn local_lifetime(&self, left: Micros) -> Micros {
        left - (left * self.drift + 999_999).div_euclid(1_000_000)
    }

    /// A new life has no base tokens for this long: the life before may have leased all of them in its
    /// last moment.
    pub fn empty_period(&self) -> Micros {
        self.window + self.lease_held
    }

    /// Rounds `at` up to the end of its step; a time on the grid stays.
    pub(crate) fn round_up_to_step(&self, at: Micros) -> Micros {
        (at + self.step - 1).div_euclid(self.step) * self.step
    }

    /// The beginning of the first step after `at`.
    pub(crate) fn next_step(&self, at: Micros) -> Micros {
        (at.div_euclid(self.step) + 1) * self.step
    }

    /// Rounds `at` down to the beginning of its slice.
    pub(crate) fn round_down_to_slice(&self, at: Micros) -> Micros {
        at.div_euclid(self.slice) * self.slice
    }
}

/// A fault that a test injects to show that the checks find it. Never set in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// A lease is granted without taking the tokens off the lender's account.
    LeaseNotDebited,
    /// The lifetime of a lease is counted from its arrival.
    LeaseCountedFromArrival,
    /// A duplicated grant is accepted twice.
    GrantAcceptedTwice,
    /// A new life starts with all of its base tokens.
    NewLifeStartsFull,
    /// Keys of unserved requests are forgotten after half a window.
    SketchForgetsEarly,
    /// Base tokens are divided among the reachable members.
    DividedAmongReachable,
    /// A leased base token returns a window after the grant, not after its latest possible use.
    LeaseReturnsEarly,
    /// A peer's observation is reported as the gateway's own.
    PeerReportsForwarded,
}

/// Where the tokens of a gateway come from. All but `Escrow` exist to be compared with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenSource {
    /// Base tokens only.
    BaseOnly,
    /// Only tokens earned by requests served at the gateway itself.
    EarnedOnly,
    /// Both, with leases between gateways.
    #[default]
    Escrow,
}

/// Overrides for tests and measurements. The default is what runs in production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// An injected fault.
    pub fault: Option<InjectedFault>,
    /// Where tokens come from.
    pub token_source: TokenSource,
}
