//! The shadow itself: what it takes in and what it says to do.

use std::collections::BTreeMap;

use peer::Life;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Micros;
use crate::candidate::CandidateError;
use crate::counts::{Came, Cell, Doubt, Lost, Paper, Way, Why, bucket};
use crate::digest::{Digest, number_of};
use crate::exchange::{Input, Output};
use crate::held::{Difference, Judged, Waiting};
use crate::merge::{Books, Owner};
use crate::options::{Plant, ShadowOptions};
use crate::peers::Peers;
use crate::slice::{Lies, Places, Range};
use crate::tries::{Pair, Tried, Tries, TryId};
use crate::verdict::{Example, Verdict};
use crate::writes::{Seen, Writes};

/// A candidate shard map, tried.
pub struct Shadow {
    pub(crate) options: ShadowOptions,
    pub(crate) digest: u64,
    pub(crate) seat: u64,
    pub(crate) owner: Owner,
    pub(crate) places: Places,
    pub(crate) books: Books,
    pub(crate) writes: Writes,
    pub(crate) peers: Peers,
    pub(crate) waiting: Waiting,
    tries: Tries,
    is_busy: bool,
    /// Extents with a difference in a quiet interval, and since when that is known here.
    pub(crate) suspects: BTreeMap<(u32, u64), Micros>,
    pub(crate) rng: SmallRng,
    pub(crate) beat_at: Micros,
    pub(crate) kept_at: Micros,
    /// How far this life's book was kept.
    pub(crate) kept: u64,
    pub(crate) refused: Option<&'static str>,
}

