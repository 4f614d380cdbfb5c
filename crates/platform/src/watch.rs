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
    /// When its last byte came, else when it was asked, else when it was opened.
    heard: Micros,
    /// Something has come.
    spoke: bool,
    /// When it last brought what shows that it is followed: an empty line, a whole list, or the first byte of one.
    shown: Micros,
    /// It has been answered, and an empty line or a whole list has come: it lasts.
    answered: bool,
    /// It has shown nothing for too long since it was answered.
    doubted: bool,
}

impl Watch {
    pub(crate) fn new(now: Micros) -> Self {
        let phase = Phase::Unanswered;
        Watch { phase, heard: now, spoke: false, shown: now, answered: false, doubted: false }
    }

    /// Something has come on it.
    pub(crate) fn spoke(&self) -> bool {
        self.spoke
    }

    /// When its last byte came, else when it was asked, else when it was opened.
    pub(crate) fn heard(&self) -> Micros {
        self.heard
    }

    /// When it last showed that it is followed.
    pub(crate) fn shown(&self) -> Micros {
        self.shown
    }

    /// It has been answered, and has shown lately that it is followed.
    pub(crate) fn is_sound(&self) -> bool {
        self.answered && !self.doubted
    }

    /// It has shown nothing for too long.
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
    ///
    /// Danger: a list that comes byte by byte and never whole, or objects that are no lists, would keep a watch for ever that brings
    /// nothing. Such bytes show nothing. Harm: beside an agent that takes longer than that to write one list others are asked for.
    pub(crate) fn received(&mut self, now: Micros, bytes: &[u8]) -> Came {
        let mut came = Came::default();
        let Phase::Reading(reading) = &mut self.phase else { return came };
        let (stream, objects) = &mut **reading;
        (self.heard, self.spoke) = (now, true);
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
            let (begins, lists, foreign) = (objects.is_between(), came.lists.len(), came.foreign);
            objects.receive(&piece);
            if !cut(objects, &mut came) {
                break true;
            }
            let told = came.lists.len() > lists;
            if came.foreign > foreign {
                self.doubted = !told;
            } else if told || objects.is_between() {
                (self.answered, self.doubted) = (true, false);
            }
            if begins || told {
                self.shown = now;
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
