//! A watch: one long-lived HTTP call that streams the node list.

use bytes::Bytes;
use decisions::Micros;
use http1::{Limits, StreamDecoder};

use crate::endpoint::EndpointList;
use crate::json_stream::ObjectSplitter;

/// Maximum size of one list in bytes.
const MAX_LIST: usize = 8 << 20;
/// Maximum size of the response head in bytes.
const MAX_HEAD: usize = 16 << 10;

enum Phase {
    /// The connection is being established, or the request was sent and nothing has arrived.
    Unanswered,
    Reading(Box<(StreamDecoder, ObjectSplitter)>),
}

/// What bytes received on a watch contained.
#[derive(Debug, Default)]
pub(crate) struct Received {
    /// Whole lists or changes, in order.
    pub(crate) lists: Vec<EndpointList>,
    /// Number of objects that were not lists.
    pub(crate) unknown_objects: u64,
    /// The stream has ended, was refused or can't be parsed any further, so the connection is to be closed.
    pub(crate) must_close: bool,
}

/// A watch on one connection, from its opening to its end.
pub(crate) struct Watch {
    phase: Phase,
    /// When its last byte came, else when it was asked, else when it was opened.
    last_input_at: Micros,
    /// Whether anything was received.
    has_received: bool,
    /// When it last made progress: an empty line, a whole list, or the first byte of one.
    last_progress: Micros,
    /// Whether it was answered and has delivered an empty line or a whole list.
    established: bool,
    /// Whether it has made no progress for too long since it was answered.
    suspect: bool,
}

impl Watch {
    pub(crate) fn new(now: Micros) -> Self {
        let phase = Phase::Unanswered;
        Watch {
            phase,
            last_input_at: now,
            has_received: false,
            last_progress: now,
            established: false,
            suspect: false,
        }
    }

    /// Whether anything was received.
    pub(crate) fn has_received(&self) -> bool {
        self.has_received
    }

    /// When its last byte came, else when it was asked, else when it was opened.
    pub(crate) fn last_input_at(&self) -> Micros {
        self.last_input_at
    }

    /// Returns when it last made progress.
    pub(crate) fn last_progress(&self) -> Micros {
        self.last_progress
    }

    /// Whether it was answered and has made progress lately.
    pub(crate) fn is_live(&self) -> bool {
        self.established && !self.suspect
    }

    /// Marks it as suspect: it has made no progress for too long.
    pub(crate) fn mark_suspect(&mut self) {
        self.suspect = true;
    }

    /// Returns the request to write on the established connection, for what changed after a revision.
    pub(crate) fn request(&mut self, now: Micros, host: &str, after: u64) -> Bytes {
        let limits = Limits { head: MAX_HEAD, body: MAX_LIST, informational: 8 };
        self.phase = Phase::Reading(Box::new((StreamDecoder::new(limits), ObjectSplitter::new(MAX_LIST))));
        self.last_input_at = now;
        http1::encode_request("GET", &format!("/v1/endpoints?watch=1&after={after}"), &[("Host", host)], &[])
    }

    /// Handles bytes received.
    ///
    /// A list that arrives byte by byte and is never complete, or objects that are not lists, would keep a
    /// watch open for ever that delivers nothing, so such bytes don't count as progress. The cost is that
    /// beside an agent that takes longer than `SILENCE` (in `discovery`) to write one list other watches
    /// are opened.
    pub(crate) fn received(&mut self, now: Micros, bytes: &[u8]) -> Received {
        let mut received = Received::default();
        let Phase::Reading(reading) = &mut self.phase else { return received };
        let (stream, objects) = &mut **reading;
        (self.last_input_at, self.has_received) = (now, true);
        stream.receive(bytes);
        received.must_close = loop {
            let piece = match stream.poll() {
                Ok(Some(piece)) => piece,
                Ok(None) => break stream.is_complete() || stream.status().is_some_and(|s| s != 200),
                Err(fault) => {
                    tracing::warn!(%fault, "invalid HTTP response from discovery");
                    break true;
                }
            };
            if stream.status() != Some(200) {
                break true;
            }
            let (was_between, lists_before, unknown_before) =
                (objects.is_between(), received.lists.len(), received.unknown_objects);
            objects.receive(&piece);
            if !parse_objects(objects, &mut received) {
                break true;
            }
            let has_list = received.lists.len() > lists_before;
            if received.unknown_objects > unknown_before {
                self.suspect = !has_list;
            } else if has_list || objects.is_between() {
                (self.established, self.suspect) = (true, false);
            }
            if was_between || has_list {
                self.last_progress = now;
            }
        };
        received
    }
}

/// Parses all complete objects; returns whether the stream can be followed further.
///
/// A stream read out of step with its sender would misrepresent nodes. The watch is opened again instead and
/// asks for everything after the last list that was understood.
fn parse_objects(objects: &mut ObjectSplitter, received: &mut Received) -> bool {
    loop {
        match objects.poll() {
            Ok(None) => return true,
            Ok(Some(object)) => match EndpointList::parse(&object) {
                Ok(list) => received.lists.push(list),
                Err(error) if error.is_data() => received.unknown_objects += 1,
                Err(error) => {
                    tracing::warn!(%error, "discovery sent invalid JSON");
                    return false;
                }
            },
            Err(why) => {
                tracing::warn!(%why, "discovery's stream cannot be split into JSON objects");
                return false;
            }
        }
    }
}
