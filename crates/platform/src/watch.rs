//! One call for the list that stays open: a watch.

use bytes::Bytes;
use decisions::Micros;
use http1::{Limits, StreamDecoder};

use crate::endpoint::EndpointList;
use crate::objects::Objects;

/// Bytes of one list at most.
const LIST: usize = 8 << 20;
/// Bytes of the answer's head at most.
const HEAD: usize = 16 << 10;

enum Phase {
    /// Its connection is on its way up, or it has been asked and nothing has come.
    Unanswered,
    Reading(Box<(StreamDecoder, Objects)>),
}

/// What came over a watch.
#[derive(Debug, Default)]
pub(crate) struct Came {
    /// Lists, or what changed in them, in order.
    pub(crate) lists: Vec<EndpointList>,
    /// Objects that were no list.
    pub(crate) foreign: u64,
    /// It has ended, or cannot be followed any further.
    pub(crate) over: bool,
}

/// A watch over one connection, from the moment it is opened to its end.
pub(crate) struct Watch {
    phase: Phase,
    /// When it was opened, and when its last byte came.
    opened: Micros,
    heard: Micros,
    /// It has been answered, and something of a list's stream has come: it lasts.
    answered: bool,
    /// It said nothing for too long since it was answered.
    doubted: bool,
}

impl Watch {
    pub(crate) fn new(now: Micros) -> Self {
        Watch { phase: Phase::Unanswered, opened: now, heard: now, answered: false, doubted: false }
    }

    /// When it was opened.
    pub(crate) fn opened(&self) -> Micros {
        self.opened
    }

    /// When its last byte came.
    pub(crate) fn heard(&self) -> Micros {
        self.heard
    }

    /// It has been answered, and has said something lately.
    pub(crate) fn is_sound(&self) -> bool {
        self.answered && !self.doubted
    }

    /// It has been silent for too long.
    pub(crate) fn doubt(&mut self) {
        self.doubted = true;
    }

    /// Its connection is up: what is to be asked, for what changed after a version.
    pub(crate) fn up(&mut self, now: Micros, host: &str, after: u64) -> Bytes {
        let limits = Limits { head: HEAD, body: LIST, informational: 8 };
        self.phase = Phase::Reading(Box::new((StreamDecoder::new(limits), Objects::new(LIST))));
        self.heard = now;
        http1::request("GET", &format!("/v1/endpoints?watch=1&after={after}"), &[("Host", host)], &[])
    }

    /// Bytes came.
    pub(crate) fn received(&mut self, now: Micros, bytes: &[u8]) -> Came {
        let mut came = Came::default();
        let Phase::Reading(reading) = &mut self.phase else { return came };
        let (stream, objects) = &mut **reading;
        (self.heard, self.doubted) = (now, false);
        stream.receive(bytes);
        came.over = loop {
            let piece = match stream.poll() {
                Ok(Some(piece)) => piece,
                Ok(None) => break stream.is_over() || stream.status().is_some_and(|s| s != 200),
                Err(fault) => {
                    tracing::warn!(%fault, "discovery's answer cannot be read");
                    break true;
                }
            };
            if stream.status() != Some(200) {
                break true;
            }
            self.answered = true;
            objects.receive(&piece);
            if !cut(objects, &mut came) {
                break true;
            }
        };
        came
    }
}

/// Takes all that is whole; whether the stream can be followed on.
///
/// Danger: what is read out of step with its sender takes nodes for something they are not. Harm: the watch is opened anew, which asks
/// for all that came after the last list that was understood.
fn cut(objects: &mut Objects, came: &mut Came) -> bool {
    loop {
        match objects.poll() {
            Ok(None) => return true,
            Ok(Some(object)) => match EndpointList::parse(&object) {
                Ok(list) => came.lists.push(list),
                Err(error) if error.is_data() => came.foreign += 1,
                Err(error) => {
                    tracing::warn!(%error, "discovery writes what is no JSON");
                    return false;
                }
            },
            Err(why) => {
                tracing::warn!(%why, "discovery's stream cannot be read");
                return false;
            }
        }
    }
}
