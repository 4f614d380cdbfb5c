//! How a node answers a request, piece by piece, and how the connection ends.

use super::asked::Asked;

/// What becomes of the connection behind the last piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It stays, and the next request is read.
    Stays,
    /// It is closed in order.
    Orderly,
    /// It is reset at once.
    Reset,
    /// It is reset once the gateway has read all.
    ResetOnceRead,
}

#[derive(Clone, Copy, Debug)]
pub struct Script {
    pub pieces: &'static [&'static str],
    pub end: End,
}

impl Script {
    /// Plays it: each piece is said once the gateway has read the one before.
    pub fn play(&self, mut asked: Asked) {
        for (n, piece) in self.pieces.iter().enumerate() {
            if n > 0 {
                asked.until_read();
            }
            asked.say(piece.as_bytes());
        }
        match self.end {
            End::Stays => asked.next(),
            End::Orderly => asked.end(),
            End::Reset => asked.reset(),
            End::ResetOnceRead => {
                asked.until_read();
                asked.reset();
            }
        }
    }
}
