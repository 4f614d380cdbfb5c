//! Discovery client: decides when a watch is opened, which one is trusted, and which lists are applied.
//!
//! The constants follow from the platform's rules. A watch delivers an empty line every 2 s, and a change
//! that a silent watch misses counts as announced 6 s after it fell silent, whether it arrived or not.
//! Whatever the discovery agent has counts as announced at once, also right after an outage and to a gateway
//! that has just started; sending to a draining node is a violation once the drain grace period is over. In
//! every case a change counts as announced 6 s after discovery had it and was reachable.
//!
//! - A watch is suspect [`SILENCE`] after its last progress: 2 s for the empty line and half a second for its
//!   lateness.
//! - Then, and whenever there is no live watch, another one is opened beside it, and again at random
//!   intervals ([`retry_delays`]) until one of them responds. The suspect one is kept open for as long: if it
//!   resumes, only a call was wasted.
//! - No call waits for another: a call that hangs, fails or is abandoned doesn't delay the next one. Few are
//!   open at a time ([`MAX_WATCHES`]), so that they fit the reserve of descriptors.
//!
//! The table gives the longest time from discovery becoming reachable to the next call; that call is answered
//! at once, and the list takes effect. `h` and `q` are a half and three quarters of the drain grace period,
//! which is limited to a tenth of a second to a second: 50 to 500 and 75 to 750 ms.
//!
//! | what happened to the previous call | next call |
//! | --- | --- |
//! | it hangs while connecting, or nobody answers it | `q`: it does not wait for the other to end |
//! | it is refused; there is no descriptor for it; it is reset, answered with an error or unreadable | `q` |
//! | it was answered with a list or a line, then ended, was reset, or delivered invalid JSON | `h` |
//! | it was answered, then silent from 0 on | suspect at 2.5 s, next by 2.5 s + `h`, then every `q`: 3, 3.75, 4.5, 5.25, 6 s |
//! | it delivers a list byte by byte that is never complete | the same, from the list's first byte |
//! | it delivers objects that are not lists | `h` |
//! | the configuration names another discovery, whatever the calls before do | at once; then `q` |
//! | a new process | at once; then `q` |
//!
//! So three calls in a row may fail between the silence and the 6 s. After an outage of any length a quarter
//! of the grace period is left for connecting, the response and requests already on their way to a node.
//! Where discovery restarts its revision numbers, the whole list is requested at once [`REVISION_RESET`]
//! after the first older list. For 300 gateways together that is 480 calls a second while an outage lasts and
//! the grace period is a second.

use std::net::SocketAddr;

use bytes::Bytes;
use decisions::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::endpoint::EndpointList;
use crate::watch::Watch;

/// A watch without progress for this long is suspect.
const SILENCE: Micros = 2_500_000;
/// An unanswered call is abandoned after this time: an agent that has nothing new may respond only with its
/// next empty line.
const CALL_TIMEOUT: Micros = SILENCE;
/// If only older lists arrive for this long, discovery has restarted its revision numbers.
const REVISION_RESET: Micros = 6_000_000;
/// The drain grace period where the settings give none, and the longest that counts here.
const MAX_DRAIN_GRACE: Micros = 1_000_000;
/// The shortest drain grace period that counts here: sixteen calls a second.
const MIN_DRAIN_GRACE: Micros = 100_000;
/// Watches on the current discovery address that may be open at a time; one more may be open on the previous
/// address.
const MAX_WATCHES: usize = 5;

/// Returns the bounds between which the delay before the next watch is drawn: a half and three quarters of
/// the drain grace period, which counts as at most a second, as four delays have to fit between suspicion and
/// the time at which a loss counts as announced. After a watch ended or became suspect, the next one follows
/// within the lower bound, drawn from zero.
///
/// When discovery goes down, all gateways lose their watches at the same moment, and delays of equal length
/// would bring all of them back at the same moment, again and again. The cost is calls that nobody answers
/// while discovery is down.
fn retry_delays(grace: Micros) -> (Micros, Micros) {
    let grace = if grace > 0 { grace.clamp(MIN_DRAIN_GRACE, MAX_DRAIN_GRACE) } else { MAX_DRAIN_GRACE };
    (grace / 2, grace * 3 / 4)
}

/// An operation for the machine to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Open a connection.
    Connect(u64, SocketAddr),
    /// Close a connection.
    Close(u64),
    /// Apply a list, or changes, newer than all before.
    List(EndpointList),
    /// A live watch on the current address has ended.
    LiveWatchEnded,
}

struct OpenWatch {
    id: u64,
    /// Whether the watch uses the current discovery address, not the previous one.
    current: bool,
    watch: Watch,
}

