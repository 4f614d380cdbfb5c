//! Answers of nodes that come in pieces, without a length, or not whole.

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::records::{Fate, MILLI, Micros};

/// The longest body.
const LONGEST: usize = 200 << 10;
/// A pause within an answer in which a node hangs.
const HANGS: std::ops::RangeInclusive<Micros> = 200..=3_000;

/// How the connection goes on behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It can be used again.
    Stays,
    /// It ends in order.
    Closes,
    /// It is reset.
    Resets,
}

/// An answer, as it is to be sent.
#[derive(Debug)]
pub(crate) struct Script {
    /// Its pieces, each behind a pause.
    pub(crate) pieces: Vec<(Micros, Vec<u8>)>,
    /// What comes behind the last piece, after a pause.
    pub(crate) end: (Micros, End),
    /// What an attempt that ends so counts as.
    pub(crate) fate: Fate,
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// By the end of the connection.
    None,
}

impl Script {
    /// Draws one for a request.
    pub(crate) fn draw(random: &mut StdRng, id: &str) -> Script {
        let framings = [Framing::Length, Framing::Length, Framing::Chunks, Framing::None, Framing::None];
        let framing = framings.choose(random).copied().unwrap_or(Framing::Length);
        let whole = message(framing, &body(random, id));
        let is_whole = random.random_bool(0.4);
        // An orderly end would make a part of an answer without a length whole; so that one is reset, behind its last byte at the latest.
        let (sent, end) = match (framing, is_whole) {
            (Framing::None, true) => (whole.len(), End::Closes),
            (Framing::None, false) => (random.random_range(1..=whole.len()), End::Resets),
            (_, true) => (whole.len(), End::Stays),
            (_, false) => {
                let end = if random.random_bool(0.7) { End::Resets } else { End::Closes };
                (random.random_range(1..whole.len()), end)
            }
        };
        let pieces = pieces(random, &whole[..sent]);
        Script { pieces, end: (pause(random), end), fate: if is_whole { Fate::Served } else { Fate::Torn } }
    }
}

/// The request's id; or a long one that begins and ends with it, so that a part of it is told from the whole.
fn body(random: &mut StdRng, id: &str) -> String {
    if random.random_bool(0.7) {
        return id.to_owned();
    }
    format!("{id}{}{id}", ".".repeat(random.random_range(1..=LONGEST)))
}

/// Whether a body is whole and a request's own.
pub(crate) fn is_own(body: &[u8], id: &str) -> bool {
    let id = id.as_bytes();
    body == id || body.len() > 2 * id.len() && body.starts_with(id) && body.ends_with(id)
}

fn message(framing: Framing, body: &str) -> Vec<u8> {
    let text = match framing {
        Framing::Length => return crate::http::answer(200, "", body).into_bytes(),
        Framing::Chunks => {
            let (first, second) = body.split_at(body.len() / 2);
            format!(
                "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
                first.len(),
                second.len()
            )
        }
        Framing::None => format!("\r\n{body}"),
    };
    format!("HTTP/1.1 200 Said\r\n{text}").into_bytes()
}

/// One piece, or a few with pauses between them.
fn pieces(random: &mut StdRng, bytes: &[u8]) -> Vec<(Micros, Vec<u8>)> {
    let size = bytes.len().div_ceil(random.random_range(1..=4));
    bytes
        .chunks(size)
        .enumerate()
        .map(|(n, piece)| (if n == 0 { 0 } else { pause(random) }, piece.to_vec()))
        .collect()
}

/// Nothing, a moment, or so long that the node counts as hanging.
fn pause(random: &mut StdRng) -> Micros {
    match random.random_range(0..8) {
        0..=2 => 0,
        3..=5 => random.random_range(MILLI..=60 * MILLI),
        _ => random.random_range(HANGS) * MILLI,
    }
}