impl Shadow {
    /// A new instance. `kept`: what [`Output::Keep`] gave last; of another candidate it is passed over. `seed` is drawn anew
    /// for each instance: it tells it from others of this life.
    ///
    /// # Errors
    /// The candidate does not fit the map in force. Whether its shards have nodes is for [`crate::Candidate::check`], which the
    /// caller asks when it reads the site file.
    pub fn new(
        options: ShadowOptions,
        life: Life,
        kept: Option<&[u8]>,
        now: Micros,
        seed: u64,
    ) -> Result<Shadow, CandidateError> {
        let shards = options.candidate.volumes.iter().flat_map(|v| v.shards.iter().copied()).collect();
        options.candidate.check(&options.current, &shards)?;
        let seat = number_of(&[seed, now as u64, life.incarnation.0, life.nonce.0]);
        let salt = if options.plant == Plant::SlicePerLife { seat } else { 0 };
        let mut shadow = Shadow {
            digest: options.candidate.digest(),
            seat,
            owner: owner(&options, life, seat),
            places: Places::new(&options.candidate, &options.current, salt),
            books: Books::default(),
            writes: Writes::new(now, options.rest, options.most_writes),
            peers: Peers::new(options.rest, options.beat),
            waiting: Waiting::new(
                options.most_held,
                options.hold,
                options.beat,
                number_of(&[seat, 1]),
                options.plant == Plant::OldWord,
            ),
            tries: Tries::new(&options, number_of(&[seat, 2])),
            is_busy: false,
            suspects: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seat),
            beat_at: now,
            kept_at: now,
            kept: 0,
            refused: None,
            options,
        };
        if let Some(kept) = kept {
            shadow.restore(now, kept);
        }
        Ok(shadow)
    }

    /// Takes in what happened and appends what is to be done. `now` only goes forward.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        if let Some(why) = self.refused.take() {
            out.push(Output::TurnedAway { from: self.options.name.clone(), why });
        }
        self.writes.pass(now);
        match input {
            Input::Read { nsid, slba, blocks, node, began, ended, digest } => {
                self.read(now, Range { nsid, slba, blocks }, node, (began, ended), digest, out);
            }
            Input::WriteBegan { nsid, slba, blocks, token } => {
                self.write(now, Range { nsid, slba, blocks }, token);
            }
            Input::WriteEnded { token, known } => self.writes.ended(now, token, known),
            Input::Tried { id, ended, outcome } => self.tried(now, id, ended, outcome, out),
            Input::Nodes(nodes) => self.tries.set_nodes(now, nodes),
            Input::Busy(is_busy) => self.is_busy = is_busy,
            Input::Peers(mut names) => {
                names.retain(|name| *name != self.options.name);
                self.peers.list(now, &names);
            }
            Input::Heard { from, life, body } => self.heard(now, from, life, &body, out),
            Input::Renewed(life) => {
                if self.is_unkept() {
                    self.keep(now, out);
                }
                self.owner = owner(&self.options, life, self.seat);
                self.kept = 0;
            }
            Input::Tick => {}
        }
        self.pass(now, out);
    }

    /// When it has something to do by itself; a `Tick` then, or anything else, makes it do so.
    pub fn next_due(&self) -> Micros {
        let keep = self.is_unkept().then(|| self.kept_at.saturating_add(self.options.keep));
        let dues = [Some(self.beat_at), keep, self.tries.next_due(), self.waiting.next_due()];
        dues.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// What is known so far, merged over gateways and lives. It costs a pass over all counts: not for the path of a request.
    pub fn verdict(&self) -> Verdict {
        Verdict::of(&self.books, &self.places, &self.options, self.digest)
    }

    /// Whether a read or write of these blocks matters here: what does not need not be told, nor its digest taken.
    pub fn wants(&self, nsid: u32, slba: u64, blocks: u32) -> bool {
        self.places.lies(&Range { nsid, slba, blocks }) != Lies::Outside
    }

    /// The candidate's digest, as the view holds it.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Tries that are out and differences that wait: both bounded by the options.
    pub fn held(&self) -> (usize, usize) {
        (self.tries.out(), self.waiting.len())
    }

    pub(crate) fn count(&mut self, cell: Cell) {
        self.books.bump(&self.owner, cell);
    }

    fn pass(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.writes.pass(now);
        for pair in self.tries.overdue(now) {
            self.lost(now, pair, Lost::TimedOut, out);
        }
        for difference in self.waiting.overdue(now) {
            self.judged(now, difference, Judged::Doubt(Doubt::NoWordAfter));
        }
        self.gossip(now, out);
    }

    fn write(&mut self, now: Micros, range: Range, token: u64) {
        let places: Vec<_> = self.places.places(&range).collect();
        if places.is_empty() {
            return;
        }
        self.writes.began(now, token, range);
        for place in places {
            let paper = if place.from == place.to {
                Paper::SamePlace
            } else if self.tries.is_there(place.to) {
                Paper::There
            } else {
                Paper::NoNode
            };
            self.count(Cell::Paper(place.to, paper));
        }
    }

    fn read(
        &mut self,
        now: Micros,
        range: Range,
        node: String,
        (began, read_ended): (Micros, Micros),
        digest: Digest,
        out: &mut Vec<Output>,
    ) {
        let place = match self.places.lies(&range) {
            Lies::Outside => return,
            Lies::Across => {
                let first = self.places.places(&range).next();
                return first.into_iter().for_each(|place| self.count(Cell::NotTried(place.to, Why::Across)));
            }
            Lies::In(place) => place,
        };
        let node_to = if place.from == place.to {
            Err(Why::SamePlace)
        } else if !self.can_judge(now, began) {
            // Danger: reads that came out the same would be counted in times when no difference could be, and the bound would
            // promise more than was looked at. Harm: nothing is tried while a gateway starts or a peer is silent.
            Err(Why::Unjudged)
        } else if self.is_busy {
            Err(Why::Busy)
        } else {
            self.tries.choose(now, place.to, &node)
        };
        match node_to {
            Err(why) => self.count(Cell::NotTried(place.to, why)),
            Ok(to_node) => {
                let pair = Pair { place, range, node, to_node, began, read_ended, sent: now, digest };
                self.send(pair, out);
            }
        }
    }

    fn can_judge(&self, now: Micros, began: Micros) -> bool {
        !self.writes.is_blind() && self.peers.speak(now, began.saturating_sub(self.options.settle))
    }

    fn send(&mut self, pair: Pair, out: &mut Vec<Output>) {
        let Range { nsid, slba, blocks } = pair.range;
        let (shard, node, patience) = (pair.place.to, pair.to_node.clone(), self.options.patience);
        self.count(Cell::Sent(shard));
        let id = self.tries.begin(pair);
        out.push(Output::Try { id, node, shard, nsid, slba, blocks, patience });
    }

    fn tried(&mut self, now: Micros, id: TryId, ended: Micros, outcome: Tried, out: &mut Vec<Output>) {
        let Some(pair) = self.tries.end(id) else {
            // Danger: a node that answers twice, or long after, would be counted twice. Harm: none, the first end counts.
            return self.count(Cell::Strange);
        };
        match outcome {
            Tried::Data(theirs) => self.compare(now, Difference { pair, theirs, ended }, out),
            Tried::Failed => self.lost(now, pair, Lost::Failed, out),
            Tried::TimedOut => self.lost(now, pair, Lost::TimedOut, out),
            Tried::NotSent => self.lost(now, pair, Lost::NotSent, out),
        }
    }

    /// Never a second try: a node that is slow or away would get twice the load when it can bear it least.
    fn lost(&mut self, now: Micros, mut pair: Pair, lost: Lost, out: &mut Vec<Output>) {
        self.count(Cell::Lost(pair.place.to, lost));
        if self.options.plant == Plant::SecondTry && lost == Lost::TimedOut {
            pair.sent = now;
            self.send(pair, out);
        }
    }

    fn compare(&mut self, now: Micros, answers: Difference, out: &mut Vec<Output>) {
        let pair = &answers.pair;
        let shard = pair.place.to;
        let took = |from: Micros, to: Micros| bucket(u64::try_from(to.saturating_sub(from)).unwrap_or(0));
        let current = Cell::Took(shard, Way::Current, took(pair.began, pair.read_ended));
        let candidate = Cell::Took(shard, Way::Candidate, took(pair.sent, answers.ended));
        self.count(current);
        self.count(candidate);
        let pair = &answers.pair;
        if pair.digest == answers.theirs {
            return self.count(Cell::Came(Came::Same, pair.place.nsid, pair.place.extent));
        }
        let start = pair.began.saturating_sub(self.options.settle);
        let plant = self.options.plant;
        let own = self.writes.between(&pair.range, start, answers.ended.max(now));
        match own {
            _ if plant == Plant::RaceUnseen => return self.judged(now, answers, Judged::Quiet),
            Seen::Wrote => return self.judged(now, answers, Judged::Raced),
            Seen::CannotSay => return self.judged(now, answers, Judged::Doubt(Doubt::OwnWrites)),
            Seen::Quiet => {}
        }
        let words = self.peers.words_before(start);
        let said: Vec<_> = words.iter().filter_map(|(name, word)| Some((name.clone(), (*word)?))).collect();
        if said.len() < words.len() {
            return self.judged(now, answers, Judged::Doubt(Doubt::NoWordBefore));
        }
        if said.is_empty() || plant == Plant::PeersUnasked {
            return self.judged(now, answers, Judged::Quiet);
        }
        if !self.waiting.has_room() {
            return self.judged(now, answers, Judged::Doubt(Doubt::NoRoom));
        }
        let id = self.waiting.hold(now, answers, said);
        self.ask(id, out);
    }

    /// Counts a difference. In a quiet interval, the first one of an extent makes it suspect and is itself unknown: what is
    /// counted different began after that, and is a pair of its own.
    pub(crate) fn judged(&mut self, now: Micros, difference: Difference, judged: Judged) {
        let Difference { pair, theirs, ended } = difference;
        let at = (pair.place.nsid, pair.place.extent);
        let came = |came| Cell::Came(came, at.0, at.1);
        let doubt = match judged {
            Judged::Raced => return self.count(came(Came::Raced)),
            Judged::Quiet => match self.suspects.get(&at) {
                Some(since) if *since < pair.began => {
                    self.count(came(Came::Different));
                    let example = Example {
                        gateway: self.options.name.clone(),
                        nsid: at.0,
                        extent: at.1,
                        slba: pair.range.slba,
                        blocks: pair.range.blocks,
                        shards: (pair.place.from, pair.place.to),
                        nodes: (pair.node, pair.to_node),
                        digests: (pair.digest, theirs),
                        times: [pair.began, pair.read_ended, pair.sent, ended],
                    };
                    return self.books.example(&self.owner, example);
                }
                Some(_) => Doubt::First,
                None => {
                    self.suspects.insert(at, now);
                    self.count(came(Came::First));
                    Doubt::First
                }
            },
            Judged::Doubt(doubt) => doubt,
        };
        self.count(came(Came::Unknown));
        self.count(Cell::Doubt(pair.place.to, doubt));
    }
}

fn owner(options: &ShadowOptions, life: Life, seat: u64) -> Owner {
    let owner = Owner::new(options.name.clone(), life, seat);
    if options.plant == Plant::NameOwns {
        return Owner { incarnation: 0, nonce: 0, seat: 0, ..owner };
    }
    owner
}
