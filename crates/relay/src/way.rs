//! One direction of one connection: bytes on their way, without I/O.

use std::collections::VecDeque;

use rand::Rng;
use rand::rngs::SmallRng;
use records::Micros;

/// Bytes held before no more are read.
const FULL: usize = 1 << 20;

/// What holds on a way at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Weather {
    pub(crate) held: bool,
    pub(crate) delay: Micros,
    pub(crate) jitter: Micros,
    /// Bytes a second; 0: no bound.
    pub(crate) rate: u64,
}

struct Piece {
    due: Micros,
    bytes: Vec<u8>,
    /// Of these, gone out.
    gone: usize,
}

/// A direction's bytes.
#[derive(Default)]
pub(crate) struct Way {
    pieces: VecDeque<Piece>,
    waiting: usize,
    /// When the last piece is due: bytes come in order.
    last: Micros,
    /// Bytes that still pass before the connection is broken.
    pub(crate) breaks: Option<u64>,
    /// The sender has ended.
    pub(crate) ended: bool,
    /// Bytes that went out.
    pub(crate) carried: u64,
}

impl Way {
    /// There is room for more.
    pub(crate) fn takes(&self) -> bool {
        self.waiting < FULL
    }

    /// Bytes came in.
    pub(crate) fn put(&mut self, now: Micros, weather: &Weather, random: &mut SmallRng, bytes: &[u8]) {
        let jitter = if weather.jitter > 0 { random.random_range(0..=weather.jitter) } else { 0 };
        let mut due = (now + weather.delay + jitter).max(self.last);
        due += (bytes.len() as u64 * 1_000_000).checked_div(weather.rate).unwrap_or(0) as Micros;
        self.last = due;
        self.waiting += bytes.len();
        self.pieces.push_back(Piece { due, bytes: bytes.to_vec(), gone: 0 });
    }

    /// What may go out now; empty if nothing may.
    pub(crate) fn ready(&self, now: Micros, weather: &Weather) -> &[u8] {
        let Some(piece) = self.pieces.front().filter(|p| !weather.held && p.due <= now) else { return &[] };
        let rest = &piece.bytes[piece.gone..];
        match self.breaks {
            Some(left) => &rest[..rest.len().min(left as usize)],
            None => rest,
        }
    }

    /// So many of those have gone out.
    pub(crate) fn gone(&mut self, n: usize) {
        self.carried += n as u64;
        self.waiting -= n;
        if let Some(left) = &mut self.breaks {
            *left = left.saturating_sub(n as u64);
        }
        if let Some(piece) = self.pieces.front_mut() {
            piece.gone += n;
            if piece.gone == piece.bytes.len() {
                self.pieces.pop_front();
            }
        }
    }

    /// The bytes that were still to pass have.
    pub(crate) fn broken(&self) -> bool {
        self.breaks == Some(0)
    }

    /// All that came has gone out, and no more comes.
    pub(crate) fn over(&self) -> bool {
        self.ended && self.pieces.is_empty()
    }

    /// When the next piece is due, if it is not held.
    pub(crate) fn next_due(&self, weather: &Weather) -> Option<Micros> {
        self.pieces.front().filter(|_| !weather.held).map(|p| p.due)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn drain(way: &mut Way, now: Micros, weather: &Weather) -> Vec<u8> {
        let mut all = Vec::new();
        loop {
            let n = way.ready(now, weather).len();
            if n == 0 {
                return all;
            }
            all.extend_from_slice(&way.ready(now, weather)[..n.min(3)]);
            way.gone(n.min(3));
        }
    }

    #[test]
    fn bytes_keep_their_order_under_jitter_and_come_no_sooner_than_told() {
        let mut random = SmallRng::seed_from_u64(1);
        let weather = Weather { delay: 100, jitter: 1000, ..Weather::default() };
        let mut way = Way::default();
        (0..50u8).for_each(|n| way.put(n.into(), &weather, &mut random, &[n]));
        assert!(drain(&mut way, 99, &weather).is_empty());
        let mut all = Vec::new();
        (100..=1200).for_each(|now| all.extend(drain(&mut way, now, &weather)));
        assert_eq!(all, (0..50).collect::<Vec<u8>>());
    }

    #[test]
    fn a_throttle_a_hold_and_a_break_in_the_middle() {
        let mut random = SmallRng::seed_from_u64(1);
        let slow = Weather { rate: 1000, ..Weather::default() };
        let mut way = Way::default();
        way.put(0, &slow, &mut random, &[0; 10]);
        way.put(0, &slow, &mut random, &[1; 10]);
        assert_eq!(drain(&mut way, 10_000, &slow), [0; 10]);
        let held = Weather { held: true, ..slow };
        assert!(drain(&mut way, 50_000, &held).is_empty());
        way.breaks = Some(4);
        assert_eq!(drain(&mut way, 50_000, &slow), [1; 4]);
        assert!(way.broken() && !way.over());
    }
}