/// The watches on discovery. Silence or an error says nothing about the nodes, so the list stays as it was
/// last announced. The cost is that changes made while discovery is silent are learnt late.
pub(crate) struct Discovery {
    address: SocketAddr,
    retry_delay: (Micros, Micros),
    watches: Vec<OpenWatch>,
    next_id: u64,
    /// When the last watch was opened.
    last_call: Micros,
    /// When another watch is opened if none is live.
    next_call: Micros,
    /// The latest revision received, and the latest up to which nothing is missing.
    latest_revision: u64,
    complete_revision: u64,
    /// Since when only older lists have arrived.
    older_since: Option<Micros>,
    malformed: u64,
    random: SmallRng,
}

impl Discovery {
    /// Creates a client that opens its first watch at once. `grace`: drain grace period from the settings;
    /// `remembered`: the node list from the configuration.
    pub(crate) fn new(
        now: Micros,
        address: SocketAddr,
        grace: Micros,
        remembered: &EndpointList,
        seed: u64,
    ) -> Self {
        Discovery {
            address,
            retry_delay: retry_delays(grace),
            watches: Vec::new(),
            next_id: 0,
            last_call: now,
            next_call: now,
            latest_revision: remembered.revision,
            complete_revision: if remembered.malformed == 0 { remembered.revision } else { 0 },
            older_since: None,
            malformed: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of open watches.
    pub(crate) fn open_watches(&self) -> usize {
        self.watches.len()
    }

    /// Returns the number of entries and objects that could not be parsed.
    pub(crate) fn malformed(&self) -> u64 {
        self.malformed
    }

    fn has_live_watch(&self) -> bool {
        self.watches.iter().any(|w| w.current && w.watch.is_live())
    }

    /// Returns when [`Discovery::tick`] is due.
    pub(crate) fn due(&self) -> Micros {
        let live = self.watches.iter().filter(|w| w.watch.is_live());
        let suspect_at = live.map(|w| w.watch.last_progress() + SILENCE).min().unwrap_or(Micros::MAX);
        let next_action = if self.has_live_watch() {
            self.older_since.map_or(Micros::MAX, |since| since + REVISION_RESET)
        } else {
            self.next_call
        };
        suspect_at.min(next_action)
    }

    /// Runs the timers that are due.
    ///
    /// All agents may fall silent at the same moment after an empty line that all sent at the same moment, so
    /// the next call is delayed at random to keep the gateways from calling all at once. The cost is that
    /// less time is left until the loss counts.
    pub(crate) fn tick(&mut self, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        for open in self.watches.iter_mut().filter(|w| w.watch.is_live()) {
            if now >= open.watch.last_progress() + SILENCE {
                open.watch.mark_suspect();
                if open.current {
                    self.next_call = now + self.random.random_range(0..=self.retry_delay.0);
                }
            }
        }
        if self.has_live_watch() {
            // A suspect watch on the previous address has nothing more to deliver.
            self.close_where(&mut steps, |w| !w.watch.is_live());
            if self.older_since.is_none_or(|since| now < since + REVISION_RESET) {
                return steps;
            }
            self.reset_revision(now, &mut steps);
        }
        if now < self.next_call {
            return steps;
        }
        self.make_room(now, &mut steps);
        (self.last_call, self.next_call) =
            (now, now + self.random.random_range(self.retry_delay.0..=self.retry_delay.1));
        steps.push(Step::Connect(self.next_id, self.address));
        self.watches.push(OpenWatch { id: self.next_id, current: true, watch: Watch::new(now) });
        self.next_id += 1;
        steps
    }

    fn close_where(&mut self, steps: &mut Vec<Step>, condition: impl Fn(&OpenWatch) -> bool) {
        steps.extend(self.watches.iter().filter(|w| condition(w)).map(|w| Step::Close(w.id)));
        self.watches.retain(|w| !condition(w));
    }

    /// Closes watches past [`CALL_TIMEOUT`], and one more if there are too many for another. Of those that
    /// have delivered something, the one that last received input may still deliver and stays open.
    ///
    /// A call is the opening of a watch. If the oldest call were closed each time, none would last for
    /// [`CALL_TIMEOUT`] where the retry delay is short, and an agent that takes longer to respond than a few
    /// delays would never get to deliver a list. The oldest is therefore kept and the second oldest closed,
    /// though that one might have been answered first.
    fn make_room(&mut self, now: Micros, steps: &mut Vec<Step>) {
        let responding = self.watches.iter().filter(|w| !w.current || w.watch.has_received());
        let last = responding.max_by_key(|w| w.watch.last_input_at()).map(|w| w.id);
        self.close_where(steps, |w| Some(w.id) != last && now >= w.watch.last_input_at() + CALL_TIMEOUT);
        if self.watches.iter().filter(|w| w.current).count() >= MAX_WATCHES {
            let candidates = self.watches.iter().filter(|w| w.current && Some(w.id) != last);
            let second_oldest = candidates.map(|w| w.id).nth(1);
            self.close_where(steps, |w| Some(w.id) == second_oldest);
        }
    }

    /// Returns the request to write on an established connection.
    pub(crate) fn request(&mut self, now: Micros, id: u64) -> Option<Bytes> {
        let (host, after) = (self.address.to_string(), self.complete_revision);
        let open = self.watches.iter_mut().find(|w| w.id == id)?;
        Some(open.watch.request(now, &host, after))
    }

    /// Handles bytes received.
    pub(crate) fn received(&mut self, now: Micros, id: u64, bytes: &[u8]) -> Vec<Step> {
        let Some(open) = self.watches.iter_mut().find(|w| w.id == id) else { return Vec::new() };
        let was_live = open.watch.is_live();
        let received = open.watch.received(now, bytes);
        let (current, has_list) = (open.current, !received.lists.is_empty());
        let live = open.watch.is_live() && !received.must_close;
        if was_live && !live && current && !received.must_close {
            // It delivers objects that are not lists: another watch is opened beside it.
            self.schedule_call(now);
        }
        self.malformed += received.unknown_objects;
        let mut steps = Vec::new();
        for list in received.lists {
            self.malformed += list.malformed as u64;
            if self.accept_revision(now, &list) {
                steps.push(Step::List(list));
            }
        }
        // A live watch on the current address makes the others on it, and suspect ones, unnecessary. A live
        // watch on the previous address stays open until this one delivers a list.
        if live && current {
            self.close_where(&mut steps, |w| w.id != id && (w.current || has_list || !w.watch.is_live()));
        }
        if received.must_close {
            steps.push(Step::Close(id));
            steps.extend(self.ended(now, id));
        }
        steps
    }

    /// Handles a connection that ended or could not be established.
    pub(crate) fn ended(&mut self, now: Micros, id: u64) -> Option<Step> {
        let at = self.watches.iter().position(|w| w.id == id)?;
        let open = self.watches.remove(at);
        if !open.watch.is_live() || !open.current {
            return None;
        }
        self.schedule_call(now);
        Some(Step::LiveWatchEnded)
    }

    /// Schedules the next watch after a live one was lost. An agent that answers each call and ends it would
    /// otherwise be called without a pause; at most half of the grace period passes since the last call.
    fn schedule_call(&mut self, now: Micros) {
        let earliest = now + self.random.random_range(1..=self.retry_delay.0);
        self.next_call = earliest.max(self.last_call + self.retry_delay.0);
    }

    /// Switches to another discovery address. Of the previous one, the live watch is followed until the new
    /// one has delivered something.
    pub(crate) fn set_address(&mut self, now: Micros, address: SocketAddr) -> Vec<Step> {
        let last = self.watches.iter().max_by_key(|w| (w.watch.is_live(), w.watch.last_input_at()));
        let last = last.map(|w| w.id);
        let steps = self.watches.iter().filter(|w| Some(w.id) != last).map(|w| Step::Close(w.id)).collect();
        self.watches.retain(|w| Some(w.id) == last);
        self.watches.iter_mut().for_each(|w| w.current = false);
        (self.address, self.next_call) = (address, now);
        steps
    }

    /// Returns whether a list is to be applied, and records its revision.
    ///
    /// With two watches, or an agent that is updated late, an older list may arrive after a newer one and
    /// would bring draining nodes back, so it is ignored. The cost is that where discovery restarts its
    /// revision numbers nothing is applied for [`REVISION_RESET`].
    ///
    /// A list with an entry that couldn't be parsed doesn't count as complete: the next watch requests
    /// everything after `complete_revision` again. It isn't requested at once, as the same entry would arrive
    /// in the same form.
    fn accept_revision(&mut self, now: Micros, list: &EndpointList) -> bool {
        if list.revision < self.latest_revision {
            self.older_since.get_or_insert(now);
            return false;
        }
        let has_no_gap = list.is_complete || self.complete_revision == self.latest_revision;
        (self.older_since, self.latest_revision) = (None, list.revision);
        if list.malformed == 0 && has_no_gap {
            self.complete_revision = list.revision;
        }
        true
    }

    /// Forgets the revision and requests the whole list. Otherwise a discovery that lost its revision count
    /// would never be followed again. The cost is that a whole list of an agent that lags by more than
    /// [`REVISION_RESET`] takes back newer changes until the next list restores them.
    fn reset_revision(&mut self, now: Micros, steps: &mut Vec<Step>) {
        tracing::warn!(
            latest = self.latest_revision,
            "discovery counts its versions anew; the whole list is asked for"
        );
        (self.latest_revision, self.complete_revision, self.older_since, self.next_call) = (0, 0, None, now);
        steps.extend(self.watches.drain(..).map(|w| Step::Close(w.id)));
    }
}
